#ifndef GATEWAY_SRC_ARRIVAL_RATE_H_
#define GATEWAY_SRC_ARRIVAL_RATE_H_

#include <algorithm>
#include <cmath>

#include "absl/time/time.h"
#include "base/base.h"

namespace baobabwall::gateway {

/// \brief Rate of arrivals that follows increases within a second and forgets
/// peaks slowly, so that shares do not follow each fluctuation.
class ArrivalRate {
 public:
  static constexpr absl::Duration kWindow = absl::Seconds(1);
  /// Time constant with which a past peak is forgotten.
  static constexpr absl::Duration kPeakDecayTime = absl::Seconds(3);
  /// A rate below this value counts as none.
  static constexpr double kMinRatePerS = 0.05;

  void OnArrival(absl::Time now) {
    window_.Add(now, 1);
    peak_per_s_ = RatePerS(now);
    updated_at_ = now;
  }

  double RatePerS(absl::Time now) {
    const double current =
        static_cast<double>(window_.Sum(now)) / absl::ToDoubleSeconds(kWindow);
    const double decayed =
        updated_at_ == absl::InfinitePast()
            ? 0
            : peak_per_s_ * std::exp(-absl::FDivDuration(now - updated_at_,
                                                         kPeakDecayTime));
    const double rate = std::max(current, decayed);
    return rate < kMinRatePerS ? 0 : rate;
  }

 private:
  base::SlidingWindow window_{kWindow};
  double peak_per_s_ = 0;
  absl::Time updated_at_ = absl::InfinitePast();
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_ARRIVAL_RATE_H_
