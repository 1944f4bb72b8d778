#include <catch2/catch.hpp>

#include "chart/chart.h"

namespace baobabwall::chart {
namespace {

const Vocabulary& TestVocabulary() {
  static const auto* vocabulary =
      new Vocabulary{{"idle", "busy", "done"}, {"start", "end"}, {"count"}};
  return *vocabulary;
}

TEST_CASE("a state machine takes the transitions of its chart") {
  base::Findings findings;
  const auto chart = StateChart::Parse("job.chart",
                                       "[chart]\nname = job\ninitial = idle\n"
                                       "[state idle]\nstart = busy / count\n"
                                       "[state busy]\nend = done\n"
                                       "[state done]\nfinal = yes\n",
                                       TestVocabulary(), &findings);
  REQUIRE(chart != nullptr);
  StateMachine machine(chart);
  CHECK(machine.Handle("end").empty());
  CHECK(machine.state() == "idle");
  CHECK(machine.Handle("start").size() == 1);
  machine.Handle("end");
  CHECK(machine.state() == "done");
}

// Guards against reporting only the first problem in a chart and against
// problems that are not detected.
TEST_CASE("StateChart::Parse reports all problems in an invalid chart") {
  base::Findings findings;
  const auto chart = StateChart::Parse(
      "bad.chart",
      "[chart]\nname = bad\ninitial = idle\n"
      "[state idle]\nstrat = busy\nstart = nowhere / cuont\nstart = busy\n"
      "[state busy]\nfinal = yes\n"
      "[state done]\nfinal = yes\n",
      TestVocabulary(), &findings);
  CHECK(chart == nullptr);
  const std::string findings_text = findings.ToString();
  CHECK(findings_text.find("bad.chart:5: refers to the unknown event strat") !=
        std::string::npos);
  CHECK(findings_text.find("undeclared state nowhere") != std::string::npos);
  CHECK(findings_text.find("unknown action cuont (did you mean count)") !=
        std::string::npos);
  CHECK(
      findings_text.find("bad.chart:7: is a duplicate transition for start") !=
      std::string::npos);
  CHECK(findings_text.find("state done cannot be reached") !=
        std::string::npos);
}

}  // namespace
}  // namespace baobabwall::chart
