#ifndef EDGE_SRC_SOCKET_OPTIONS_H_
#define EDGE_SRC_SOCKET_OPTIONS_H_

#include "edge/src/http_message.h"

namespace baobabwall::edge {

/// \brief Disables Nagle's algorithm and enables TCP keep-alive and a user
/// timeout, which close connections whose peer no longer responds.
void SetStreamOptions(tcp::socket* socket);

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_SOCKET_OPTIONS_H_
