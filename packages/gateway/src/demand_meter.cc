#include "gateway/src/demand_meter.h"

#include <cmath>

namespace baobabwall::gateway {
namespace internal {

/// Demand below this number of slots is not reported.
constexpr double kMinReportedDemand = 0.01;

}  // namespace internal

double DemandMeter::Decayed(const DecayedSum& sum, absl::Time now) {
  if (sum.updated_at == absl::InfinitePast()) {
    return 0;
  }
  return sum.seconds *
         std::exp(-absl::FDivDuration(now - sum.updated_at, kDecayTime));
}

void DemandMeter::OnRequest(absl::string_view service,
                            absl::Duration work,
                            absl::Time now) {
  DecayedSum& sum = sums_by_service_[std::string(service)];
  sum.seconds = Decayed(sum, now) + absl::ToDoubleSeconds(work);
  sum.updated_at = now;
}

absl::flat_hash_map<std::string, double> DemandMeter::Demand(
    absl::Time now) const {
  absl::flat_hash_map<std::string, double> demand;
  for (const auto& [service, sum] : sums_by_service_) {
    const double slots = Decayed(sum, now) / absl::ToDoubleSeconds(kDecayTime);
    if (slots > internal::kMinReportedDemand) {
      demand.emplace(service, slots);
    }
  }
  return demand;
}

}  // namespace baobabwall::gateway
