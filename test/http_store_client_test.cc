#include <rapidcheck/catch.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>

#include "free_port.h"
#include "mutate.h"
#include "transport/transport.h"

namespace baobabwall::transport {
namespace {

using control::StoreStatus;

constexpr char kValidAnswer[] =
    R"({"status":"ok","revision":7,"lease":0,"keyValues":[{"key":"config/log/1",)"
    R"("value":"eHg=","revision":5,"deleted":false}]})";

// HTTP server that answers every request with the handler of the test.
class FakeStoreService {
 public:
  explicit FakeStoreService(HttpServer::Handler handler)
      : port_(test::FreePort()),
        server_(HttpServer::Builder()
                    .Address("127.0.0.1", port_)
                    .IdleTimeout(absl::Milliseconds(100))
                    .Handle("/", std::move(handler))
                    .Start()) {}

  std::unique_ptr<HttpStoreClient> CreateClient(absl::Duration timeout) const {
    return HttpStoreClient::Builder()
        .Address("127.0.0.1", port_)
        .Timeout(timeout)
        .Build();
  }

 private:
  int port_;
  std::unique_ptr<HttpServer> server_;
};

control::StoreAnswer GetKey(HttpStoreClient* client) {
  std::promise<control::StoreAnswer> promise;
  client->Start(
      {42, control::StoreGet{"config/log/1"}},
      [&](control::StoreAnswer answer) { promise.set_value(answer); });
  return promise.get_future().get();
}

TEST_CASE("a store call returns the answer of the service") {
  const FakeStoreService service([](auto* exchange) {
    std::string body;
    exchange->ReadWholeBody(1000, &body);
    const bool is_expected = body == R"({"key":"config/log/1"})" &&
                             exchange->path() == "/v1/store/get";
    exchange->Answer(is_expected ? 200 : 400, {}, kValidAnswer);
  });
  const auto client = service.CreateClient(absl::Seconds(20));
  const control::StoreAnswer answer = GetKey(client.get());
  CHECK(answer.id == 42);
  CHECK(answer.status == StoreStatus::kOk);
  CHECK(answer.revision == 7);
  REQUIRE(answer.key_values.size() == 1);
  CHECK(answer.key_values[0].value == "xx");
}

// Guards against a write that is reported as accepted or refused although its
// answer was lost, malformed, an error, or too late.
TEST_CASE("a store call without a valid answer has the status unknown") {
  const auto handler = GENERATE(
      HttpServer::Handler([](auto* exchange) { exchange->CloseAfter(); }),
      HttpServer::Handler(
          [](auto* exchange) { exchange->Answer(200, {}, "{\"status\"}"); }),
      HttpServer::Handler(
          [](auto* exchange) { exchange->Answer(500, {}, kValidAnswer); }),
      HttpServer::Handler([](auto* exchange) {
        exchange->StartAnswer(200, {}, sizeof(kValidAnswer) + 10);
        exchange->WriteBody(kValidAnswer);
        exchange->CloseAfter();
      }),
      HttpServer::Handler([](auto* exchange) {
        exchange->StartAnswer(200, {}, kChunked);
        exchange->WriteBody(kValidAnswer);
        exchange->CloseAfter();
      }),
      HttpServer::Handler([](auto* exchange) {
        absl::SleepFor(absl::Milliseconds(400));
        exchange->Answer(200, {}, kValidAnswer);
      }));
  const FakeStoreService service(handler);
  const auto client = service.CreateClient(absl::Milliseconds(200));
  CHECK(GetKey(client.get()).status == StoreStatus::kUnknown);
}

// Guards against calls that never complete because no server listens, the call
// queue is full, or the client is destroyed.
TEST_CASE("each store call completes exactly once") {
  constexpr int call_count = 400;
  std::atomic<int> completed_count{0};
  std::atomic<int> unknown_count{0};
  {
    const auto client = HttpStoreClient::Builder()
                            .Address("127.0.0.1", test::FreePort())
                            .Build();
    for (int i = 0; i < call_count; ++i) {
      control::StoreRequest request = control::StoreGet{"a"};
      if (i % 2 == 0) {
        request = control::StoreWatch{"a", 0, absl::Seconds(30)};
      }
      client->Start({1, request}, [&](const control::StoreAnswer& answer) {
        ++completed_count;
        unknown_count += answer.status == StoreStatus::kUnknown ? 1 : 0;
      });
    }
  }
  CHECK(completed_count == call_count);
  CHECK(unknown_count == call_count);
}

// Guards against crashes on corrupted answers and against partially decoded
// values.
TEST_CASE("a corrupted store answer is rejected or decoded completely") {
  rc::prop("corrupted store answers", [] {
    base::Findings findings;
    const auto answer =
        DecodeStoreAnswer(test::Mutate(kValidAnswer), &findings);
    RC_ASSERT(answer.has_value() == findings.empty());
  });
  rc::prop("corrupted instance lists", [] {
    base::Findings findings;
    const auto list = DecodeInstanceList(
        test::Mutate(R"({"instances":[{"name":"a","zone":"z","region":"r",)"
                     R"("address":"127.0.0.1","callerPort":1,"peerPort":2,)"
                     R"("leaving":false}],"backendServers":[{"name":"b"}]})"),
        &findings);
    RC_ASSERT(list.has_value() == findings.empty());
  });
}

}  // namespace
}  // namespace baobabwall::transport
