#include "transport/src/steady_clock.h"

#include <time.h>

#include "absl/time/clock.h"

namespace baobabwall::transport {
namespace internal {

absl::Duration TimeSinceBoot() {
  timespec since_boot = {};
  clock_gettime(CLOCK_BOOTTIME, &since_boot);
  return absl::DurationFromTimespec(since_boot);
}

}  // namespace internal

absl::Time SteadyNow() {
  static const absl::Time kBootTime = absl::Now() - internal::TimeSinceBoot();
  return kBootTime + internal::TimeSinceBoot();
}

}  // namespace baobabwall::transport
