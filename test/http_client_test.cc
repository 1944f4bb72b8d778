#include "transport/src/http_client.h"

#include <catch2/catch.hpp>
#include <string>

#include "raw_server.h"

namespace baobabwall::transport {
namespace {

/// \returns whether a fetch succeeds if the server closes the connection after
/// these bytes.
bool FetchBytes(const std::string& bytes, HttpAnswer* answer) {
  test::RawServer server([&](int socket, const std::string&) {
    test::RawServer::Write(socket, bytes);
    return false;
  });
  ConnectionPool pool(4);
  return Fetch(&pool, "127.0.0.1", server.port(), "GET", "/x", {}, "",
               absl::Seconds(2), answer);
}

// Guards against an answer that is taken for complete although the server
// stopped within its header or its body.
TEST_CASE("an answer that is cut at any byte is not accepted") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Name: value\r\n";
  // A chunked body ends with its zero-sized chunk (RFC 9112, section 8); only
  // the end of the empty trailer follows.
  const std::string trailer = "\r\n";
  for (const std::string& rest : {std::string("Content-Length: 5\r\n\r\nhello"),
                                  "Transfer-Encoding: chunked\r\n\r\n"
                                  "2\r\nhe\r\n3\r\nllo\r\n0\r\n" +
                                      trailer}) {
    const std::string whole = head + rest;
    HttpAnswer answer;
    REQUIRE(FetchBytes(whole, &answer));
    CHECK(answer.body == "hello");
    const size_t end =
        whole.size() - (rest.back() == '\n' ? trailer.size() : 0);
    for (size_t length = 0; length < end; ++length) {
      CAPTURE(rest, length);
      CHECK_FALSE(FetchBytes(whole.substr(0, length), &answer));
    }
  }
}

}  // namespace
}  // namespace baobabwall::transport
