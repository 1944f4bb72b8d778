#ifndef EDGE_SRC_INCOMING_H_
#define EDGE_SRC_INCOMING_H_

#include "edge/src/http_message.h"

namespace baobabwall::edge {

/// \brief State of the receive buffer of a connection.
enum class IncomingData {
  kNoData,
  kData,
  kClosed,  ///< The peer closed or reset the connection.
};

/// \brief Checks a socket for received data without blocking and without
/// consuming the data.
IncomingData PeekIncomingData(tcp::socket* socket);

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_INCOMING_H_
