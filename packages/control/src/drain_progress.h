#ifndef CONTROL_SRC_DRAIN_PROGRESS_H_
#define CONTROL_SRC_DRAIN_PROGRESS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "chart/chart.h"
#include "control/src/drain_check.h"
#include "model/model.h"

namespace baobabwall::control {

/// \returns the states, events and actions that charts/drain.chart may use.
const chart::Vocabulary& DrainVocabulary();

/// \returns the states, events and actions that charts/shift.chart may use.
const chart::Vocabulary& ShiftVocabulary();

/// \returns the states, events and actions that charts/instance.chart may use.
const chart::Vocabulary& InstanceVocabulary();

/// \brief Progress of one drain at this instance, driven by charts/drain.chart.
class DrainProgress {
 public:
  DrainProgress(model::Drain drain,
                std::shared_ptr<const chart::StateChart> chart);

  /// \brief Handles the result of a headroom check.
  /// \param has_started true if the table records the drain as started.
  /// \returns the actions of the chart.
  absl::Span<const std::string> OnCheckResult(const DrainCheckResult& result,
                                              bool has_started);

  /// \param slots_in_use number of requests in flight at the drained resource.
  absl::Span<const std::string> OnSlotsInUse(int64_t slots_in_use);

  /// \brief Handles the deletion of the drain resource.
  absl::Span<const std::string> OnCancel();

  const std::string& state() const { return machine_.state(); }
  const model::Drain& drain() const { return drain_; }
  int64_t slots_in_use() const { return slots_in_use_; }
  /// \returns the shortfalls of the last failed check, empty if every check
  /// passed.
  const std::string& shortage() const { return shortage_; }

 private:
  model::Drain drain_;
  chart::StateMachine machine_;
  int64_t slots_in_use_ = 0;
  std::string shortage_;
};

/// \brief Progress of one shift, driven by charts/shift.chart.
///
/// The caps of the source region limit the requests that a shift moves.
/// Requests that failover and drains move use the same shares of these caps. A
/// shift therefore gets only the part of the cap that failover and drains leave
/// unused.
class ShiftProgress {
 public:
  ShiftProgress(model::Shift shift,
                std::shared_ptr<const chart::StateChart> chart);

  /// \brief Compares the moved part of the traffic with the requested part.
  /// \param moved_percent part of the source region's traffic for the service
  /// that moved in the last window, 0 to 100.
  /// \param max_allowed_percent largest part that the caps of the region allow.
  absl::Span<const std::string> OnMovedPercent(double moved_percent,
                                               double max_allowed_percent);

  absl::Span<const std::string> OnCancel();

  const std::string& state() const { return machine_.state(); }
  double moved_percent() const { return moved_percent_; }

 private:
  model::Shift shift_;
  chart::StateMachine machine_;
  double moved_percent_ = 0;
};

/// \returns the largest percentage of a region's declared traffic that may move
/// at the same time: the lowest of the region's caps, or 100 without a cap.
double MaxMovedPercent(const model::Configuration& configuration,
                       absl::string_view region);

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_DRAIN_PROGRESS_H_
