#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "allotment_world.h"

namespace baobabwall::test {
namespace {

// Long enough for a share to be reclaimed (30 s, then a window of 20 s) and for
// a pause of 70 s to end.
constexpr absl::Duration kFaultDuration = absl::Seconds(100);
constexpr absl::Duration kRecoveryTime = absl::Seconds(150);

// Guards against shares whose sum exceeds the declared total, and against
// shares that are never used again. Every fault is tested alone and with every
// other fault.
TEST_CASE("shares stay within the declared totals under one or two faults") {
  for (int first = 0; first < kFaultCount; ++first) {
    for (int second = first; second < kFaultCount; ++second) {
      AllotmentWorld world(1000 + first * kFaultCount + second, {});
      world.RunFor(absl::Seconds(40));
      CAPTURE(first, second);
      CHECK(world.UnconvergedReason() == "");
      world.InjectFault(static_cast<Fault>(first));
      if (second != first) {
        world.RunFor(absl::Seconds(second % 5));
        world.InjectFault(static_cast<Fault>(second));
      }
      world.RunFor(kFaultDuration);
      world.EndFaults();
      world.RunFor(kRecoveryTime);
      CHECK(world.violation() == "");
      CHECK(world.UnconvergedReason() == "");
    }
  }
}

/// \returns the first violation in a series of runs with up to three faults
/// each, drawn from `kinds`; empty if there was no violation.
std::string FirstViolation(const control::AllotmentRules& rules,
                           const std::vector<Fault>& fault_kinds,
                           int runs) {
  for (int run = 0; run < runs; ++run) {
    base::Random random(run);
    AllotmentWorld world(run, rules);
    world.RunFor(absl::Seconds(40));
    for (int i = 0; i < 3; ++i) {
      world.InjectFault(fault_kinds[random.Below(fault_kinds.size())]);
      world.RunFor(absl::Seconds(random.Below(40)));
    }
    world.RunFor(kFaultDuration);
    if (!world.violation().empty()) {
      return world.violation();
    }
  }
  return "";
}

struct DisabledRule {
  const char* name;
  std::vector<Fault> fault_kinds;  ///< Faults that expose the missing rule.
  std::function<void(control::AllotmentRules*)> apply;
};

// Guards against an oracle that does not detect a missing rule.
TEST_CASE("the oracle detects each rule that is switched off") {
  using Rules = control::AllotmentRules;
  const DisabledRule disabled_rules[] = {
      {"grow after acknowledgement",
       {Fault::kJoin, Fault::kKill},
       [](Rules* r) { r->planner.grow_after_acknowledgement = false; }},
      {"grow within total",
       {Fault::kJoin, Fault::kKill, Fault::kLowerTotals},
       [](Rules* r) { r->planner.grow_within_total = false; }},
      {"limit use to target",
       {Fault::kJoin, Fault::kAddZone},
       [](Rules* r) { r->limit_use_to_target = false; }},
      {"check use before acknowledgement",
       {Fault::kJoin, Fault::kKill},
       [](Rules* r) { r->check_use_before_acknowledgement = false; }},
      {"acknowledge after usage report",
       {Fault::kJoin},
       [](Rules* r) { r->acknowledge_after_usage_report = false; }},
      {"release after window",
       {Fault::kJoin, Fault::kAddZone, Fault::kLeave},
       [](Rules* r) { r->release_after_window = false; }},
      {"reclaim only if unlisted",
       {Fault::kPartition, Fault::kShortPause, Fault::kLongPause},
       [](Rules* r) { r->reclaim_only_if_unlisted = false; }},
      {"reclaim after grace period",
       {Fault::kKill, Fault::kKillWithoutRestart},
       [](Rules* r) { r->reclaim_after_grace_period = false; }},
      {"confirm after pause",
       {Fault::kLongPause},
       [](Rules* r) { r->confirm_after_pause = false; }},
      {"ignore older epochs",
       {Fault::kStaleReads, Fault::kJoin, Fault::kKill, Fault::kLeave},
       [](Rules* r) { r->ignore_older_epochs = false; }},
      {"scale lowered totals",
       {Fault::kLowerTotals, Fault::kDelayedConfiguration, Fault::kJoin},
       [](Rules* r) {
         r->scale_lowered_totals = false;
         r->planner.scale_lowered_totals = false;
       }},
      {"compare with the revision that was read",
       {Fault::kDelayedCalls, Fault::kJoin, Fault::kKill},
       [](Rules* r) { r->compare_with_read_revision = false; }},
  };
  for (const DisabledRule& disabled_rule : disabled_rules) {
    control::AllotmentRules rules;
    disabled_rule.apply(&rules);
    CAPTURE(disabled_rule.name);
    CHECK(FirstViolation({}, disabled_rule.fault_kinds, 5) == "");
    const std::string found =
        FirstViolation(rules, disabled_rule.fault_kinds, 300);
    INFO(found);
    CHECK(found != "");
  }
}

// Guards against fault sequences that the other tests do not cover.
TEST_CASE(
    "shares stay within the declared totals under random fault sequences") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::inRange<uint64_t>(0, 1'000'000);
    const auto faults = *rc::gen::resize(
        8, rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
               rc::gen::inRange(0, kFaultCount), rc::gen::inRange(0, 40))));
    AllotmentWorld world(seed, {});
    world.RunFor(absl::Seconds(20));
    for (const auto& [fault, delay_seconds] : faults) {
      world.InjectFault(static_cast<Fault>(fault));
      world.RunFor(absl::Seconds(delay_seconds));
    }
    world.EndFaults();
    world.RunFor(kRecoveryTime);
    RC_ASSERT(world.violation() == "");
    RC_ASSERT(world.UnconvergedReason() == "");
  }));
}

}  // namespace
}  // namespace baobabwall::test
