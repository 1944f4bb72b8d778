#ifndef GATEWAY_SRC_STATE_RELAY_H_
#define GATEWAY_SRC_STATE_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>

#include "absl/time/time.h"
#include "control/control.h"
#include "gateway/src/state_mirror.h"

namespace baobabwall::gateway {

/// Id of a call of another instance, unique within this one.
using PeerCallId = uint64_t;

/// \brief Answers other instances' reads of the store from a mirror.
///
/// Answers while this instance itself reads the store: otherwise a call gets
/// kNotFound, or kRefused if the store can't be reached. No I/O.
class StateRelay {
 public:
  enum class State { kNoReader, kStoreLost, kServing };

  using Answer = std::function<void(PeerCallId, control::StoreAnswer)>;

  StateRelay(const StateMirror* mirror, Answer answer);

  /// \param request a range of all keys or a watch; others get kNotFound.
  void OnCall(PeerCallId id,
              const control::StoreRequest& request,
              absl::Time now);
  void OnCallerGone(PeerCallId id) { watches_.erase(id); }

  /// \brief Answers the watches that have something to learn, or whose time is
  /// over.
  void OnTick(State state, absl::Time now);

 private:
  struct Watch {
    int64_t after_revision = 0;
    absl::Time until;
  };

  control::StoreAnswer Refusal() const;

  const StateMirror* mirror_;
  Answer answer_;
  State state_ = State::kNoReader;
  std::map<PeerCallId, Watch> watches_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STATE_RELAY_H_
