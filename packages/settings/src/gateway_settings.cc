#include "settings/src/gateway_settings.h"

#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "settings/src/setting_rules.h"

namespace baobabwall::settings {
namespace internal {

Setter<GatewaySettings> EndpointSetter(
    base::Endpoint GatewaySettings::*member) {
  return [member](GatewaySettings* settings, const std::string& value) {
    auto endpoint = base::ParseEndpoint(value);
    if (!endpoint || !IsIpAddress(endpoint->address)) {
      return std::string("an IP address and a port such as 127.0.0.1:8080");
    }
    settings->*member = *std::move(endpoint);
    return std::string();
  };
}

std::string SetZoneRegion(GatewaySettings* settings,
                          const std::string& zone,
                          const std::string& region) {
  if (region.empty()) {
    return "the region of the zone";
  }
  settings->zone_regions[zone] = region;
  return "";
}

const std::vector<SettingRule<GatewaySettings>>& GatewaySettingRules() {
  using S = GatewaySettings;
  static const auto* rules = new std::vector<SettingRule<S>>{
      {"instance.name", true, TextSetter(&S::instance_name)},
      {"instance.zone", true, TextSetter(&S::zone)},
      {"instance.cpu_share", false, NumberSetter(&S::cpu_share, 0.001, 1024)},
      {"callers.address", true, EndpointSetter(&S::callers)},
      {"readiness.address", true, EndpointSetter(&S::readiness)},
      {"lookups.address", true, EndpointSetter(&S::lookups)},
      {"lookups.time_to_live_s", false,
       SecondsSetter(&S::lookup_time_to_live, 0.1, 3600)},
      {"peers.address", true, EndpointSetter(&S::peers)},
      {"metrics.address", true, EndpointSetter(&S::metrics)},
      {"store.address", true, EndpointSetter(&S::store)},
      {"zones.*", true, nullptr, SetZoneRegion},
      {"retries.ratio", false, NumberSetter(&S::retry_ratio, 0, 10)},
      {"retries.extra", false, NumberSetter(&S::retry_extra, 0, 1e6)},
      {"retries.window_s", false, SecondsSetter(&S::retry_window, 0.1, 3600)},
      {"quotas.window_s", false, SecondsSetter(&S::quota_window, 0.1, 3600)},
      {"quotas.overshoot", false, NumberSetter(&S::quota_overshoot, 0, 10)},
      {"quotas.slack", false, NumberSetter(&S::quota_slack, 0, 1e9)},
      {"limits.memory_mb", false, IntegerSetter(&S::memory_mb, 16, 1'000'000)},
      {"limits.max_fds", false, IntegerSetter(&S::max_fds, 32, 10'000'000)},
      {"limits.progress_s", false,
       SecondsSetter(&S::progress_timeout, 0.1, 3600)},
      {"shutdown.grace_s", false, SecondsSetter(&S::shutdown_grace, 0.5, 3600)},
      {"log.lines_per_s", false,
       IntegerSetter(&S::log_lines_per_s, 0, 100'000)},
      {"random.seed", false, IntegerSetter(&S::seed, 0, INT64_MAX)},
  };
  return *rules;
}

}  // namespace internal

std::optional<GatewaySettings> ParseGatewaySettings(absl::string_view file,
                                                    absl::string_view text,
                                                    base::Findings* findings) {
  base::Findings own_findings;
  GatewaySettings settings =
      ParseByRules(file, text, internal::GatewaySettingRules(), &own_findings);
  if (!settings.zone.empty() &&
      settings.zone_regions.count(settings.zone) == 0) {
    own_findings.Add(absl::StrCat(file, ": [zones] ", settings.zone),
                     "is missing", "the region of the instance's own zone");
  }
  findings->Append(own_findings);
  if (!own_findings.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace baobabwall::settings
