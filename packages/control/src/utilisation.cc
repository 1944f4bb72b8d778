#include "control/src/utilisation.h"

#include <algorithm>
#include <cmath>

namespace baobabwall::control {
namespace internal {

constexpr double kUtilisationStep = 0.05;

}  // namespace internal

std::map<std::string, double, std::less<>> UtilisationByService(
    absl::Span<const steer::BackendView> backends,
    const std::map<std::string, int, std::less<>>& slots_in_use) {
  struct ServiceSlots {
    int allotted = 0;
    int in_use = 0;
  };
  std::map<std::string, ServiceSlots, std::less<>> slots_by_service;
  for (const steer::BackendView& backend : backends) {
    ServiceSlots& slots = slots_by_service[backend.service];
    slots.allotted += backend.slot_share;
    const auto found = slots_in_use.find(backend.name);
    slots.in_use += found == slots_in_use.end() ? 0 : found->second;
  }
  std::map<std::string, double, std::less<>> utilisation;
  for (const auto& [service, slots] : slots_by_service) {
    // An instance without a slot cannot process requests of the service, so it
    // counts as fully utilised.
    const double utilisation_ratio =
        slots.allotted == 0
            ? 1.0
            : std::min(1.0, static_cast<double>(slots.in_use) / slots.allotted);
    utilisation[service] =
        std::round(utilisation_ratio / internal::kUtilisationStep) *
        internal::kUtilisationStep;
  }
  return utilisation;
}

}  // namespace baobabwall::control
