#include "edge/src/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "glog/logging.h"

namespace baobabwall::edge {
namespace internal {

/// A silent connection is probed after this time, that often, so many times.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;

/// Sent bytes that stay without acknowledgement for this long end a
/// connection.
constexpr int kUserTimeoutMs = 3000;

void Set(tcp::socket* socket, int level, int name, int value) {
  if (setsockopt(socket->native_handle(), level, name, &value, sizeof(value)) !=
      0) {
    LOG_FIRST_N(WARNING, 1)
        << "http: socket option refused level=" << level << " name=" << name;
  }
}

}  // namespace internal

void SetStreamOptions(tcp::socket* socket) {
  using internal::Set;
  Set(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  Set(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(socket, IPPROTO_TCP, TCP_KEEPIDLE, internal::kProbeIdleSeconds);
  Set(socket, IPPROTO_TCP, TCP_KEEPINTVL, internal::kProbeIntervalSeconds);
  Set(socket, IPPROTO_TCP, TCP_KEEPCNT, internal::kProbeCount);
  Set(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, internal::kUserTimeoutMs);
}

}  // namespace baobabwall::edge
