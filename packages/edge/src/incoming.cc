#include "edge/src/incoming.h"

#include <boost/asio/buffer.hpp>

namespace baobabwall::edge {

IncomingData PeekIncomingData(tcp::socket* socket) {
  char byte = 0;
  boost::system::error_code error;
  socket->non_blocking(true, error);
  const size_t size =
      socket->receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (error == asio::error::would_block) {
    return IncomingData::kNoData;
  }
  return size > 0 ? IncomingData::kData : IncomingData::kClosed;
}

}  // namespace baobabwall::edge
