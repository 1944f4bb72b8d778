#include "steer/src/adaptive_limit.h"

#include <algorithm>

namespace baobabwall::steer {
namespace internal {

constexpr double kNewLatencyWeight = 0.1;

}  // namespace internal

void AdaptiveLimit::OnAnswer(absl::Duration latency,
                             int share,
                             absl::Time now) {
  const double latency_s = absl::ToDoubleSeconds(latency);
  mean_latency_s_ = mean_latency_s_ == 0
                        ? latency_s
                        : mean_latency_s_ + internal::kNewLatencyWeight *
                                                (latency_s - mean_latency_s_);
  batch_latency_sum_s_ += latency_s;
  if (++batch_count_ < kBatchSize) {
    return;
  }
  const double batch_mean_latency_s = batch_latency_sum_s_ / batch_count_;
  batch_latency_sum_s_ = 0;
  batch_count_ = 0;
  const double max_limit = std::max(1, share);
  if (baseline_latency_s_ > 0 &&
      batch_mean_latency_s > kMaxLatencyRatio * baseline_latency_s_) {
    limit_ = std::max(1.0, std::min(limit_, max_limit) * kDecreaseFactor);
    last_decrease_ = now;
  } else {
    // If the limit reaches the full share, the limit is removed. The instance
    // can then use a growing share immediately.
    limit_ = limit_ + 1 >= max_limit ? kNoLimit : limit_ + 1;
  }
  if (baseline_latency_s_ == 0) {
    baseline_latency_s_ = batch_mean_latency_s;
    return;
  }
  baseline_latency_s_ +=
      (batch_mean_latency_s < baseline_latency_s_ ? kFasterBaselineWeight
                                                  : kSlowerBaselineWeight) *
      (batch_mean_latency_s - baseline_latency_s_);
}

void AdaptiveLimit::OnFailure(int share, absl::Time now) {
  if (now - last_decrease_ < mean_latency()) {
    return;
  }
  last_decrease_ = now;
  limit_ =
      std::max(1.0, std::min(limit_, static_cast<double>(std::max(1, share))) *
                        kDecreaseFactor);
}

int AdaptiveLimit::Limit(int share) const {
  return share <= 0
             ? 0
             : static_cast<int>(std::min<double>(share, std::max(1.0, limit_)));
}

}  // namespace baobabwall::steer
