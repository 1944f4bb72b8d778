#ifndef GATEWAY_SRC_AUTHORIZATION_H_
#define GATEWAY_SRC_AUTHORIZATION_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "gateway/src/client_account.h"
#include "gateway/src/routing_config.h"

namespace baobabwall::gateway {

/// \brief The credentials in the head of a caller's request. The key refers to
/// the text of the request.
struct Credentials {
  enum class State {
    kAbsent,
    kMalformed,  ///< Repeated, too long, or of another scheme.
    kPresent
  };
  State state = State::kAbsent;
  ApiKey api_key;
};

/// \brief Whether this instance may miss a newer configuration.
enum class ConfigFreshness { kCurrent, kMayBeOutdated };

/// \brief Whether a request may run, and for which account.
struct Authorization {
  /// Empty if the request may run; otherwise the reason of the refusal.
  absl::string_view refusal;
  int status = 0;  ///< HTTP status of the refusal.
  /// nullptr on a public route if the caller presents no known key, or if the
  /// configuration has no accounts.
  std::shared_ptr<const ClientAccount> account;

  bool is_granted() const { return refusal.empty(); }
};

/// \brief Checks the credentials of a request against one configuration.
///
/// An unknown key may be newer than the configuration of an instance that has
/// lost contact. Callers do not retry after 401, so such an instance answers
/// 503 instead.
Authorization Authorize(const RoutingConfig& config,
                        const Route& route,
                        const Credentials& credentials,
                        ConfigFreshness freshness);

/// \brief The regions in which a request may run.
struct AllowedRegions {
  bool is_restricted = false;
  /// Names of the regions if restricted; empty if no region is allowed.
  std::vector<std::string> regions;
};

/// \returns the regions that both the route and the account allow.
/// \param account nullptr if the request has no account.
AllowedRegions IntersectRegions(const Route& route,
                                const ClientAccount* account);

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_AUTHORIZATION_H_
