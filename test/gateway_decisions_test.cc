#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

#include "absl/strings/str_cat.h"
#include "gateway/gateway.h"

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

InstanceRecord Instance(absl::string_view name,
                        absl::string_view zone,
                        absl::string_view region,
                        double cpu_share = 1) {
  InstanceRecord record;
  record.name = std::string(name);
  record.zone = std::string(zone);
  record.region = std::string(region);
  record.callers = {std::string(name), 80};
  record.cpu_share = cpu_share;
  return record;
}

/// Of an instance that is ready.
Heartbeat HeartbeatOf(absl::string_view name,
                      int64_t incarnation,
                      uint64_t sequence) {
  Heartbeat heartbeat;
  heartbeat.instance = std::string(name);
  heartbeat.incarnation = incarnation;
  heartbeat.sequence = sequence;
  heartbeat.is_ready = true;
  return heartbeat;
}

std::vector<std::string> Named(const CallerPlace& caller,
                               const std::vector<InstanceRecord>& live) {
  std::vector<std::string> names;
  for (const Endpoint& endpoint : Directory::Name(caller, live)) {
    names.push_back(endpoint.address);
  }
  return names;
}

// Guards against a request that is handled by a shorter prefix, or by another
// host's route.
TEST_CASE("the longest prefix of the host wins") {
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

// Guards against weights that hold only in the long run, or not at all.
TEST_CASE("a split keeps its weights in every short span") {
  TrafficSplit split;
  const Route route = RouteOf("r", "/", {{"a", 90}, {"b", 10}});
  int of_b = 0;
  for (int i = 0; i < 100; ++i) {
    of_b += split.Next(route) == "b" ? 1 : 0;
    CHECK(of_b >= i / 10 - 1);
    CHECK(of_b <= i / 10 + 1);
  }
  CHECK(of_b == 10);
}

// Guards against a fleet whose instances together retry more than the bound.
TEST_CASE("the retries of all instances stay within the fleet's bound") {
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

// Guards against naming instances far from the caller while near ones live.
TEST_CASE("the directory names the nearest instances") {
  const std::vector<InstanceRecord> live = {
      Instance("a1", "a-1", "a"), Instance("a2", "a-1", "a"),
      Instance("a3", "a-2", "a"), Instance("b1", "b-1", "b")};
  CHECK(Named({"a-1", "a"}, live) == std::vector<std::string>{"a1", "a2"});
  CHECK(Named({"a-9", "a"}, live) ==
        std::vector<std::string>{"a1", "a2", "a3"});
  CHECK(Named({"c-1", "c"}, live).size() == 4);
  CHECK(Named({"a-1", "a"}, {}).empty());
}

// Guards against spreading callers over many weak instances, which know little
// of each other's load.
TEST_CASE("the directory names strong instances first, as far as they carry") {
  std::vector<InstanceRecord> live;
  for (int i = 0; i < 10; ++i) {
    live.push_back(Instance("weak" + std::to_string(i), "a-1", "a", 0.1));
  }
  live.push_back(Instance("strong0", "a-1", "a", 0.5));
  live.push_back(Instance("strong1", "a-1", "a", 0.5));
  CHECK(Named({"a-1", "a"}, live) ==
        std::vector<std::string>{"strong0", "strong1"});
  live.pop_back();
  live.pop_back();
  CHECK(Named({"a-1", "a"}, live).size() == 10);
}

// Guards against a plan that sends work away although it fits at home, or to
// regions without room.
TEST_CASE("a region's work leaves it only as far as it does not fit") {
  using Loads = std::map<std::string, RegionLoad, std::less<>>;
  const auto fits =
      RegionPlan::Target(Loads{{"a", {5, 10}}, {"b", {5, 10}}}, "a");
  CHECK(fits.at("a") == Approx(1));
  const auto half = RegionPlan::Target(
      Loads{{"a", {18, 10}}, {"b", {1, 20}}, {"c", {20, 10}}}, "a");
  // 9 of 18 fit at home; a and c together have 20 too much, b has room for 17.
  CHECK(half.at("a") == Approx(1 - 0.5 * 17 / 20));
  CHECK(half.at("b") == Approx(0.5 * 17 / 20));
  CHECK(half.at("c") == Approx(0));
  const auto nowhere =
      RegionPlan::Target(Loads{{"a", {18, 10}}, {"b", {9, 10}}}, "a");
  CHECK(nowhere.at("a") == Approx(1));
}

// Guards against plans that move much of a region's work at once.
TEST_CASE("a plan moves by steps and keeps most objects where they are") {
  using Loads = std::map<std::string, RegionLoad, std::less<>>;
  RegionPlan plan("a");
  plan.Update(Loads{{"a", {1, 10}}, {"b", {1, 20}}});
  CHECK(plan.Share("a") == Approx(1));
  std::vector<std::string> before(1000, "a");
  for (int step = 0; step < 8; ++step) {
    plan.Update(Loads{{"a", {18, 10}}, {"b", {1, 20}}});
    int moved = 0;
    for (size_t object = 0; object < before.size(); ++object) {
      const std::string& region =
          plan.RegionOf(base::StableHash("", object), {});
      moved += region != before[object] ? 1 : 0;
      before[object] = region;
    }
    CHECK(moved <= 60);
  }
  CHECK(plan.Share("b") == Approx(8 * RegionPlan::kStep).margin(0.03));
}

// Guards against work in a region that the operators don't allow.
TEST_CASE("a plan keeps to the allowed regions") {
  using Loads = std::map<std::string, RegionLoad, std::less<>>;
  RegionPlan plan("a");
  plan.Update(Loads{{"a", {40, 10}}, {"b", {1, 20}}, {"c", {1, 20}}});
  for (uint64_t object = 0; object < 500; ++object) {
    const uint64_t hash = base::StableHash("", object);
    CHECK(plan.RegionOf(hash, {"c"}) == "c");
    CHECK(plan.RegionOf(hash, {"a", "c"}) != "b");
  }
}

// Guards against the death of an instance that goes unnoticed, and against one
// lost datagram that counts as a death.
TEST_CASE("a peer lives while its heartbeats arrive") {
  PeerTable peers("self", "a-1", "a");
  InstanceRecord record = Instance("p", "a-1", "a");
  record.incarnation = 7;
  peers.SetRecords({record}, kStart);
  CHECK(peers.Live(kStart).size() == 1);
  CHECK(peers.Live(kStart + PeerTable::kFirstHeartbeat).empty());
  Heartbeat heartbeat = HeartbeatOf("p", 7, 5);
  heartbeat.loads = {{1, 3}};
  const absl::Time heard = kStart + absl::Seconds(5);
  CHECK(peers.OnHeartbeat(heartbeat, heard));
  CHECK_FALSE(peers.OnHeartbeat(heartbeat, heard));
  CHECK(peers.Loads(heard).at(1) == 3);
  CHECK(peers.Live(heard + absl::Seconds(1)).size() == 1);
  CHECK(peers.Live(heard + PeerTable::kSilence).empty());
  heartbeat.sequence = 6;
  heartbeat.is_leaving = true;
  CHECK(peers.OnHeartbeat(heartbeat, heard + absl::Seconds(2)));
  CHECK(peers.Live(heard + absl::Seconds(2)).empty());
  heartbeat.incarnation = 6;
  heartbeat.sequence = 9;
  CHECK_FALSE(peers.OnHeartbeat(heartbeat, heard + absl::Seconds(2)));
}

/// A fleet seen by "self" of zone a-1: three regions of two zones each, of
/// whose instances the first ones have requests.
class LargeFleet {
 public:
  LargeFleet(int instances, int active) : peers("self", "a-1", "a") {
    for (int i = 1; i < instances; ++i) {
      const std::string region(1, static_cast<char>('a' + i % 3));
      const std::string zone = absl::StrCat(region, "-", 1 + i / 3 % 2);
      records.push_back(Instance(absl::StrCat("p-", i), zone, region));
    }
    peers.SetRecords(records, kStart);
    for (int i = 1; i < instances; ++i) {
      Hear(i, i < active, kStart);
    }
  }

  void Hear(int i, bool is_active, absl::Time now) {
    Heartbeat heartbeat = HeartbeatOf(absl::StrCat("p-", i), 0, ++sequence_);
    heartbeat.is_active = is_active;
    peers.OnHeartbeat(heartbeat, now);
  }

  bool IsLive(int i, absl::Time now) const {
    const std::string name = absl::StrCat("p-", i);
    for (const InstanceRecord& record : peers.Live(now)) {
      if (record.name == name) {
        return true;
      }
    }
    return false;
  }

  /// \returns heartbeats a second that this instance sends.
  double Sent(bool is_active) {
    Heartbeat own;
    own.is_ready = true;
    own.is_active = is_active;
    const absl::Time begin = kStart + absl::Seconds(10);
    // The change of its own state is told to all.
    for (absl::Time now = kStart; now < begin; now += kStep) {
      peers.DueHeartbeats(own, now);
    }
    size_t count = 0;
    for (absl::Time now = begin; now < begin + absl::Seconds(kSeconds);
         now += kStep) {
      count += peers.DueHeartbeats(own, now).size();
    }
    return static_cast<double>(count) / kSeconds;
  }

  PeerTable peers;
  std::vector<InstanceRecord> records;

 private:
  static constexpr absl::Duration kStep = absl::Milliseconds(100);
  static constexpr int kSeconds = 30;

  uint64_t sequence_ = 0;
};

// Guards against heartbeats between all that take an instance's whole share of
// a core in a large fleet, and against slower news in a small one.
TEST_CASE("the heartbeats that an instance sends are bounded") {
  CHECK(LargeFleet(10, 0).Sent(false) == Approx(18).margin(1));
  CHECK(LargeFleet(87, 20).Sent(false) == Approx(172).margin(4));
  CHECK(LargeFleet(300, 75).Sent(false) < 50);
  CHECK(LargeFleet(800, 200).Sent(false) < 100);
  CHECK(LargeFleet(800, 200).Sent(true) < 1200);
}

// Guards against instances of other zones that count as gone because they are
// not heard, and against gone ones that count as there.
TEST_CASE("in a large fleet idle instances of other zones live by record") {
  LargeFleet f(300, 0);
  const int own_zone = 6;  // Of a-1.
  const int other = 3;     // Of a-2.
  const int speaker = 9;   // Of a-2, with requests.
  const absl::Time later = kStart + absl::Seconds(30);
  f.Hear(speaker, true, later);
  CHECK_FALSE(f.IsLive(own_zone, later));
  CHECK(f.IsLive(other, later));
  // With requests it is heard, so that its silence counts.
  f.Hear(other, true, later);
  CHECK(f.IsLive(other, later + absl::Seconds(1)));
  const absl::Time silent = later + f.peers.Silence();
  f.Hear(speaker, true, silent);
  CHECK_FALSE(f.IsLive(other, silent));
  f.Hear(other, false, silent);
  f.Hear(speaker, true, later + absl::Seconds(30));
  CHECK(f.IsLive(other, later + absl::Seconds(30)));
  // Its lease has ended.
  f.records.erase(f.records.begin() + other - 1);
  f.peers.SetRecords(f.records, later + absl::Seconds(30));
  CHECK_FALSE(f.IsLive(other, later + absl::Seconds(30)));
}

// Guards against naming the idle instances of a lost zone until their leases
// end: nobody there is heard any more.
TEST_CASE("in a large fleet a zone that nobody is heard of is gone") {
  LargeFleet f(300, 0);
  const int other = 3;    // Of a-2.
  const int speaker = 9;  // Of a-2.
  const absl::Time loss = kStart + absl::Seconds(30);
  f.Hear(speaker, true, loss);
  CHECK(f.IsLive(other, loss));
  CHECK(f.peers.Silence() < absl::Seconds(5));
  CHECK_FALSE(f.IsLive(other, loss + f.peers.Silence()));
}

// Guards against a change of state that other zones never hear of.
TEST_CASE("a change of state is told to all instances of a large fleet") {
  LargeFleet f(300, 0);
  Heartbeat own;
  own.is_ready = true;
  CHECK(f.peers.DueHeartbeats(own, kStart).size() == 299);
  const absl::Time later = kStart + absl::Seconds(10);
  CHECK(f.peers.DueHeartbeats(own, later).size() == 49);
  own.is_leaving = true;
  CHECK(f.peers.DueHeartbeats(own, later + absl::Seconds(2)).size() == 299);
  // A new instance hears at once who is there.
  f.records.push_back(Instance("new", "c-1", "c"));
  f.peers.SetRecords(f.records, later + absl::Seconds(20));
  const auto due = f.peers.DueHeartbeats(own, later + absl::Seconds(20));
  CHECK(due.size() == 50);
}

// Guards against naming an instance for longer than callers can bear after its
// death, whatever the size of the fleet.
TEST_CASE("the death of an instance is noticed in a fleet of any size") {
  for (const int size : {1, 80, 300, 800, 3000}) {
    PeerTable peers("self", "a-1", "a");
    std::vector<InstanceRecord> records;
    for (int i = 0; i < size; ++i) {
      records.push_back(Instance(absl::StrCat("p-", i), "z", "a"));
    }
    peers.SetRecords(records, kStart);
    CHECK(peers.Silence() >= PeerTable::kSilence);
    CHECK(peers.Silence() <= absl::Seconds(5));
  }
}

// Guards against an instance that is no longer named without a line that says
// so, and against a line at each heartbeat.
TEST_CASE("changes of the instances in use are told once") {
  PeerTable peers("self", "a-1", "a");
  InstanceRecord record = Instance("p", "a-1", "a");
  record.incarnation = 7;
  peers.SetRecords({record}, kStart);
  REQUIRE(peers.TakeChanges(kStart).size() == 1);
  CHECK(peers.TakeChanges(kStart).empty());
  Heartbeat heartbeat = HeartbeatOf("p", 7, 1);
  peers.OnHeartbeat(heartbeat, kStart);
  CHECK(peers.TakeChanges(kStart).empty());
  // It starts again and is announced before its silence was noticed.
  record.incarnation = 8;
  peers.SetRecords({record}, kStart);
  CHECK(peers.TakeChanges(kStart).empty());
  heartbeat.incarnation = 8;
  peers.OnHeartbeat(heartbeat, kStart);
  const absl::Time end = kStart + PeerTable::kSilence;
  const auto silent = peers.TakeChanges(end);
  REQUIRE(silent.size() == 1);
  CHECK(silent[0].instance == "p");
  CHECK_FALSE(silent[0].is_live);
  CHECK(silent[0].silence == PeerTable::kSilence);
  heartbeat.sequence = 2;
  peers.OnHeartbeat(heartbeat, end);
  CHECK(peers.TakeChanges(end).size() == 1);
  // Its record and its heartbeats end.
  peers.SetRecords({}, end + PeerTable::kSilence);
  REQUIRE(peers.TakeChanges(end + PeerTable::kSilence).size() == 1);
  CHECK(peers.TakeChanges(end + PeerTable::kSilence).empty());
}

// Guards against a peer that is forgotten because its record lapsed while the
// store was away, although it is heard.
TEST_CASE("a peer that is heard outlives its record") {
  PeerTable peers("self", "a-1", "a");
  const InstanceRecord record = Instance("p", "a-1", "a");
  peers.SetRecords({record}, kStart);
  peers.OnHeartbeat(HeartbeatOf("p", 0, 1), kStart);
  peers.SetRecords({}, kStart + absl::Seconds(1));
  CHECK(peers.Live(kStart + absl::Seconds(1)).size() == 1);
  peers.SetRecords({}, kStart + absl::Seconds(3));
  CHECK(peers.size() == 0);
}

// Guards against datagrams of others that are taken for heartbeats or crash
// the reader.
TEST_CASE("a heartbeat survives its codec; other bytes are refused") {
  Heartbeat heartbeat;
  heartbeat.instance = "edge-1";
  heartbeat.incarnation = 1'780'000'000'000;
  heartbeat.sequence = 12;
  heartbeat.is_ready = true;
  heartbeat.is_active = true;
  heartbeat.state_revision = 4;
  heartbeat.loads = {{0xffffffff, 3}, {7, 1}};
  heartbeat.demand = {{9, 4321}};
  const auto read = Heartbeat::Decode(heartbeat.Encode());
  REQUIRE(read.has_value());
  CHECK(read->instance == heartbeat.instance);
  CHECK(read->incarnation == heartbeat.incarnation);
  CHECK(read->loads == heartbeat.loads);
  CHECK(read->demand == heartbeat.demand);
  CHECK(read->is_ready);
  CHECK_FALSE(read->is_leaving);
  CHECK(rc::check([](const std::vector<uint8_t>& bytes) {
    Heartbeat::Decode(bytes);  // Must not throw.
  }));
  CHECK(rc::check([&](uint16_t at, uint8_t value) {
    std::vector<uint8_t> bytes = heartbeat.Encode();
    bytes[at % bytes.size()] = value;
    Heartbeat::Decode(bytes);
  }));
}

// Guards against cold servers that get more than they tolerate from all
// instances together.
TEST_CASE("all instances together spare a cold server") {
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
  set.servers.emplace(server.id, server);
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
    query.objective = kStart + absl::Seconds(1);
    for (int i = 0; i < 100; ++i) {
      const Placement placement =
          balancer.Choose(query, kStart + absl::Milliseconds(i * 9));
      if (placement.server != nullptr) {
        placement.server->OnStart(kStart + absl::Milliseconds(i * 9));
        ++sent;
      }
    }
  }
  CHECK(sent >= 2);
  CHECK(sent <= 8);
}

// Guards against servers that join and get nothing: their first requests were
// left to instances to which the directory sends no callers.
TEST_CASE("instances that carry callers warm up cold servers") {
  std::vector<InstanceRecord> records;
  for (int i = 0; i < 9; ++i) {
    records.push_back(
        Instance("i" + std::to_string(i), "a-1", "a", i < 2 ? 0.5 : 0.1));
  }
  const std::vector<std::string> named = Named({"a-1", "a"}, records);
  REQUIRE(named.size() == 2);
  RoutingConfig::Builder builder;
  builder.AddService({"s", "/health", 330, absl::Seconds(3), 8})
      .AddRoute("h", RouteOf("r", "/", {{"s", 1}}));
  const auto config = builder.Build();
  std::map<std::string, int> owners;
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
      set.servers.emplace(server.id, server);
      balancer.SetBackends(set);
      PlacementQuery query;
      query.route = config->FindRoute("h", "/");
      query.service = "s";
      query.objective = kStart + absl::Seconds(1);
      if (balancer.Choose(query, kStart).server != nullptr) {
        ++owners[record.name];
      }
    }
  }
  CHECK(owners == std::map<std::string, int>{{"i0", 20}, {"i1", 20}});
}

}  // namespace
}  // namespace baobabwall::gateway
