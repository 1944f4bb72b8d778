#include "gateway/src/directory.h"

#include <algorithm>

namespace baobabwall::gateway {
namespace internal {

std::vector<const InstanceRecord*> Nearest(
    const CallerPlace& caller,
    absl::Span<const InstanceRecord> live) {
  std::vector<const InstanceRecord*> zone;
  std::vector<const InstanceRecord*> region;
  std::vector<const InstanceRecord*> all;
  for (const InstanceRecord& instance : live) {
    all.push_back(&instance);
    if (instance.region != caller.region) {
      continue;
    }
    region.push_back(&instance);
    if (instance.zone == caller.zone) {
      zone.push_back(&instance);
    }
  }
  if (!zone.empty()) {
    return zone;
  }
  return region.empty() ? all : region;
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
  double total = 0;
  for (const InstanceRecord* instance : nearest) {
    total += instance->cpu_share;
  }
  std::vector<const InstanceRecord*> chosen;
  double sum = 0;
  double weakest = 0;
  for (const InstanceRecord* instance : nearest) {
    const bool is_enough = sum >= kStrongPart * total;
    if (chosen.size() >= kMaxNamed ||
        (is_enough && instance->cpu_share < weakest)) {
      break;
    }
    chosen.push_back(instance);
    sum += instance->cpu_share;
    weakest = instance->cpu_share;
  }
  return chosen;
}

std::vector<Endpoint> Directory::Name(const CallerPlace& caller,
                                      absl::Span<const InstanceRecord> live) {
  std::vector<Endpoint> named;
  for (const InstanceRecord* instance : Choose(caller, live)) {
    named.push_back(instance->callers);
  }
  return named;
}

}  // namespace baobabwall::gateway
