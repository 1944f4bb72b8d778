#include "request_steps.h"

#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

#include <sstream>

namespace baobabwall::steer {
namespace {

// Relative frequency of each step, in the order of RequestSimulation::Step.
const int kStepWeights[RequestSimulation::kStepCount] = {
    14, 12, 2, 24, 8, 2, 4, 4, 1, 3, 3, 2, 4, 2, 3, 2, 2, 3, 6, 4};

}  // namespace

SimulationStep::SimulationStep() {
  int total = 0;
  for (int weight : kStepWeights) {
    total += weight;
  }
  int random_value = *rc::gen::noShrink(rc::gen::inRange(0, total));
  int index = 0;
  while (random_value >= kStepWeights[index]) {
    random_value -= kStepWeights[index++];
  }
  step = static_cast<RequestSimulation::Step>(index);
  first_argument = *rc::gen::inRange(0, 36);
  second_argument = *rc::gen::inRange(0, 3);
}

void SimulationStep::run(const EmptyModel& /*model*/,
                         RequestSimulation& simulation) const {
  simulation.Execute(step, first_argument, second_argument);
}

void SimulationStep::show(std::ostream& out) const {
  out << RequestSimulation::NameOf(step) << " " << first_argument << " "
      << second_argument;
}

std::string FindViolation(const Rules& rules,
                          const std::string& chart,
                          uint64_t seed,
                          int cases,
                          bool shrink) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  params.maxSize = 150;
  params.disableShrinking = !shrink;
  rc::detail::TestMetadata metadata;
  metadata.id = "request oracle";
  rc::detail::TestListenerAdapter listener;
  const auto result = rc::detail::checkTestable(
      [&] {
        RequestSimulation simulation(rules, chart);
        rc::state::check(EmptyModel(), simulation,
                         rc::state::gen::execOneOfWithArgs<SimulationStep>());
        simulation.Finish();
      },
      metadata, params, listener);
  if (result.template is<rc::detail::SuccessResult>()) {
    return "";
  }
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  return text.str();
}

}  // namespace baobabwall::steer
