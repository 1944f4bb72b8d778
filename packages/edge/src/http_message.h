#ifndef EDGE_SRC_HTTP_MESSAGE_H_
#define EDGE_SRC_HTTP_MESSAGE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

#include "gateway/gateway.h"

namespace baobabwall::edge {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;
using RequestHead = http::request_header<>;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// \returns nullopt if the address is not an IP address.
template <typename Protocol>
std::optional<typename Protocol::endpoint> ToAsio(
    const gateway::Endpoint& endpoint) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (error) {
    return std::nullopt;
  }
  return typename Protocol::endpoint(address, endpoint.port);
}

/// \returns an answer without a body.
HttpResponse MakeEmptyAnswer(int status);

/// \brief Removes the hop-by-hop headers and the headers that the Connection
/// header names.
void RemoveConnectionHeaders(http::fields* headers);

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_HTTP_MESSAGE_H_
