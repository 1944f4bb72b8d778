#ifndef TRANSPORT_SRC_CONNECTION_WATCH_H_
#define TRANSPORT_SRC_CONNECTION_WATCH_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace baobabwall::transport {

/// \brief Ends exchanges whose caller is gone or whose time is up.
///
/// CivetWeb's reads and writes block their thread. The watch shuts the socket
/// down from its own thread, upon which the blocked call returns. It looks at
/// all exchanges every 20 ms, so an exchange that ends sooner costs no system
/// call. Thread-safe.
class ConnectionWatch {
 public:
  enum class AbortReason { kNone, kCallerDisconnected, kTimedOut };
  using Id = uint64_t;

  ConnectionWatch();
  ~ConnectionWatch();

  /// \param target_socket is shut down when the exchange is cut; -1: none.
  /// \param caller_socket cuts the exchange when its other side closes it;
  /// -1: not watched.
  Id Add(int target_socket, int caller_socket, absl::Time deadline);

  /// \brief Moves the deadline.
  void Extend(Id id, absl::Time deadline);

  /// \brief Cuts all present and future exchanges, as if their time were up.
  void CutAll();

  /// \brief Ends the watch; must come before the sockets are closed.
  /// \returns whether and why the exchange was cut.
  AbortReason Remove(Id id);

 private:
  struct Entry {
    int target_socket = -1;
    int caller_socket = -1;
    absl::Time deadline;
    AbortReason cut = AbortReason::kNone;
  };

  void Run();
  void Check(absl::Time now);

  std::mutex mutex_;
  std::condition_variable wake_;
  absl::flat_hash_map<Id, Entry> entries_;
  Id last_id_ = 0;
  bool is_cutting_ = false;
  bool is_stopping_ = false;
  bool is_asleep_ = false;
  std::thread thread_;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_CONNECTION_WATCH_H_
