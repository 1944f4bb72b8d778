#include "edge/src/store_link.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "loopback_proxy.h"
#include "raw_server.h"

namespace baobabwall::edge {
namespace {

using control::StoreStatus;

constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// The path of the request is the kind of the call.
HttpRequest Encode(const control::StoreRequest& request) {
  const bool is_watch = std::holds_alternative<control::StoreWatch>(request);
  const bool is_write =
      std::holds_alternative<control::StoreCompareAndSwap>(request);
  HttpRequest encoded(http::verb::get,
                      is_watch   ? "/watch"
                      : is_write ? "/write"
                                 : "/read",
                      11);
  encoded.set(http::field::host, "store");
  return encoded;
}

control::StoreAnswer Decode(const control::StoreRequest&, const HttpResponse&) {
  control::StoreAnswer answer;
  answer.status = StoreStatus::kOk;
  return answer;
}

/// A StoreLink on an event loop that runs while a call is pending.
class LinkFixture {
 public:
  LinkFixture()
      : link(&io,
             {Encode, Decode},
             {absl::Seconds(5), absl::Seconds(5)},
             [this](const control::StoreAnswer& answer) {
               statuses.push_back(answer.status);
             }) {}

  StoreStatus Call(int port, control::StoreRequest request) {
    statuses.clear();
    link.Call({"127.0.0.1", static_cast<uint16_t>(port)},
              {1, std::move(request)});
    for (int i = 0; i < 2000 && statuses.empty(); ++i) {
      io.restart();
      io.run_for(std::chrono::milliseconds(5));
    }
    REQUIRE(statuses.size() == 1);
    return statuses.front();
  }

  asio::io_context io;
  std::vector<StoreStatus> statuses;
  StoreLink link;
};

/// Paths of the requests that a server received.
class ReceivedPaths {
 public:
  void Add(const std::string& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const size_t begin = request.find(' ') + 1;
    paths_.push_back(request.substr(begin, request.find(' ', begin) - begin));
  }
  int Count(const std::string& path) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<int>(std::count(paths_.begin(), paths_.end(), path));
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> paths_;
};

// Guards against an outage of the store that is only a kept connection that was
// reset while nobody used it.
TEST_CASE("a connection that was reset while idle is not used") {
  test::RawServer server([](int socket, const std::string&) {
    test::RawServer::Write(socket, kAnswer);
    return true;
  });
  test::LoopbackProxy proxy(server.port());
  LinkFixture fixture;
  CHECK(fixture.Call(proxy.port(), control::StoreRange{}) == StoreStatus::kOk);
  proxy.Reset();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  SECTION("read") {
    CHECK(fixture.Call(proxy.port(), control::StoreRange{}) ==
          StoreStatus::kOk);
  }
  SECTION("write") {
    CHECK(fixture.Call(proxy.port(), control::StoreCompareAndSwap{}) ==
          StoreStatus::kOk);
  }
}

// Guards against the same if the connection is reset at the moment of the call.
TEST_CASE("a read is sent again if its kept connection is lost") {
  ReceivedPaths received;
  test::RawServer server([&](int socket, const std::string& request) {
    received.Add(request);
    if (received.Count("/read") == 2 || received.Count("/write") == 1) {
      return false;
    }
    test::RawServer::Write(socket, kAnswer);
    return true;
  });
  LinkFixture fixture;
  CHECK(fixture.Call(server.port(), control::StoreRange{}) == StoreStatus::kOk);
  SECTION("read") {
    CHECK(fixture.Call(server.port(), control::StoreRange{}) ==
          StoreStatus::kOk);
    CHECK(received.Count("/read") == 3);
  }
  // Guards against a write that is executed twice.
  SECTION("write") {
    CHECK(fixture.Call(server.port(), control::StoreCompareAndSwap{}) ==
          StoreStatus::kUnknown);
    CHECK(received.Count("/write") == 1);
  }
}

// Guards against an outage of the store that is only a watch that was cut.
TEST_CASE("a watch that is cut while it waits is sent again") {
  ReceivedPaths received;
  test::RawServer server([&](int socket, const std::string& request) {
    received.Add(request);
    if (received.Count("/watch") <= 2) {
      std::this_thread::sleep_for(std::chrono::milliseconds(600));
      return false;
    }
    test::RawServer::Write(socket, kAnswer);
    return true;
  });
  LinkFixture fixture;
  CHECK(fixture.Call(server.port(),
                     control::StoreWatch{"", 1, absl::Seconds(20)}) ==
        StoreStatus::kOk);
  CHECK(received.Count("/watch") == 3);
}

// Guards against calls without end to a store that turns this caller away.
TEST_CASE("a call fails if a new connection is closed at once") {
  ReceivedPaths received;
  test::RawServer server([&](int, const std::string& request) {
    received.Add(request);
    return false;
  });
  LinkFixture fixture;
  CHECK(fixture.Call(server.port(), control::StoreRange{}) ==
        StoreStatus::kUnknown);
  CHECK(received.Count("/read") == 1);
}

}  // namespace
}  // namespace baobabwall::edge
