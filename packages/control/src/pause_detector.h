#ifndef CONTROL_SRC_PAUSE_DETECTOR_H_
#define CONTROL_SRC_PAUSE_DETECTOR_H_

#include <optional>

#include "absl/time/time.h"

namespace baobabwall::control {

/// If the time between two ticks is longer than this time, the process counts
/// as paused.
inline constexpr absl::Duration kPauseGap = absl::Seconds(2);

/// \brief Detects that the process did not run for some time.
class PauseDetector {
 public:
  /// \returns true if the process was paused since the last call.
  bool Observe(absl::Time now) {
    const bool was_paused =
        last_observed_time_ && now - *last_observed_time_ > kPauseGap;
    last_observed_time_ = now;
    return was_paused;
  }

 private:
  std::optional<absl::Time> last_observed_time_;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_PAUSE_DETECTOR_H_
