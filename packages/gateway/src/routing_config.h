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
#include "absl/types/span.h"
#include "gateway/src/client_account.h"

namespace baobabwall::gateway {

/// \brief A service and its weight within a route.
struct WeightedService {
  std::string service;
  /// Weight relative to the weights of the other services; not negative.
  int64_t weight = 0;
};

/// \brief Configuration of the requests below a path prefix of a host.
struct Route {
  std::string name;
  std::string prefix;          ///< Begins and ends with a slash.
  bool is_idempotent = false;  ///< Whether a request may run more than once.
  bool is_bulk = false;        ///< Whether answers are large.
  absl::Duration timeout;  ///< Maximum time until the caller gets an answer.
  absl::Duration latency_objective;
  int priority = 0;  ///< 0 is the highest.
  int max_attempts = 1;
  bool has_affinity = false;
  bool is_public = false;  ///< Whether callers need no API key.
  /// Empty if all regions are allowed.
  std::vector<std::string> allowed_regions;
  std::vector<WeightedService> services;  ///< At least one service.
};

/// \brief Configuration of a service to which routes lead.
struct ServiceSpec {
  std::string name;
  std::string health_path;
  /// Limit per backend server for all instances together.
  int max_connections = 0;
  absl::Duration warmup;  ///< Time for which a started backend server is cold.
  /// Maximum request rate of a cold backend server.
  double cold_rate_per_s = 0;
};

/// \brief Limits on the size and duration of a caller's request.
struct RequestLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 64 * 1024 * 1024;
  absl::Duration header_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
};

/// \brief One version of the configuration written by the operators; immutable.
class RoutingConfig {
 public:
  class Builder {
   public:
    Builder& Version(int64_t version);
    Builder& Limits(RequestLimits limits);
    Builder& AddService(ServiceSpec service);
    /// \param host host name, case-insensitive.
    Builder& AddRoute(absl::string_view host, Route route);
    /// \param api_keys keys that identify the callers of the account.
    Builder& AddAccount(std::shared_ptr<const ClientAccount> account,
                        absl::Span<const std::string> api_keys);
    std::shared_ptr<RoutingConfig> Build();

   private:
    std::shared_ptr<RoutingConfig> config_ = std::make_shared<RoutingConfig>();
  };

  /// \brief Replaces accounts by the equal accounts of an earlier version, so
  /// that only changed accounts are stored more than once. Must not be called
  /// after the configuration is in force.
  void ShareAccounts(const RoutingConfig& previous);

  int64_t version() const { return version_; }
  const RequestLimits& limits() const { return limits_; }
  size_t route_count() const { return route_count_; }

  /// \returns the route whose prefix is the longest match for the path; nullptr
  /// if no route matches.
  /// \param host host name without a port, case-insensitive.
  /// \param path path without a query.
  const Route* FindRoute(absl::string_view host, absl::string_view path) const;

  /// \returns nullptr if the service is not declared.
  const ServiceSpec* FindService(absl::string_view name) const;

  /// \returns whether callers have to present an API key on routes that are not
  /// public.
  bool has_accounts() const { return !accounts_.empty(); }
  absl::Span<const std::shared_ptr<const ClientAccount>> accounts() const {
    return accounts_;
  }
  /// \returns the account that holds the key; nullptr if the key is unknown.
  std::shared_ptr<const ClientAccount> FindAccount(ApiKey api_key) const;

 private:
  using RoutesByPrefix = absl::flat_hash_map<std::string, Route>;

  int64_t version_ = 0;
  size_t route_count_ = 0;
  RequestLimits limits_;
  absl::flat_hash_map<std::string, ServiceSpec> services_;
  absl::flat_hash_map<std::string, RoutesByPrefix> routes_by_host_;
  std::vector<std::shared_ptr<const ClientAccount>> accounts_;
  absl::flat_hash_map<std::string, std::shared_ptr<const ClientAccount>>
      accounts_by_key_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_ROUTING_CONFIG_H_
