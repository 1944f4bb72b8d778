#include "chart/src/state_chart.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace baobabwall::chart {
namespace internal {

constexpr absl::string_view kStateSectionPrefix = "state ";

void CheckNameIsKnown(const std::vector<std::string>& known_names,
                      absl::string_view category,
                      absl::string_view name,
                      absl::string_view place,
                      base::Findings* findings) {
  if (std::find(known_names.begin(), known_names.end(), name) !=
      known_names.end()) {
    return;
  }
  const std::vector<absl::string_view> candidates(known_names.begin(),
                                                  known_names.end());
  const absl::string_view nearest = base::NearestName(name, candidates);
  findings->Add(place,
                absl::StrCat("refers to the unknown ", category, " ", name),
                nearest.empty() ? "" : absl::StrCat("did you mean ", nearest));
}

}  // namespace internal

class StateChart::Parser {
 public:
  Parser(absl::string_view file,
         const Vocabulary& vocabulary,
         base::Findings* findings)
      : file_(file),
        vocabulary_(vocabulary),
        findings_(findings),
        chart_(std::make_shared<StateChart>()) {}

  std::shared_ptr<StateChart> Parse(absl::string_view text) {
    for (const base::IniEntry& entry : base::ReadIni(file_, text, findings_)) {
      ReadEntry(entry);
    }
    CheckStates();
    return chart_;
  }

 private:
  std::string PlaceOf(const base::IniEntry& entry) const {
    return absl::StrCat(file_, ":", entry.line);
  }

  void ReadEntry(const base::IniEntry& entry) {
    if (entry.section == "chart") {
      ReadChartSetting(entry);
      return;
    }
    absl::string_view state = entry.section;
    if (!absl::ConsumePrefix(&state, internal::kStateSectionPrefix)) {
      findings_->Add(PlaceOf(entry),
                     absl::StrCat("[", entry.section, "] is not a section"),
                     "[chart] or [state NAME]");
      return;
    }
    ReadTransition(std::string(state), entry);
  }

  void ReadChartSetting(const base::IniEntry& entry) {
    if (entry.key == "name") {
      chart_->name_ = entry.value;
    } else if (entry.key == "initial") {
      chart_->initial_state_ = entry.value;
    } else {
      findings_->Add(PlaceOf(entry),
                     absl::StrCat(entry.key, " is not a known setting"),
                     "name or initial");
    }
  }

  void ReadTransition(const std::string& state, const base::IniEntry& entry) {
    const std::string place = PlaceOf(entry);
    auto& transitions = chart_->transitions_by_state_[state];
    // `final = yes` declares a state without outgoing transitions.
    if (entry.key == "final") {
      return;
    }
    internal::CheckNameIsKnown(vocabulary_.events, "event", entry.key, place,
                               findings_);
    const std::pair<absl::string_view, absl::string_view> target_and_actions =
        absl::StrSplit(entry.value, absl::MaxSplits('/', 1));
    Transition transition;
    transition.target =
        std::string(absl::StripAsciiWhitespace(target_and_actions.first));
    transition_targets_.emplace_back(place, transition.target);
    for (absl::string_view action : absl::StrSplit(
             target_and_actions.second, ',', absl::SkipWhitespace())) {
      action = absl::StripAsciiWhitespace(action);
      internal::CheckNameIsKnown(vocabulary_.actions, "action", action, place,
                                 findings_);
      transition.actions.emplace_back(action);
    }
    if (!transitions.emplace(entry.key, std::move(transition)).second) {
      findings_->Add(place, absl::StrCat("is a duplicate transition for ",
                                         entry.key, " in state ", state));
    }
  }

  void CheckStates() {
    for (const auto& [state, transitions] : chart_->transitions_by_state_) {
      internal::CheckNameIsKnown(vocabulary_.states, "state", state, file_,
                                 findings_);
    }
    for (const auto& [place, target] : transition_targets_) {
      if (chart_->transitions_by_state_.count(target) == 0) {
        findings_->Add(
            place,
            absl::StrCat("transitions to the undeclared state ", target));
      }
    }
    if (chart_->transitions_by_state_.count(chart_->initial_state_) == 0) {
      findings_->Add(file_,
                     absl::StrCat("the initial state '", chart_->initial_state_,
                                  "' is not declared"));
      return;
    }
    std::set<std::string> reachable_states;
    std::vector<std::string> pending_states = {chart_->initial_state_};
    while (!pending_states.empty()) {
      const std::string state = std::move(pending_states.back());
      pending_states.pop_back();
      if (!reachable_states.insert(state).second) {
        continue;
      }
      const auto found = chart_->transitions_by_state_.find(state);
      if (found == chart_->transitions_by_state_.end()) {
        continue;
      }
      for (const auto& [event, transition] : found->second) {
        pending_states.push_back(transition.target);
      }
    }
    for (const auto& [state, transitions] : chart_->transitions_by_state_) {
      if (reachable_states.count(state) == 0) {
        findings_->Add(file_,
                       absl::StrCat("state ", state, " cannot be reached"));
      }
    }
  }

  absl::string_view file_;
  const Vocabulary& vocabulary_;
  base::Findings* findings_;
  std::shared_ptr<StateChart> chart_;
  std::vector<std::pair<std::string, std::string>> transition_targets_;
};

std::shared_ptr<const StateChart> StateChart::Parse(
    absl::string_view file,
    absl::string_view text,
    const Vocabulary& vocabulary,
    base::Findings* findings) {
  base::Findings own_findings;
  std::shared_ptr<StateChart> chart =
      Parser(file, vocabulary, &own_findings).Parse(text);
  findings->Append(own_findings);
  return own_findings.empty() ? chart : nullptr;
}

const Transition* StateChart::Find(absl::string_view state,
                                   absl::string_view event) const {
  const auto found = transitions_by_state_.find(state);
  if (found == transitions_by_state_.end()) {
    return nullptr;
  }
  const auto transition = found->second.find(event);
  return transition == found->second.end() ? nullptr : &transition->second;
}

StateMachine::StateMachine(std::shared_ptr<const StateChart> chart)
    : chart_(std::move(chart)), state_(chart_->initial()) {}

absl::Span<const std::string> StateMachine::Handle(absl::string_view event) {
  const Transition* transition = chart_->Find(state_, event);
  if (transition == nullptr) {
    return {};
  }
  state_ = transition->target;
  return transition->actions;
}

}  // namespace baobabwall::chart
