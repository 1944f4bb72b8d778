#include "edge/src/incoming.h"

#include <boost/asio/buffer.hpp>

namespace baobabwall::edge {

Incoming PeekIncoming(tcp::socket* socket) {
  char byte = 0;
  boost::system::error_code error;
  socket->non_blocking(true, error);
  const size_t count =
      socket->receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (error == asio::error::would_block) {
    return Incoming::kNothing;
  }
  return count > 0 ? Incoming::kBytes : Incoming::kEnd;
}

}  // namespace baobabwall::edge
