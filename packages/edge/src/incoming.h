#ifndef EDGE_SRC_INCOMING_H_
#define EDGE_SRC_INCOMING_H_

#include "edge/src/http_message.h"

namespace baobabwall::edge {

/// \brief What the other side of a connection has sent.
enum class Incoming {
  kNothing,
  kBytes,
  kEnd,  ///< Its end of the stream, or a reset.
};

/// \brief Looks without waiting, and takes nothing.
Incoming PeekIncoming(tcp::socket* socket);

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_INCOMING_H_
