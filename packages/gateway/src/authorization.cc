#include "gateway/src/authorization.h"

#include <algorithm>
#include <utility>

#include "gateway/src/http_status.h"

namespace baobabwall::gateway {

Authorization Authorize(const RoutingConfig& config,
                        const Route& route,
                        const Credentials& credentials,
                        ConfigFreshness freshness) {
  Authorization authorization;
  if (!config.has_accounts()) {
    return authorization;
  }
  if (credentials.state == Credentials::State::kPresent) {
    authorization.account = config.FindAccount(credentials.api_key);
  }
  if (route.is_public || authorization.account != nullptr) {
    return authorization;
  }
  const bool may_be_newer = freshness == ConfigFreshness::kMayBeOutdated;
  switch (credentials.state) {
    case Credentials::State::kAbsent:
      authorization.refusal = "no-key";
      authorization.status = kHttpUnauthorized;
      break;
    case Credentials::State::kMalformed:
      authorization.refusal = "malformed-key";
      authorization.status = kHttpUnauthorized;
      break;
    case Credentials::State::kPresent:
      authorization.refusal = "unknown-key";
      authorization.status =
          may_be_newer ? kHttpUnavailable : kHttpUnauthorized;
      break;
  }
  return authorization;
}

AllowedRegions IntersectRegions(const Route& route,
                                const ClientAccount* account) {
  AllowedRegions allowed = {!route.allowed_regions.empty(),
                            route.allowed_regions};
  if (account == nullptr || account->allowed_regions.empty()) {
    return allowed;
  }
  if (!allowed.is_restricted) {
    return {true, account->allowed_regions};
  }
  const std::vector<std::string>& of_account = account->allowed_regions;
  allowed.regions.erase(
      std::remove_if(allowed.regions.begin(), allowed.regions.end(),
                     [&of_account](const std::string& region) {
                       return std::find(of_account.begin(), of_account.end(),
                                        region) == of_account.end();
                     }),
      allowed.regions.end());
  return allowed;
}

}  // namespace baobabwall::gateway
