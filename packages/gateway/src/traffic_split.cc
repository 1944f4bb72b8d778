#include "gateway/src/traffic_split.h"

namespace baobabwall::gateway {

const std::string& TrafficSplit::Next(const Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  std::vector<int64_t>& credit = credit_[route.name];
  credit.resize(route.services.size());
  int64_t total = 0;
  size_t best = 0;
  for (size_t i = 0; i < route.services.size(); ++i) {
    credit[i] += route.services[i].weight;
    total += route.services[i].weight;
    if (credit[i] > credit[best]) {
      best = i;
    }
  }
  credit[best] -= total;
  return route.services[best].service;
}

}  // namespace baobabwall::gateway
