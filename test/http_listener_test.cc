#include "edge/src/http_listener.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "free_port.h"
#include "transport/transport.h"

namespace baobabwall::edge {
namespace {

/// A listener and its callers on one event loop, which each test case runs step
/// by step.
class ListenerFixture {
 public:
  ListenerFixture()
      : port(test::FreePort()),
        listener(
            &io,
            {[this](ExchangeId exchange, HttpRequest request) {
               exchanges.push_back(exchange);
               targets.emplace_back(request.target());
             },
             [this](ExchangeId exchange) { disconnected.push_back(exchange); },
             [this](const RequestHead& head) { return CheckHead(head); }}) {
    REQUIRE(listener.Open({"127.0.0.1", static_cast<uint16_t>(port)}));
  }

  /// Runs the event loop until the condition holds or 400 steps have passed.
  template <typename Condition>
  bool RunUntil(Condition condition) {
    for (int i = 0; i < 400; ++i) {
      if (condition()) {
        return true;
      }
      io.restart();
      io.run_for(std::chrono::milliseconds(5));
    }
    return condition();
  }

  /// Runs the event loop for 100 ms, long enough for all data that is on its
  /// way.
  void RunBriefly() {
    io.restart();
    io.run_for(std::chrono::milliseconds(100));
  }

  std::unique_ptr<tcp::socket> Connect() {
    auto socket = std::make_unique<tcp::socket>(io);
    socket->connect(
        {asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(port)});
    return socket;
  }

  static void Write(tcp::socket* socket, const std::string& text) {
    asio::write(*socket, asio::buffer(text));
  }

  /// Reads until the text contains `expected` or the connection ends.
  std::string ReadUntil(tcp::socket* socket, const std::string& expected) {
    std::string text;
    bool is_done = false;
    std::vector<char> buffer(64 * 1024);
    std::function<void()> read = [&] {
      socket->async_read_some(
          asio::buffer(buffer),
          [&](boost::system::error_code error, size_t size) {
            const size_t overlap = std::min(text.size(), expected.size());
            const size_t search_begin = text.size() - overlap;
            text.append(buffer.data(), size);
            is_done =
                error || text.find(expected, search_begin) != std::string::npos;
            if (!is_done) {
              read();
            }
          });
    };
    read();
    RunUntil([&] { return is_done; });
    return text;
  }

  void Answer(ExchangeId exchange, const std::string& body) {
    HttpResponse answer(http::status::ok, 11);
    answer.body() = body;
    answer.prepare_payload();
    listener.Answer(exchange, std::move(answer));
  }

  /// Refuses targets that start with "/refused".
  std::optional<HttpResponse> CheckHead(const RequestHead& head) {
    checked_targets.emplace_back(head.target());
    if (!absl::StartsWith(checked_targets.back(), "/refused")) {
      return std::nullopt;
    }
    HttpResponse answer(http::status::unauthorized, 11);
    answer.prepare_payload();
    return answer;
  }

  asio::io_context io;
  int port;
  std::vector<ExchangeId> exchanges;
  std::vector<std::string> targets;
  std::vector<std::string> checked_targets;
  std::vector<ExchangeId> disconnected;
  HttpListener listener;
};

std::string Get(const std::string& target) {
  return absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: h\r\n\r\n");
}

// Guards against sending the answers of pipelined requests in the order in
// which they become ready.
TEST_CASE("pipelined requests run concurrently and are answered in order") {
  ListenerFixture fixture;
  const auto caller = fixture.Connect();
  ListenerFixture::Write(caller.get(), Get("/1") + Get("/2") + Get("/3"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 3; }));
  fixture.Answer(fixture.exchanges[2], "third");
  fixture.Answer(fixture.exchanges[1], "second");
  fixture.Answer(fixture.exchanges[0], "first");
  const std::string text = fixture.ReadUntil(caller.get(), "third");
  const size_t first = text.find("first");
  const size_t second = text.find("second");
  CHECK(first < second);
  CHECK(second < text.find("third"));
}

// Guards against continued work for a disconnected caller.
TEST_CASE("the disconnect of a caller with pipelined requests is detected") {
  ListenerFixture fixture;
  auto caller = fixture.Connect();
  ListenerFixture::Write(caller.get(), Get("/1") + Get("/2"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 2; }));
  caller->close();
  REQUIRE(fixture.RunUntil([&] { return fixture.disconnected.size() == 2; }));
  fixture.Answer(fixture.exchanges[0], "late");
  CHECK(fixture.RunUntil(
      [&] { return fixture.listener.connection_count() == 0; }));
}

// Guards against continued work for a disconnected caller whose request had
// "Connection: close".
TEST_CASE(
    "the disconnect of a caller that sent Connection: close is detected") {
  ListenerFixture fixture;
  auto caller = fixture.Connect();
  ListenerFixture::Write(
      caller.get(), "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  caller->close();
  CHECK(fixture.RunUntil([&] { return fixture.disconnected.size() == 1; }));
}

// Guards against a graceful shutdown that drops requests, or that does not
// announce the end of the connection to the callers.
TEST_CASE("a draining listener answers pending requests, then closes") {
  ListenerFixture fixture;
  const auto busy_caller = fixture.Connect();
  const auto idle_caller = fixture.Connect();
  ListenerFixture::Write(busy_caller.get(), Get("/1") + Get("/2"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 2; }));
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.listener.connection_count() == 2; }));
  fixture.listener.StartDraining();
  CHECK(fixture.ReadUntil(idle_caller.get(), "never").empty());
  fixture.Answer(fixture.exchanges[0], "first");
  fixture.Answer(fixture.exchanges[1], "second");
  const std::string text = fixture.ReadUntil(busy_caller.get(), "second");
  CHECK(absl::StrContains(text, "first"));
  CHECK(absl::StrContains(text, "Connection: close"));
  CHECK(text.find("Connection: close") > text.find("first"));

  const auto new_caller = fixture.Connect();
  ListenerFixture::Write(new_caller.get(), Get("/3"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 3; }));
  fixture.Answer(fixture.exchanges[2], "third");
  CHECK(absl::StrContains(fixture.ReadUntil(new_caller.get(), "third"),
                          "Connection: close"));
}

// Guards against a graceful shutdown that drops requests that callers have
// already sent: on new connections, on idle connections, and on connections
// with a partly received request.
TEST_CASE(
    "a draining listener answers requests that callers have already sent") {
  ListenerFixture fixture;
  const auto new_caller = fixture.Connect();
  const auto idle_caller = fixture.Connect();
  const auto partial_caller = fixture.Connect();
  ListenerFixture::Write(idle_caller.get(), Get("/kept"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  fixture.Answer(fixture.exchanges[0], "kept-once");
  fixture.ReadUntil(idle_caller.get(), "kept-once");
  ListenerFixture::Write(partial_caller.get(), "GET /begun HTTP/1.1\r\nHo");
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.listener.connection_count() == 3; }));
  fixture.RunUntil([] { return false; });
  fixture.listener.StartDraining();
  fixture.RunUntil([] { return false; });
  ListenerFixture::Write(new_caller.get(), Get("/opened"));
  ListenerFixture::Write(idle_caller.get(), Get("/kept"));
  ListenerFixture::Write(partial_caller.get(), "st: h\r\n\r\n");
  CHECK(fixture.RunUntil([&] { return fixture.exchanges.size() == 4; }));
  for (const ExchangeId exchange : fixture.exchanges) {
    fixture.Answer(exchange, "last");
  }
  for (tcp::socket* caller :
       {new_caller.get(), idle_caller.get(), partial_caller.get()}) {
    CHECK(absl::StrContains(fixture.ReadUntil(caller, "last"),
                            "Connection: close"));
  }
}

// Guards against a graceful shutdown that runs a request whose caller gets no
// answer, because the connection is closed after the answer before it.
TEST_CASE("a request behind an answer that closes the connection is not read") {
  ListenerFixture fixture;
  const auto caller = fixture.Connect();
  ListenerFixture::Write(caller.get(), Get("/1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  fixture.listener.StartDraining();
  // Larger than the buffers of both sockets, so that the next request arrives
  // while the answer is being written.
  const std::string large_body(32 * 1024 * 1024, 'x');
  fixture.Answer(fixture.exchanges[0], large_body + "end");
  fixture.RunBriefly();
  ListenerFixture::Write(caller.get(), Get("/2"));
  fixture.RunBriefly();
  CHECK(fixture.exchanges.size() == 1);
  const std::string text = fixture.ReadUntil(caller.get(), "never");
  CHECK(absl::StrContains(text, "Connection: close"));
  CHECK(absl::StrContains(text, "xend"));
  CHECK(fixture.disconnected.empty());
}

// Guards against a graceful shutdown that leaves a request unanswered although
// it was read before the end of the connection was announced.
TEST_CASE("a request that arrives before the last answer is answered too") {
  ListenerFixture fixture;
  const auto caller = fixture.Connect();
  ListenerFixture::Write(caller.get(), Get("/1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  fixture.listener.StartDraining();
  ListenerFixture::Write(caller.get(), Get("/2"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 2; }));
  fixture.Answer(fixture.exchanges[0], "first");
  fixture.Answer(fixture.exchanges[1], "second");
  const std::string text = fixture.ReadUntil(caller.get(), "never");
  CHECK(absl::StrContains(text, "first"));
  CHECK(text.find("Connection: close") > text.find("first"));
  CHECK(absl::StrContains(text, "second"));
}

// Guards against a graceful shutdown that waits for callers without a request,
// or that closes a new connection before its first request arrives.
TEST_CASE(
    "CloseIdleConnections closes idle connections of a draining listener") {
  ListenerFixture fixture;
  const auto idle_caller = fixture.Connect();
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.listener.connection_count() == 1; }));
  fixture.listener.StartDraining();
  const absl::Time now = transport::SteadyNow();
  fixture.listener.CloseIdleConnections(now);
  fixture.RunUntil([] { return false; });
  CHECK(fixture.listener.connection_count() == 1);
  fixture.listener.CloseIdleConnections(
      now + HttpListener::kFirstRequestTimeout + absl::Milliseconds(1));
  CHECK(fixture.ReadUntil(idle_caller.get(), "never").empty());
  idle_caller->close();
  CHECK(fixture.RunUntil(
      [&] { return fixture.listener.connection_count() == 0; }));
}

// Guards against parsing the body of a rejected request as the next request.
TEST_CASE("an invalid request is rejected and its connection is closed") {
  ListenerFixture fixture;
  gateway::RequestLimits limits;
  limits.header_bytes = 512;
  limits.body_bytes = 10;
  fixture.listener.SetLimits(limits);
  const auto status_line = [&](const std::string& bytes) {
    const auto caller = fixture.Connect();
    ListenerFixture::Write(caller.get(), bytes);
    return fixture.ReadUntil(caller.get(), "never").substr(0, 12);
  };
  CHECK(status_line("no http at all\r\n\r\n") == "HTTP/1.1 400");
  CHECK(status_line(absl::StrCat("GET / HTTP/1.1\r\nX: ", std::string(600, 'x'),
                                 "\r\n\r\n")) == "HTTP/1.1 431");
  CHECK(status_line(absl::StrCat(
            "POST / HTTP/1.1\r\nContent-Length: 20\r\n\r\n", Get("/evil"))) ==
        "HTTP/1.1 413");
  CHECK(fixture.exchanges.empty());
}

// Guards against callers that occupy a connection with an incomplete request
// header, and against closing idle connections before the idle timeout.
TEST_CASE(
    "a slow request header is rejected with 408 before the idle timeout") {
  ListenerFixture fixture;
  const auto slow_caller = fixture.Connect();
  const auto idle_caller = fixture.Connect();
  ListenerFixture::Write(slow_caller.get(), "GET /1 HTTP/1.1\r\nHo");
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.listener.connection_count() == 2; }));
  fixture.RunUntil([] { return false; });
  const absl::Time now = transport::SteadyNow();
  fixture.listener.OnTick(now);
  fixture.listener.OnTick(now + absl::Seconds(3.1));
  CHECK(fixture.ReadUntil(slow_caller.get(), "408").substr(0, 12) ==
        "HTTP/1.1 408");
  CHECK(fixture.listener.connection_count() >= 1);
  fixture.listener.OnTick(now + absl::Seconds(12));
  fixture.RunUntil([] { return false; });
  CHECK(fixture.listener.connection_count() >= 1);
  fixture.listener.OnTick(now + absl::Seconds(17));
  CHECK(fixture.ReadUntil(idle_caller.get(), "never").empty());
}

// Guards against running a request that was already rejected as too slow: 408
// promises that it never runs.
TEST_CASE("a request that was rejected with 408 never runs") {
  ListenerFixture fixture;
  const auto caller = fixture.Connect();
  ListenerFixture::Write(caller.get(),
                         Get("/pipelined") + "GET /slow HTTP/1.1\r\nHo");
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  fixture.RunBriefly();
  const absl::Time now = transport::SteadyNow();
  fixture.listener.OnTick(now);
  fixture.listener.OnTick(now + absl::Seconds(3.1));
  fixture.listener.OnTick(now + absl::Seconds(3.6));
  ListenerFixture::Write(caller.get(), "st: h\r\n\r\n");
  fixture.RunBriefly();
  CHECK(fixture.targets == std::vector<std::string>{"/pipelined"});
  fixture.Answer(fixture.exchanges[0], "first");
  const std::string text = fixture.ReadUntil(caller.get(), "never");
  CHECK(text.find("HTTP/1.1 408") > text.find("first"));
  CHECK(absl::StrContains(text, "HTTP/1.1 408"));
  CHECK(text.find("HTTP/1.1 408") == text.rfind("HTTP/1.1 408"));
}

std::string Post(const std::string& target, const std::string& body) {
  return absl::StrCat("POST ", target,
                      " HTTP/1.1\r\nContent-Length: ", body.size(), "\r\n\r\n",
                      body);
}

std::string PostChunked(const std::string& target,
                        const std::vector<std::string>& chunks) {
  std::string text = absl::StrCat("POST ", target,
                                  " HTTP/1.1\r\nTransfer-Encoding: chunked"
                                  "\r\n\r\n");
  for (const std::string& chunk : chunks) {
    absl::StrAppend(&text, absl::Hex(chunk.size()), "\r\n", chunk, "\r\n");
  }
  return text + "0\r\n\r\n";
}

// Guards against a refusal that is sent only after the body was read, that is
// sent out of order, or whose body is taken for the next request.
TEST_CASE("a request refused by its head leaves the connection usable") {
  ListenerFixture fixture;
  const auto caller = fixture.Connect();
  const std::string body(200 * 1024, 'x');
  ListenerFixture::Write(caller.get(), Post("/1", "small"));
  ListenerFixture::Write(caller.get(), Post("/refused/2", Get("/evil") + body));
  ListenerFixture::Write(caller.get(),
                         PostChunked("/refused/3", {Get("/evil"), body}));
  ListenerFixture::Write(caller.get(), Get("/refused/4") + Get("/5"));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 2; }));
  CHECK(fixture.targets == std::vector<std::string>{"/1", "/5"});
  CHECK(fixture.checked_targets ==
        std::vector<std::string>{"/1", "/refused/2", "/refused/3", "/refused/4",
                                 "/5"});
  fixture.Answer(fixture.exchanges[1], "fifth");
  fixture.Answer(fixture.exchanges[0], "first");
  const std::string text = fixture.ReadUntil(caller.get(), "fifth");
  CHECK(text.find("first") < text.find("HTTP/1.1 401"));
  CHECK(text.rfind("HTTP/1.1 401") < text.find("fifth"));
  CHECK(!absl::StrContains(text, "Connection: close"));
}

// Guards against waiting for a body that a refused caller has not sent yet, and
// against reading a large refused body without end.
TEST_CASE("a refused large body is not read, and the refusal arrives") {
  ListenerFixture fixture;
  const auto announced = fixture.Connect();
  ListenerFixture::Write(
      announced.get(),
      "POST /refused HTTP/1.1\r\nContent-Length: 1000000\r\n\r\npart");
  std::string text = fixture.ReadUntil(announced.get(), "never");
  CHECK(absl::StartsWith(text, "HTTP/1.1 401"));
  CHECK(absl::StrContains(text, "Connection: close"));

  const auto chunked = fixture.Connect();
  ListenerFixture::Write(
      chunked.get(), PostChunked("/refused", {std::string(300 * 1024, 'x')}));
  ListenerFixture::Write(chunked.get(), Get("/behind"));
  text = fixture.ReadUntil(chunked.get(), "never");
  CHECK(absl::StartsWith(text, "HTTP/1.1 401"));
  CHECK(text.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(fixture.targets.empty());
}

// Guards against a caller that waits for an interim answer until it gives up,
// and against taking the body behind a refusal for a request.
TEST_CASE("an expected interim answer is sent only to accepted requests") {
  ListenerFixture fixture;
  const auto accepted = fixture.Connect();
  const std::string head =
      " HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n";
  ListenerFixture::Write(accepted.get(), "POST /1" + head);
  CHECK(fixture.ReadUntil(accepted.get(), "\r\n\r\n") ==
        "HTTP/1.1 100 Continue\r\n\r\n");
  ListenerFixture::Write(accepted.get(), "body");
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  fixture.Answer(fixture.exchanges[0], "done");
  CHECK(absl::StartsWith(fixture.ReadUntil(accepted.get(), "done"),
                         "HTTP/1.1 200"));

  const auto refused = fixture.Connect();
  ListenerFixture::Write(refused.get(), "POST /refused" + head);
  const std::string text = fixture.ReadUntil(refused.get(), "never");
  CHECK(absl::StartsWith(text, "HTTP/1.1 401"));
  CHECK(absl::StrContains(text, "Connection: close"));
}

}  // namespace
}  // namespace baobabwall::edge
