#include "gateway/src/work_times.h"

#include "absl/strings/str_cat.h"

namespace baobabwall::gateway {
namespace internal {

std::string TimesKey(absl::string_view service, const Route& route) {
  return absl::StrCat(service, "/", route.name);
}

}  // namespace internal

WorkTime WorkTimes::Of(absl::string_view service, const Route& route) const {
  const auto found = times_.find(internal::TimesKey(service, route));
  if (found != times_.end()) {
    return found->second;
  }
  return {route.latency_objective * kInitialWarmRatio,
          route.latency_objective * kInitialColdRatio};
}

bool WorkTimes::OnAnswer(absl::string_view service,
                         const Route& route,
                         absl::Duration work) {
  WorkTime& work_time =
      times_.try_emplace(internal::TimesKey(service, route), Of(service, route))
          .first->second;
  const absl::Duration threshold =
      work_time.warm + (work_time.cold - work_time.warm) * kWarmThresholdRatio;
  const bool is_warm = work < threshold;
  absl::Duration& mean = is_warm ? work_time.warm : work_time.cold;
  mean += (work - mean) * kSampleWeight;
  return is_warm;
}

}  // namespace baobabwall::gateway
