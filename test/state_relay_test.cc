#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "absl/strings/str_cat.h"
#include "gateway/gateway.h"

namespace baobabwall::gateway {
namespace {

using control::StoreAnswer;
using control::StoreKeyValue;
using control::StoreStatus;

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

std::set<std::string> KeysOf(const StoreAnswer& answer) {
  std::set<std::string> keys;
  for (const StoreKeyValue& item : answer.key_values) {
    keys.insert(item.key);
  }
  return keys;
}

// Guards against followers that miss a change or a deletion.
TEST_CASE("a mirror returns the changes after a revision") {
  StateMirror mirror;
  mirror.OnChange({"a", "1", 3, false});
  mirror.OnChange({"b", "1", 4, false});
  mirror.OnCompleteRead({"a", "b"}, 5);
  CHECK(KeysOf(mirror.Range()) == std::set<std::string>{"a", "b"});
  CHECK_FALSE(mirror.ChangesAfter(5).has_value());
  mirror.OnChange({"b", "2", 6, false});
  mirror.OnChange({"a", "", 7, true});
  mirror.OnRevision(7);
  const auto changes = mirror.ChangesAfter(5);
  REQUIRE(changes.has_value());
  CHECK(changes->revision == 7);
  REQUIRE(changes->key_values.size() == 2);
  CHECK(changes->key_values[0].value == "2");
  CHECK(changes->key_values[1].is_deleted);
  CHECK(KeysOf(mirror.Range()) == std::set<std::string>{"b"});
  CHECK(mirror.ChangesAfter(6)->key_values.size() == 1);
}

// Guards against a follower that gets a change without the changes before it.
TEST_CASE("changes above the mirror's revision are held back") {
  StateMirror mirror;
  mirror.OnCompleteRead({}, 5);
  mirror.OnChange({"a", "1", 8, false});
  CHECK_FALSE(mirror.ChangesAfter(5).has_value());
  mirror.OnRevision(8);
  CHECK(mirror.ChangesAfter(5)->key_values.size() == 1);
}

// Guards against deletions that a follower misses because the mirror had a
// complete read, or because too many keys were deleted.
TEST_CASE("a mirror reports that its history is gone") {
  StateMirror mirror;
  mirror.OnChange({"a", "1", 3, false});
  mirror.OnCompleteRead({"a"}, 5);
  CHECK(mirror.ChangesAfter(4)->status == StoreStatus::kHistoryGone);
  mirror.OnCompleteRead({}, 9);
  CHECK(mirror.Range().key_values.empty());
  CHECK(mirror.ChangesAfter(5)->status == StoreStatus::kHistoryGone);
  for (size_t i = 0; i <= StateMirror::kMaxDeletedKeys; ++i) {
    const auto revision = static_cast<int64_t>(10 + i);
    mirror.OnChange({absl::StrCat("k", i), "", revision, true});
    mirror.OnRevision(revision);
  }
  CHECK(mirror.ChangesAfter(9)->status == StoreStatus::kHistoryGone);
  CHECK(mirror.ChangesAfter(10)->status == StoreStatus::kOk);
}

/// Fixture of a relay with its mirror; collects the answers by call id.
class RelayFixture {
 public:
  RelayFixture()
      : relay(&mirror,
              [this](PeerCallId id, std::shared_ptr<const StoreAnswer> answer) {
                answers[id] = *answer;
              }) {}

  void Watch(PeerCallId id, int64_t after, absl::Time now) {
    control::StoreWatch watch;
    watch.after_revision = after;
    watch.timeout = absl::Seconds(1);
    relay.OnCall(id, watch, now);
  }

  StateMirror mirror;
  std::map<PeerCallId, StoreAnswer> answers;
  StateRelay relay;
};

// Guards against watches that are answered late, twice or not at all.
TEST_CASE("a relayed watch ends with a change or its timeout") {
  RelayFixture r;
  r.mirror.OnCompleteRead({}, 5);
  r.relay.OnTick(StateRelay::State::kServing, kStart);
  r.Watch(1, 5, kStart);
  r.Watch(2, 5, kStart + absl::Milliseconds(500));
  r.Watch(3, 5, kStart);
  r.relay.OnCallerDisconnected(3);
  CHECK(r.answers.empty());
  r.relay.OnTick(StateRelay::State::kServing, kStart + absl::Seconds(1));
  REQUIRE(r.answers.size() == 1);
  CHECK(r.answers[1].status == StoreStatus::kOk);
  CHECK(r.answers[1].key_values.empty());
  r.mirror.OnChange({"a", "1", 6, false});
  r.mirror.OnRevision(6);
  r.relay.OnTick(StateRelay::State::kServing, kStart + absl::Seconds(1));
  REQUIRE(r.answers.size() == 2);
  CHECK(r.answers[2].key_values.size() == 1);
  r.Watch(4, 5, kStart);
  CHECK(r.answers[4].key_values.size() == 1);
}

// Guards against followers that wait at an instance without current state, and
// against an outage of the store that followers do not detect.
TEST_CASE(
    "an instance that does not read the store refuses calls immediately") {
  RelayFixture r;
  r.Watch(1, 5, kStart);
  CHECK(r.answers[1].status == StoreStatus::kNotFound);
  r.mirror.OnCompleteRead({}, 5);
  r.relay.OnTick(StateRelay::State::kServing, kStart);
  r.Watch(2, 5, kStart);
  CHECK(r.answers.count(2) == 0);
  r.relay.OnTick(StateRelay::State::kStoreUnreachable, kStart);
  CHECK(r.answers[2].status == StoreStatus::kRefused);
}

// Guards against a fleet whose instances all read the store when they start at
// the same time (large site: 1,593 reads in two seconds).
TEST_CASE("ranges wait for the first read of an instance that starts") {
  RelayFixture r;
  r.relay.OnTick(StateRelay::State::kStarting, kStart);
  r.relay.OnCall(1, control::StoreRange{}, kStart);
  r.relay.OnCall(2, control::StoreRange{}, kStart);
  r.relay.OnCallerDisconnected(2);
  r.Watch(3, 5, kStart);
  CHECK(r.answers.empty());
  r.mirror.OnChange({"a", "1", 3, false});
  r.mirror.OnCompleteRead({"a"}, 5);
  r.relay.OnTick(StateRelay::State::kServing, kStart + absl::Milliseconds(100));
  REQUIRE(r.answers.size() == 1);
  CHECK(r.answers[1].key_values.size() == 1);
  RelayFixture slow;
  slow.relay.OnTick(StateRelay::State::kStarting, kStart);
  slow.relay.OnCall(1, control::StoreRange{}, kStart);
  slow.relay.OnTick(StateRelay::State::kStarting,
                    kStart + StateRelay::kMaxRangeWait);
  CHECK(slow.answers[1].status == StoreStatus::kNotFound);
}

// Guards against encoding the same changes again for each of many followers.
TEST_CASE("followers at the same revision get the same answer") {
  StateMirror mirror;
  std::set<const StoreAnswer*> answers;
  StateRelay relay(&mirror,
                   [&](PeerCallId, std::shared_ptr<const StoreAnswer> answer) {
                     answers.insert(answer.get());
                   });
  mirror.OnCompleteRead({}, 5);
  relay.OnTick(StateRelay::State::kServing, kStart);
  for (PeerCallId id = 1; id <= 30; ++id) {
    relay.OnCall(id, control::StoreWatch{"", 5, absl::Seconds(1)}, kStart);
  }
  mirror.OnChange({"a", "1", 6, false});
  mirror.OnRevision(6);
  relay.OnTick(StateRelay::State::kServing, kStart);
  CHECK(answers.size() == 1);
}

// Guards against a follower that is lost to the relay after a change that it
// had to read from the store.
TEST_CASE("a follower continues to read after a change read elsewhere") {
  RelayFixture r;
  r.mirror.OnCompleteRead({}, 5);
  r.relay.OnTick(StateRelay::State::kServing, kStart);
  r.mirror.OnChange({"op/config", std::string(300'000, 'x'), 6, false});
  r.mirror.OnRevision(6);
  r.relay.OnTick(StateRelay::State::kServing, kStart);
  r.Watch(3, 6, kStart);
  CHECK(r.answers.count(3) == 0);
  r.mirror.OnChange({"a", "1", 7, false});
  r.mirror.OnRevision(7);
  r.relay.OnTick(StateRelay::State::kServing, kStart);
  CHECK(r.answers[3].key_values.size() == 1);
}

InstanceRecord Instance(const std::string& name, const std::string& region) {
  InstanceRecord record;
  record.name = name;
  record.incarnation = 7;
  record.region = region;
  record.callers = {absl::StrCat("10.", name), 80};
  record.peer_port = 90;
  return record;
}

std::map<std::string, InstanceRecord> Fleet(int in_a, int in_b) {
  std::map<std::string, InstanceRecord> fleet;
  for (int i = 0; i < in_a + in_b; ++i) {
    const InstanceRecord record =
        Instance(absl::StrCat("n", i), i < in_a ? "a" : "b");
    fleet[record.Key()] = record;
  }
  return fleet;
}

StateSources SourcesOf(const std::string& name,
                       const std::map<std::string, InstanceRecord>& fleet) {
  for (const auto& [key, record] : fleet) {
    if (record.name == name) {
      StateSources sources(record);
      sources.SetInstances(fleet);
      return sources;
    }
  }
  FAIL("no such instance");
  return StateSources({});
}

// Guards against hundreds of instances that all watch the store, and against
// followers that read from another follower.
TEST_CASE("in a large region a few instances read the store for the others") {
  const auto fleet = Fleet(40, 20);
  std::set<std::string> readers;
  std::set<std::string> read_from;
  for (const auto& [key, record] : fleet) {
    const StateSources sources = SourcesOf(record.name, fleet);
    const StateSource source = sources.Choose(kStart);
    CHECK(source.is_store() == sources.is_reader());
    if (source.is_store()) {
      readers.insert(record.name);
      continue;
    }
    read_from.insert(source.instance);
    CHECK(source.endpoint ==
          Endpoint{absl::StrCat("10.", source.instance), 90});
  }
  CHECK(readers.size() == 2 * StateSources::kMinReaders);
  CHECK(read_from == readers);
  CHECK(SourcesOf("n1", Fleet(800, 0)).has_followers());
}

// Guards against a region that has no readers left because all of them were in
// one failed zone.
TEST_CASE("the readers of a region are in different zones") {
  std::map<std::string, InstanceRecord> fleet;
  for (int i = 0; i < 24; ++i) {
    InstanceRecord record = Instance(absl::StrCat("n", i), "a");
    record.zone = i < 21 ? "a-1" : "a-2";
    fleet[record.Key()] = record;
  }
  std::set<std::string> zones;
  for (const auto& [key, record] : fleet) {
    if (SourcesOf(record.name, fleet).is_reader()) {
      zones.insert(record.zone);
    }
  }
  CHECK(zones == std::set<std::string>{"a-1", "a-2"});
}

// Guards against indirect reads in small regions, where they save no load on
// the store.
TEST_CASE("in a small region every instance reads the store") {
  const auto fleet = Fleet(StateSources::kMaxDirectInstances, 1);
  for (const auto& [key, record] : fleet) {
    const StateSources sources = SourcesOf(record.name, fleet);
    CHECK(sources.Choose(kStart).is_store());
    CHECK(sources.is_reader());
    CHECK_FALSE(sources.has_followers());
  }
}

// Guards against a follower that gets no changes because its readers have
// failed, and against an instance that gets no changes because the store
// refuses its calls.
TEST_CASE("a failed source is replaced by the next source") {
  const auto fleet = Fleet(20, 3);
  std::string follower;
  for (const auto& [key, record] : fleet) {
    if (!SourcesOf(record.name, fleet).is_reader()) {
      follower = record.name;
    }
  }
  StateSources sources = SourcesOf(follower, fleet);
  std::vector<StateSource> order;
  while (sources.HasUsableSource(kStart)) {
    order.push_back(sources.Choose(kStart));
    sources.OnFailed(order.back(), kStart);
  }
  REQUIRE(order.size() == 4);
  CHECK_FALSE(order[0].is_store());
  CHECK_FALSE(order[1].is_store());
  CHECK(order[2].is_store());
  CHECK_FALSE(order[3].is_store());
  // The store becomes a source again once a lease renewal has reached the
  // store.
  const absl::Time later = kStart + StateSources::kFailureAvoidTime;
  CHECK(sources.Choose(later).instance == order[0].instance);
  for (const StateSource& source : order) {
    sources.OnFailed(source, later);
  }
  CHECK_FALSE(sources.Choose(later).is_store());
  sources.OnStoreReachable();
  CHECK(sources.Choose(later).is_store());
}

}  // namespace
}  // namespace baobabwall::gateway
