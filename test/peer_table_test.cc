#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "gateway/gateway.h"
#include "instance_records.h"

namespace baobabwall::gateway {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

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

}  // namespace
}  // namespace baobabwall::gateway
