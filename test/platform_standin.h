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

/// \brief Executions of one request id at the backend servers of a
/// PlatformStandin.
struct ExecutedRequest {
  int runs = 0;
  std::string body;
};

/// \brief A request that reached a backend server of a PlatformStandin.
struct BackendArrival {
  std::string server;
  std::string id;
  absl::Time at;
  /// Pause that the server asked for when it refused the request.
  absl::Duration requested_pause;
  /// Limit that the server named in its answer.
  std::optional<double> request_limit;
  std::vector<std::string> accounts;  ///< All values of the account header.
  int credential_count = 0;           ///< Headers with a caller's credentials.
};

/// \brief Fault that the store simulates.
enum class StoreMode {
  kUp,
  kRefusing,          ///< The store answers 503 to all calls.
  kSilent,            ///< The store does not answer any call.
  kDropsWriteAnswers  ///< The store executes writes but does not answer them.
};

/// \brief Stand-in for the users' platform: its store and backend servers, on
/// loopback ports and one separate thread.
///
/// Thread-safe. Implements the part of the platform's documented API that
/// instances use.
class PlatformStandin {
 public:
  PlatformStandin();
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  int store_port() const { return store_port_; }

  /// \brief Writes a key, like the operators or a backend server of the
  /// platform.
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  void SetStoreMode(StoreMode mode);
  /// \brief Copies the content of the store, with its revision and leases.
  void SaveStore();
  /// \brief Replaces the content of the store by the saved copy: revisions go
  /// back and are given out again, and pending watches are never answered.
  void RestoreStore();
  /// \brief Makes watches of older revisions fail, including the pending
  /// watches.
  void CompactHistory();

  /// \brief Sets a function that maps the port of each backend server that is
  /// added later to the port that is registered in the store, such as the port
  /// of a proxy.
  void SetAnnouncedPort(std::function<int(int port)> announced) {
    announced_port_ = std::move(announced);
  }

  /// \brief Writes the entries of all servers that have one, as the servers do
  /// after a restore of the store, and removes the others.
  void WriteServerEntriesAgain();

  /// \brief Starts a backend server and registers the server in the store.
  /// \param work processing time of each request.
  void AddBackend(const std::string& id,
                  const std::string& service,
                  const std::string& zone,
                  absl::Duration work);
  /// \brief Marks a backend server as draining in the store; the server
  /// continues to serve requests.
  void Drain(const std::string& id);
  /// \brief Simulates a crash of a backend server: its port refuses
  /// connections.
  void Crash(const std::string& id);
  /// \brief Drops each nth answer of a backend server after the request ran; 0
  /// disables the fault.
  void DropEachNthAnswer(const std::string& id, int n);
  /// \brief Sets whether a backend server rejects requests because all its
  /// slots are in use.
  /// \param retry_after Retry-After header of the refusals; empty for none.
  void SetFull(const std::string& id,
               bool is_full,
               const std::string& retry_after = "");
  /// \brief Sets the minimum body size of all later answers of a backend
  /// server; shorter bodies are padded.
  void SetAnswerSize(const std::string& id, size_t size);
  /// \brief Lets all later answers of a backend server say that it leaves; its
  /// entry in the store stays as it is.
  void AnnounceLeaving(const std::string& id);

  /// \brief Sets the Server-Limit header of all later answers of a backend
  /// server: the requests per second that it takes from all instances
  /// together. Empty for none.
  void SetRequestLimit(const std::string& id, const std::string& limit);

  /// \returns the executions by request id, summed over all backend servers.
  std::map<std::string, ExecutedRequest> executed_requests() const;
  /// \returns all arrivals in the order of their time.
  std::vector<BackendArrival> arrivals() const;
  /// \returns the number of watch calls that the store has received.
  int watch_calls() const { return watch_calls_; }
  /// \returns the address and port of a backend server.
  std::string BackendAddress(const std::string& id) const;
  /// \returns the number of requests that reached a backend server, including
  /// those that it refused.
  int arrival_count(const std::string& id) const;
  /// \returns the number of executions at one backend server.
  int run_count(const std::string& id) const;

 private:
  struct Backend;
  struct Watch;

  void OnStoreRequest(edge::ExchangeId exchange,
                      const edge::HttpRequest& request);
  void OnWatch(edge::ExchangeId exchange, const edge::HttpRequest& request);
  bool AnswerWatch(const Watch& watch);
  void AnswerStore(edge::ExchangeId exchange, int status, std::string body);
  void OnBackendRequest(Backend* backend,
                        edge::ExchangeId exchange,
                        const edge::HttpRequest& request);
  void PutServerEntry(const Backend& backend);
  void AnswerPendingWatches();
  void Tick();
  /// Runs an action on the thread of the stand-in and waits until the action
  /// has finished.
  void RunOnLoop(std::function<void()> action) const;

  mutable edge::asio::io_context io_;
  edge::asio::executor_work_guard<edge::asio::io_context::executor_type>
      work_guard_;
  edge::asio::steady_timer timer_;
  int store_port_;
  edge::HttpListener store_;
  transport::KeyValueState state_;
  transport::KeyValueState saved_state_;
  int64_t era_ = 1;  ///< Rises by one with each RestoreStore().
  StoreMode store_mode_ = StoreMode::kUp;
  int64_t oldest_revision_ = 0;
  std::atomic<int> watch_calls_{0};
  std::function<int(int)> announced_port_ = [](int port) { return port; };
  std::vector<Watch> pending_watches_;
  std::map<std::string, std::unique_ptr<Backend>> backends_;
  std::vector<std::unique_ptr<Backend>> crashed_;
  std::map<std::string, ExecutedRequest> executed_requests_;
  std::vector<BackendArrival> arrivals_;
  std::thread thread_;
};

}  // namespace baobabwall::test

#endif  // TEST_PLATFORM_STANDIN_H_
