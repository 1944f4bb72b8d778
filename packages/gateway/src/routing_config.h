#ifndef GATEWAY_SRC_ROUTING_CONFIG_H_
#define GATEWAY_SRC_ROUTING_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace baobabwall::gateway {

/// \brief A service with its part of a route's requests.
struct WeightedService {
  std::string service;
  int64_t weight = 0;  ///< Relative to the other parts; not negative.
};

/// \brief What operators say of the requests below a path prefix of a host.
struct Route {
  std::string name;
  std::string prefix;          ///< Begins and ends with a slash.
  bool is_idempotent = false;  ///< May run more than once.
  bool is_bulk = false;        ///< Large answers.
  absl::Duration timeout;      ///< Longest time a caller is kept waiting.
  absl::Duration latency_objective;
  int priority = 0;  ///< 0 is the highest.
  int max_attempts = 1;
  bool has_affinity = false;
  std::vector<std::string> allowed_regions;  ///< Empty: all.
  std::vector<WeightedService> services;     ///< Not empty.
};

/// \brief A service that routes lead to.
struct ServiceSpec {
  std::string name;
  std::string health_path;
  int max_connections = 0;     ///< Of each backend server, from all callers.
  absl::Duration warmup;       ///< How long a started backend server is cold.
  double cold_rate_per_s = 0;  ///< Requests/s that a cold one tolerates.
};

/// \brief Bounds on what a caller may send and how long it may take.
struct RequestLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 64 * 1024 * 1024;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
};

/// \brief One version of the operators' configuration; immutable.
class RoutingConfig {
 public:
  class Builder {
   public:
    Builder& Version(int64_t version);
    Builder& Limits(RequestLimits limits);
    Builder& AddService(ServiceSpec service);
    /// \param host in any case.
    Builder& AddRoute(absl::string_view host, Route route);
    std::shared_ptr<const RoutingConfig> Build();

   private:
    std::shared_ptr<RoutingConfig> config_ = std::make_shared<RoutingConfig>();
  };

  int64_t version() const { return version_; }
  const RequestLimits& limits() const { return limits_; }
  size_t route_count() const { return route_count_; }

  /// \returns the route with the longest prefix that begins the path; nullptr
  /// if there is none.
  /// \param host without a port, in any case.
  /// \param path without a query.
  const Route* FindRoute(absl::string_view host, absl::string_view path) const;

  /// \returns nullptr if the service is not declared.
  const ServiceSpec* FindService(absl::string_view name) const;

 private:
  using RoutesByPrefix = absl::flat_hash_map<std::string, Route>;

  int64_t version_ = 0;
  size_t route_count_ = 0;
  RequestLimits limits_;
  absl::flat_hash_map<std::string, ServiceSpec> services_;
  absl::flat_hash_map<std::string, RoutesByPrefix> hosts_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_ROUTING_CONFIG_H_
