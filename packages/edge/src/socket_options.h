#ifndef EDGE_SRC_SOCKET_OPTIONS_H_
#define EDGE_SRC_SOCKET_OPTIONS_H_

#include "edge/src/http_message.h"

namespace baobabwall::edge {

/// \brief No delay for small segments, and an end of connections whose other
/// side has fallen silent.
void SetStreamOptions(tcp::socket* socket);

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_SOCKET_OPTIONS_H_
