#include "gateway/src/holder_set.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "gateway/src/directory.h"

namespace baobabwall::gateway {

HolderSet::Regions HolderSet::Choose(
    absl::Span<const InstanceRecord> instances) {
  std::set<std::pair<std::string, std::string>> zones;
  for (const InstanceRecord& instance : instances) {
    zones.emplace(instance.zone, instance.region);
  }
  Regions regions;
  for (const auto& [zone, region] : zones) {
    for (const InstanceRecord* instance :
         Directory::Choose({zone, region}, instances)) {
      regions.emplace(instance->name, instance->region);
    }
  }
  return regions;
}

void HolderSet::SetInstances(absl::Span<const InstanceRecord> instances,
                             absl::Duration departed_time,
                             absl::Time now) {
  std::set<absl::string_view> announced;
  for (const InstanceRecord& instance : instances) {
    announced.insert(instance.name);
    known_instances_[instance.name] = {instance, absl::InfiniteFuture()};
  }
  for (auto& [name, known] : known_instances_) {
    if (announced.count(name) == 0 && known.until == absl::InfiniteFuture()) {
      known.until = now + departed_time;
    }
  }
  Update(now);
}

bool HolderSet::OnTick(absl::Time now) {
  if (now < next_expiry_) {
    return false;
  }
  Update(now);
  return true;
}

void HolderSet::Update(absl::Time now) {
  std::vector<InstanceRecord> counted;
  next_expiry_ = absl::InfiniteFuture();
  for (auto known = known_instances_.begin();
       known != known_instances_.end();) {
    if (now >= known->second.until) {
      known = known_instances_.erase(known);
      continue;
    }
    next_expiry_ = std::min(next_expiry_, known->second.until);
    counted.push_back(known->second.record);
    ++known;
  }
  regions_ = Choose(counted);
}

}  // namespace baobabwall::gateway
