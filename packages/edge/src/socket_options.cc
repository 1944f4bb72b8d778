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

void SetOption(tcp::socket* socket, int level, int name, int value) {
  if (setsockopt(socket->native_handle(), level, name, &value, sizeof(value)) !=
      0) {
    LOG_FIRST_N(WARNING, 1)
        << "http: socket option refused level=" << level << " name=" << name;
  }
}

}  // namespace internal

void SetStreamOptions(tcp::socket* socket, absl::Duration user_timeout) {
  using internal::SetOption;
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, internal::kKeepAliveIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL,
            internal::kKeepAliveIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, internal::kKeepAliveProbeCount);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(absl::ToInt64Milliseconds(user_timeout)));
}

void SetBufferSizes(tcp::socket* socket, int receive_bytes, int send_bytes) {
  internal::SetOption(socket, SOL_SOCKET, SO_RCVBUF, receive_bytes);
  internal::SetOption(socket, SOL_SOCKET, SO_SNDBUF, send_bytes);
}

}  // namespace baobabwall::edge
