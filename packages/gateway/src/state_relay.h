#ifndef GATEWAY_SRC_STATE_RELAY_H_
#define GATEWAY_SRC_STATE_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "absl/time/time.h"
#include "control/control.h"
#include "gateway/src/state_mirror.h"
#include "gateway/src/state_position.h"

namespace baobabwall::gateway {

/// Id of a call from another instance; unique within this instance.
using PeerCallId = uint64_t;

/// \brief Answers the store reads of other instances from a local copy.
///
/// Calls are answered only while this instance reads the store itself.
/// Otherwise a call is answered with kNotFound, or with kRefused if the store
/// is unreachable. While this instance reads all keys of the store for the
/// first time, calls wait: when a whole fleet starts, its instances would
/// otherwise all read the store. Does no I/O.
class StateRelay {
 public:
  enum class State { kNotReading, kStarting, kStoreUnreachable, kServing };

  /// Receives the answer to a call. Calls with the same answer get the same
  /// object, so that it needs to be encoded only once.
  using Answer =
      std::function<void(PeerCallId,
                         std::shared_ptr<const control::StoreAnswer>)>;

  /// Maximum time that a range waits for the first complete read. Below the
  /// timeout of the caller.
  static constexpr absl::Duration kMaxRangeWait = absl::Milliseconds(450);

  StateRelay(const StateMirror* mirror, Answer answer);

  /// \param request a range of all keys or a watch; other requests are answered
  /// with kNotFound.
  void OnCall(PeerCallId id,
              const control::StoreRequest& request,
              absl::Time now);
  void OnCallerDisconnected(PeerCallId id) { pending_calls_.erase(id); }

  /// \brief Answers the calls that have something to return and the calls whose
  /// timeout has expired.
  void OnTick(State state, absl::Time now);

 private:
  struct PendingCall {
    /// Revision after which a watch reports changes; nullopt for a range.
    std::optional<int64_t> after_revision;
    int64_t era = 0;  ///< Era of after_revision; 0 if it is not known.
    absl::Time deadline;
  };

  using SharedAnswer = std::shared_ptr<const control::StoreAnswer>;

  SharedAnswer RefusalAnswer() const;
  /// \returns the answer to a watch whose revision is of an earlier era.
  SharedAnswer HistoryGoneAnswer() const;
  /// \returns the answer to the call; nullptr if the call must wait.
  SharedAnswer AnswerTo(const PendingCall& call, absl::Time now);
  /// \returns the answer with all keys or with the changes after a revision;
  /// nullptr if there are no changes.
  SharedAnswer Read(std::optional<int64_t> after_revision);

  const StateMirror* mirror_;
  Answer answer_callback_;
  State state_ = State::kNotReading;
  std::map<PeerCallId, PendingCall> pending_calls_;
  /// Answers at the mirror's current revision, by after_revision.
  std::map<std::optional<int64_t>, SharedAnswer> answers_;
  /// Position of the mirror for answers_.
  StatePosition answers_position_{-1, -1};
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STATE_RELAY_H_
