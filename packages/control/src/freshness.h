#ifndef CONTROL_SRC_FRESHNESS_H_
#define CONTROL_SRC_FRESHNESS_H_

#include <algorithm>
#include <cstdint>

#include "absl/time/time.h"

namespace baobabwall::control {

/// \brief Whether a process that was paused has compared its state with a peer
/// or the store.
///
/// After a pause, the state of the instance counts as up to date once two
/// conditions hold. First, a peer has answered a probe that was sent after the
/// pause, or the store has answered a read that was sent after the pause.
/// Second, this instance has applied the revision in the answer. The state of
/// an instance without any known peer counts as up to date after
/// kFreshnessDelayWithoutPeer even if the store is down. No other instance
/// could have received its shares, its configuration can only lack newer
/// changes, and a single instance must recover without help.
class Freshness {
 public:
  /// Time after which the state of an instance without a known peer counts as
  /// up to date. The value equals the target time within which a change must be
  /// applied on every instance.
  static constexpr absl::Duration kFreshnessDelayWithoutPeer = absl::Seconds(6);

  void OnPause(absl::Time now) {
    is_fresh_ = false;
    has_compared_ = false;
    min_required_revision_ = -1;
    resume_time_ = now;
  }

  /// \param revision the revision that a peer or the store returned. The answer
  /// of a peer without a configuration (-1) is ignored.
  void OnCompared(int64_t revision) {
    if (revision < 0) {
      return;
    }
    has_compared_ = true;
    min_required_revision_ = std::max(min_required_revision_, revision);
  }

  /// \param revision the revision that this instance has applied.
  /// \param has_no_peers true if no other instance is known.
  /// \returns true if the state now counts as up to date and did not before.
  bool Update(int64_t revision, bool has_no_peers, absl::Time now) {
    if (is_fresh_) {
      return false;
    }
    is_fresh_ =
        (has_compared_ && revision >= min_required_revision_) ||
        (has_no_peers && now - resume_time_ >= kFreshnessDelayWithoutPeer);
    return is_fresh_;
  }

  bool is_fresh() const { return is_fresh_; }
  absl::Time resume_time() const { return resume_time_; }

 private:
  bool is_fresh_ = true;
  bool has_compared_ = true;
  int64_t min_required_revision_ = -1;
  absl::Time resume_time_ = absl::InfinitePast();
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_FRESHNESS_H_
