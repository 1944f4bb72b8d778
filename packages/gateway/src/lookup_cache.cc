#include "gateway/src/lookup_cache.h"

namespace baobabwall::gateway {

const std::vector<Endpoint>& LookupCache::Endpoints(const CallerPlace& caller) {
  const std::pair<std::string, std::string> place(caller.zone, caller.region);
  const auto known = endpoints_.find(place);
  if (known != endpoints_.end()) {
    return known->second;
  }
  if (endpoints_.size() >= kMaxPlaces) {
    endpoints_.clear();
  }
  return endpoints_.emplace(place, Directory::Endpoints(caller, live_))
      .first->second;
}

}  // namespace baobabwall::gateway
