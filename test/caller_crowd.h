#ifndef TEST_CALLER_CROWD_H_
#define TEST_CALLER_CROWD_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace baobabwall::test {

/// \brief What one client of a CallerCrowd sends on its connection.
struct CrowdClient {
  std::string id;    ///< Id of its request.
  std::string head;  ///< Sent at once; may be empty or incomplete.
  /// Sent after the head, in pieces; shared by many clients. Null for none.
  std::shared_ptr<const std::string> body;
  bool reads_answers = true;
};

/// \brief What became of one client.
struct CrowdOutcome {
  std::string id;
  int status = 0;  ///< Of the first answer; 0 if none was read.
};

/// \brief Clients on 127.0.0.1 that send their bytes as fast as the other side
/// takes them, all in turn, and then keep their connections open.
///
/// A client ends when its connection fails, or when the other side has closed
/// the connection and the client has sent everything. No client connects twice.
class CallerCrowd {
 public:
  /// \param port port on 127.0.0.1.
  CallerCrowd(int port, const std::vector<CrowdClient>& clients);
  ~CallerCrowd();
  CallerCrowd(const CallerCrowd&) = delete;
  CallerCrowd& operator=(const CallerCrowd&) = delete;

  /// \returns the number of connections that were established, plus the bytes
  /// that were sent and received.
  int64_t progress() const { return progress_; }

  /// \brief Lets every second client disconnect, half of these with a reset.
  void LetHalfLeave() { is_half_leaving_ = true; }

  /// \brief Disconnects all clients.
  void Stop();

  /// \returns the outcomes in the order of the clients. Called after Stop().
  std::vector<CrowdOutcome> outcomes() const;

 private:
  class Client;

  void Run();
  void LeaveInPart();

  std::vector<std::unique_ptr<Client>> clients_;
  std::atomic<int64_t> progress_{0};
  std::atomic<bool> is_half_leaving_{false};
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace baobabwall::test

#endif  // TEST_CALLER_CROWD_H_
