#include <catch2/catch.hpp>
#include <sstream>

#include "absl/time/clock.h"
#include "ctl/ctl.h"
#include "daemon/daemon.h"
#include "free_port.h"
#include "nlohmann/json.hpp"

namespace baobabwall::daemon {
namespace {

using transport::HttpServer;

// Guards against a failure at any step between the write of an operator, the
// lookup and the answer of a backend server.
TEST_CASE("a request goes end to end") {
  const int caller_port = test::FreePort();
  const int operator_port = test::FreePort();
  const int backend_port = test::FreePort();
  const auto backend =
      HttpServer::Builder()
          .Address("127.0.0.1", backend_port)
          .Handle("/",
                  [](auto* exchange) {
                    exchange->Answer(
                        200, {}, "rooms at " + std::string(exchange->path()));
                  })
          .Start();
  REQUIRE(backend != nullptr);
  transport::EmbeddedStore store;
  Traffic traffic(steer::Engine::Builder().Build());
  ControlLoop::Hooks hooks;
  hooks.read_list = [] {};
  hooks.send_peer = [](const control::SendPeer&) {};
  hooks.probe = [](const control::ProbeBackendServer&) {};
  hooks.shutdown_ready = [] {};
  control::Identity identity;
  identity.id = {"amba-a-1", absl::ToUnixMillis(absl::Now())};
  identity.zone = "amba-a";
  identity.region = "amba";
  identity.address = "127.0.0.1";
  identity.caller_port = caller_port;
  ControlLoop control(identity, 1, &store, &traffic, std::move(hooks));
  control.Start();
  CallerService callers(&traffic, "peer");
  OperatorService operators(&control, "secret");
  const auto caller_server =
      HttpServer::Builder()
          .Address("127.0.0.1", caller_port)
          .Handle(kLookupPrefix, [&](auto* e) { callers.Lookup(e); })
          .Handle(kRequestPrefix, [&](auto* e) { callers.Request(e); })
          .Start();
  const auto operator_server =
      HttpServer::Builder()
          .Address("127.0.0.1", operator_port)
          .Handle("/v1/", [&](auto* e) { operators.Handle(e); })
          .Start();
  REQUIRE(caller_server != nullptr);
  REQUIRE(operator_server != nullptr);

  ctl::OperatorClient client("127.0.0.1", operator_port, "secret");
  std::string batch = R"({"operationId": "t", "changes": [
    {"kind": "Region", "name": "amba", "spec": {"declaredRate": 100}},
    {"kind": "Zone", "name": "amba-a", "spec": {"region": "amba"}},
    {"kind": "Service", "name": "disponible",
     "spec": {"tenant": "cantaloma", "class": "interactive"}},
    {"kind": "BackendServer", "name": "d1", "spec": {
      "service": "disponible", "zone": "amba-a", "address": "127.0.0.1",
      "port": PORT, "slots": 5}}]})";
  batch.replace(batch.find("PORT"), 4, std::to_string(backend_port));
  transport::HttpAnswer answer;
  REQUIRE(client.Call("POST", "/v1/batch", batch, &answer));
  CAPTURE(answer.body);
  REQUIRE(answer.status == 200);
  REQUIRE(client.Call("GET", "/v1/watch?since=0", "", &answer));
  CHECK(nlohmann::json::parse(answer.body)["revision"] == 1);

  transport::ConnectionPool pool(1);
  REQUIRE(transport::Fetch(&pool, "127.0.0.1", caller_port, "GET",
                           "/lookup/disponible?client=10.0.0.1", {}, "",
                           absl::Seconds(5), &answer));
  CAPTURE(answer.body);
  const auto lookup = nlohmann::json::parse(answer.body);
  REQUIRE(lookup["entries"].size() == 1);
  const int port = lookup["entries"][0]["port"];
  // The slots are usable once the allotment table contains them, some 100 ms
  // after the configuration is in force. Until then requests are refused as not
  // run, and a caller resends them.
  for (int i = 0; i < 50; ++i) {
    REQUIRE(transport::Fetch(&pool, "127.0.0.1", port, "GET",
                             "/s/disponible/rooms", {}, "", absl::Seconds(5),
                             &answer));
    if (answer.status != 503) {
      break;
    }
    absl::SleepFor(absl::Milliseconds(100));
  }
  CHECK(answer.status == 200);
  CHECK(answer.body == "rooms at /rooms");
  bool says_run = false;
  for (const auto& [name, value] : answer.headers) {
    says_run = says_run || (name == "X-Request-Outcome" && value == "run");
  }
  CHECK(says_run);
}

}  // namespace
}  // namespace baobabwall::daemon
