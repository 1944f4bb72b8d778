#ifndef TRANSPORT_SRC_STEADY_CLOCK_H_
#define TRANSPORT_SRC_STEADY_CLOCK_H_

#include "absl/time/time.h"

namespace baobabwall::transport {

/// \brief Returns a monotonic time that is unaffected by changes of the wall
/// clock.
///
/// The time starts at the wall clock's time and advances with the system's boot
/// clock, which also counts the time during which the machine was suspended.
/// Pauses, time windows and expiries use this clock so that they are not
/// affected if an operator sets the wall clock.
absl::Time SteadyNow();

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_STEADY_CLOCK_H_
