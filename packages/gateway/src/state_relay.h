#ifndef GATEWAY_SRC_STATE_RELAY_H_
#define GATEWAY_SRC_STATE_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>

#include "absl/time/time.h"
#include "control/control.h"
#include "gateway/src/state_mirror.h"

namespace baobabwall::gateway {

/// Id of a call from another instance; unique within this instance.
using PeerCallId = uint64_t;

/// \brief Answers the store reads of other instances from a local copy.
///
/// Calls are answered only while this instance reads the store itself.
/// Otherwise a call is answered with kNotFound, or with kRefused if the store
/// is unreachable. Does no I/O.
class StateRelay {
 public:
  enum class State { kNotReading, kStoreUnreachable, kServing };

  using Answer = std::function<void(PeerCallId, control::StoreAnswer)>;

  StateRelay(const StateMirror* mirror, Answer answer);

  /// \param request a range of all keys or a watch; other requests are answered
  /// with kNotFound.
  void OnCall(PeerCallId id,
              const control::StoreRequest& request,
              absl::Time now);
  void OnCallerDisconnected(PeerCallId id) { pending_watches_.erase(id); }

  /// \brief Answers the watches that have changes to return and the watches
  /// whose timeout has expired.
  void OnTick(State state, absl::Time now);

 private:
  struct PendingWatch {
    int64_t after_revision = 0;
    absl::Time deadline;
  };

  control::StoreAnswer RefusalAnswer() const;

  const StateMirror* mirror_;
  Answer answer_callback_;
  State state_ = State::kNotReading;
  std::map<PeerCallId, PendingWatch> pending_watches_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STATE_RELAY_H_
