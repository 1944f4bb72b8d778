#ifndef TRANSPORT_SRC_CONNECTION_WATCH_H_
#define TRANSPORT_SRC_CONNECTION_WATCH_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace baobabwall::transport {

/// \brief Aborts exchanges whose caller has disconnected or whose deadline has
/// passed.
///
/// CivetWeb's reads and writes block their thread. The watch shuts the socket
/// down from its own thread, which makes the blocked call return. The watch
/// checks all exchanges every 20 ms. If an exchange ends within 20 ms, the
/// watch makes no system call for this exchange. Thread-safe.
class ConnectionWatch {
 public:
  enum class AbortReason { kNone, kCallerDisconnected, kTimedOut };
  using Id = uint64_t;

  ConnectionWatch();
  ~ConnectionWatch();

  /// \brief Starts to watch an exchange.
  /// \param target_socket socket that is shut down when the exchange is
  /// aborted, or -1.
  /// \param caller_socket socket of the caller, or -1. The exchange is aborted
  /// when the caller closes the connection of this socket.
  /// \param deadline time at which the exchange is aborted.
  /// \returns the id that Extend() and Remove() take.
  Id Add(int target_socket, int caller_socket, absl::Time deadline);

  /// \brief Replaces the deadline of an exchange; an unknown id is ignored.
  void Extend(Id id, absl::Time deadline);

  /// \brief Aborts all current and future exchanges as timed out.
  void AbortAll();

  /// \brief Stops watching an exchange. Must be called before its sockets are
  /// closed, since their numbers can be reused at once.
  /// \returns the reason for which the exchange was aborted, or kNone.
  AbortReason Remove(Id id);

 private:
  struct Exchange {
    int target_socket = -1;
    int caller_socket = -1;
    absl::Time deadline;
    AbortReason abort_reason = AbortReason::kNone;
  };

  void Run();
  void AbortEndedExchanges(absl::Time now);

  std::mutex mutex_;
  std::condition_variable wake_condition_;
  absl::flat_hash_map<Id, Exchange> exchanges_;
  Id last_id_ = 0;
  bool is_aborting_all_ = false;
  bool is_stopping_ = false;
  bool is_thread_idle_ = false;
  std::thread thread_;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_CONNECTION_WATCH_H_
