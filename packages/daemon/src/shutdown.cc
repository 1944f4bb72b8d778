#include "daemon/src/shutdown.h"
#include "transport/transport.h"

#include <csignal>

namespace baobabwall::daemon {
namespace internal {

constexpr absl::Duration kPollInterval = absl::Milliseconds(20);

sigset_t TerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace internal

void BlockSignals() {
  const sigset_t signals = internal::TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForSignal() {
  const sigset_t signals = internal::TerminationSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

bool WaitUnlessInterrupted(const std::function<bool()>& condition,
                           absl::Time deadline) {
  const sigset_t signals = internal::TerminationSignals();
  const timespec poll_interval = absl::ToTimespec(internal::kPollInterval);
  while (!condition()) {
    if (transport::SteadyNow() >= deadline ||
        sigtimedwait(&signals, nullptr, &poll_interval) > 0) {
      return false;
    }
  }
  return true;
}

}  // namespace baobabwall::daemon
