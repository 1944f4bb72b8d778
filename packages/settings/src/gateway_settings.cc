#include "settings/src/gateway_settings.h"

#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "settings/src/setting_rules.h"

namespace baobabwall::settings {
namespace internal {

Setter<GatewaySettings> Endpoint(base::Endpoint GatewaySettings::*member) {
  return [member](GatewaySettings* settings, const std::string& value) {
    auto endpoint = base::ParseEndpoint(value);
    if (!endpoint || !IsIpNumber(endpoint->address)) {
      return std::string("an IP number and a port such as 127.0.0.1:8080");
    }
    settings->*member = *std::move(endpoint);
    return std::string();
  };
}

std::string SetZone(GatewaySettings* settings,
                    const std::string& zone,
                    const std::string& region) {
  if (region.empty()) {
    return "the region of the zone";
  }
  settings->zone_regions[zone] = region;
  return "";
}

const std::vector<Rule<GatewaySettings>>& GatewayRules() {
  using S = GatewaySettings;
  static const auto* rules = new std::vector<Rule<S>>{
      {"instance.name", true, Text(&S::instance_name)},
      {"instance.zone", true, Text(&S::zone)},
      {"instance.cpu_share", false, Fraction(&S::cpu_share, 0.001, 1024)},
      {"callers.address", true, Endpoint(&S::callers)},
      {"readiness.address", true, Endpoint(&S::readiness)},
      {"lookups.address", true, Endpoint(&S::lookups)},
      {"lookups.time_to_live_s", false,
       Seconds(&S::lookup_time_to_live, 0.1, 3600)},
      {"peers.address", true, Endpoint(&S::peers)},
      {"metrics.address", true, Endpoint(&S::metrics)},
      {"store.address", true, Endpoint(&S::store)},
      {"zones.*", true, nullptr, SetZone},
      {"retries.ratio", false, Fraction(&S::retry_ratio, 0, 10)},
      {"retries.extra", false, Fraction(&S::retry_extra, 0, 1e6)},
      {"retries.window_s", false, Seconds(&S::retry_window, 0.1, 3600)},
      {"shutdown.grace_s", false, Seconds(&S::shutdown_grace, 0.5, 3600)},
      {"log.lines_per_s", false, Integer(&S::log_lines_per_s, 0, 100'000)},
      {"random.seed", false, Integer(&S::seed, 0, INT64_MAX)},
  };
  return *rules;
}

}  // namespace internal

std::optional<GatewaySettings> ParseGatewaySettings(absl::string_view file,
                                                    absl::string_view text,
                                                    base::Findings* findings) {
  base::Findings own;
  GatewaySettings settings =
      ParseByRules(file, text, internal::GatewayRules(), &own);
  if (!settings.zone.empty() &&
      settings.zone_regions.count(settings.zone) == 0) {
    own.Add(absl::StrCat(file, ": [zones] ", settings.zone), "is missing",
            "the region of the instance's own zone");
  }
  findings->Append(own);
  if (!own.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace baobabwall::settings
