#include "gateway/src/backend_registry.h"

#include <catch2/catch.hpp>

namespace baobabwall::gateway {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

BackendServer Server(absl::string_view id, int64_t incarnation = 1) {
  BackendServer server;
  server.id = std::string(id);
  server.service = "s";
  server.endpoint = {"10.0.0.1", 80};
  server.zone = "a-1";
  server.incarnation = incarnation;
  return server;
}

class Fixture {
 public:
  Fixture() {
    RoutingConfig::Builder builder;
    builder.AddService({"s", "/health", 330, absl::Seconds(3), 7.9});
    registry.OnConfig(builder.Build());
  }

  const BackendServer* Find(absl::string_view id) {
    set = registry.Publish();
    return set->Find(id);
  }

  std::vector<std::string> log;
  BackendRegistry registry{
      [this](const std::string& line) { log.push_back(line); }};
  std::shared_ptr<const BackendSet> set;
};

// Guards against requests to a server whose entry was removed without a drain.
TEST_CASE("a removed entry means that the server leaves") {
  Fixture f;
  f.registry.OnEntry(Server("x"), true, kStart);
  REQUIRE(f.Find("x") != nullptr);
  f.registry.OnRemoved("x", kStart + absl::Seconds(1));
  CHECK(f.Find("x") == nullptr);
}

// Guards against a change of the backend servers that is missing from the log.
TEST_CASE("each change of a server is logged once") {
  Fixture f;
  f.registry.OnEntry(Server("first"), true, kStart);
  CHECK(f.log.empty());
  f.registry.OnEntry(Server("x"), false, kStart);
  f.registry.OnEntry(Server("x"), false, kStart);
  BackendServer draining = Server("x");
  draining.is_draining = true;
  f.registry.OnEntry(draining, false, kStart);
  f.registry.OnEntry(draining, false, kStart);
  f.registry.OnRemoved("x", kStart);
  f.registry.OnStoreReachable(kStart + absl::Seconds(1));
  f.registry.OnRemoved("first", kStart + absl::Seconds(1.1));
  f.registry.OnTick(kStart + absl::Seconds(4));
  const std::vector<std::string> expected = {
      "registry: server added server=x service=s zone=a-1 slots=1 draining=0",
      "registry: server draining server=x service=s",
      "registry: server removed server=x service=s",
      "registry: server kept server=first store_returned_ms=100",
      "registry: server removed server=first service=s"};
  CHECK(f.log == expected);
}

// Guards against removing all servers because their leases expired while the
// store was unreachable, and against keeping servers that do not register
// again.
TEST_CASE(
    "entries that expire around an outage are kept for the grace period") {
  Fixture f;
  f.registry.OnEntry(Server("back"), true, kStart);
  f.registry.OnEntry(Server("gone"), true, kStart);
  f.registry.OnStoreReachable(kStart + absl::Seconds(10));
  const absl::Time expiry = kStart + absl::Seconds(10.1);
  f.registry.OnRemoved("back", expiry);
  f.registry.OnRemoved("gone", expiry);
  f.registry.OnTick(expiry);
  CHECK(f.Find("back") != nullptr);
  CHECK(f.Find("gone") != nullptr);
  f.registry.OnEntry(Server("back"), false, expiry + absl::Seconds(1));
  f.registry.OnTick(kStart + absl::Seconds(10) +
                    BackendRegistry::kOutageGracePeriod);
  CHECK(f.Find("back") != nullptr);
  CHECK(f.Find("gone") == nullptr);
}

// Guards against a draining server that gets requests again because of an
// outage.
TEST_CASE("the entry of a draining server is never kept") {
  Fixture f;
  BackendServer server = Server("x");
  server.is_draining = true;
  f.registry.OnEntry(server, true, kStart);
  f.registry.OnStoreReachable(kStart + absl::Seconds(1));
  f.registry.OnRemoved("x", kStart + absl::Seconds(1.1));
  CHECK(f.Find("x") == nullptr);
}

// Guards against a late write of an earlier incarnation that overwrites the
// current entry.
TEST_CASE("an older incarnation is ignored") {
  Fixture f;
  f.registry.OnEntry(Server("x", 5), true, kStart);
  BackendServer old = Server("x", 4);
  old.is_draining = true;
  f.registry.OnEntry(old, false, kStart);
  REQUIRE(f.Find("x") != nullptr);
  CHECK_FALSE(f.Find("x")->is_draining);
}

// Guards against full load on a server that has just started, and against
// treating all servers as cold when only this process has restarted.
TEST_CASE("only servers that start after the first complete read are cold") {
  Fixture f;
  f.registry.OnEntry(Server("old"), true, kStart);
  CHECK(f.Find("old")->cold_until <= kStart);
  f.registry.OnEntry(Server("new"), false, kStart);
  CHECK(f.Find("new")->cold_until == kStart + absl::Seconds(3));
  f.registry.OnEntry(Server("old", 2), false, kStart);
  CHECK(f.Find("old")->cold_until == kStart + absl::Seconds(3));
}

// Guards against full load on the idle servers of a zone when its evacuation
// ends.
TEST_CASE("a zone's servers are cold after an evacuation") {
  Fixture f;
  f.registry.OnEntry(Server("x"), true, kStart);
  f.registry.OnEvacuation("a-1", true, kStart);
  f.Find("x");
  CHECK(f.set->evacuated_zones.count("a-1") == 1);
  f.registry.OnEvacuations({}, kStart + absl::Seconds(9));
  CHECK(f.Find("x")->cold_until == kStart + absl::Seconds(12));
  CHECK(f.set->evacuated_zones.empty());
}

// Guards against servers that stay registered although a complete read does not
// return them.
TEST_CASE("a complete read removes the servers that it does not return") {
  Fixture f;
  f.registry.OnEntry(Server("x"), true, kStart);
  f.registry.OnEntry(Server("y"), true, kStart);
  f.registry.OnCompleteRead({"y"}, kStart + absl::Seconds(5));
  CHECK(f.Find("x") == nullptr);
  CHECK(f.Find("y") != nullptr);
}

}  // namespace
}  // namespace baobabwall::gateway
