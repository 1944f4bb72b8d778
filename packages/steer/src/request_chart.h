#ifndef STEER_SRC_REQUEST_CHART_H_
#define STEER_SRC_REQUEST_CHART_H_

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "absl/strings/string_view.h"
#include "base/base.h"
#include "chart/chart.h"

namespace baobabwall::steer {

/// Text of charts/request.chart, embedded when the project was built.
extern const char kRequestChartText[];

/// \brief States of charts/request.chart; the comment in that file describes
/// the states, events and actions.
enum class RequestState : uint8_t {
  kArrived,
  kWaiting,
  kAttempting,
  kAnswering,
  kDetached,
  kEnded,
};
inline constexpr size_t kRequestStateCount = 6;

enum class RequestEvent : uint8_t {
  kRefuse,
  kWait,
  kStart,
  kAnswer,
  kComplete,
  kNotRun,
  kLost,
  kRetry,
  kCallerDisconnected,
  kCallerWithKeyDisconnected,
};
inline constexpr size_t kRequestEventCount = 10;

enum class RequestAction : uint8_t { kSend, kAnswer, kCancel, kRecord };

/// \brief State chart of the request life cycle. All names are resolved to
/// indices at the start, so that a transition costs one table access.
class RequestChart {
 public:
  struct Step {
    bool is_defined = false;
    RequestState target = RequestState::kArrived;
    std::vector<RequestAction> actions;
  };

  /// \brief Parses and validates a chart.
  /// \param file file name used in findings.
  /// \param findings receives every error, including states that a request
  /// could never leave.
  /// \returns nullptr if the chart has an error.
  static std::shared_ptr<const RequestChart> Parse(absl::string_view file,
                                                   absl::string_view text,
                                                   base::Findings* findings);

  RequestState initial() const { return initial_; }

  /// \returns the transition for an event; nullptr if the chart has no
  /// transition for the event.
  const Step* Find(RequestState state, RequestEvent event) const {
    const Step& step =
        steps_[static_cast<size_t>(state)][static_cast<size_t>(event)];
    return step.is_defined ? &step : nullptr;
  }

 private:
  void Resolve(const chart::StateChart& chart);
  void CheckAttemptEnds(absl::string_view file, base::Findings* findings) const;
  void CheckActions(absl::string_view file, base::Findings* findings) const;

  RequestState initial_ = RequestState::kArrived;
  std::array<std::array<Step, kRequestEventCount>, kRequestStateCount> steps_;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_REQUEST_CHART_H_
