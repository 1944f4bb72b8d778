#include <catch2/catch.hpp>

#include "gateway_world.h"

namespace baobabwall::gateway {
namespace {

/// Returns three regions with two zones each. One region has an eighth of the
/// servers and a third of the callers.
/// \param load offered work of all callers relative to all slots, if no run
/// found a cached object.
WorldSettings UnevenRegions(double load) {
  WorldSettings settings;
  settings.zones = {
      {"a-1", "a", 2, 1, 0}, {"a-2", "a", 1, 1, 0}, {"b-1", "b", 2, 3, 0},
      {"b-2", "b", 1, 3, 0}, {"c-1", "c", 2, 4, 0}, {"c-2", "c", 1, 4, 0},
  };
  const int servers = 16;
  const double requests_per_s = load * servers * settings.slots /
                                absl::ToDoubleSeconds(settings.cold_work);
  for (WorldZone& zone : settings.zones) {
    zone.requests_per_s = requests_per_s / settings.zones.size();
  }
  return settings;
}

void Print(const char* pattern, const WorldResult& result) {
  WARN(pattern << ": asked=" << result.requests << " in_time="
               << result.InTimeShare() << " refused=" << result.RefusedShare()
               << " failed=" << result.failed
               << " warm=" << result.WarmShare());
}

// Guards against objects that move between servers: if most runs find a server
// that has not cached the object, the same load needs three times the slots.
TEST_CASE("pattern: offered work of 1.5 times the slots with cached objects") {
  GatewayWorld world(UnevenRegions(1.5));
  world.Run();
  const WorldResult result = world.total();
  Print("1.5 x slots", result);
  CHECK(result.WarmShare() >= 0.9);
  CHECK(result.InTimeShare() >= 0.85);
  CHECK(result.RefusedShare() <= 0.02);
}

// Guards against more late or refused requests in the region with few servers
// and many callers.
TEST_CASE("pattern: a region with 1/3 of the callers and 1/8 of the slots") {
  GatewayWorld world(UnevenRegions(1.0));
  world.Run();
  Print("uneven regions", world.total());
  for (const auto& [zone, result] : world.by_zone()) {
    INFO(zone);
    CHECK(result.InTimeShare() >= 0.85);
    CHECK(result.RefusedShare() <= 0.02);
  }
}

// Guards against objects that many servers have to cache: each first run of an
// object at a server takes three times as long. Before any object is cached,
// the servers of the small region are overloaded, and a demand that rises and
// falls must not move objects back and forth.
TEST_CASE("pattern: a cold start in regions of different size") {
  for (const double load : {0.6, 1.0}) {
    const WorldSettings settings = UnevenRegions(load);
    GatewayWorld world(settings);
    world.Run();
    const WorldResult result = world.total();
    Print("cold start", result);
    const int objects = 3 * settings.objects_per_region;
    const double servers_per_object =
        static_cast<double>(result.runs - result.warm_runs) / objects;
    INFO("servers per object: " << servers_per_object);
    CHECK(servers_per_object <= 1.2);
  }
}

// Guards against an urgent route with few requests that permanently reserves
// capacity of a busy, less urgent route.
TEST_CASE("pattern: a low rate of urgent requests beside a busy route") {
  GatewayWorld world(UnevenRegions(1.2));
  world.AddUrgentRequests(absl::Seconds(1));
  world.Run();
  const WorldResult result = world.total();
  Print("urgent trickle", result);
  CHECK(result.InTimeShare() >= 0.85);
  CHECK(result.RefusedShare() <= 0.02);
}

// Guards against refused requests while servers have free slots.
TEST_CASE("pattern: half of the load that the slots can serve") {
  GatewayWorld world(UnevenRegions(0.5));
  world.Run();
  const WorldResult result = world.total();
  Print("half load", result);
  CHECK(result.RefusedShare() <= 0.001);
  CHECK(result.InTimeShare() >= 0.9);
}

// Guards against requests that continue to be sent to a server that has become
// several times slower.
TEST_CASE("pattern: two of sixteen servers become slow") {
  GatewayWorld world(UnevenRegions(0.8));
  world.SlowServer(3, 6, absl::Seconds(6));
  world.SlowServer(9, 6, absl::Seconds(6));
  world.Run();
  const WorldResult result = world.total();
  Print("two slow servers", result);
  CHECK(result.InTimeShare() >= 0.8);
}

// Guards against a long drop in performance after servers leave and their
// objects have to be cached by other servers.
TEST_CASE("pattern: two of sixteen servers leave under load") {
  GatewayWorld world(UnevenRegions(1.0));
  world.StopServer(5, absl::Seconds(8));
  world.StopServer(12, absl::Seconds(8));
  world.Run();
  const WorldResult result = world.total();
  Print("two servers leave", result);
  CHECK(result.InTimeShare() >= 0.8);
  CHECK(result.RefusedShare() <= 0.05);
}

}  // namespace
}  // namespace baobabwall::gateway
