#ifndef STEER_SRC_ADAPTIVE_LIMIT_H_
#define STEER_SRC_ADAPTIVE_LIMIT_H_

#include "absl/time/time.h"
#include "steer/src/event.h"

namespace baobabwall::steer {

/// \brief Limit on the requests in flight at a backend server, derived from
/// the latency that this instance measures.
///
/// Reported load lags and can be wrong; the measured latency is current. The
/// mean latency of each batch of answers is compared with a baseline. While
/// the mean stays below kMaxLatencyRatio times the baseline, the limit grows
/// by one; otherwise the limit is multiplied by kDecreaseFactor. The baseline
/// follows faster answers quickly and slower answers slowly: an overload hardly
/// raises the baseline, and a server that stays slower regains its limit in
/// time. A refusal or a timeout also decreases the limit, at most once per
/// mean latency, because one cause produces a burst of refusals.
class AdaptiveLimit {
 public:
  /// Number of answers per batch. If service times are exponentially
  /// distributed, the mean of 24 answers exceeds kMaxLatencyRatio by chance in
  /// less than 1 of 1,000 batches; the mean of 12 answers, in 1 of 55 batches.
  static constexpr int kBatchSize = 24;
  static constexpr double kMaxLatencyRatio = 2.0;
  static constexpr double kDecreaseFactor = 0.8;
  static constexpr double kFasterBaselineWeight = 0.1;
  static constexpr double kSlowerBaselineWeight = 0.02;

  /// \brief Records the latency of a completed request.
  /// \param share slot share of this instance, the upper bound of the limit.
  void OnAnswer(absl::Duration latency, int share, absl::Time now);

  /// \brief Records a refusal, timeout or failed connection.
  void OnFailure(int share, absl::Time now);

  /// \returns the limit, from 1 to `share`; 0 if `share` is 0.
  int Limit(int share) const;

  /// \returns moving average of the latency; zero before the first answer.
  absl::Duration mean_latency() const { return absl::Seconds(mean_latency_s_); }

 private:
  static constexpr double kNoLimit = 1e9;

  double limit_ = kNoLimit;
  double mean_latency_s_ = 0;
  double baseline_latency_s_ = 0;
  double batch_latency_sum_s_ = 0;
  int batch_count_ = 0;
  absl::Time last_decrease_ = absl::InfinitePast();
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_ADAPTIVE_LIMIT_H_
