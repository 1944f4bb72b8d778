#include "gateway/src/directory.h"

#include <algorithm>

namespace baobabwall::gateway {
namespace internal {

std::vector<const InstanceRecord*> Nearest(
    const CallerPlace& caller,
    absl::Span<const InstanceRecord> live) {
  std::vector<const InstanceRecord*> in_zone;
  std::vector<const InstanceRecord*> in_region;
  std::vector<const InstanceRecord*> all;
  for (const InstanceRecord& instance : live) {
    all.push_back(&instance);
    if (instance.region != caller.region) {
      continue;
    }
    in_region.push_back(&instance);
    if (instance.zone == caller.zone) {
      in_zone.push_back(&instance);
    }
  }
  if (!in_zone.empty()) {
    return in_zone;
  }
  return in_region.empty() ? all : in_region;
}

}  // namespace internal

std::vector<const InstanceRecord*> Directory::Choose(
    const CallerPlace& caller,
    absl::Span<const InstanceRecord> live) {
  std::vector<const InstanceRecord*> nearest = internal::Nearest(caller, live);
  std::stable_sort(nearest.begin(), nearest.end(),
                   [](const InstanceRecord* a, const InstanceRecord* b) {
                     return a->cpu_share > b->cpu_share;
                   });
  double cpu_share_total = 0;
  for (const InstanceRecord* instance : nearest) {
    cpu_share_total += instance->cpu_share;
  }
  std::vector<const InstanceRecord*> chosen;
  double cpu_share_sum = 0;
  double min_cpu_share = 0;
  for (const InstanceRecord* instance : nearest) {
    const bool is_enough = cpu_share_sum >= kMinCpuShareRatio * cpu_share_total;
    if (chosen.size() >= kMaxInstances ||
        (is_enough && instance->cpu_share < min_cpu_share)) {
      break;
    }
    chosen.push_back(instance);
    cpu_share_sum += instance->cpu_share;
    min_cpu_share = instance->cpu_share;
  }
  return chosen;
}

std::vector<Endpoint> Directory::Endpoints(
    const CallerPlace& caller,
    absl::Span<const InstanceRecord> live) {
  std::vector<Endpoint> endpoints;
  for (const InstanceRecord* instance : Choose(caller, live)) {
    endpoints.push_back(instance->callers);
  }
  return endpoints;
}

}  // namespace baobabwall::gateway
