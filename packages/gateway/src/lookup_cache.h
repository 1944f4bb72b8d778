#ifndef GATEWAY_SRC_LOOKUP_CACHE_H_
#define GATEWAY_SRC_LOOKUP_CACHE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gateway/src/directory.h"

namespace baobabwall::gateway {

/// \brief Answers lookups from the live instances. The answer for a place is
/// computed once and kept until the live instances change, because the lookups
/// of a large fleet's callers would otherwise cost more than the requests.
class LookupCache {
 public:
  /// Maximum number of places whose answer is kept. The places come from the
  /// callers, so they can be arbitrary.
  static constexpr size_t kMaxPlaces = 256;

  /// \param live all instances that accept callers.
  void SetLive(std::vector<InstanceRecord> live) {
    live_ = std::move(live);
    endpoints_.clear();
  }

  /// \returns the endpoints for callers of this place; valid until the next
  /// call.
  const std::vector<Endpoint>& Endpoints(const CallerPlace& caller);

 private:
  std::vector<InstanceRecord> live_;
  /// By zone and region.
  std::map<std::pair<std::string, std::string>, std::vector<Endpoint>>
      endpoints_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_LOOKUP_CACHE_H_
