#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "gateway_fleet.h"

namespace baobabwall::test {
namespace {

/// Time within which a change must be in force.
constexpr absl::Duration kApplyLimit = absl::Milliseconds(2500);
/// Time that an unstable store adds to it at most.
constexpr absl::Duration kOutageLimit = absl::Seconds(6);

CallerAnswer Get(int port, const std::string& target, const std::string& id) {
  return Call(port, "GET", target,
              {absl::StrCat("X-Request-Id: ", id), "X-Deadline-Ms: 2000"});
}

/// Two instances and two backend servers, whose store is restored.
class RestoreFixture {
 public:
  explicit RestoreFixture(const std::string& name) : fleet(name) {
    fleet.PutConfig(1);
    for (const char* server : {"i-1", "i-2"}) {
      fleet.platform().AddBackend(server, "s", "a-1", absl::Milliseconds(2));
    }
    for (const char* instance : {"one", "two"}) {
      fleet.Start(instance, "a-1");
      REQUIRE(fleet.WaitReady(instance));
    }
  }

  /// Writes keys that no instance uses until the store's revision has grown by
  /// the number.
  void RaiseRevision(int count) {
    for (int i = 0; i < count; ++i) {
      fleet.platform().Put("other/key", absl::StrCat(i));
    }
  }

  GatewayFleet fleet;
};

// Guards against changes that are never read: the store was restored, and its
// revision has passed the one that the instances had read before.
TEST_CASE("a change after a restore of the store is in force") {
  RestoreFixture fixture("restore-change");
  PlatformStandin& platform = fixture.fleet.platform();
  platform.SaveStore();
  fixture.RaiseRevision(20);
  // The instances read the last revision before the loss.
  absl::SleepFor(absl::Seconds(2));
  platform.SetStoreMode(StoreMode::kSilent);
  platform.RestoreStore();
  fixture.fleet.PutConfig(10);
  fixture.RaiseRevision(40);
  platform.SetStoreMode(StoreMode::kUp);
  const absl::Time returned = absl::Now();
  int sent = 0;
  for (const char* instance : {"one", "two"}) {
    const int port = fixture.fleet.caller_port(instance);
    CAPTURE(instance);
    CHECK(WaitFor(
        [&] {
          return Get(port, "/later/x", absl::StrCat("r", ++sent)).status == 200;
        },
        returned + kApplyLimit + kOutageLimit - absl::Now()));
  }
  CHECK(fixture.fleet.LogFindings().empty());
}

// Guards against running instances that lose each other, and against a watch at
// the store that nobody answers any more.
TEST_CASE("instances are registered again after a restore of the store") {
  RestoreFixture fixture("restore-records");
  PlatformStandin& platform = fixture.fleet.platform();
  platform.SetStoreMode(StoreMode::kSilent);
  // The copy is from before the instances were started.
  platform.RestoreStore();
  platform.SetStoreMode(StoreMode::kUp);
  fixture.fleet.PutConfig(10);
  // A new instance learns of the others only by their records.
  fixture.fleet.Start("three", "a-2");
  for (const char* instance : {"one", "two"}) {
    CHECK(WaitFor([&] {
      return absl::StrContains(
          fixture.fleet.Log("three"),
          absl::StrCat("peer: in use instance=", instance));
    }));
    CHECK(absl::StrContains(fixture.fleet.Log(instance), "store: restored"));
  }
  CHECK(fixture.fleet.LogFindings().empty());
}

}  // namespace
}  // namespace baobabwall::test
