#ifndef GATEWAY_SRC_CLIENT_ACCOUNT_H_
#define GATEWAY_SRC_CLIENT_ACCOUNT_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace baobabwall::gateway {

/// \brief An API key that a caller presents. The key is a secret: it can be
/// looked up, but neither printed nor compared. Refers to the text of another
/// object.
class ApiKey {
 public:
  ApiKey() = default;
  explicit ApiKey(absl::string_view text) : text_(text) {}

 private:
  friend class RoutingConfig;

  absl::string_view text_;
};

/// \brief Limit on the requests of one client account, over all instances.
struct AccountQuota {
  double rate_per_s = 0;
  /// Requests that may run in addition to the rate in a short time.
  double burst = 0;

  bool operator==(const AccountQuota& other) const {
    return rate_per_s == other.rate_per_s && burst == other.burst;
  }
};

/// \brief A customer of the operator whose callers present an API key.
struct ClientAccount {
  std::string name;
  /// Takes precedence over the priority of the route; 0 is the highest.
  std::optional<int> priority;
  std::optional<AccountQuota> quota;  ///< nullopt if there is no limit.
  /// Empty if all regions are allowed.
  std::vector<std::string> allowed_regions;

  bool operator==(const ClientAccount& other) const {
    return name == other.name && priority == other.priority &&
           quota == other.quota && allowed_regions == other.allowed_regions;
  }
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_CLIENT_ACCOUNT_H_
