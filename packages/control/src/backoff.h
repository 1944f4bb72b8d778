#ifndef CONTROL_SRC_BACKOFF_H_
#define CONTROL_SRC_BACKOFF_H_

#include <algorithm>

#include "absl/time/time.h"
#include "base/base.h"

namespace baobabwall::control {

/// \brief Computes retry delays that double up to a maximum, with jitter.
///
/// The jitter sets each delay to a random value between 50 % and 100 % of the
/// computed delay, so that instances that lost the store connection at the same
/// moment do not retry at the same moment.
class Backoff {
 public:
  Backoff(absl::Duration initial_delay, absl::Duration max_delay)
      : initial_delay_(initial_delay),
        max_delay_(max_delay),
        next_delay_(initial_delay) {}

  /// \returns the delay before the next retry.
  absl::Duration Next(base::Random* random) {
    const absl::Duration delay = next_delay_ * (0.5 + random->Unit() / 2);
    next_delay_ = std::min(next_delay_ * 2, max_delay_);
    return delay;
  }

  void Reset() { next_delay_ = initial_delay_; }

 private:
  absl::Duration initial_delay_;
  absl::Duration max_delay_;
  absl::Duration next_delay_;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_BACKOFF_H_
