#include "edge/src/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "glog/logging.h"

namespace baobabwall::edge {
namespace internal {

/// TCP keep-alive: idle time before the first probe, time between probes, and
/// number of unanswered probes after which the connection is closed.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbeCount = 2;

/// A connection is closed if its sent bytes are not acknowledged within this
/// time.
constexpr int kUserTimeoutMs = 3000;

void SetOption(tcp::socket* socket, int level, int name, int value) {
  if (setsockopt(socket->native_handle(), level, name, &value, sizeof(value)) !=
      0) {
    LOG_FIRST_N(WARNING, 1)
        << "http: socket option refused level=" << level << " name=" << name;
  }
}

}  // namespace internal

void SetStreamOptions(tcp::socket* socket) {
  using internal::SetOption;
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, internal::kKeepAliveIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL,
            internal::kKeepAliveIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, internal::kKeepAliveProbeCount);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, internal::kUserTimeoutMs);
}

}  // namespace baobabwall::edge
