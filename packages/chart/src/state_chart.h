#ifndef CHART_SRC_STATE_CHART_H_
#define CHART_SRC_STATE_CHART_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "base/base.h"

namespace baobabwall::chart {

/// \brief The states, events and actions that the program implements and that a
/// chart may therefore use.
struct Vocabulary {
  std::vector<std::string> states;
  std::vector<std::string> events;
  std::vector<std::string> actions;
};

/// \brief Target state of an event and the actions to run on the transition.
struct Transition {
  std::string target;
  std::vector<std::string> actions;
};

/// \brief Immutable state chart that is read from a file.
///
/// The file is in INI format. The section `[chart]` sets `name` and `initial`.
/// A section `[state NAME]` for each state contains transition lines:
///
///     event = target / action, action
///
/// An event without a transition line does not change the state.
class StateChart {
 public:
  /// \brief Parses and validates a chart.
  /// \param file file name used in findings.
  /// \param text the complete text of the file.
  /// \param vocabulary the names that the chart may use.
  /// \param findings receives every problem: an unknown state, event or action,
  /// an unreachable state, or several transitions for the same event.
  /// \returns nullptr if any problem was found.
  static std::shared_ptr<const StateChart> Parse(absl::string_view file,
                                                 absl::string_view text,
                                                 const Vocabulary& vocabulary,
                                                 base::Findings* findings);

  const std::string& name() const { return name_; }
  const std::string& initial() const { return initial_state_; }

  /// \returns nullptr if the state has no transition for the event.
  const Transition* Find(absl::string_view state,
                         absl::string_view event) const;

 private:
  class Parser;

  std::string name_;
  std::string initial_state_;
  std::map<std::string,
           std::map<std::string, Transition, std::less<>>,
           std::less<>>
      transitions_by_state_;
};

/// \brief State machine that executes a chart and holds the current state.
class StateMachine {
 public:
  explicit StateMachine(std::shared_ptr<const StateChart> chart);

  const std::string& state() const { return state_; }

  /// \brief Takes the transition of the current state for an event.
  /// \returns the actions of the transition in order, or an empty span if the
  /// state has no transition for the event.
  absl::Span<const std::string> Handle(absl::string_view event);

 private:
  std::shared_ptr<const StateChart> chart_;
  std::string state_;
};

}  // namespace baobabwall::chart

#endif  // CHART_SRC_STATE_CHART_H_
