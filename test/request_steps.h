#ifndef TEST_REQUEST_STEPS_H_
#define TEST_REQUEST_STEPS_H_

#include <memory>
#include <string>

#include "rapidcheck/state.h"
#include "request_simulation.h"

namespace baobabwall::steer {

/// Model of the state machine for RapidCheck. It is empty because every step is
/// valid in every state.
struct EmptyModel {};

/// \brief A step of RequestSimulation with its arguments, drawn by RapidCheck.
struct SimulationStep : rc::state::Command<EmptyModel, RequestSimulation> {
  SimulationStep();
  void run(const EmptyModel& model,
           RequestSimulation& simulation) const override;
  void show(std::ostream& out) const override;

  RequestSimulation::Step step;
  int first_argument;
  int second_argument;
};

/// \brief Searches for a sequence of steps that violates a rule.
/// \param seed seed of the random sequences.
/// \param cases number of sequences.
/// \param shrink whether to minimize a sequence with a violation.
/// \returns a description of the violation with its sequence; empty if there
/// was no violation.
std::string FindViolation(const Rules& rules,
                          const std::string& chart,
                          uint64_t seed,
                          int cases,
                          bool shrink);

}  // namespace baobabwall::steer

#endif  // TEST_REQUEST_STEPS_H_
