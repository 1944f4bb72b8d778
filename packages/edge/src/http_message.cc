#include "edge/src/http_message.h"

#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

namespace baobabwall::edge {

HttpResponse MakeEmptyAnswer(int status) {
  HttpResponse answer(http::int_to_status(status), 11);
  answer.prepare_payload();
  return answer;
}

void RemoveConnectionHeaders(http::fields* headers) {
  std::vector<std::string> connection_options;
  for (const auto& token :
       http::token_list((*headers)[http::field::connection])) {
    connection_options.emplace_back(token);
  }
  for (const std::string& option : connection_options) {
    headers->erase(option);
  }
  for (const http::field field :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_connection, http::field::te, http::field::trailer,
        http::field::transfer_encoding, http::field::upgrade}) {
    headers->erase(field);
  }
}

}  // namespace baobabwall::edge
