#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "control_fixture.h"
#include "gateway/gateway.h"

namespace baobabwall::gateway {
namespace {

StoreAnswer InEra(int64_t era, StoreAnswer answer) {
  answer.era = era;
  return answer;
}

StoreAnswer ConfigRead(int64_t era,
                       int64_t revision,
                       const std::string& version) {
  StoreAnswer answer = InEra(era, Ok(revision));
  answer.key_values = {{"config", version, revision, false}};
  return answer;
}

/// An instance that has read revision 20 of the first era.
class Fixture : public ControlFixture {
 public:
  Fixture() {
    AnswerReader(ConfigRead(1, 20, "7"), now);
    REQUIRE(view != nullptr);
    CHECK((view->position == StatePosition{1, 20}));
  }

  /// \returns whether the instance reads all keys again.
  bool ReadsAllKeys() const {
    return std::any_of(calls.begin(), calls.end(), [](const auto& call) {
      return IsRead(call.request) &&
             std::holds_alternative<control::StoreRange>(call.request);
    });
  }

  absl::Time now = kStart;
};

// Guards against a watch that goes on after a restore: it skips what was
// written under revisions that the earlier history has used.
TEST_CASE("all keys are read again when any answer tells a new era") {
  Fixture f;
  SECTION("the answer to the watch") {
    // It has nothing of the missing changes, and must not be used.
    StoreAnswer later = InEra(2, Ok(30));
    later.key_values = {{"x", "", 30, false}};
    f.AnswerReader(later, f.now);
    CHECK(f.view->backends->Find("x") == nullptr);
  }
  SECTION("the watch is refused") {
    f.AnswerReader(InEra(2, Failed(StoreStatus::kHistoryGone)), f.now);
  }
  SECTION("a renewal of the lease") {
    f.AnswerRegistration(InEra(2, Failed(StoreStatus::kNotFound)), f.now);
  }
  SECTION("the store's revision, which is lower than the one that was read") {
    f.now += WatchProbe::kInterval;
    f.control.OnTick(f.now);
    for (control::StoreCall& call : std::exchange(f.calls, {})) {
      if (std::holds_alternative<control::StoreRange>(call.request)) {
        StoreAnswer answer = InEra(2, Ok(11));
        answer.id = call.id;
        f.control.OnStoreAnswer(answer, f.now);
      }
    }
  }
  CHECK(f.ReadsAllKeys());
  CHECK(f.control.era() == 2);
  // The known state stays in use, but may be outdated.
  CHECK(f.view->config->version() == 7);
  CHECK(f.view->freshness == ConfigFreshness::kMayBeOutdated);
  f.AnswerReader(ConfigRead(2, 12, "9"), f.now);
  CHECK(f.view->config->version() == 9);
  CHECK((f.view->position == StatePosition{2, 12}));
  CHECK(f.view->freshness == ConfigFreshness::kCurrent);
}

// Guards against a configuration that goes back with the store.
TEST_CASE("a restored store does not bring back an older configuration") {
  Fixture f;
  f.AnswerReader(InEra(2, Failed(StoreStatus::kHistoryGone)), f.now);
  f.AnswerReader(ConfigRead(2, 10, "5"), f.now);
  CHECK(f.view->config->version() == 7);
}

// Guards against the answer of an earlier history that arrives late: it would
// be taken for a further restore.
TEST_CASE("a late answer of an earlier era is discarded") {
  Fixture f;
  f.now += WatchProbe::kInterval;
  f.control.OnTick(f.now);
  // The read of the store's revision is pending while the watch is answered.
  f.AnswerReader(InEra(2, Failed(StoreStatus::kHistoryGone)),
                 f.now + absl::Milliseconds(10));
  f.now += absl::Milliseconds(20);
  for (control::StoreCall& call : std::exchange(f.calls, {})) {
    const auto* range = std::get_if<control::StoreRange>(&call.request);
    if (range == nullptr || !range->allow_stale) {
      f.calls.push_back(std::move(call));
      continue;
    }
    StoreAnswer answer = InEra(1, Ok(25));
    answer.id = call.id;
    f.control.OnStoreAnswer(answer, f.now);
  }
  CHECK(f.control.era() == 2);
  f.AnswerReader(ConfigRead(2, 12, "9"), f.now);
  CHECK((f.view->position == StatePosition{2, 12}));
}

// Guards against an instance that treats the positions of peers in another era
// as newer or older revisions.
TEST_CASE("positions of peers are compared within an era only") {
  Fixture f;
  f.AnswerReader(InEra(2, Failed(StoreStatus::kHistoryGone)), f.now);
  f.AnswerReader(ConfigRead(2, 12, "9"), f.now);
  const auto renewals = [&f] { return f.ended_calls.size() + f.calls.size(); };
  // A peer that has not noticed the restore.
  const size_t before = renewals();
  f.control.OnPeerPosition({1, 500}, f.now);
  f.now += GatewayControl::kMaxPeerRevisionLag;
  f.control.OnPeerPosition({1, 500}, f.now);
  CHECK(f.view->freshness == ConfigFreshness::kCurrent);
  CHECK(renewals() <= before + 1);
  // A peer that has noticed the next one: the store is asked at once.
  f.AnswerRegistration(InEra(2, Ok(12)), f.now);
  f.AnswerRegistration(InEra(2, Ok(12)), f.now);
  f.now += absl::Milliseconds(100);
  f.calls.clear();
  f.control.OnPeerPosition({3, 1}, f.now);
  REQUIRE(f.calls.size() == 1);
  CHECK(std::holds_alternative<control::StoreLeaseKeepAlive>(
      f.calls.front().request));
  CHECK(f.control.era() == 2);
  f.AnswerRegistration(InEra(3, Failed(StoreStatus::kNotFound)), f.now);
  CHECK(f.control.era() == 3);
  CHECK(f.ReadsAllKeys());
}

// Guards against a lease that belongs to another instance by now, and against a
// record of the copy whose lease nobody renews.
TEST_CASE("an instance registers again under a new lease") {
  Registration registration(Self(), 1);
  const auto next = [&](absl::Time now) { return *registration.NextCall(now); };
  const auto grant = [&](uint64_t lease, absl::Time now) {
    REQUIRE(std::holds_alternative<control::StoreLeaseGrant>(next(now)));
    StoreAnswer answer = Ok();
    answer.lease = lease;
    registration.OnAnswer(answer, now);
  };
  grant(42, kStart);
  next(kStart);
  registration.OnAnswer(Ok(), kStart);
  CHECK(registration.is_registered());
  registration.OnStoreRestored(kStart);
  CHECK_FALSE(registration.is_registered());
  grant(7, kStart);
  auto put = std::get<control::StoreCompareAndSwap>(next(kStart));
  CHECK(put.lease == 7);
  CHECK(put.expected_revision == 0);
  SECTION("the record is lost") {
    registration.OnAnswer(Ok(), kStart);
    CHECK(registration.is_registered());
  }
  SECTION("the copy has the record") {
    StoreAnswer conflict = Failed(StoreStatus::kConflict);
    conflict.key_values = {{Self().Key(), "", 9, false}};
    registration.OnAnswer(conflict, kStart);
    CHECK_FALSE(registration.is_registered());
    const absl::Time later = kStart + absl::Seconds(1);
    put = std::get<control::StoreCompareAndSwap>(next(later));
    CHECK(put.lease == 7);
    CHECK(put.expected_revision == 9);
    registration.OnAnswer(Ok(), later);
    CHECK(registration.is_registered());
  }
}

// Guards against instances that are forgotten because the copy lacks their
// records, and against records that stay forever.
TEST_CASE("the records of running instances outlast a restore") {
  Fixture f;
  StoreAnswer with_peers = InEra(1, Ok(21));
  with_peers.key_values = {{Second().Key(), "", 21, false},
                           {Third().Key(), "", 21, false}};
  f.AnswerReader(with_peers, f.now);
  CHECK(f.view->instances->size() == 2);
  f.now += absl::Seconds(1);
  f.AnswerReader(InEra(2, Failed(StoreStatus::kHistoryGone)), f.now);
  f.AnswerReader(ConfigRead(2, 12, "7"), f.now);
  CHECK(f.view->instances->size() == 2);
  // The second one is written again.
  f.now += absl::Seconds(1);
  StoreAnswer written = InEra(2, Ok(13));
  written.key_values = {{Second().Key(), "", 13, false}};
  f.AnswerReader(written, f.now);
  f.now += GatewayControl::kRecordReturnTime;
  f.control.OnTick(f.now);
  REQUIRE(f.view->instances->size() == 1);
  CHECK(f.view->instances->front().name == Second().name);
}

// Guards against a request that crashes servers again, because the report is
// lost with the store.
TEST_CASE("reports of crashing requests are written again after a restore") {
  Fixture f;
  const auto answer_leases = [&f](int64_t era) {
    for (control::StoreCall& call : std::exchange(f.calls, {})) {
      const auto* grant = std::get_if<control::StoreLeaseGrant>(&call.request);
      if (grant == nullptr || grant->ttl != GatewayControl::kCrashReportLease) {
        f.calls.push_back(std::move(call));
        continue;
      }
      StoreAnswer answer = InEra(era, Ok());
      answer.id = call.id;
      answer.lease = 5;
      f.control.OnStoreAnswer(answer, f.now);
    }
  };
  const auto count_reports = [&f] {
    int count = 0;
    for (const control::StoreCall& call : f.calls) {
      const auto* put =
          std::get_if<control::StoreCompareAndSwap>(&call.request);
      count += put != nullptr && put->key == "baobabwall/crashes/abc" ? 1 : 0;
    }
    return count;
  };
  f.control.ReportCrash(0xabc, f.now);
  answer_leases(1);
  CHECK(count_reports() == 1);
  f.now += absl::Seconds(5);
  f.calls.clear();
  f.control.OnPeerPosition({1, 25}, f.now);
  f.now += GatewayControl::kMaxPeerRevisionLag;
  f.control.OnPeerPosition({1, 25}, f.now);
  f.AnswerReader(InEra(2, Failed(StoreStatus::kHistoryGone)), f.now);
  answer_leases(2);
  CHECK(count_reports() == 1);
  f.AnswerReader(ConfigRead(2, 12, "7"), f.now);
  CHECK(f.view->crashing_requests.count(0xabc) == 1);
}

// Guards against followers that go on with the revisions of an earlier history,
// and against a replica that keeps values because their revisions are higher.
TEST_CASE("followers read all keys again after a restore") {
  Fixture f;
  control::StoreWatch watch;
  watch.after_revision = 20;
  watch.era = 1;
  watch.timeout = absl::Seconds(30);
  f.control.OnPeerCall(1, watch, f.now);
  CHECK(f.peer_answers.empty());
  f.AnswerReader(InEra(2, Failed(StoreStatus::kHistoryGone)), f.now);
  REQUIRE(f.peer_answers.count(1) == 1);
  CHECK(f.peer_answers[1].status == StoreStatus::kHistoryGone);
  CHECK(f.peer_answers[1].era == 2);
  // A range waits until the restored store has been read.
  f.control.OnPeerCall(2, control::StoreRange{}, f.now);
  CHECK(f.peer_answers.count(2) == 0);
  f.AnswerReader(ConfigRead(2, 12, "9"), f.now);
  REQUIRE(f.peer_answers.count(2) == 1);
  CHECK(f.peer_answers[2].revision == 12);
  CHECK(f.peer_answers[2].era == 2);
  REQUIRE(f.peer_answers[2].key_values.size() == 1);
  CHECK(f.peer_answers[2].key_values.front().value == "9");
  // A follower that knows of a later restore looks for another source.
  watch.era = 3;
  f.control.OnPeerCall(3, watch, f.now);
  CHECK(f.peer_answers[3].status == StoreStatus::kNotFound);
}

/// A registry whose store is restored 10 s after the start.
class RegistryFixture {
 public:
  static BackendServer Server(int64_t sequence, bool is_draining = false) {
    BackendServer server;
    server.id = "s";
    server.service = "s";
    server.zone = "a-1";
    server.incarnation = 5;
    server.sequence = sequence;
    server.is_draining = is_draining;
    return server;
  }
  void Restore() {
    now += absl::Seconds(10);
    registry.OnStoreRestored(now);
  }
  const BackendServer* Find() {
    set = registry.Publish();
    return set->Find("s");
  }

  absl::Time now = kStart;
  BackendRegistry registry{[](const std::string&) {}};
  std::shared_ptr<const BackendSet> set;
};

// Guards against requests to a server that drains, or has left, because the
// copy has its earlier entry.
TEST_CASE(
    "a restored store does not bring back the earlier state of a server") {
  RegistryFixture f;
  f.registry.OnEntry(RegistryFixture::Server(3), true, f.now);
  f.registry.OnEntry(RegistryFixture::Server(8, true), false, f.now);
  SECTION("it drains") {
    f.Restore();
    f.registry.OnEntry(RegistryFixture::Server(3), false, f.now);
    f.registry.OnCompleteRead({"s"}, f.now);
    REQUIRE(f.Find() != nullptr);
    CHECK(f.Find()->is_draining);
    // The server has changed its mind since.
    f.registry.OnEntry(RegistryFixture::Server(9), false, f.now);
    CHECK_FALSE(f.Find()->is_draining);
  }
  SECTION("its entry was removed") {
    f.registry.OnRemoved("s", f.now);
    f.Restore();
    f.registry.OnEntry(RegistryFixture::Server(3), false, f.now);
    f.now += 2 * BackendRegistry::kRestoreGracePeriod;
    f.registry.OnTick(f.now);
    CHECK(f.Find() == nullptr);
    f.registry.OnEntry(RegistryFixture::Server(9), false, f.now);
    CHECK(f.Find() != nullptr);
  }
}

// Guards against a server that left without a drain and is used again, and
// against one whose entry had only lapsed and that is never used again.
TEST_CASE("an entry that a restore brings back counts when it stays") {
  RegistryFixture f;
  f.registry.OnEntry(RegistryFixture::Server(3), true, f.now);
  f.registry.OnRemoved("s", f.now);
  f.Restore();
  f.registry.OnEntry(RegistryFixture::Server(3), false, f.now);
  CHECK(f.Find() == nullptr);
  SECTION("nobody renews it") {
    f.now += absl::Seconds(4);
    f.registry.OnTick(f.now);
    f.registry.OnRemoved("s", f.now);
    f.now += absl::Seconds(4);
    f.registry.OnTick(f.now);
    CHECK(f.Find() == nullptr);
  }
  SECTION("it stays") {
    f.now += BackendRegistry::kRestoreGracePeriod;
    f.registry.OnTick(f.now);
    CHECK(f.Find() != nullptr);
  }
  SECTION("it is written again with a change") {
    f.registry.OnEntry(RegistryFixture::Server(4), false, f.now);
    CHECK(f.Find() != nullptr);
  }
}

// Guards against requests to a zone whose evacuation the copy lacks, and
// against an evacuation that never ends.
TEST_CASE("an evacuation outlasts a restore until it is written again") {
  RegistryFixture f;
  f.registry.OnEvacuation("a-1", true, f.now);
  f.Restore();
  f.registry.OnEvacuations({}, f.now);
  const auto is_evacuated = [&f] {
    return f.registry.Publish()->evacuated_zones.count("a-1") == 1;
  };
  CHECK(is_evacuated());
  SECTION("it is written again") {
    f.registry.OnEvacuation("a-1", true, f.now + absl::Seconds(1));
    f.registry.OnTick(f.now + 2 * BackendRegistry::kRestoreGracePeriod);
    CHECK(is_evacuated());
  }
  SECTION("it was lifted in the lost time") {
    f.registry.OnTick(f.now + BackendRegistry::kRestoreGracePeriod);
    CHECK_FALSE(is_evacuated());
  }
  SECTION("it is lifted after the restore") {
    f.registry.OnEvacuation("a-1", false, f.now + absl::Seconds(1));
    CHECK_FALSE(is_evacuated());
  }
}

}  // namespace
}  // namespace baobabwall::gateway
