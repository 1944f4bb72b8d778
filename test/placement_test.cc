#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "steer_fixture.h"

namespace baobabwall::steer {
namespace {

constexpr absl::Duration kServiceTime = absl::Milliseconds(100);

AttemptEnd MakeAttemptEnd(AttemptResult result, int64_t answer_bytes = 2'000) {
  AttemptEnd end;
  end.result = result;
  end.answer_bytes = answer_bytes;
  return end;
}

/// \brief Completes one request, so that Placement has a mean service time.
void CompleteOneRequest(Placement* placement, const std::string& service) {
  PlacementRequest request = TestRequest(service);
  const PlacementChoice choice = placement->Choose(request, kTestStart);
  REQUIRE(choice.type == PlacementChoice::Type::kTarget);
  placement->Release(choice.target, MakeAttemptEnd(AttemptResult::kCompleted),
                     kServiceTime, kTestStart);
}

/// \brief Takes all slots of a service, which has three servers with one slot
/// each.
void TakeAllSlots(Placement* placement, const std::string& service) {
  for (int i = 0; i < 3; ++i) {
    PlacementRequest request = TestRequest(service);
    placement->Choose(request, kTestStart);
  }
}

// Guards against runs whose answer arrives after the deadline, and against
// refused callers that all retry at the same time.
TEST_CASE("a request that would miss its deadline is refused at once") {
  for (const bool is_rule_enabled : {true, false}) {
    PlacementRules rules;
    rules.refuses_late = is_rule_enabled;
    Placement placement(1, rules);
    placement.Publish(TestSnapshot(1), kTestStart);
    CompleteOneRequest(&placement, "reservas");
    TakeAllSlots(&placement, "reservas");
    PlacementRequest late = TestRequest("reservas");
    late.deadline = kTestStart + kServiceTime;
    PlacementRequest later = late;
    const PlacementChoice first = placement.Choose(late, kTestStart);
    const PlacementChoice second = placement.Choose(later, kTestStart);
    CHECK((first.type == PlacementChoice::Type::kRefuse) == is_rule_enabled);
    if (is_rule_enabled) {
      CHECK(first.retry_after >= absl::Seconds(1));
      CHECK(first.retry_after != second.retry_after);
    }
  }
}

/// \returns type of the choice for a request with one waiting request ahead.
/// The expected wait is two thirds of kServiceTime.
PlacementChoice::Type TypeWithOneWaiting(const PlacementRules& rules) {
  Placement placement(1, rules);
  placement.Publish(TestSnapshot(1), kTestStart);
  CompleteOneRequest(&placement, "reservas");
  TakeAllSlots(&placement, "reservas");
  PlacementRequest request = TestRequest("reservas");
  request.waiting = 1;
  return placement.Choose(request, kTestStart).type;
}

// Guards against queues that add latency without goodput.
TEST_CASE("the expected wait is limited to a fraction of the service time") {
  for (const bool is_rule_enabled : {true, false}) {
    PlacementRules rules;
    rules.bounds_wait = is_rule_enabled;
    Placement placement(1, rules);
    placement.Publish(TestSnapshot(1), kTestStart);
    CompleteOneRequest(&placement, "reservas");
    TakeAllSlots(&placement, "reservas");
    PlacementRequest request = TestRequest("reservas");
    CHECK(placement.Choose(request, kTestStart).type ==
          PlacementChoice::Type::kWait);
    // The expected wait is two thirds of the service time.
    request.waiting = 1;
    CHECK(placement.Choose(request, kTestStart).type ==
          PlacementChoice::Type::kWait);
    PlacementRules short_max_wait = rules;
    short_max_wait.max_wait = absl::Milliseconds(50);
    CHECK(TypeWithOneWaiting(short_max_wait) ==
          (is_rule_enabled ? PlacementChoice::Type::kRefuse
                           : PlacementChoice::Type::kWait));
    // The expected wait is the whole service time.
    request.waiting = 2;
    CHECK((placement.Choose(request, kTestStart).type ==
           PlacementChoice::Type::kRefuse) == is_rule_enabled);
  }
}

// Guards against a shift that moves too many requests or no request.
TEST_CASE("a shift sends its percentage of requests to the other region") {
  for (const bool is_rule_enabled : {true, false}) {
    PlacementRules rules;
    rules.applies_shifts = is_rule_enabled;
    Placement placement(1, rules);
    auto snapshot = TestSnapshot(1'000, 30);
    AddInstance(snapshot.get(), "amba-a-2", 0.1);
    for (int i = 1; i <= 100; ++i) {
      AddInstance(snapshot.get(), "cuyo-a-" + std::to_string(i), 0.1);
    }
    placement.Publish(snapshot, kTestStart);
    int moved_count = 0;
    for (int i = 0; i < 200; ++i) {
      PlacementRequest request = TestRequest("reservas");
      const PlacementChoice choice =
          placement.Choose(request, kTestStart + i * kServiceTime);
      moved_count += choice.target.name.find("cuyo") == 0 ? 1 : 0;
    }
    CHECK(moved_count == (is_rule_enabled ? 60 : 0));
  }
}

// Guards against a shift that refuses requests when the other region is full.
TEST_CASE("a shifted request runs at home if the other region is full") {
  Placement placement(1, PlacementRules());
  auto snapshot = TestSnapshot(10, 100);
  AddInstance(snapshot.get(), "cuyo-a-1", 1.0);
  placement.Publish(snapshot, kTestStart);
  PlacementRequest request = TestRequest("reservas");
  CHECK(placement.Choose(request, kTestStart).target.type ==
        Target::Type::kBackendServer);
}

/// \returns maximum number of requests that one of 20 instances receives while
/// 60 other instances choose with the same outdated load reports.
int MaxRelaysPerInstance(const PlacementRules& rules) {
  std::map<std::string, int> sent;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    Placement placement(seed, rules);
    auto snapshot = TestSnapshot(0);
    for (int i = 1; i <= 20; ++i) {
      AddInstance(snapshot.get(), "amba-a-" + std::to_string(i + 1),
                  i == 7 ? 0.40 : 0.45);
    }
    placement.Publish(snapshot, kTestStart);
    PlacementRequest request = TestRequest("reservas");
    ++sent[placement.Choose(request, kTestStart).target.name];
  }
  int max_relays = 0;
  for (const auto& [name, count] : sent) {
    max_relays = std::max(max_relays, count);
  }
  return max_relays;
}

// Guards against a thundering herd, in which all instances relay to the
// instance with the lowest reported load.
TEST_CASE("instances with the same outdated load reports spread their relays") {
  CHECK(MaxRelaysPerInstance(PlacementRules()) <= 60 / 5);
  PlacementRules disabled_rule;
  disabled_rule.randomises = false;
  CHECK(MaxRelaysPerInstance(disabled_rule) == 60);
}

/// \returns number of changes of the chosen zone while two zones alternate in
/// having a slightly lower load.
int CountZoneChanges(const PlacementRules& rules) {
  Placement placement(1, rules);
  int changes = 0;
  std::string last;
  for (int i = 0; i < 40; ++i) {
    auto snapshot = TestSnapshot(0);
    AddInstance(snapshot.get(), "amba-b-1", i % 2 == 0 ? 0.50 : 0.52);
    AddInstance(snapshot.get(), "amba-c-1", i % 2 == 0 ? 0.52 : 0.50);
    placement.Publish(snapshot, kTestStart + absl::Seconds(i));
    PlacementRequest request = TestRequest("disponible");
    const std::string zone =
        placement.Choose(request, kTestStart).target.name.substr(0, 6);
    changes += !last.empty() && zone != last ? 1 : 0;
    last = zone;
  }
  return changes;
}

// Guards against traffic that oscillates between zones with every load report.
TEST_CASE("relays change the zone only if the score is better by a margin") {
  CHECK(CountZoneChanges(PlacementRules()) == 0);
  PlacementRules disabled_rule;
  disabled_rule.uses_hysteresis = false;
  CHECK(CountZoneChanges(disabled_rule) == 39);
}

// Guards against relays to another region while a nearer zone has free slots.
TEST_CASE("relays prefer the own zone, then the region, then other regions") {
  auto snapshot = TestSnapshot(0);
  AddInstance(snapshot.get(), "cuyo-a-1", 0.0);
  AddInstance(snapshot.get(), "amba-b-1", 0.5);
  AddInstance(snapshot.get(), "amba-a-2", 0.7);
  Placement placement(1, PlacementRules());
  placement.Publish(snapshot, kTestStart);
  PlacementRequest request = TestRequest("reservas");
  for (const char* name : {"amba-a-2", "amba-b-1", "cuyo-a-1"}) {
    CHECK(placement.Choose(request, kTestStart).target.name == name);
    request.excluded_targets.insert(name);
  }
}

// Guards against losing counts of moved requests when the window of a cap is
// lengthened.
TEST_CASE("a lengthened cap window still counts earlier moved requests") {
  Placement placement(1, PlacementRules());
  auto snapshot = TestSnapshot(10);
  placement.Publish(snapshot, kTestStart);
  PlacementRequest request = TestRequest("reservas");
  request.home_region = "cuyo";
  for (int i = 0; i < 3; ++i) {
    CHECK(placement.Choose(request, kTestStart).type ==
          PlacementChoice::Type::kTarget);
  }
  const absl::Time later = kTestStart + absl::Seconds(11);
  auto longer_window = std::make_shared<Snapshot>(*snapshot);
  longer_window->configuration = TestConfiguration(0, 60'000);
  placement.Publish(longer_window, later);
  CHECK(placement.Choose(request, later).type ==
        PlacementChoice::Type::kRefuse);
  CHECK(placement.Choose(request, kTestStart + absl::Seconds(62)).type ==
        PlacementChoice::Type::kTarget);
}

// Guards against a link budget that is not corrected after a wrong size
// estimate.
TEST_CASE("an answer larger than its estimate blocks the link for a time") {
  LinkBudget budget(true);
  budget.SetRate(100'000, kTestStart);
  REQUIRE(budget.TryTake(1'000, false, kTestStart));
  budget.AdjustBytes(124'000, false, kTestStart);
  CHECK_FALSE(budget.TryTake(1, false, kTestStart + absl::Seconds(0.9)));
  CHECK(budget.TryTake(1, false, kTestStart + absl::Seconds(1.1)));
}

double Exponential(base::Random* random) {
  return -std::log(1 - random->Unit());
}

// Guards against sending the full share of requests to a slow server, and
// against a limit that decreases by chance or stays low after a recovery.
TEST_CASE("the adaptive limit follows the measured latency") {
  AdaptiveLimit limit;
  base::Random random(5);
  int reduced_limit_count = 0;
  constexpr int answer_count = 20'000;
  for (int i = 0; i < answer_count; ++i) {
    limit.OnAnswer(kServiceTime * Exponential(&random), 8, kTestStart);
    reduced_limit_count += limit.Limit(8) < 8 ? 1 : 0;
  }
  CHECK(reduced_limit_count < answer_count / 100);
  for (int i = 0; i < 10 * AdaptiveLimit::kBatchSize; ++i) {
    limit.OnAnswer(4 * kServiceTime * Exponential(&random), 8, kTestStart);
  }
  CHECK(limit.Limit(8) <= 2);
  for (int i = 0; i < 10 * AdaptiveLimit::kBatchSize; ++i) {
    limit.OnAnswer(kServiceTime * Exponential(&random), 8, kTestStart);
  }
  CHECK(limit.Limit(8) == 8);
  CHECK(limit.Limit(0) == 0);
}

// Guards against preferring a server because its failures have a low latency.
TEST_CASE("fast failures reduce the requests sent to a server") {
  for (const bool is_rule_enabled : {true, false}) {
    PlacementRules rules;
    rules.adapts_limit = is_rule_enabled;
    Placement placement(1, rules);
    placement.Publish(TestSnapshot(8), kTestStart);
    int failed_count = 0;
    for (int i = 0; i < 300; ++i) {
      const absl::Time now = kTestStart + i * kServiceTime;
      PlacementRequest request = TestRequest("reservas");
      const PlacementChoice choice = placement.Choose(request, now);
      AttemptEnd end = MakeAttemptEnd(AttemptResult::kCompleted);
      end.status = choice.target.name == "reservas0" ? 500 : 200;
      failed_count += end.status == 500 ? 1 : 0;
      placement.Release(choice.target, end,
                        end.status == 500 ? kServiceTime / 10 : kServiceTime,
                        now);
    }
    // With the rule, the failing server gets at most a tenth of an equal share;
    // without the rule, at least about an equal share.
    CHECK((failed_count < 10) == is_rule_enabled);
    CHECK((failed_count > 80) == !is_rule_enabled);
    CHECK(placement.Limit("reservas1") == 8);
  }
}

// Guards against an overloaded service that takes slots or queue entries of
// another service of the same instance.
TEST_CASE("an overloaded service does not delay another service") {
  const auto engine = Engine::Builder().QueueLength(8).Build();
  engine->Publish(TestSnapshot(1), kTestStart);
  RequestArrival arrival;
  arrival.method = "GET";
  arrival.deadline = kTestStart + absl::Seconds(2);
  arrival.service = "cancionero";
  int refused_count = 0;
  for (arrival.id = 1; arrival.id <= 200; ++arrival.id) {
    for (const Action& action : engine->OnArrival(arrival, kTestStart)) {
      const auto* answer = std::get_if<AnswerCaller>(&action);
      refused_count += answer != nullptr ? 1 : 0;
      CHECK(
          (answer == nullptr || (answer->outcome == base::Outcome::kNotRun &&
                                 answer->retry_after > absl::ZeroDuration())));
    }
  }
  CHECK(refused_count == 200 - 3 - 8);
  arrival.service = "reservas";
  const Actions actions = engine->OnArrival(arrival, kTestStart);
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<StartAttempt>(actions[0]));
}

// Guards against starting queued requests at a leaving server.
TEST_CASE("queued requests do not start at a leaving server") {
  const auto engine = Engine::Builder().Build();
  const auto snapshot = TestSnapshot(1);
  engine->Publish(snapshot, kTestStart);
  RequestArrival arrival;
  arrival.method = "GET";
  arrival.deadline = kTestStart + absl::Seconds(2);
  arrival.service = "reservas";
  std::vector<StartAttempt> started;
  for (arrival.id = 1; arrival.id <= 4; ++arrival.id) {
    for (const Action& action : engine->OnArrival(arrival, kTestStart)) {
      started.push_back(std::get<StartAttempt>(action));
    }
  }
  REQUIRE(started.size() == 3);
  auto leaving = std::make_shared<Snapshot>(*snapshot);
  for (BackendView& view : leaving->backends) {
    view.is_leaving = view.name == started[0].target.name;
  }
  CHECK(engine->Publish(leaving, kTestStart).empty());
  AttemptEnd end = MakeAttemptEnd(AttemptResult::kCompleted);
  end.request = started[0].request;
  end.attempt = started[0].attempt;
  CHECK(engine->OnAttemptEnd(end, kTestStart).empty());
  end.request = started[1].request;
  end.attempt = started[1].attempt;
  const Actions next = engine->OnAttemptEnd(end, kTestStart);
  REQUIRE(next.size() == 1);
  CHECK(std::get<StartAttempt>(next[0]).target.name == started[1].target.name);
}

}  // namespace
}  // namespace baobabwall::steer
