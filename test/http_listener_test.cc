#include "edge/src/http_listener.h"

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

/// A listener and callers on one event loop, driven step by step.
class Loop {
 public:
  Loop()
      : port(test::FreePort()),
        listener(&io,
                 {[this](ExchangeId exchange, HttpRequest request) {
                    exchanges.push_back(exchange);
                    targets.emplace_back(request.target());
                  },
                  [this](ExchangeId exchange) { gone.push_back(exchange); }}) {
    REQUIRE(listener.Open({"127.0.0.1", static_cast<uint16_t>(port)}));
  }

  /// Runs the loop until the condition holds or a bound is reached.
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

  std::unique_ptr<tcp::socket> Connect() {
    auto socket = std::make_unique<tcp::socket>(io);
    socket->connect(
        {asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(port)});
    return socket;
  }

  static void Write(tcp::socket* socket, const std::string& text) {
    asio::write(*socket, asio::buffer(text));
  }

  /// Reads until the text holds `part` or the connection ends.
  std::string ReadUntil(tcp::socket* socket, const std::string& part) {
    std::string text;
    bool is_ended = false;
    char buffer[4096];
    std::function<void()> read = [&] {
      socket->async_read_some(
          asio::buffer(buffer),
          [&](boost::system::error_code error, size_t size) {
            text.append(buffer, size);
            is_ended = static_cast<bool>(error);
            if (!is_ended && !absl::StrContains(text, part)) {
              read();
            }
          });
    };
    read();
    RunUntil([&] { return is_ended || absl::StrContains(text, part); });
    return text;
  }

  void Answer(ExchangeId exchange, const std::string& body) {
    HttpResponse answer(http::status::ok, 11);
    answer.body() = body;
    answer.prepare_payload();
    listener.Answer(exchange, std::move(answer));
  }

  asio::io_context io;
  int port;
  std::vector<ExchangeId> exchanges;
  std::vector<std::string> targets;
  std::vector<ExchangeId> gone;
  HttpListener listener;
};

std::string Get(const std::string& target) {
  return absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: h\r\n\r\n");
}

// Guards against answers that are sent in the order in which they are ready.
TEST_CASE("pipelined requests run side by side and are answered in order") {
  Loop loop;
  const auto caller = loop.Connect();
  Loop::Write(caller.get(), Get("/1") + Get("/2") + Get("/3"));
  REQUIRE(loop.RunUntil([&] { return loop.exchanges.size() == 3; }));
  loop.Answer(loop.exchanges[2], "third");
  loop.Answer(loop.exchanges[1], "second");
  loop.Answer(loop.exchanges[0], "first");
  const std::string text = loop.ReadUntil(caller.get(), "third");
  const size_t first = text.find("first");
  const size_t second = text.find("second");
  CHECK(first < second);
  CHECK(second < text.find("third"));
}

// Guards against work that goes on for a caller that has left.
TEST_CASE("the departure of a caller is seen, also behind pipelining") {
  Loop loop;
  auto caller = loop.Connect();
  Loop::Write(caller.get(), Get("/1") + Get("/2"));
  REQUIRE(loop.RunUntil([&] { return loop.exchanges.size() == 2; }));
  caller->close();
  REQUIRE(loop.RunUntil([&] { return loop.gone.size() == 2; }));
  loop.Answer(loop.exchanges[0], "late");
  CHECK(loop.RunUntil([&] { return loop.listener.connection_count() == 0; }));
}

// Guards against the same for a caller that announced its end with the request.
TEST_CASE("the departure of a caller that asked to close is seen") {
  Loop loop;
  auto caller = loop.Connect();
  Loop::Write(caller.get(),
              "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  REQUIRE(loop.RunUntil([&] { return loop.exchanges.size() == 1; }));
  caller->close();
  CHECK(loop.RunUntil([&] { return loop.gone.size() == 1; }));
}

// Guards against requests cut by a planned stop, and callers that are not told.
TEST_CASE("a leaving listener answers what it has read, then closes") {
  Loop loop;
  const auto busy = loop.Connect();
  const auto idle = loop.Connect();
  Loop::Write(busy.get(), Get("/1") + Get("/2"));
  REQUIRE(loop.RunUntil([&] { return loop.exchanges.size() == 2; }));
  REQUIRE(loop.RunUntil([&] { return loop.listener.connection_count() == 2; }));
  loop.listener.StartLeaving();
  CHECK(loop.ReadUntil(idle.get(), "never").empty());
  loop.Answer(loop.exchanges[0], "first");
  loop.Answer(loop.exchanges[1], "second");
  const std::string text = loop.ReadUntil(busy.get(), "second");
  CHECK(absl::StrContains(text, "first"));
  CHECK(absl::StrContains(text, "Connection: close"));
  CHECK(text.find("Connection: close") > text.find("first"));

  const auto late = loop.Connect();
  Loop::Write(late.get(), Get("/3"));
  REQUIRE(loop.RunUntil([&] { return loop.exchanges.size() == 3; }));
  loop.Answer(loop.exchanges[2], "third");
  CHECK(absl::StrContains(loop.ReadUntil(late.get(), "third"),
                          "Connection: close"));
}

// Guards against a planned stop that cuts requests on their way: on connections
// that were just opened, kept without a request, or half read.
TEST_CASE("a leaving listener answers requests that were on their way") {
  Loop loop;
  const auto opened = loop.Connect();
  const auto kept = loop.Connect();
  const auto begun = loop.Connect();
  Loop::Write(kept.get(), Get("/kept"));
  REQUIRE(loop.RunUntil([&] { return loop.exchanges.size() == 1; }));
  loop.Answer(loop.exchanges[0], "kept-once");
  loop.ReadUntil(kept.get(), "kept-once");
  Loop::Write(begun.get(), "GET /begun HTTP/1.1\r\nHo");
  REQUIRE(loop.RunUntil([&] { return loop.listener.connection_count() == 3; }));
  loop.RunUntil([] { return false; });
  loop.listener.StartLeaving();
  loop.RunUntil([] { return false; });
  Loop::Write(opened.get(), Get("/opened"));
  Loop::Write(kept.get(), Get("/kept"));
  Loop::Write(begun.get(), "st: h\r\n\r\n");
  CHECK(loop.RunUntil([&] { return loop.exchanges.size() == 4; }));
  for (const ExchangeId exchange : loop.exchanges) {
    loop.Answer(exchange, "last");
  }
  for (tcp::socket* caller : {opened.get(), kept.get(), begun.get()}) {
    CHECK(
        absl::StrContains(loop.ReadUntil(caller, "last"), "Connection: close"));
  }
}

// Guards against a planned stop that waits for callers without a request, or
// cuts one that has just connected.
TEST_CASE("a leaving listener closes idle connections when told to") {
  Loop loop;
  const auto idle = loop.Connect();
  REQUIRE(loop.RunUntil([&] { return loop.listener.connection_count() == 1; }));
  loop.listener.StartLeaving();
  const absl::Time now = transport::SteadyNow();
  loop.listener.CloseIdle(now);
  loop.RunUntil([] { return false; });
  CHECK(loop.listener.connection_count() == 1);
  loop.listener.CloseIdle(now + HttpListener::kFirstRequest +
                          absl::Milliseconds(1));
  CHECK(loop.ReadUntil(idle.get(), "never").empty());
  idle->close();
  CHECK(loop.RunUntil([&] { return loop.listener.connection_count() == 0; }));
}

// Guards against bytes of a request that was refused being taken for the next
// one.
TEST_CASE("what can't be read is refused and ends the connection") {
  Loop loop;
  gateway::RequestLimits limits;
  limits.header_bytes = 512;
  limits.body_bytes = 10;
  loop.listener.SetLimits(limits);
  const auto refusal = [&](const std::string& bytes) {
    const auto caller = loop.Connect();
    Loop::Write(caller.get(), bytes);
    return loop.ReadUntil(caller.get(), "never").substr(0, 12);
  };
  CHECK(refusal("no http at all\r\n\r\n") == "HTTP/1.1 400");
  CHECK(refusal(absl::StrCat("GET / HTTP/1.1\r\nX: ", std::string(600, 'x'),
                             "\r\n\r\n")) == "HTTP/1.1 431");
  CHECK(refusal(absl::StrCat("POST / HTTP/1.1\r\nContent-Length: 20\r\n\r\n",
                             Get("/evil"))) == "HTTP/1.1 413");
  CHECK(loop.exchanges.empty());
}

// Guards against callers that hold a connection with half a head, and against
// cutting idle ones too soon.
TEST_CASE("a head that takes too long ends with 408; an idle caller later") {
  Loop loop;
  const auto slow = loop.Connect();
  const auto idle = loop.Connect();
  Loop::Write(slow.get(), "GET /1 HTTP/1.1\r\nHo");
  REQUIRE(loop.RunUntil([&] { return loop.listener.connection_count() == 2; }));
  loop.RunUntil([] { return false; });
  const absl::Time now = transport::SteadyNow();
  loop.listener.OnTick(now);
  loop.listener.OnTick(now + absl::Seconds(3.1));
  CHECK(loop.ReadUntil(slow.get(), "408").substr(0, 12) == "HTTP/1.1 408");
  CHECK(loop.listener.connection_count() >= 1);
  loop.listener.OnTick(now + absl::Seconds(12));
  loop.RunUntil([] { return false; });
  CHECK(loop.listener.connection_count() >= 1);
  loop.listener.OnTick(now + absl::Seconds(17));
  CHECK(loop.ReadUntil(idle.get(), "never").empty());
}

}  // namespace
}  // namespace baobabwall::edge
