#include "gateway/src/demand_meter.h"

#include <cmath>

namespace baobabwall::gateway {
namespace internal {

/// Demand below this many slots is not reported.
constexpr double kLeastDemand = 0.01;

}  // namespace internal

double DemandMeter::Faded(const Sum& sum, absl::Time now) {
  if (sum.at == absl::InfinitePast()) {
    return 0;
  }
  return sum.seconds * std::exp(-absl::FDivDuration(now - sum.at, kMemory));
}

void DemandMeter::OnRequest(absl::string_view service,
                            absl::Duration work,
                            absl::Time now) {
  Sum& sum = sums_[std::string(service)];
  sum.seconds = Faded(sum, now) + absl::ToDoubleSeconds(work);
  sum.at = now;
}

absl::flat_hash_map<std::string, double> DemandMeter::Demand(
    absl::Time now) const {
  absl::flat_hash_map<std::string, double> demand;
  for (const auto& [service, sum] : sums_) {
    const double slots = Faded(sum, now) / absl::ToDoubleSeconds(kMemory);
    if (slots > internal::kLeastDemand) {
      demand.emplace(service, slots);
    }
  }
  return demand;
}

}  // namespace baobabwall::gateway
