#ifndef TEST_PLATFORM_STANDIN_H_
#define TEST_PLATFORM_STANDIN_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "edge/edge.h"
#include "transport/transport.h"

namespace baobabwall::test {

/// \brief What a backend server of the stand-in has seen of one request id.
struct SeenRequest {
  int runs = 0;
  std::string body;
};

/// \brief How the store behaves.
enum class StoreMode {
  kUp,
  kRefusing,     ///< 503 to all calls.
  kSilent,       ///< Calls get no answer.
  kLosesAnswers  ///< Writes are done, their answers are lost.
};

/// \brief Stand-in for the users' platform: its store and backend servers, on
/// loopback ports and one thread of its own.
///
/// Thread-safe. Speaks what the platform's pages say, as far as instances use
/// it.
class PlatformStandin {
 public:
  PlatformStandin();
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  int store_port() const { return store_port_; }

  /// \brief Writes a key as the operators or a backend server would.
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  void SetStoreMode(StoreMode mode);
  /// \brief Makes watches of older revisions fail, and cuts the pending ones.
  void ForgetHistory();

  /// \brief Backend servers added from now on are announced at the port that
  /// this returns for their own, such as that of a proxy.
  void SetAnnouncedPort(std::function<int(int port)> announced) {
    announced_port_ = std::move(announced);
  }

  /// \brief Starts a backend server and its entry in the store.
  /// \param work time of work of each request.
  void AddBackend(const std::string& id,
                  const std::string& service,
                  const std::string& zone,
                  absl::Duration work);
  /// \brief The backend server says that it leaves; it goes on serving.
  void Drain(const std::string& id);
  /// \brief The backend server crashes: its port refuses connections.
  void Crash(const std::string& id);
  /// \brief Each nth answer of a backend server is lost after its run; 0: none.
  void LoseEachAnswer(const std::string& id, int n);
  /// \brief The backend server says that it is full.
  void SetFull(const std::string& id, bool is_full);

  /// \returns runs by request id, over all backend servers.
  std::map<std::string, SeenRequest> seen() const;
  /// \returns watches of the store so far.
  int watch_calls() const { return watch_calls_; }
  /// \returns runs at one backend server.
  int runs_at(const std::string& id) const;

 private:
  struct Backend;
  struct Watch;

  void OnStoreCall(edge::ExchangeId exchange, const edge::HttpRequest& request);
  void OnWatch(edge::ExchangeId exchange, const edge::HttpRequest& request);
  bool AnswerWatch(const Watch& watch);
  void AnswerStore(edge::ExchangeId exchange, int status, std::string body);
  void OnBackendRequest(Backend* backend,
                        edge::ExchangeId exchange,
                        const edge::HttpRequest& request);
  void PutEntry(const Backend& backend);
  void Changed();
  void Tick();
  /// Runs on the thread of the stand-in and waits for it.
  void Do(std::function<void()> action) const;

  mutable edge::asio::io_context io_;
  edge::asio::executor_work_guard<edge::asio::io_context::executor_type> work_;
  edge::asio::steady_timer timer_;
  int store_port_;
  edge::HttpListener store_;
  transport::KeyValueState state_;
  StoreMode mode_ = StoreMode::kUp;
  int64_t oldest_revision_ = 0;
  std::atomic<int> watch_calls_{0};
  std::function<int(int)> announced_port_ = [](int port) { return port; };
  std::vector<Watch> watches_;
  std::map<std::string, std::unique_ptr<Backend>> backends_;
  std::vector<std::unique_ptr<Backend>> crashed_;
  std::map<std::string, SeenRequest> seen_;
  std::thread thread_;
};

}  // namespace baobabwall::test

#endif  // TEST_PLATFORM_STANDIN_H_
