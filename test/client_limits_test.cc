#include <algorithm>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "edge/src/http_listener.h"
#include "free_port.h"
#include "transport/transport.h"

namespace baobabwall::edge {
namespace {

constexpr uint64_t kBudgetBytes = 4 * 1024 * 1024;
constexpr size_t kMegabyte = 1024 * 1024;

/// A listener with a small memory budget and its callers on one event loop.
class LimitsFixture {
 public:
  explicit LimitsFixture(size_t max_connections = 1000)
      : port(test::FreePort()),
        listener(&io,
                 {[this](ExchangeId exchange, HttpRequest request) {
                    exchanges.push_back(exchange);
                    targets.emplace_back(request.target());
                    body_sizes.push_back(request.body().size());
                  },
                  [](ExchangeId) {}}) {
    HttpListener::ClientLimits limits;
    limits.budget = &budget;
    limits.progress_timeout = absl::Seconds(10);
    limits.max_connections = max_connections;
    listener.SetClientLimits(limits);
    REQUIRE(listener.Open({"127.0.0.1", static_cast<uint16_t>(port)}));
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    for (int i = 0; i < 400 && !condition(); ++i) {
      io.restart();
      io.run_for(std::chrono::milliseconds(5));
    }
    return condition();
  }

  void RunBriefly() {
    io.restart();
    io.run_for(std::chrono::milliseconds(100));
  }

  std::shared_ptr<tcp::socket> Connect() {
    auto socket = std::make_shared<tcp::socket>(io);
    socket->connect(
        {asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(port)});
    return socket;
  }

  /// Sends in the background. The text is kept until it is sent.
  static void Send(const std::shared_ptr<tcp::socket>& socket,
                   std::string text) {
    auto kept = std::make_shared<std::string>(std::move(text));
    asio::async_write(*socket, asio::buffer(*kept),
                      [kept, socket](boost::system::error_code, size_t) {});
  }

  /// \returns what the caller receives within 100 ms.
  std::string Receive(tcp::socket* socket) {
    std::string text(64 * 1024, '\0');
    size_t received = 0;
    socket->async_read_some(
        asio::buffer(text),
        [&](boost::system::error_code, size_t size) { received = size; });
    RunBriefly();
    socket->cancel();
    RunBriefly();
    text.resize(received);
    return text;
  }

  uint64_t reserved_bytes() const {
    return budget.used(MemoryBudget::Part::kShared) +
           budget.used(MemoryBudget::Part::kSmallRequests) +
           budget.used(MemoryBudget::Part::kAnswers);
  }

  MemoryBudget budget{kBudgetBytes};
  asio::io_context io;
  int port;
  std::vector<ExchangeId> exchanges;
  std::vector<std::string> targets;
  std::vector<size_t> body_sizes;
  HttpListener listener;
};

std::string Post(const std::string& target, size_t announced, size_t sent) {
  return absl::StrCat("POST ", target,
                      " HTTP/1.1\r\nHost: h\r\nContent-Length: ", announced,
                      "\r\n\r\n", std::string(sent, 'x'));
}

// Guards against bodies that use up the memory of the process: reading pauses,
// then incomplete bodies are refused, and small requests run meanwhile.
TEST_CASE("large bodies that stop short of their end are refused") {
  LimitsFixture fixture;
  std::vector<std::shared_ptr<tcp::socket>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(fixture.Connect());
    LimitsFixture::Send(callers.back(),
                        Post("/large", kMegabyte, kMegabyte - 1));
  }
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.listener.paused_connection_count() > 0; }));
  fixture.RunBriefly();
  CHECK(fixture.budget.used(MemoryBudget::Part::kShared) <= kBudgetBytes);
  const auto small = fixture.Connect();
  LimitsFixture::Send(small, Post("/small", 1000, 1000));
  CHECK(fixture.RunUntil(
      [&] { return fixture.targets == std::vector<std::string>{"/small"}; }));

  fixture.listener.RelieveMemory(transport::SteadyNow() + absl::Seconds(1));
  CHECK(fixture.listener.shed_count(HttpListener::ShedCause::kMemory) > 0);
  fixture.RunBriefly();
  int refused = 0;
  for (const auto& caller : callers) {
    const std::string text = fixture.Receive(caller.get());
    refused += absl::StartsWith(text, "HTTP/1.1 503") ? 1 : 0;
  }
  CHECK(refused == static_cast<int>(fixture.listener.shed_count(
                       HttpListener::ShedCause::kMemory)));
  CHECK(fixture.targets == std::vector<std::string>{"/small"});
}

// Guards against memory that stays reserved after its caller disconnects.
TEST_CASE("a caller that disconnects returns its memory") {
  LimitsFixture fixture;
  std::vector<std::shared_ptr<tcp::socket>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(fixture.Connect());
    LimitsFixture::Send(callers.back(),
                        Post("/large", kMegabyte, kMegabyte - 1));
  }
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.listener.paused_connection_count() > 0; }));
  for (const auto& caller : callers) {
    caller->close();
  }
  CHECK(fixture.RunUntil([&] {
    fixture.listener.RelieveMemory(transport::SteadyNow());
    return fixture.listener.connection_count() == 0;
  }));
  CHECK(fixture.reserved_bytes() == 0);
}

// Guards against refusing a request that is within the limits while there is
// room, and against a reservation that ends before its request does.
TEST_CASE("a body that needs most of the budget is received") {
  LimitsFixture fixture;
  const auto caller = fixture.Connect();
  const size_t size = 2 * kMegabyte;
  LimitsFixture::Send(caller, Post("/large", size, size));
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  CHECK(fixture.body_sizes == std::vector<size_t>{size});
  CHECK(fixture.reserved_bytes() >= size);
  {
    const MemoryBudget::Reservation memory =
        fixture.listener.TakeReservation(fixture.exchanges[0]);
    CHECK(memory.bytes() >= size);
    fixture.listener.Answer(fixture.exchanges[0],
                            HttpResponse(http::status::ok, 11));
    CHECK(fixture.reserved_bytes() >= size);
  }
  CHECK(fixture.reserved_bytes() < size);
}

// Guards against memory that is reserved for announced bodies which never come.
TEST_CASE("an announced body reserves memory only as it arrives") {
  LimitsFixture fixture;
  std::vector<std::shared_ptr<tcp::socket>> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(fixture.Connect());
    LimitsFixture::Send(callers.back(), Post("/large", 60 * kMegabyte, 10));
  }
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.listener.connection_count() == 20; }));
  fixture.RunBriefly();
  CHECK(fixture.reserved_bytes() < 20 * 16 * 1024);
}

// Guards against a body and an answer that hold memory without progress.
TEST_CASE("a body and an answer without progress are ended") {
  LimitsFixture fixture;
  const auto slow_body = fixture.Connect();
  LimitsFixture::Send(slow_body, Post("/slow", 1000, 999));
  const auto slow_reader = fixture.Connect();
  LimitsFixture::Send(slow_reader, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  HttpResponse answer(http::status::ok, 11);
  answer.body() = std::string(16 * kMegabyte, 'x');
  answer.prepare_payload();
  fixture.listener.Answer(fixture.exchanges[0], std::move(answer));
  fixture.RunBriefly();
  const absl::Time now = transport::SteadyNow();
  fixture.listener.OnTick(now);
  fixture.listener.OnTick(now + absl::Seconds(9));
  CHECK(fixture.listener.connection_count() == 2);
  fixture.listener.OnTick(now + absl::Seconds(11));
  CHECK(fixture.listener.shed_count(HttpListener::ShedCause::kSlowBody) == 1);
  CHECK(fixture.listener.shed_count(HttpListener::ShedCause::kSlowReader) == 1);
  CHECK(absl::StartsWith(fixture.Receive(slow_body.get()), "HTTP/1.1 408"));
  CHECK(fixture.targets == std::vector<std::string>{"/1"});
}

// Guards against connections that use up the descriptors: the ones without a
// request give way, those with a request stay.
TEST_CASE("unused connections are closed before accepting pauses") {
  LimitsFixture fixture(3);
  const auto busy = fixture.Connect();
  LimitsFixture::Send(busy, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(fixture.RunUntil([&] { return fixture.exchanges.size() == 1; }));
  std::vector<std::shared_ptr<tcp::socket>> callers;
  for (int i = 0; i < 10; ++i) {
    callers.push_back(fixture.Connect());
    LimitsFixture::Send(callers.back(), "GET /head HTTP/1.1\r\nHo");
    fixture.RunBriefly();
  }
  CHECK(fixture.listener.connection_count() <= 3);
  CHECK(fixture.listener.shed_count(HttpListener::ShedCause::kConnections) > 0);
  HttpResponse answer(http::status::ok, 11);
  answer.prepare_payload();
  fixture.listener.Answer(fixture.exchanges[0], std::move(answer));
  CHECK(absl::StartsWith(fixture.Receive(busy.get()), "HTTP/1.1 200"));

  const auto latest = fixture.Connect();
  LimitsFixture::Send(latest, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(fixture.RunUntil([&] { return fixture.targets.size() == 2; }));
}

}  // namespace
}  // namespace baobabwall::edge
