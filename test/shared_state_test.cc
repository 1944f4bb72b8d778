#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <utility>

#include "control_fixture.h"
#include "gateway/gateway.h"

namespace baobabwall::gateway {
namespace {

class ReaderFixture {
 public:
  ReaderFixture()
      : reader("",
               1,
               {[this](const control::StoreKeyValue& item, bool) {
                  changes.push_back(item.key);
                },
                [this](const std::vector<std::string>& keys) {
                  complete_keys = keys;
                },
                [this] { ++outage_count; }, [this] { ++recovery_count; },
                [] {}}) {}

  template <typename Call>
  Call Next(absl::Time now) {
    const auto call = reader.NextCall(now);
    REQUIRE(call.has_value());
    REQUIRE(std::holds_alternative<Call>(*call));
    return std::get<Call>(*call);
  }

  std::vector<std::string> changes;
  std::vector<std::string> complete_keys;
  int outage_count = 0;
  int recovery_count = 0;
  StateReader reader;
};

// Guards against missed changes that happen between the pages of a read, or
// between the read and the watch.
TEST_CASE("a watch begins at the revision of the first page") {
  ReaderFixture r;
  r.Next<control::StoreRange>(kStart);
  StoreAnswer page = Ok(10);
  page.key_values = {{"a", "", 3, false}};
  page.has_more = true;
  r.reader.OnAnswer(page, kStart);
  CHECK_FALSE(r.reader.has_complete_read());
  CHECK(r.Next<control::StoreRange>(kStart).after == "a");
  StoreAnswer last = Ok(12);
  last.key_values = {{"b", "", 11, false}};
  r.reader.OnAnswer(last, kStart);
  CHECK(r.reader.has_complete_read());
  CHECK(r.complete_keys == std::vector<std::string>{"a", "b"});
  CHECK(r.Next<control::StoreWatch>(kStart).after_revision == 10);
}

// Guards against a reader that gets no more changes after the store has
// discarded its history.
TEST_CASE("a reader reads all keys again when the history is gone") {
  ReaderFixture r;
  r.Next<control::StoreRange>(kStart);
  r.reader.OnAnswer(Ok(5), kStart);
  r.Next<control::StoreWatch>(kStart);
  r.reader.OnAnswer(Failed(StoreStatus::kHistoryGone), kStart);
  CHECK(r.Next<control::StoreRange>(kStart).after.empty());
}

// Guards against calls without a delay while the store is unreachable, and
// against a recovery that is not reported.
TEST_CASE("calls back off during an outage, which is reported once") {
  ReaderFixture r;
  r.Next<control::StoreRange>(kStart);
  r.reader.OnAnswer(Ok(5), kStart);
  absl::Time now = kStart;
  int calls = 0;
  for (; now < kStart + absl::Seconds(10); now += absl::Milliseconds(50)) {
    if (r.reader.NextCall(now)) {
      ++calls;
      r.reader.OnAnswer(Failed(StoreStatus::kRefused), now);
    }
  }
  CHECK(calls <= 20);
  CHECK(r.outage_count == 1);
  r.reader.OnStoreReachability(true, now);
  CHECK(r.Next<control::StoreWatch>(now).timeout < absl::Seconds(1));
  r.reader.OnAnswer(Ok(9), now);
  CHECK(r.recovery_count == 1);
  CHECK(r.Next<control::StoreWatch>(now).timeout == StateReader::kWatchTimeout);
}

// Guards against a watch that was sent while the store did not answer and stays
// pending long after the store is reachable again.
TEST_CASE("a pending watch is canceled when the store becomes unreachable") {
  ReaderFixture r;
  r.Next<control::StoreRange>(kStart);
  r.reader.OnAnswer(Ok(5), kStart);
  r.Next<control::StoreWatch>(kStart);
  r.reader.OnStoreReachability(false, kStart + absl::Seconds(2));
  CHECK(r.outage_count == 1);
  CHECK_FALSE(r.reader.NextCall(kStart + absl::Seconds(3)).has_value());
  r.reader.OnStoreReachability(true, kStart + absl::Seconds(4));
  const auto watch = r.Next<control::StoreWatch>(kStart + absl::Seconds(4));
  CHECK(watch.after_revision == 5);
  CHECK(watch.timeout < absl::Seconds(1));
}

// Guards against an instance that stays unregistered after its lease expired,
// its record was removed, or the answer to its write was lost.
TEST_CASE("an instance keeps its record registered") {
  Registration registration(Self(), 1);
  const auto next = [&](absl::Time now) { return registration.NextCall(now); };
  REQUIRE(std::holds_alternative<control::StoreLeaseGrant>(*next(kStart)));
  StoreAnswer grant = Ok();
  grant.lease = 42;
  registration.OnAnswer(grant, kStart);
  const auto put = std::get<control::StoreCompareAndSwap>(*next(kStart));
  CHECK(put.key == Self().Key());
  CHECK(put.lease == 42);
  CHECK(put.expected_revision == 0);
  SECTION("the answer to the write was lost") {
    registration.OnAnswer(Failed(StoreStatus::kUnknown), kStart);
    const absl::Time later = kStart + absl::Seconds(1);
    REQUIRE(std::holds_alternative<control::StoreCompareAndSwap>(*next(later)));
    registration.OnAnswer(Failed(StoreStatus::kConflict), later);
    CHECK(registration.is_registered());
  }
  SECTION("the lease has expired") {
    registration.OnAnswer(Ok(), kStart);
    CHECK(registration.is_registered());
    const absl::Time later = kStart + Registration::kRenewalInterval * 1.2;
    REQUIRE(std::holds_alternative<control::StoreLeaseKeepAlive>(*next(later)));
    registration.OnAnswer(Failed(StoreStatus::kNotFound), later);
    CHECK(std::holds_alternative<control::StoreLeaseGrant>(*next(later)));
  }
  SECTION("the record was removed") {
    registration.OnAnswer(Ok(), kStart);
    registration.OnRecordRemoved(kStart);
    CHECK(std::holds_alternative<control::StoreLeaseGrant>(*next(kStart)));
  }
  SECTION("the instance leaves") {
    registration.OnAnswer(Ok(), kStart);
    registration.Leave(kStart);
    REQUIRE(std::holds_alternative<control::StoreLeaseEnd>(*next(kStart)));
    registration.OnAnswer(Ok(), kStart);
    CHECK(registration.has_left());
    CHECK_FALSE(next(kStart + absl::Seconds(9)).has_value());
  }
}

// Guards against an instance that applies a configuration up to 25 s late: the
// answer to its watch was lost, and no peer knows more (soak seed 236).
TEST_CASE("a watch whose answer is lost is renewed without help of peers") {
  ControlFixture c;
  c.AnswerReader(Ok(5), kStart);
  c.control.OnTick(kStart);
  const auto watch_count = [&] {
    return std::count_if(c.calls.begin(), c.calls.end(), [](const auto& call) {
      return std::holds_alternative<control::StoreWatch>(call.request);
    });
  };
  REQUIRE(watch_count() == 1);
  const absl::Time changed_at = kStart + absl::Seconds(1.5);
  absl::Time now = kStart;
  while (watch_count() == 1 && now < kStart + absl::Seconds(10)) {
    now += absl::Milliseconds(100);
    c.control.OnTick(now);
    c.AnswerProbes(now < changed_at ? 5 : 6, now);
  }
  CHECK(watch_count() == 2);
  CHECK(now - changed_at <= absl::Seconds(1.5));
}

// Guards against a watch that is sent again and again although nothing has
// changed.
TEST_CASE("a watch without changes stays pending") {
  ControlFixture c;
  c.AnswerReader(Ok(5), kStart);
  for (int i = 0; i < 200; ++i) {
    const absl::Time now = kStart + absl::Milliseconds(100) * i;
    c.control.OnTick(now);
    c.AnswerProbes(5, now);
    c.AnswerRegistration(Ok(5), now);
  }
  CHECK(std::count_if(c.calls.begin(), c.calls.end(), [](const auto& call) {
          return std::holds_alternative<control::StoreWatch>(call.request);
        }) == 1);
}

/// Returns the records of a region with so many instances that most of them
/// read the state from others.
StoreAnswer LargeRegion() {
  StoreAnswer answer = Ok(5);
  for (int i = 0; i < 12; ++i) {
    InstanceRecord record = Self();
    record.name = "n" + std::to_string(i);
    record.callers.address = "10.1.0." + std::to_string(i);
    // Readers are chosen among the instances with the largest CPU share.
    record.cpu_share = 2;
    answer.key_values.push_back({record.Key(), record.Encode(), 1, false});
  }
  return answer;
}

// Guards against a fleet whose instances all read the whole state from the
// store when they start.
TEST_CASE("an instance of a large region reads its first state from another") {
  ControlFixture c;
  c.control.OnTick(kStart);
  CHECK(c.peer_calls.empty());
  SECTION("other instances are announced") {
    c.AnswerInstanceRead(LargeRegion(), kStart);
    REQUIRE(c.peer_calls.size() == 1);
    CHECK(std::holds_alternative<control::StoreRange>(
        c.peer_calls[0].second.request));
    StoreAnswer state = Ok(9);
    state.id = c.peer_calls[0].second.id;
    state.key_values = {{"config", "7", 5, false}};
    c.control.OnStoreAnswer(state, kStart);
    REQUIRE(c.view != nullptr);
    CHECK(c.view->config->version() == 7);
    CHECK(c.view->position.revision == 9);
  }
  SECTION("the instance returns to a reader that has refused") {
    c.AnswerInstanceRead(LargeRegion(), kStart);
    // All readers refuse, because none of them has read the state yet.
    while (!c.peer_calls.empty()) {
      StoreAnswer refusal = Failed(StoreStatus::kNotFound);
      refusal.id = c.peer_calls.back().second.id;
      c.peer_calls.pop_back();
      c.control.OnStoreAnswer(refusal, kStart);
    }
    StoreAnswer state = LargeRegion();
    c.AnswerReader(state, kStart);
    c.control.OnTick(kStart + absl::Seconds(1));
    CHECK(c.peer_calls.empty());
    c.control.OnTick(kStart + StateSources::kFailureAvoidTime);
    REQUIRE(c.peer_calls.size() == 1);
    CHECK(std::holds_alternative<control::StoreWatch>(
        c.peer_calls[0].second.request));
  }
  SECTION("the instance looks again when it is registered itself") {
    c.AnswerInstanceRead(Ok(1), kStart);
    c.control.OnTick(kStart);
    CHECK(c.peer_calls.empty());
    c.control.OnTick(kStart + GatewayControl::kMaxRegistrationWait);
    c.AnswerInstanceRead(LargeRegion(),
                         kStart + GatewayControl::kMaxRegistrationWait);
    CHECK(c.peer_calls.size() == 1);
  }
  SECTION("the store is slow") {
    c.control.OnTick(kStart + GatewayControl::kMaxInstanceReadTime);
    CHECK(std::any_of(c.calls.begin(), c.calls.end(), [](const auto& call) {
      return ControlFixture::IsRead(call.request);
    }));
    c.AnswerInstanceRead(LargeRegion(), kStart + absl::Seconds(1));
    CHECK(c.peer_calls.empty());
  }
  SECTION("the store refuses the read") {
    c.AnswerInstanceRead(Failed(StoreStatus::kRefused), kStart);
    CHECK(std::any_of(c.calls.begin(), c.calls.end(), [](const auto& call) {
      return ControlFixture::IsRead(call.request);
    }));
  }
}

// Guards against a configuration that is replaced by an older version from a
// stale read.
TEST_CASE("a configuration in force is never replaced by an older version") {
  ControlFixture c;
  StoreAnswer first = Ok(5);
  first.key_values = {{"config", "7", 5, false}};
  c.AnswerReader(first, kStart);
  REQUIRE(c.view != nullptr);
  CHECK(c.view->config->version() == 7);
  StoreAnswer old = Ok(6);
  old.key_values = {{"config", "6", 6, false}, {"x", "", 6, false}};
  c.AnswerReader(old, kStart + absl::Seconds(1));
  CHECK(c.view->config->version() == 7);
  CHECK(c.view->backends->Find("x") != nullptr);
  StoreAnswer next = Ok(7);
  next.key_values = {{"config", "12", 7, false}};
  c.AnswerReader(next, kStart + absl::Seconds(2));
  CHECK(c.view->config->version() == 12);
}

// Guards against servers that are never removed: the first pages of a read
// returned them, and the read then started again without them.
TEST_CASE("a read that starts again discards its first pages") {
  ControlFixture c;
  StoreAnswer page = Ok(5);
  page.key_values = {{"config", "7", 3, false}, {"x", "", 4, false}};
  page.has_more = true;
  c.AnswerReader(page, kStart);
  c.AnswerReader(Failed(StoreStatus::kHistoryGone), kStart);
  StoreAnswer all = Ok(9);
  all.key_values = {{"config", "7", 3, false}, {"y", "", 8, false}};
  c.AnswerReader(all, kStart);
  REQUIRE(c.view != nullptr);
  c.control.OnTick(kStart + BackendRegistry::kOutageGracePeriod);
  CHECK(c.view->backends->Find("y") != nullptr);
  CHECK(c.view->backends->Find("x") == nullptr);
}

// Guards against crash reports that stay in the store or block a request
// forever.
TEST_CASE(
    "a crash report is written under a lease and expires with the lease") {
  ControlFixture c;
  c.AnswerReader(Ok(5), kStart);
  c.control.ReportCrash(0xabc, kStart);
  StoreAnswer grant = Ok();
  grant.lease = 42;
  for (const control::StoreCall& call : c.calls) {
    if (std::holds_alternative<control::StoreLeaseGrant>(call.request)) {
      grant.id = call.id;  // The last grant belongs to the report.
    }
  }
  c.control.OnStoreAnswer(grant, kStart);
  const auto is_put = [](const control::StoreCall& call) {
    return std::holds_alternative<control::StoreCompareAndSwap>(call.request);
  };
  const auto put = std::find_if(c.calls.begin(), c.calls.end(), is_put);
  REQUIRE(put != c.calls.end());
  CHECK(std::get<control::StoreCompareAndSwap>(put->request).lease == 42);
  CHECK(c.view->crashing_requests.count(0xabc) == 1);
  StoreAnswer ended = Ok(9);
  ended.key_values = {{"crash", "", 9, true}};
  for (const control::StoreCall& call : c.calls) {
    if (std::holds_alternative<control::StoreWatch>(call.request)) {
      ended.id = call.id;
    }
  }
  c.control.OnStoreAnswer(ended, kStart + absl::Seconds(1));
  CHECK(c.view->crashing_requests.empty());
}

// Guards against an empty view while the store is unreachable, and against
// servers that are removed because of an outage.
TEST_CASE("servers whose entries expired in an outage stay in the view") {
  ControlFixture c;
  StoreAnswer first = Ok(5);
  first.key_values = {{"config", "7", 5, false}, {"x", "", 5, false}};
  c.AnswerReader(first, kStart);
  absl::Time now = kStart + absl::Seconds(3);
  c.AnswerReader(Failed(StoreStatus::kUnknown), now);
  now += absl::Seconds(4);
  StoreAnswer expiry = Ok(9);
  expiry.key_values = {{"x", "", 9, true}};
  c.AnswerReader(expiry, now);
  CHECK(c.view->backends->Find("x") != nullptr);
  c.control.OnTick(now + BackendRegistry::kOutageGracePeriod);
  CHECK(c.view->backends->Find("x") == nullptr);
}

// Guards against an instance that gets no changes because the store refuses its
// calls, while the store answers its peers.
TEST_CASE("an instance that the store refuses reads from another instance") {
  ControlFixture c;
  StoreAnswer first = Ok(5);
  first.key_values = {{"config", "7", 5, false},
                      {Second().Key(), "", 5, false},
                      {Third().Key(), "", 5, false}};
  c.AnswerReader(first, kStart);
  c.control.OnTick(kStart);
  absl::Time now = kStart;
  for (int i = 0; i < 40 && c.peer_calls.empty(); ++i) {
    now += absl::Milliseconds(50);
    c.control.OnTick(now);
    c.AnswerRegistration(Failed(StoreStatus::kRefused), now);
  }
  REQUIRE(c.peer_calls.size() == 1);
  const auto& [peer, call] = c.peer_calls[0];
  CHECK(peer == Endpoint{"10.0.0.2", 90});
  CHECK(std::get<control::StoreWatch>(call.request).after_revision == 5);
  StoreAnswer newer = Ok(8);
  newer.id = call.id;
  newer.key_values = {{"config", "9", 8, false}};
  c.control.OnStoreAnswer(newer, now);
  CHECK(c.view->config->version() == 9);
  SECTION("the instance does not serve state read from another instance") {
    c.control.OnPeerCall(1, control::StoreRange{}, now);
    CHECK(c.peer_answers[1].status == StoreStatus::kNotFound);
  }
  SECTION("the instance leaves a source that lags behind the others") {
    now += absl::Milliseconds(200);
    c.control.OnTick(now);
    REQUIRE(c.peer_calls.size() == 2);
    c.control.OnPeerPosition({0, 20}, now);
    c.control.OnPeerPosition({0, 20},
                             now + GatewayControl::kMaxPeerRevisionLag);
    REQUIRE(c.peer_calls.size() == 3);
    CHECK(c.peer_calls[2].first == Endpoint{"10.0.0.3", 90});
  }
  SECTION("an answer with an older revision is ignored") {
    now += absl::Milliseconds(200);
    c.control.OnTick(now);
    REQUIRE(c.peer_calls.size() == 2);
    StoreAnswer old = Ok(6);
    old.id = c.peer_calls[1].second.id;
    old.key_values = {{"x", "", 6, false}};
    c.control.OnStoreAnswer(old, now);
    CHECK(c.view->backends->Find("x") == nullptr);
  }
}

// Guards against a watch whose answer was lost on a connection that stays open
// (soak, seeds 236 and 243): the configuration arrived up to 25 s late.
TEST_CASE("an instance that lags behind its peers renews its watch") {
  ControlFixture c;
  StoreAnswer first = Ok(5);
  first.key_values = {{"config", "7", 5, false}};
  c.AnswerReader(first, kStart);
  const auto watches = [&] {
    return std::count_if(c.calls.begin(), c.calls.end(), [](const auto& call) {
      return std::holds_alternative<control::StoreWatch>(call.request);
    });
  };
  REQUIRE(watches() == 1);
  const control::StoreCallId lost_call_id = c.calls.back().id;
  c.control.OnPeerPosition({0, 5}, kStart + absl::Seconds(9));
  c.control.OnPeerPosition({0, 8}, kStart + absl::Seconds(10));
  c.control.OnPeerPosition({0, 8}, kStart + absl::Seconds(11));
  CHECK(watches() == 1);
  c.control.OnPeerPosition({0, 8}, kStart + absl::Seconds(11.3));
  CHECK(watches() == 2);
  StoreAnswer late = Ok(6);
  late.id = lost_call_id;
  late.key_values = {{"config", "8", 6, false}};
  c.control.OnStoreAnswer(late, kStart + absl::Seconds(11.4));
  CHECK(c.view->config->version() == 7);
  StoreAnswer newer = Ok(8);
  newer.id = c.calls.back().id;
  newer.key_values = {{"config", "9", 8, false}};
  c.control.OnStoreAnswer(newer, kStart + absl::Seconds(11.5));
  CHECK(c.view->config->version() == 9);
  // Repeated short lags do not renew the watch.
  c.calls.clear();
  c.control.OnPeerPosition({0, 9}, kStart + absl::Seconds(13));
  c.AnswerReader(Ok(9), kStart + absl::Seconds(13.5));
  c.control.OnTick(kStart + absl::Seconds(15));
  const auto before = watches();
  c.control.OnPeerPosition({0, 10}, kStart + absl::Seconds(16));
  CHECK(watches() == before);
}

// Guards against 401 for a key that is newer than the configuration of an
// instance that knows that it is out of date, and against 503 for each unknown
// key while changes are only read in batches.
TEST_CASE("an instance that knows that it lags marks its view as outdated") {
  ControlFixture c;
  c.AnswerReader(Ok(5), kStart);
  REQUIRE(c.view != nullptr);
  CHECK(c.view->freshness == ConfigFreshness::kCurrent);
  // Peers are always one batch ahead, but each revision is read in time.
  absl::Time now = kStart;
  for (int64_t revision = 6; revision < 16; ++revision) {
    c.control.OnPeerPosition({0, revision}, now);
    c.control.OnPeerPosition({0, revision + 1}, now + absl::Milliseconds(900));
    c.AnswerReader(Ok(revision), now + absl::Milliseconds(950));
    now += absl::Seconds(1);
    c.control.OnTick(now);
    CHECK(c.view->freshness == ConfigFreshness::kCurrent);
  }
  // A renewed watch that is answered without the change does not help.
  c.control.OnPeerPosition({0, 20}, now);
  c.calls.clear();  // The answer to the pending watch is lost.
  c.control.OnPeerPosition({0, 20}, now + absl::Milliseconds(1250));
  c.AnswerReader(Ok(16), now + absl::Milliseconds(1300));
  c.control.OnTick(now + absl::Milliseconds(1400));
  CHECK(c.view->freshness == ConfigFreshness::kCurrent);
  c.control.OnTick(now + absl::Milliseconds(1500));
  CHECK(c.view->freshness == ConfigFreshness::kMayBeOutdated);
  c.AnswerReader(Ok(20), now + absl::Milliseconds(1600));
  CHECK(c.view->freshness == ConfigFreshness::kCurrent);
  // The store is lost.
  c.AnswerReader(Failed(StoreStatus::kUnknown), now + absl::Seconds(2));
  c.control.OnTick(now + absl::Seconds(2));
  CHECK(c.view->freshness == ConfigFreshness::kMayBeOutdated);
}

// Guards against a reader that was suspended and passes on a state that is out
// of date: servers that have left meanwhile would be in use again.
TEST_CASE("a reader that was paused serves only after the store has answered") {
  ControlFixture c;
  c.AnswerReader(Ok(5), kStart);
  c.control.OnPeerCall(1, control::StoreRange{}, kStart);
  CHECK(c.peer_answers[1].status == StoreStatus::kOk);
  const absl::Time resumed_at = kStart + absl::Seconds(8);
  c.control.OnPeerCall(2, control::StoreRange{}, resumed_at);
  CHECK(c.peer_answers[2].status == StoreStatus::kNotFound);
  // Answers to calls that were sent before the pause arrive first.
  c.AnswerRegistration(Ok(5), resumed_at);
  c.control.OnPeerCall(3, control::StoreRange{}, resumed_at);
  CHECK(c.peer_answers[3].status == StoreStatus::kNotFound);
  const absl::Time later = resumed_at + absl::Milliseconds(100);
  c.control.OnTick(later);
  c.AnswerProbes(5, later);
  c.control.OnPeerCall(4, control::StoreRange{}, later);
  CHECK(c.peer_answers[4].status == StoreStatus::kOk);
}

// Guards against followers that get no answers, and against a reader that
// continues to serve state while the store is unreachable.
TEST_CASE(
    "an instance serves other instances only while it reads the store itself") {
  ControlFixture c;
  c.control.OnPeerCall(1, control::StoreRange{}, kStart);
  CHECK(c.peer_answers[1].status == StoreStatus::kNotFound);
  StoreAnswer first = Ok(5);
  first.key_values = {{"config", "7", 5, false}};
  c.AnswerReader(first, kStart);
  c.control.OnPeerCall(2, control::StoreRange{}, kStart);
  CHECK(c.peer_answers[2].key_values.size() == 1);
  CHECK(c.peer_answers[2].revision == 5);
  control::StoreWatch watch;
  watch.after_revision = 5;
  watch.timeout = absl::Seconds(30);
  c.control.OnPeerCall(3, watch, kStart);
  c.control.OnPeerCall(4, watch, kStart);
  c.control.OnPeerDisconnected(4);
  CHECK(c.peer_answers.count(3) == 0);
  StoreAnswer newer = Ok(6);
  newer.key_values = {{"config", "8", 6, false}};
  c.AnswerReader(newer, kStart + absl::Seconds(1));
  CHECK(c.peer_answers[3].key_values.size() == 1);
  CHECK(c.peer_answers.count(4) == 0);
  watch.after_revision = 6;
  c.control.OnPeerCall(5, watch, kStart + absl::Seconds(1));
  c.AnswerReader(Failed(StoreStatus::kUnknown), kStart + absl::Seconds(2));
  CHECK(c.peer_answers[5].status == StoreStatus::kRefused);
}

}  // namespace
}  // namespace baobabwall::gateway
