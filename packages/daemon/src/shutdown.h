#ifndef DAEMON_SRC_SHUTDOWN_H_
#define DAEMON_SRC_SHUTDOWN_H_

#include <functional>

#include "absl/time/time.h"

namespace baobabwall::daemon {

/// \brief Waits for SIGTERM or SIGINT. Both signals must be blocked in all
/// threads.
void WaitForSignal();

/// \brief Waits until a condition is true.
/// \param deadline time at which the wait ends.
/// \returns false if the deadline passes or another signal arrives first.
bool WaitUnlessInterrupted(const std::function<bool()>& condition,
                           absl::Time deadline);

/// \brief Blocks SIGTERM and SIGINT in this thread and in the threads that this
/// thread starts, and ignores SIGPIPE.
void BlockSignals();

}  // namespace baobabwall::daemon

#endif  // DAEMON_SRC_SHUTDOWN_H_
