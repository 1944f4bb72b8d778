#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "daemon/daemon.h"
#include "free_port.h"

namespace baobabwall::daemon {
namespace {

using transport::HttpServer;

// Guards against an example that does not work or that books twice, since
// callers copy the example.
TEST_CASE("the example of docs/calling.md books once") {
  std::atomic<int> runs{0};
  const int backend_port = test::FreePort();
  const auto backend = HttpServer::Builder()
                           .Address("127.0.0.1", backend_port)
                           .Handle("/",
                                   [&](auto* exchange) {
                                     ++runs;
                                     exchange->Answer(200, {}, "room 4");
                                   })
                           .Start();
  transport::EmbeddedStore store;
  Traffic traffic(steer::Engine::Builder().Build());
  ControlLoop::Hooks hooks;
  hooks.read_list = [] {};
  hooks.send_peer = [](const auto&) {};
  hooks.probe = [](const auto&) {};
  hooks.shutdown_ready = [] {};
  const int caller_port = test::FreePort();
  control::Identity identity;
  identity.id = {"amba-a-1", absl::ToUnixMillis(absl::Now())};
  identity.zone = "amba-a";
  identity.region = "amba";
  identity.address = "127.0.0.1";
  identity.caller_port = caller_port;
  ControlLoop control(identity, 1, &store, &traffic, std::move(hooks));
  control.Start();
  CallerService callers(&traffic, "peer");
  const auto server =
      HttpServer::Builder()
          .Address("127.0.0.1", caller_port)
          .Handle(kLookupPrefix, [&](auto* e) { callers.Lookup(e); })
          .Handle(kRequestPrefix, [&](auto* e) { callers.Request(e); })
          .Start();
  REQUIRE(server != nullptr);
  base::Findings findings;
  const auto batch =
      model::DecodeBatch(absl::StrCat(R"({"operationId": "t", "changes": [
        {"kind": "Region", "name": "amba", "spec": {"declaredRate": 9}},
        {"kind": "Zone", "name": "amba-a", "spec": {"region": "amba"}},
        {"kind": "Service", "name": "reservas", "spec":
          {"tenant": "cantaloma", "class": "transactional"}},
        {"kind": "BackendServer", "name": "r1", "spec":
          {"service": "reservas", "zone": "amba-a", "address": "127.0.0.1",
           "slots": 3, "port": )",
                                      backend_port, "}}]}"),
                         &findings);
  REQUIRE(batch);
  const auto answer = control.Write(*batch, absl::Seconds(30));
  REQUIRE(answer);
  REQUIRE(answer->result == control::WriteAnswered::Result::kAccepted);
  // The slots are allotted shortly after the configuration is in force.
  const auto has_share = [&] {
    const auto snapshot = traffic.snapshot();
    return !snapshot->backends.empty() && snapshot->backends[0].slot_share > 0;
  };
  for (int i = 0; i < 600 && !has_share(); ++i) {
    absl::SleepFor(absl::Milliseconds(50));
  }
  REQUIRE(has_share());
  const std::string command =
      absl::StrCat(CALLING_EXAMPLE, " ", caller_port, " reservas");
  CHECK(std::system(command.c_str()) == 0);
  CHECK(runs == 1);
}

}  // namespace
}  // namespace baobabwall::daemon
