#ifndef EDGE_SRC_SOCKET_OPTIONS_H_
#define EDGE_SRC_SOCKET_OPTIONS_H_

#include "absl/time/time.h"
#include "edge/src/http_message.h"

namespace baobabwall::edge {

/// Time within which sent bytes must be acknowledged.
constexpr absl::Duration kUserTimeout = absl::Seconds(3);

/// \brief Disables Nagle's algorithm and enables TCP keep-alive and a user
/// timeout, which close connections whose peer no longer responds.
/// \param user_timeout time after which a connection is closed whose sent bytes
/// are not acknowledged or not read.
void SetStreamOptions(tcp::socket* socket,
                      absl::Duration user_timeout = kUserTimeout);

/// \brief Bounds the memory that the kernel holds for the socket. The kernel
/// doubles both sizes.
void SetBufferSizes(tcp::socket* socket, int receive_bytes, int send_bytes);

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_SOCKET_OPTIONS_H_
