#include "gateway/src/traffic_split.h"

namespace baobabwall::gateway {

const std::string& TrafficSplit::Next(const Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  std::vector<int64_t>& current_weights = current_weights_by_route_[route.name];
  current_weights.resize(route.services.size());
  int64_t total_weight = 0;
  size_t best = 0;
  for (size_t i = 0; i < route.services.size(); ++i) {
    current_weights[i] += route.services[i].weight;
    total_weight += route.services[i].weight;
    if (current_weights[i] > current_weights[best]) {
      best = i;
    }
  }
  current_weights[best] -= total_weight;
  return route.services[best].service;
}

}  // namespace baobabwall::gateway
