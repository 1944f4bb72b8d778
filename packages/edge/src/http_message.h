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
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// \returns none if the address is no IP number.
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
HttpResponse EmptyAnswer(int status);

/// \brief Removes the headers that concern one connection only, and those that
/// the connection's Connection header names.
void RemoveConnectionHeaders(http::fields* headers);

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_HTTP_MESSAGE_H_
