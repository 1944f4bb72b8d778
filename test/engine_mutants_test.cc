#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/str_replace.h"
#include "request_steps.h"

namespace baobabwall::steer {
namespace {

constexpr uint64_t kSeed = 7;
// The mutant that is hardest to detect needs about 15,000 cases.
constexpr int kCases = 60'000;

struct Mutant {
  const char* name;
  bool Rules::*rule;
};

const Mutant kMutants[] = {
    {"remember_keys", &Rules::remember_keys},
    {"bind_keys_to_owner", &Rules::bind_keys_to_owner},
    {"check_relay_target", &Rules::check_relay_target},
    {"refuse_duplicate_relays", &Rules::refuse_duplicate_relays},
    {"track_last_evicted_expiry", &Rules::track_last_evicted_expiry},
    {"look_up_key_before_refusing", &Rules::look_up_key_before_refusing},
    {"pass_on_relayed_outcome", &Rules::pass_on_relayed_outcome},
    {"report_unknown_after_lost_attempt",
     &Rules::report_unknown_after_lost_attempt},
    {"no_retry_after_first_byte", &Rules::no_retry_after_first_byte},
    {"no_retry_at_relay_target", &Rules::no_retry_at_relay_target},
    {"no_start_after_deadline", &Rules::no_start_after_deadline},
    {"retry_budget", &Rules::retry_budget},
    {"limit_attempts", &Rules::limit_attempts},
    {"drop_late_answers", &Rules::drop_late_answers},
    {"quarantine", &Rules::quarantine},
    {"one_suspect_in_flight", &Rules::one_suspect_in_flight},
};

// Guards against an oracle that does not detect a missing rule.
TEST_CASE("the oracle detects each disabled rule") {
  for (const Mutant& mutant : kMutants) {
    Rules rules;
    rules.*mutant.rule = false;
    const std::string violation =
        FindViolation(rules, kRequestChartText, kSeed, kCases, false);
    INFO(mutant.name);
    CHECK_FALSE(violation.empty());
  }
}

// Guards against an oracle that does not detect an error of the chart.
TEST_CASE("the oracle detects an incorrect chart") {
  const std::string chart = absl::StrReplaceAll(
      kRequestChartText,
      {{"lost = ended / record\ncaller_gone = detached / cancel",
        "lost = ended / record, answer\ncaller_gone = detached / cancel"}});
  REQUIRE(chart != kRequestChartText);
  CHECK_FALSE(FindViolation(Rules(), chart, kSeed, kCases, false).empty());
}

}  // namespace
}  // namespace baobabwall::steer
