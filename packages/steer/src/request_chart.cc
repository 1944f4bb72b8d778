#include "steer/src/request_chart.h"

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"

namespace baobabwall::steer {
namespace internal {

// The names have the same order as the enumerators.
const chart::Vocabulary& RequestVocabulary() {
  static const auto* vocabulary = new chart::Vocabulary{
      {"arrived", "waiting", "attempting", "answering", "detached", "ended"},
      {"refuse", "wait", "start", "answer", "complete", "not_run", "lost",
       "again", "caller_gone", "caller_gone_keyed"},
      {"send", "answer", "cancel", "record"}};
  return *vocabulary;
}

/// \returns true if the event provides the data that the action needs.
bool IsActionAllowed(RequestEvent event, RequestAction action) {
  const bool is_disconnect = event == RequestEvent::kCallerDisconnected ||
                             event == RequestEvent::kCallerWithKeyDisconnected;
  const bool is_end =
      event == RequestEvent::kRefuse || event == RequestEvent::kComplete ||
      event == RequestEvent::kNotRun || event == RequestEvent::kLost;
  switch (action) {
    case RequestAction::kSend:
      return event == RequestEvent::kStart;
    case RequestAction::kAnswer:
      return is_end;
    case RequestAction::kCancel:
      return is_disconnect;
    case RequestAction::kRecord:
      return is_end || is_disconnect;
  }
  return false;
}

size_t IndexOf(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) - names.begin();
}

}  // namespace internal

std::shared_ptr<const RequestChart> RequestChart::Parse(
    absl::string_view file,
    absl::string_view text,
    base::Findings* findings) {
  const auto chart = chart::StateChart::Parse(
      file, text, internal::RequestVocabulary(), findings);
  if (chart == nullptr) {
    return nullptr;
  }
  auto result = std::make_shared<RequestChart>();
  result->Resolve(*chart);
  base::Findings chart_findings;
  result->CheckAttemptEnds(file, &chart_findings);
  result->CheckActions(file, &chart_findings);
  findings->Append(chart_findings);
  return chart_findings.empty() ? result : nullptr;
}

void RequestChart::Resolve(const chart::StateChart& chart) {
  const chart::Vocabulary& vocabulary = internal::RequestVocabulary();
  initial_ = static_cast<RequestState>(
      internal::IndexOf(vocabulary.states, chart.initial()));
  for (size_t state = 0; state < kRequestStateCount; ++state) {
    for (size_t event = 0; event < kRequestEventCount; ++event) {
      const chart::Transition* transition =
          chart.Find(vocabulary.states[state], vocabulary.events[event]);
      if (transition == nullptr) {
        continue;
      }
      Step& step = steps_[state][event];
      step.is_defined = true;
      step.target = static_cast<RequestState>(
          internal::IndexOf(vocabulary.states, transition->target));
      for (const std::string& action : transition->actions) {
        step.actions.push_back(static_cast<RequestAction>(
            internal::IndexOf(vocabulary.actions, action)));
      }
    }
  }
}

void RequestChart::CheckAttemptEnds(absl::string_view file,
                                    base::Findings* findings) const {
  // In every state with an attempt, the end of the attempt must end the
  // request. Otherwise the slot would be released while the request waits
  // forever.
  for (RequestState state :
       {RequestState::kAttempting, RequestState::kAnswering,
        RequestState::kDetached}) {
    for (RequestEvent event : {RequestEvent::kComplete, RequestEvent::kNotRun,
                               RequestEvent::kLost}) {
      const Step* step = Find(state, event);
      if (step != nullptr && step->target == RequestState::kEnded) {
        continue;
      }
      const chart::Vocabulary& vocabulary = internal::RequestVocabulary();
      findings->Add(
          file,
          absl::StrCat("does not end a request in state ",
                       vocabulary.states[static_cast<size_t>(state)], " on ",
                       vocabulary.events[static_cast<size_t>(event)]));
    }
  }
}

void RequestChart::CheckActions(absl::string_view file,
                                base::Findings* findings) const {
  const chart::Vocabulary& vocabulary = internal::RequestVocabulary();
  for (size_t state = 0; state < kRequestStateCount; ++state) {
    for (size_t event = 0; event < kRequestEventCount; ++event) {
      for (RequestAction action : steps_[state][event].actions) {
        if (internal::IsActionAllowed(static_cast<RequestEvent>(event),
                                      action)) {
          continue;
        }
        findings->Add(
            file, absl::StrCat("cannot do ",
                               vocabulary.actions[static_cast<size_t>(action)],
                               " on ", vocabulary.events[event], " in state ",
                               vocabulary.states[state]));
      }
    }
  }
}

}  // namespace baobabwall::steer
