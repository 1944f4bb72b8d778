#ifndef GATEWAY_SRC_TRAFFIC_SPLIT_H_
#define GATEWAY_SRC_TRAFFIC_SPLIT_H_

#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gateway/src/routing_config.h"

namespace baobabwall::gateway {

/// \brief Divides the requests of a route among its services by weight
/// (smooth weighted round robin), so that even short spans keep the weights.
class TrafficSplit {
 public:
  /// \returns the service for the next request of the route.
  const std::string& Next(const Route& route);

  /// \brief Forgets routes, after a change of the configuration.
  void Clear() { credit_.clear(); }

 private:
  absl::flat_hash_map<std::string, std::vector<int64_t>> credit_;  ///< By name.
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_TRAFFIC_SPLIT_H_
