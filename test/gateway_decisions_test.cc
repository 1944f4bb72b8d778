#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <set>

#include "absl/strings/str_cat.h"
#include "gateway/gateway.h"
#include "instance_records.h"

namespace baobabwall::gateway {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

Route RouteOf(absl::string_view name,
              absl::string_view prefix,
              std::vector<WeightedService> services) {
  Route route;
  route.name = std::string(name);
  route.prefix = std::string(prefix);
  route.services = std::move(services);
  route.timeout = absl::Seconds(1);
  route.latency_objective = absl::Milliseconds(300);
  route.max_attempts = 2;
  return route;
}

std::vector<std::string> ChosenNames(const CallerPlace& caller,
                                     const std::vector<InstanceRecord>& live) {
  std::vector<std::string> names;
  for (const Endpoint& endpoint : Directory::Endpoints(caller, live)) {
    names.push_back(endpoint.address);
  }
  return names;
}

// Guards against a request that is matched by a shorter prefix, or by the route
// of another host.
TEST_CASE("the route with the longest matching prefix of the host is chosen") {
  RoutingConfig::Builder builder;
  builder.AddRoute("Shop.example", RouteOf("all", "/", {{"a", 1}}))
      .AddRoute("shop.example", RouteOf("rooms", "/rooms/", {{"b", 1}}))
      .AddRoute("shop.example", RouteOf("vip", "/rooms/vip/", {{"c", 1}}))
      .AddRoute("bar.example", RouteOf("bar", "/rooms/vip/x/", {{"d", 1}}));
  const auto config = builder.Build();
  const auto name = [&](absl::string_view host, absl::string_view path) {
    const Route* route = config->FindRoute(host, path);
    return route == nullptr ? std::string("none") : route->name;
  };
  CHECK(name("SHOP.example", "/rooms/vip/x/y") == "vip");
  CHECK(name("shop.example", "/rooms/vip") == "rooms");
  CHECK(name("shop.example", "/roomsvip/") == "all");
  CHECK(name("bar.example", "/rooms/") == "none");
  CHECK(name("other.example", "/") == "none");
}

// Guards against weights that are met only over many requests, or not at all.
TEST_CASE("a traffic split meets its weights in every short sequence") {
  TrafficSplit split;
  const Route route = RouteOf("r", "/", {{"a", 90}, {"b", 10}});
  int count_b = 0;
  for (int i = 0; i < 100; ++i) {
    count_b += split.Next(route) == "b" ? 1 : 0;
    CHECK(count_b >= i / 10 - 1);
    CHECK(count_b <= i / 10 + 1);
  }
  CHECK(count_b == 10);
}

// Guards against instances that together retry more often than the retry budget
// of the fleet allows.
TEST_CASE("the retries of all instances stay within the retry budget") {
  CHECK(rc::check([](const std::vector<uint8_t>& steps) {
    constexpr int kInstances = 5;
    const RetryBudgetBound bound{0.2, 50, absl::Seconds(10)};
    std::vector<RetryAllowance> fleet(kInstances);
    for (RetryAllowance& instance : fleet) {
      instance.SetBound(bound);
      instance.SetInstances(kInstances);
    }
    base::SlidingWindow requests(bound.window);
    base::SlidingWindow retries(bound.window);
    absl::Time now = kStart;
    for (const uint8_t step : steps) {
      now += absl::Milliseconds(step);
      RetryAllowance& instance = fleet[step % kInstances];
      if (step % 3 == 0) {
        instance.OnRequest("s", now);
        requests.Add(now, 1);
      }
      for (int i = 0; i < 3; ++i) {
        retries.Add(now, instance.TryRetry("s", now) ? 1 : 0);
      }
      RC_ASSERT(retries.Sum(now) <=
                bound.ratio * requests.Sum(now) + bound.extra);
    }
  }));
}

// Guards against a lookup that returns distant instances while near instances
// are live.
TEST_CASE("the directory returns the nearest instances") {
  const std::vector<InstanceRecord> live = {
      Instance("a1", "a-1", "a"), Instance("a2", "a-1", "a"),
      Instance("a3", "a-2", "a"), Instance("b1", "b-1", "b")};
  CHECK(ChosenNames({"a-1", "a"}, live) ==
        std::vector<std::string>{"a1", "a2"});
  CHECK(ChosenNames({"a-9", "a"}, live) ==
        std::vector<std::string>{"a1", "a2", "a3"});
  CHECK(ChosenNames({"c-1", "c"}, live).size() == 4);
  CHECK(ChosenNames({"a-1", "a"}, {}).empty());
}

// Guards against distributing callers over many small instances, each of which
// has an inaccurate view of the load of the other instances.
TEST_CASE("the directory prefers instances with a large CPU share") {
  std::vector<InstanceRecord> live;
  for (int i = 0; i < 10; ++i) {
    live.push_back(Instance("weak" + std::to_string(i), "a-1", "a", 0.1));
  }
  live.push_back(Instance("strong0", "a-1", "a", 0.5));
  live.push_back(Instance("strong1", "a-1", "a", 0.5));
  CHECK(ChosenNames({"a-1", "a"}, live) ==
        std::vector<std::string>{"strong0", "strong1"});
  live.pop_back();
  live.pop_back();
  CHECK(ChosenNames({"a-1", "a"}, live).size() == 10);
}

// Guards against a plan that sends requests away although they fit into their
// own region, or sends them to regions without spare capacity.
TEST_CASE("only the overflow of a region is sent to other regions") {
  using Loads = std::map<std::string, RegionLoad, std::less<>>;
  const auto no_overflow =
      RegionPlan::TargetShares(Loads{{"a", {5, 10}}, {"b", {5, 10}}}, "a");
  CHECK(no_overflow.at("a") == Approx(1));
  const auto overflow = RegionPlan::TargetShares(
      Loads{{"a", {18, 10}}, {"b", {1, 20}}, {"c", {20, 10}}}, "a");
  // 9 of 18 slots of demand fit into region a; a and c together overflow by 20,
  // and b has a spare capacity of 17.
  CHECK(overflow.at("a") == Approx(1 - 0.5 * 17 / 20));
  CHECK(overflow.at("b") == Approx(0.5 * 17 / 20));
  CHECK(overflow.at("c") == Approx(0));
  const auto no_spare =
      RegionPlan::TargetShares(Loads{{"a", {18, 10}}, {"b", {9, 10}}}, "a");
  CHECK(no_spare.at("a") == Approx(1));
}

// Guards against plans that move a large part of a region's requests in one
// update.
TEST_CASE("a plan changes in steps and moves few objects") {
  using Loads = std::map<std::string, RegionLoad, std::less<>>;
  RegionPlan plan("a");
  absl::Time now = kStart;
  plan.Update(Loads{{"a", {1, 10}}, {"b", {1, 20}}}, now);
  CHECK(plan.Share("a") == Approx(1));
  std::vector<std::string> before(1000, "a");
  for (int step = 0; step < 8; ++step) {
    now += absl::Milliseconds(500);
    plan.Update(Loads{{"a", {18, 10}}, {"b", {1, 20}}}, now);
    int moved = 0;
    for (size_t object = 0; object < before.size(); ++object) {
      const std::string& region =
          plan.RegionOf(base::StableHash("", object), {});
      moved += region != before[object] ? 1 : 0;
      before[object] = region;
    }
    CHECK(moved <= 60);
  }
  CHECK(plan.Share("b") == Approx(8 * RegionPlan::kMaxShareStep).margin(0.03));
}

// Guards against objects that move back and forth with the demand: each move
// costs a run on a server that has not cached the object.
TEST_CASE("a demand that rises and falls moves objects at most once") {
  RegionPlan plan("a");
  std::vector<std::string> region_of(1000);
  int moves = 0;
  for (int i = 0; i < 240; ++i) {
    const double demand = 8 + 4 * std::sin(i / 12.0);
    plan.Update({{"a", {demand, 10, 1}}, {"b", {8, 30, 1}}},
                kStart + absl::Milliseconds(500) * i);
    for (size_t object = 0; object < region_of.size(); ++object) {
      const std::string& region =
          plan.RegionOf(base::StableHash("", object), {});
      moves += !region_of[object].empty() && region != region_of[object];
      region_of[object] = region;
    }
  }
  CHECK(moves <= 300);
}

// Guards against a region with few servers that is overloaded at the start,
// while no server has cached any object and the demand is not measured yet.
TEST_CASE("a plan starts with the overflow that the capacities suggest") {
  RegionPlan plan("a");
  plan.Update({{"a", {0, 10, 1}}, {"b", {0, 45, 1}}, {"c", {0, 45, 1}}},
              kStart);
  CHECK(plan.Share("a") == Approx(0.54).margin(0.04));
  RegionPlan even("a");
  even.Update({{"a", {0, 30, 1}}, {"b", {0, 35, 1}}, {"c", {0, 35, 1}}},
              kStart);
  CHECK(even.Share("a") == Approx(1));
}

// Guards against requests that keep going to a region whose servers have all
// left.
TEST_CASE("a plan leaves a region without capacity at once") {
  RegionPlan plan("a");
  plan.Update({{"a", {8, 10}}, {"b", {8, 30}}}, kStart);
  CHECK(plan.Share("a") == Approx(1));
  plan.Update({{"a", {8, 0}}, {"b", {8, 30}}}, kStart + absl::Seconds(1));
  CHECK(plan.Share("b") == Approx(1));
}

// Guards against requests that are sent to a region that the configuration does
// not allow.
TEST_CASE("a plan uses only the allowed regions") {
  using Loads = std::map<std::string, RegionLoad, std::less<>>;
  RegionPlan plan("a");
  plan.Update(Loads{{"a", {40, 10}}, {"b", {1, 20}}, {"c", {1, 20}}}, kStart);
  for (uint64_t object = 0; object < 500; ++object) {
    const uint64_t hash = base::StableHash("", object);
    CHECK(plan.RegionOf(hash, {"c"}) == "c");
    CHECK(plan.RegionOf(hash, {"a", "c"}) != "b");
  }
}

// Guards against objects that prefer a server which may not take their
// requests: each of them would run on servers that have not cached it.
TEST_CASE("fewer objects prefer a server with a request limit") {
  ZoneMap zones({{"a-1", "a"}}, "a-1");
  Balancer balancer(&zones, "i");
  const std::vector<InstanceRecord> self = {Instance("i", "a-1", "a")};
  balancer.SetInstances(self);
  const Route route = RouteOf("r", "/", {{"s", 1}});
  RoutingConfig::Builder builder;
  builder.AddRoute("h", route);
  balancer.SetConfig(builder.Build());
  BackendSet set;
  for (const char* id : {"s1", "s2", "s3"}) {
    BackendServer server;
    server.id = id;
    server.service = "s";
    server.zone = "a-1";
    server.slots = 10;
    set.Add(server);
  }
  balancer.SetBackends(set);
  absl::Time now = kStart;
  const auto preferred = [&](int objects) {
    std::map<std::string, int> count;
    for (int i = 0; i < objects; ++i) {
      PlacementQuery query;
      query.route = &route;
      query.service = "s";
      query.object = base::StableHash("object", i);
      query.has_affinity = true;
      query.objective_deadline = now + absl::Milliseconds(300);
      const Placement placement = balancer.Choose(query, now);
      REQUIRE(placement.server != nullptr);
      ++count[placement.server->server().id];
      now += absl::Milliseconds(10);
    }
    return count;
  };
  const auto before = preferred(600);
  CHECK(before.at("s1") > 150);
  // The service uses all slots of the servers without a limit; the limit
  // suffices for a quarter of what they take.
  const double work_s =
      absl::ToDoubleSeconds(balancer.WorkTimeOf("s", route).warm);
  ServerLimits& limits = balancer.server_limits();
  limits.SetInstances(self, self, now);
  now += ServerLimits::kStartDelay;
  const uint32_t key =
      ServerLoad(std::make_shared<const BackendServer>(*set.Find("s1")))
          .limit_key();
  const double per_s = 0.25 * 10 / work_s;
  limits.OnNotices({{key, per_s, absl::ZeroDuration()}}, now);
  balancer.UpdatePlans({{"a", {{Balancer::HeartbeatKey("s"), 30}}}}, now);
  const auto limited = preferred(600);
  // One ninth of the objects: 0.25 of 2.25.
  CHECK(limited.at("s1") > 30);
  CHECK(limited.at("s1") < 110);
  CHECK(limited.at("s2") > 200);
  CHECK(limited.at("s3") > 200);
}

// Guards against cold servers that get more requests from all instances
// together than they tolerate.
TEST_CASE(
    "all instances together stay within the request rate of a cold server") {
  const std::map<std::string, std::string, std::less<>> regions = {
      {"a-1", "a"}, {"a-2", "a"}, {"b-1", "b"}};
  std::vector<InstanceRecord> records;
  for (int i = 0; i < 9; ++i) {
    const char* zones[] = {"a-1", "a-2", "b-1"};
    records.push_back(Instance("i" + std::to_string(i), zones[i % 3],
                               regions.at(zones[i % 3])));
  }
  RoutingConfig::Builder builder;
  builder.AddService({"s", "/health", 330, absl::Seconds(3), 7.9})
      .AddRoute("h", RouteOf("r", "/", {{"s", 1}}));
  const auto config = builder.Build();
  BackendSet set;
  BackendServer server;
  server.id = "cold";
  server.service = "s";
  server.zone = "a-1";
  server.slots = 1000;
  server.cold_until = kStart + absl::Seconds(3);
  set.Add(server);
  int sent = 0;
  for (const InstanceRecord& record : records) {
    ZoneMap zones(regions, record.zone);
    Balancer balancer(&zones, record.name);
    balancer.SetConfig(config);
    balancer.SetInstances(records);
    balancer.SetBackends(set);
    PlacementQuery query;
    query.route = config->FindRoute("h", "/");
    query.service = "s";
    query.objective_deadline = kStart + absl::Seconds(1);
    for (int i = 0; i < 100; ++i) {
      const Placement placement =
          balancer.Choose(query, kStart + absl::Milliseconds(i * 9));
      if (placement.server != nullptr) {
        placement.server->OnRequestStart(kStart + absl::Milliseconds(i * 9));
        ++sent;
      }
    }
  }
  CHECK(sent >= 2);
  CHECK(sent <= 8);
}

// Guards against new servers that get no requests: their first requests were
// assigned to instances to which the directory sends no callers.
TEST_CASE("instances that serve callers send requests to cold servers") {
  std::vector<InstanceRecord> records;
  for (int i = 0; i < 9; ++i) {
    records.push_back(
        Instance("i" + std::to_string(i), "a-1", "a", i < 2 ? 0.5 : 0.1));
  }
  const std::vector<std::string> chosen = ChosenNames({"a-1", "a"}, records);
  REQUIRE(chosen.size() == 2);
  RoutingConfig::Builder builder;
  builder.AddService({"s", "/health", 330, absl::Seconds(3), 8})
      .AddRoute("h", RouteOf("r", "/", {{"s", 1}}));
  const auto config = builder.Build();
  std::map<std::string, int> placements;
  for (const InstanceRecord& record : records) {
    ZoneMap zones({{"a-1", "a"}}, record.zone);
    Balancer balancer(&zones, record.name);
    balancer.SetConfig(config);
    balancer.SetInstances(records);
    for (int i = 0; i < 20; ++i) {
      BackendServer server;
      server.id = "cold-" + std::to_string(i);
      server.service = "s";
      server.zone = "a-1";
      server.slots = 4;
      server.cold_until = kStart + absl::Seconds(3);
      BackendSet set;
      set.Add(server);
      balancer.SetBackends(set);
      PlacementQuery query;
      query.route = config->FindRoute("h", "/");
      query.service = "s";
      query.objective_deadline = kStart + absl::Seconds(1);
      if (balancer.Choose(query, kStart).server != nullptr) {
        ++placements[record.name];
      }
    }
  }
  CHECK(placements == std::map<std::string, int>{{"i0", 20}, {"i1", 20}});
}

}  // namespace
}  // namespace baobabwall::gateway
