#include "gateway/src/routing_config.h"

#include <utility>

#include "absl/strings/ascii.h"

namespace baobabwall::gateway {

RoutingConfig::Builder& RoutingConfig::Builder::Version(int64_t version) {
  config_->version_ = version;
  return *this;
}

RoutingConfig::Builder& RoutingConfig::Builder::Limits(RequestLimits limits) {
  config_->limits_ = limits;
  return *this;
}

RoutingConfig::Builder& RoutingConfig::Builder::AddService(
    ServiceSpec service) {
  std::string name = service.name;
  config_->services_.insert_or_assign(std::move(name), std::move(service));
  return *this;
}

RoutingConfig::Builder& RoutingConfig::Builder::AddRoute(absl::string_view host,
                                                         Route route) {
  std::string prefix = route.prefix;
  config_->routes_by_host_[absl::AsciiStrToLower(host)].insert_or_assign(
      std::move(prefix), std::move(route));
  ++config_->route_count_;
  return *this;
}

RoutingConfig::Builder& RoutingConfig::Builder::AddAccount(
    std::shared_ptr<const ClientAccount> account,
    absl::Span<const std::string> api_keys) {
  for (const std::string& api_key : api_keys) {
    config_->accounts_by_key_.insert_or_assign(api_key, account);
  }
  config_->accounts_.push_back(std::move(account));
  return *this;
}

std::shared_ptr<RoutingConfig> RoutingConfig::Builder::Build() {
  return std::exchange(config_, std::make_shared<RoutingConfig>());
}

const Route* RoutingConfig::FindRoute(absl::string_view host,
                                      absl::string_view path) const {
  const auto routes = routes_by_host_.find(absl::AsciiStrToLower(host));
  if (routes == routes_by_host_.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only the parts of the path that end with a
  // slash can match.
  size_t end = path.rfind('/');
  while (end != absl::string_view::npos) {
    const auto route = routes->second.find(path.substr(0, end + 1));
    if (route != routes->second.end()) {
      return &route->second;
    }
    if (end == 0) {
      break;
    }
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const ServiceSpec* RoutingConfig::FindService(absl::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

void RoutingConfig::ShareAccounts(const RoutingConfig& previous) {
  absl::flat_hash_map<absl::string_view, std::shared_ptr<const ClientAccount>>
      previous_by_name;
  for (const auto& account : previous.accounts_) {
    previous_by_name.emplace(account->name, account);
  }
  const auto share = [&](std::shared_ptr<const ClientAccount>* account) {
    const auto found = previous_by_name.find((*account)->name);
    if (found != previous_by_name.end() && *found->second == **account) {
      *account = found->second;
    }
  };
  for (auto& account : accounts_) {
    share(&account);
  }
  for (auto& [api_key, account] : accounts_by_key_) {
    share(&account);
  }
}

std::shared_ptr<const ClientAccount> RoutingConfig::FindAccount(
    ApiKey api_key) const {
  const auto found = accounts_by_key_.find(api_key.text_);
  return found == accounts_by_key_.end() ? nullptr : found->second;
}

}  // namespace baobabwall::gateway
