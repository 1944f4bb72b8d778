#include "control/src/drain_progress.h"

#include <algorithm>
#include <utility>

namespace baobabwall::control {
namespace internal {

// A shift counts as reached if the moved part is below the requested part by at
// most this number of percentage points. Whether the last percent is moved
// depends on the mix of requests in a window.
constexpr double kReachedTolerancePercent = 1.0;

}  // namespace internal

const chart::Vocabulary& DrainVocabulary() {
  static const auto* const kVocabulary = new chart::Vocabulary{
      {"checking", "waiting", "refused", "draining", "drained", "cancelled"},
      {"enough", "short-refuse", "short-wait", "empty", "cancel"},
      {"stop-new-work", "report-shortage", "report-drained", "restore"}};
  return *kVocabulary;
}

const chart::Vocabulary& ShiftVocabulary() {
  static const auto* const kVocabulary =
      new chart::Vocabulary{{"moving", "limited", "in-force", "cancelled"},
                            {"reached", "capped", "below", "cancel"},
                            {"report-position", "report-limit"}};
  return *kVocabulary;
}

const chart::Vocabulary& InstanceVocabulary() {
  static const auto* const kVocabulary = new chart::Vocabulary{
      {"starting", "serving", "comparing", "leaving", "finishing", "stopped"},
      {"ready", "pause", "compared", "shutdown", "lookups-expired", "idle",
       "abort"},
      {"admit", "refuse", "announce", "stop-admitting", "abort-rest"}};
  return *kVocabulary;
}

DrainProgress::DrainProgress(model::Drain drain,
                             std::shared_ptr<const chart::StateChart> chart)
    : drain_(std::move(drain)), machine_(std::move(chart)) {}

absl::Span<const std::string> DrainProgress::OnCheckResult(
    const DrainCheckResult& result,
    bool has_started) {
  if (has_started) {
    return machine_.Handle("enough");
  }
  shortage_ = result.ToString();
  if (result.has_headroom()) {
    // The drain starts once the table records it as started, so that all
    // instances start it together.
    return {};
  }
  return machine_.Handle(drain_.on_shortage == model::DrainShortage::kRefuse
                             ? "short-refuse"
                             : "short-wait");
}

absl::Span<const std::string> DrainProgress::OnSlotsInUse(
    int64_t slots_in_use) {
  slots_in_use_ = slots_in_use;
  return slots_in_use == 0 ? machine_.Handle("empty")
                           : absl::Span<const std::string>();
}

absl::Span<const std::string> DrainProgress::OnCancel() {
  return machine_.Handle("cancel");
}

ShiftProgress::ShiftProgress(model::Shift shift,
                             std::shared_ptr<const chart::StateChart> chart)
    : shift_(std::move(shift)), machine_(std::move(chart)) {}

absl::Span<const std::string> ShiftProgress::OnMovedPercent(
    double moved_percent,
    double max_allowed_percent) {
  moved_percent_ = moved_percent;
  if (moved_percent >= shift_.percent - internal::kReachedTolerancePercent) {
    return machine_.Handle("reached");
  }
  if (moved_percent >=
      max_allowed_percent - internal::kReachedTolerancePercent) {
    return machine_.Handle("capped");
  }
  return machine_.Handle("below");
}

absl::Span<const std::string> ShiftProgress::OnCancel() {
  return machine_.Handle("cancel");
}

double MaxMovedPercent(const model::Configuration& configuration,
                       absl::string_view region) {
  int min_cap_percent = 100;
  for (const auto& [name, cap] : configuration.caps()) {
    if (cap.region == region) {
      min_cap_percent = std::min(min_cap_percent, cap.max_moved_percent);
    }
  }
  return min_cap_percent;
}

}  // namespace baobabwall::control
