#ifndef GATEWAY_SRC_TRAFFIC_SPLIT_H_
#define GATEWAY_SRC_TRAFFIC_SPLIT_H_

#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gateway/src/routing_config.h"

namespace baobabwall::gateway {

/// \brief Distributes the requests of a route over its services by weight. The
/// method is smooth weighted round robin, so that short sequences of requests
/// match the weights as well.
class TrafficSplit {
 public:
  /// \returns the service for the next request of the route.
  const std::string& Next(const Route& route);

  /// \brief Resets the state of all routes after a change of the configuration.
  void Clear() { current_weights_by_route_.clear(); }

 private:
  /// Current weights of the services, by route name.
  absl::flat_hash_map<std::string, std::vector<int64_t>>
      current_weights_by_route_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_TRAFFIC_SPLIT_H_
