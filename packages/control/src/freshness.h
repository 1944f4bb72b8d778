#ifndef CONTROL_SRC_FRESHNESS_H_
#define CONTROL_SRC_FRESHNESS_H_

#include <algorithm>
#include <cstdint>

#include "absl/time/time.h"

namespace baobabwall::control {

/// \brief Whether a process that was paused has compared its state again.
///
/// After a pause the instance is fresh once a peer answered a probe that was
/// sent since, or the store answered a read that was sent since, and the
/// revision that they told is in force. An instance without any known peer
/// becomes fresh after kAloneDelay even if the store is down: nobody else could
/// have taken over its shares, a change can only be missing, never undone, and
/// a single instance must come back by itself.
class Freshness {
 public:
  /// The target within which a change is in force everywhere.
  static constexpr absl::Duration kAloneDelay = absl::Seconds(6);

  void OnPause(absl::Time now) {
    is_fresh_ = false;
    is_compared_ = false;
    needed_ = -1;
    resume_time_ = now;
  }

  /// \param revision what a peer or the store told. A peer that knows no
  /// configuration (-1) is nothing to compare with.
  void OnCompared(int64_t revision) {
    if (revision < 0) {
      return;
    }
    is_compared_ = true;
    needed_ = std::max(needed_, revision);
  }

  /// \param revision the revision in force here.
  /// \param is_alone true if no other instance is known.
  /// \returns true if the verdict changed.
  bool Update(int64_t revision, bool is_alone, absl::Time now) {
    if (is_fresh_) {
      return false;
    }
    is_fresh_ = (is_compared_ && revision >= needed_) ||
                (is_alone && now - resume_time_ >= kAloneDelay);
    return is_fresh_;
  }

  bool is_fresh() const { return is_fresh_; }
  absl::Time resume_time() const { return resume_time_; }

 private:
  bool is_fresh_ = true;
  bool is_compared_ = true;
  int64_t needed_ = -1;
  absl::Time resume_time_ = absl::InfinitePast();
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_FRESHNESS_H_
