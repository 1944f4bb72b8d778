#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cmath>
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

/// Returns a heartbeat of an instance that is ready.
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

// Guards against a failed instance that is not detected, and against an
// instance that counts as failed after one lost datagram.
TEST_CASE("a peer is live while its heartbeats arrive") {
  PeerTable peers("self", "a-1", "a");
  InstanceRecord record = Instance("p", "a-1", "a");
  record.incarnation = 7;
  peers.SetRecords({record}, kStart);
  CHECK(peers.Live(kStart).size() == 1);
  CHECK(peers.Live(kStart + PeerTable::kMinFirstHeartbeatTimeout).empty());
  Heartbeat heartbeat = HeartbeatOf("p", 7, 5);
  heartbeat.loads = {{1, 3}};
  const absl::Time received_at = kStart + absl::Seconds(5);
  CHECK(peers.OnHeartbeat(heartbeat, received_at));
  CHECK_FALSE(peers.OnHeartbeat(heartbeat, received_at));
  CHECK(peers.Loads(received_at).at(1) == 3);
  CHECK(peers.Live(received_at + absl::Seconds(1)).size() == 1);
  CHECK(peers.Live(received_at + PeerTable::kMinHeartbeatTimeout).empty());
  heartbeat.sequence = 6;
  heartbeat.is_leaving = true;
  CHECK(peers.OnHeartbeat(heartbeat, received_at + absl::Seconds(2)));
  CHECK(peers.Live(received_at + absl::Seconds(2)).empty());
  heartbeat.incarnation = 6;
  heartbeat.sequence = 9;
  CHECK_FALSE(peers.OnHeartbeat(heartbeat, received_at + absl::Seconds(2)));
}

/// A fleet of three regions with two zones each, as seen by instance "self" of
/// zone a-1. The first `active` instances have requests.
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
      ReceiveHeartbeat(i, i < active, kStart);
    }
  }

  void ReceiveHeartbeat(int i, bool is_active, absl::Time now) {
    Heartbeat heartbeat = HeartbeatOf(absl::StrCat("p-", i), 0, ++sequence_);
    heartbeat.is_active = is_active;
    peers.OnHeartbeat(heartbeat, now);
  }

  /// Delivers a heartbeat of each idle instance of zone a-1.
  void ReceiveOwnZoneHeartbeats(absl::Time now) {
    for (size_t i = 1; i <= records.size(); ++i) {
      if (records[i - 1].zone == "a-1") {
        ReceiveHeartbeat(static_cast<int>(i), false, now);
      }
    }
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

  /// \returns the number of heartbeats per second that this instance sends.
  double HeartbeatsPerSecond(bool is_active) {
    Heartbeat own;
    own.is_ready = true;
    own.is_active = is_active;
    const absl::Time begin = kStart + absl::Seconds(10);
    // Skips the time in which the state change of this instance is sent to all
    // instances.
    for (absl::Time now = kStart; now < begin; now += kStep) {
      peers.DueHeartbeats(own, now);
    }
    size_t count = 0;
    for (absl::Time now = begin; now < begin + absl::Seconds(kSeconds);
         now += kStep) {
      ReceiveOwnZoneHeartbeats(now);
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

// Guards against heartbeats that use the whole CPU share of an instance in a
// large fleet, and against less frequent heartbeats in a small fleet.
TEST_CASE("the heartbeat rate of an instance is bounded") {
  CHECK(LargeFleet(10, 0).HeartbeatsPerSecond(false) == Approx(18).margin(1));
  CHECK(LargeFleet(87, 20).HeartbeatsPerSecond(false) == Approx(172).margin(4));
  CHECK(LargeFleet(300, 75).HeartbeatsPerSecond(false) < 50);
  CHECK(LargeFleet(800, 200).HeartbeatsPerSecond(false) < 100);
  CHECK(LargeFleet(800, 200).HeartbeatsPerSecond(true) < 1200);
}

// Guards against live instances of other zones that count as failed because
// they send no heartbeats to this zone, and against failed instances that count
// as live.
TEST_CASE(
    "in a large fleet a record keeps idle instances of other zones live") {
  LargeFleet f(300, 0);
  const int own_zone_peer = 6;    // In zone a-1.
  const int other_zone_peer = 3;  // In zone a-2.
  const int active_peer = 9;      // In zone a-2, with requests.
  const absl::Time later = kStart + absl::Seconds(30);
  f.ReceiveHeartbeat(active_peer, true, later);
  CHECK_FALSE(f.IsLive(own_zone_peer, later));
  CHECK(f.IsLive(other_zone_peer, later));
  // With requests the instance sends heartbeats to all zones, so a timeout
  // counts.
  f.ReceiveHeartbeat(other_zone_peer, true, later);
  CHECK(f.IsLive(other_zone_peer, later + absl::Seconds(1)));
  const absl::Time timed_out = later + f.peers.HeartbeatTimeout();
  f.ReceiveHeartbeat(active_peer, true, timed_out);
  CHECK_FALSE(f.IsLive(other_zone_peer, timed_out));
  f.ReceiveHeartbeat(other_zone_peer, false, timed_out);
  f.ReceiveHeartbeat(active_peer, true, later + absl::Seconds(30));
  CHECK(f.IsLive(other_zone_peer, later + absl::Seconds(30)));
  // The lease of the instance has expired.
  f.records.erase(f.records.begin() + other_zone_peer - 1);
  f.peers.SetRecords(f.records, later + absl::Seconds(30));
  CHECK_FALSE(f.IsLive(other_zone_peer, later + absl::Seconds(30)));
}

// Guards against a lookup that returns the idle instances of a failed zone
// until their leases expire: no heartbeats from that zone arrive any more.
TEST_CASE("in a large fleet a zone without any heartbeats counts as failed") {
  LargeFleet f(300, 0);
  const int other_zone_peer = 3;  // In zone a-2.
  const int active_peer = 9;      // In zone a-2.
  const absl::Time failed_at = kStart + absl::Seconds(30);
  f.ReceiveHeartbeat(active_peer, true, failed_at);
  CHECK(f.IsLive(other_zone_peer, failed_at));
  CHECK(f.peers.HeartbeatTimeout() < absl::Seconds(5));
  CHECK_FALSE(
      f.IsLive(other_zone_peer, failed_at + f.peers.HeartbeatTimeout()));
}

// Guards against a state change that is not sent to other zones.
TEST_CASE("a state change is sent to all instances of a large fleet") {
  LargeFleet f(300, 0);
  Heartbeat own;
  own.is_ready = true;
  CHECK(f.peers.DueHeartbeats(own, kStart).size() == 299);
  const absl::Time later = kStart + absl::Seconds(10);
  f.ReceiveOwnZoneHeartbeats(later);
  CHECK(f.peers.DueHeartbeats(own, later).size() == 49);
  own.is_leaving = true;
  CHECK(f.peers.DueHeartbeats(own, later + absl::Seconds(2)).size() == 299);
  // A new instance gets a heartbeat immediately.
  f.records.push_back(Instance("new", "c-1", "c"));
  f.peers.SetRecords(f.records, later + absl::Seconds(20));
  f.ReceiveOwnZoneHeartbeats(later + absl::Seconds(20));
  const auto due = f.peers.DueHeartbeats(own, later + absl::Seconds(20));
  CHECK(due.size() == 50);
}

// Guards against a fleet whose zones without requests are taken for failed: at
// 295 instances, each of them dropped all instances of the other zones shortly
// after the start, and divided the retry budget by the rest.
TEST_CASE("idle zones of a large fleet stay live by their representatives") {
  constexpr int zone_count = 9;
  constexpr int instance_count = 270;
  std::vector<InstanceRecord> records;
  for (int i = 0; i < instance_count; ++i) {
    const std::string zone = absl::StrCat("z-", i % zone_count);
    records.push_back(Instance(absl::StrCat("p-", i), zone, "a"));
  }
  std::vector<PeerTable> tables;
  for (const InstanceRecord& record : records) {
    tables.emplace_back(record.name, record.zone, record.region);
    tables.back().SetRecords(records, kStart);
  }
  std::map<std::string, size_t> index_by_address;
  for (size_t i = 0; i < records.size(); ++i) {
    index_by_address[records[i].callers.address] = i;
  }
  const absl::Time end = kStart + absl::Seconds(30);
  size_t late_messages = 0;
  uint64_t sequence = 0;
  for (absl::Time now = kStart; now < end; now += absl::Milliseconds(100)) {
    ++sequence;
    for (size_t i = 0; i < tables.size(); ++i) {
      Heartbeat heartbeat = HeartbeatOf(records[i].name, 0, sequence);
      for (const auto& receiver : tables[i].DueHeartbeats(heartbeat, now)) {
        tables[index_by_address.at(receiver.endpoint.address)].OnHeartbeat(
            heartbeat, now);
        late_messages += now >= end - absl::Seconds(10) ? 1 : 0;
      }
    }
  }
  for (const PeerTable& table : tables) {
    CHECK(table.Live(end).size() == instance_count - 1);
  }
  // Each instance receives less than 100 heartbeats per second.
  CHECK(late_messages < 100 * instance_count * 10);
}

// Guards against a lookup that returns a failed instance for longer than
// callers tolerate, whatever the size of the fleet.
TEST_CASE("the heartbeat timeout is bounded in a fleet of any size") {
  for (const int size : {1, 80, 300, 800, 3000}) {
    PeerTable peers("self", "a-1", "a");
    std::vector<InstanceRecord> records;
    for (int i = 0; i < size; ++i) {
      records.push_back(Instance(absl::StrCat("p-", i), "z", "a"));
    }
    peers.SetRecords(records, kStart);
    CHECK(peers.HeartbeatTimeout() >= PeerTable::kMinHeartbeatTimeout);
    CHECK(peers.HeartbeatTimeout() <= absl::Seconds(5));
  }
}

// Guards against an instance that is no longer returned by the lookup without a
// log line, and against a log line for each heartbeat.
TEST_CASE("each change of a live instance is reported once") {
  PeerTable peers("self", "a-1", "a");
  InstanceRecord record = Instance("p", "a-1", "a");
  record.incarnation = 7;
  peers.SetRecords({record}, kStart);
  REQUIRE(peers.TakeChanges(kStart).size() == 1);
  CHECK(peers.TakeChanges(kStart).empty());
  Heartbeat heartbeat = HeartbeatOf("p", 7, 1);
  peers.OnHeartbeat(heartbeat, kStart);
  CHECK(peers.TakeChanges(kStart).empty());
  // The instance restarts and announces itself before its heartbeats time out.
  record.incarnation = 8;
  peers.SetRecords({record}, kStart);
  CHECK(peers.TakeChanges(kStart).empty());
  heartbeat.incarnation = 8;
  peers.OnHeartbeat(heartbeat, kStart);
  const absl::Time end = kStart + PeerTable::kMinHeartbeatTimeout;
  const auto timed_out = peers.TakeChanges(end);
  REQUIRE(timed_out.size() == 1);
  CHECK(timed_out[0].instance == "p");
  CHECK_FALSE(timed_out[0].is_live);
  CHECK(timed_out[0].silence == PeerTable::kMinHeartbeatTimeout);
  heartbeat.sequence = 2;
  peers.OnHeartbeat(heartbeat, end);
  CHECK(peers.TakeChanges(end).size() == 1);
  // The record is removed and the heartbeats time out.
  peers.SetRecords({}, end + PeerTable::kMinHeartbeatTimeout);
  REQUIRE(peers.TakeChanges(end + PeerTable::kMinHeartbeatTimeout).size() == 1);
  CHECK(peers.TakeChanges(end + PeerTable::kMinHeartbeatTimeout).empty());
}

// Guards against an instance that was suspended and then takes all others for
// failed, because it has not heard them meanwhile.
TEST_CASE("a pause of this process does not count as silence of the peers") {
  PeerTable peers("self", "a-1", "a");
  const InstanceRecord record = Instance("p", "a-1", "a");
  peers.SetRecords({record}, kStart);
  peers.OnHeartbeat(HeartbeatOf("p", 0, 1), kStart);
  peers.TakeChanges(kStart);
  const absl::Duration pause = absl::Seconds(7);
  peers.OnPause(pause);
  CHECK(peers.TakeChanges(kStart + pause).empty());
  CHECK(peers.Live(kStart + pause).size() == 1);
  CHECK(peers.Live(kStart + pause + PeerTable::kMinHeartbeatTimeout).empty());
}

// Guards against a peer that is removed because its record expired while the
// store was unreachable, although its heartbeats still arrive.
TEST_CASE("a peer whose heartbeats arrive is kept without its record") {
  PeerTable peers("self", "a-1", "a");
  const InstanceRecord record = Instance("p", "a-1", "a");
  peers.SetRecords({record}, kStart);
  peers.OnHeartbeat(HeartbeatOf("p", 0, 1), kStart);
  peers.SetRecords({}, kStart + absl::Seconds(1));
  CHECK(peers.Live(kStart + absl::Seconds(1)).size() == 1);
  peers.SetRecords({}, kStart + absl::Seconds(3));
  CHECK(peers.size() == 0);
}

// Guards against foreign datagrams that are accepted as heartbeats or crash the
// decoder.
TEST_CASE("a heartbeat is decoded as encoded; other bytes are rejected") {
  Heartbeat heartbeat;
  heartbeat.instance = "edge-1";
  heartbeat.incarnation = 1'780'000'000'000;
  heartbeat.sequence = 12;
  heartbeat.is_ready = true;
  heartbeat.is_active = true;
  heartbeat.state_revision = 4;
  heartbeat.loads = {{0xffffffff, 3}, {7, 1}};
  heartbeat.demand = {{9, 4321}};
  heartbeat.planned_shares = {{0xfffffffe, 5, 250}, {0xfffffffe, 6, 750}};
  const auto read = Heartbeat::Decode(heartbeat.Encode());
  REQUIRE(read.has_value());
  CHECK(read->instance == heartbeat.instance);
  CHECK(read->incarnation == heartbeat.incarnation);
  CHECK(read->loads == heartbeat.loads);
  CHECK(read->demand == heartbeat.demand);
  CHECK(read->planned_shares == heartbeat.planned_shares);
  using LoadReport = Heartbeat::LoadReport;
  const auto without_loads =
      Heartbeat::Decode(heartbeat.Encode(LoadReport::kOmitted));
  REQUIRE(without_loads.has_value());
  CHECK(without_loads->loads.empty());
  CHECK(without_loads->planned_shares.empty());
  CHECK(without_loads->demand == heartbeat.demand);
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

// Guards against a datagram that the receiver cuts off: a deployment with many
// services and servers.
TEST_CASE("the largest heartbeat fits into a datagram") {
  Heartbeat heartbeat;
  heartbeat.instance = std::string(64, 'n');
  heartbeat.incarnation = 1'780'000'000'000;
  heartbeat.sequence = 1ULL << 40;
  heartbeat.state_revision = 1LL << 40;
  for (uint32_t i = 0; i < 500; ++i) {
    heartbeat.loads.emplace_back(0xffffff00 + i % 256, 100'000);
    heartbeat.demand.emplace_back(0xffffff00 + i % 256, 100'000);
    heartbeat.planned_shares.push_back({0xffffff00, 0xffffff00, 1000});
  }
  CHECK(heartbeat.Encode().size() <= Heartbeat::kMaxEncodedBytes);
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
