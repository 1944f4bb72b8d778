#include "gateway/src/work_times.h"

#include "absl/strings/str_cat.h"

namespace baobabwall::gateway {
namespace internal {

std::string KeyOf(absl::string_view service, const Route& route) {
  return absl::StrCat(service, "/", route.name);
}

}  // namespace internal

WorkTime WorkTimes::Of(absl::string_view service, const Route& route) const {
  const auto found = times_.find(internal::KeyOf(service, route));
  if (found != times_.end()) {
    return found->second;
  }
  return {route.latency_objective * kFirstWarmPart,
          route.latency_objective * kFirstColdPart};
}

bool WorkTimes::OnAnswer(absl::string_view service,
                         const Route& route,
                         absl::Duration work) {
  WorkTime& time =
      times_.try_emplace(internal::KeyOf(service, route), Of(service, route))
          .first->second;
  const absl::Duration border =
      time.warm + (time.cold - time.warm) * kWarmBorder;
  const bool is_warm = work < border;
  absl::Duration& mean = is_warm ? time.warm : time.cold;
  mean += (work - mean) * kWeight;
  return is_warm;
}

}  // namespace baobabwall::gateway
