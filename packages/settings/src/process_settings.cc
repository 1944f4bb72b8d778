#include "settings/src/process_settings.h"

#include <set>
#include <vector>

#include "absl/strings/str_cat.h"
#include "settings/src/setting_rules.h"

namespace baobabwall::settings {
namespace internal {

std::string SetStoreKind(ProcessSettings* settings, const std::string& value) {
  if (value != "embedded" && value != "http") {
    return "embedded or http";
  }
  settings->is_store_embedded = value == "embedded";
  return "";
}

const std::vector<SettingRule<ProcessSettings>>& ProcessSettingRules() {
  using S = ProcessSettings;
  static const auto* rules = new std::vector<SettingRule<ProcessSettings>>{
      {"instance.name", true, NameSetter(&S::instance_name)},
      {"instance.zone", true, NameSetter(&S::zone)},
      {"instance.region", true, NameSetter(&S::region)},
      {"instance.address", true, AddressSetter(&S::address)},
      {"callers.port", true, IntegerSetter(&S::caller_port, 1, 65535)},
      {"callers.threads", false, IntegerSetter(&S::caller_threads, 2, 4096)},
      {"callers.idle_timeout_ms", false,
       MillisecondsSetter(&S::idle_timeout, 100, 600'000)},
      {"operators.port", true, IntegerSetter(&S::operator_port, 1, 65535)},
      {"operators.token", true, TokenSetter(&S::operator_token)},
      {"peers.port", true, IntegerSetter(&S::peer_port, 1, 65535)},
      {"peers.token", true, TokenSetter(&S::peer_token)},
      {"store.kind", true, SetStoreKind},
      {"store.address", false, AddressSetter(&S::store_address)},
      {"store.port", false, IntegerSetter(&S::store_port, 1, 65535)},
      {"store.timeout_ms", false,
       MillisecondsSetter(&S::store_timeout, 10, 60'000)},
      {"limits.idempotency_keys", false,
       IntegerSetter(&S::idempotency_key_capacity, 100, 10'000'000)},
      {"limits.queue_length", false,
       IntegerSetter(&S::queue_length, 0, 100'000)},
      {"charts.directory", true, TextSetter(&S::chart_directory)},
      {"shutdown.deadline_ms", false,
       MillisecondsSetter(&S::shutdown_deadline, 0, 3'600'000)},
      {"random.seed", false, IntegerSetter(&S::seed, 0, INT64_MAX)},
  };
  return *rules;
}

void CheckSettingCombinations(absl::string_view file,
                              const ProcessSettings& settings,
                              base::Findings* findings) {
  if (!settings.is_store_embedded &&
      (settings.store_address.empty() || settings.store_port == 0)) {
    findings->Add(file, "[store] address and port are missing",
                  "required with kind = http");
  }
  std::set<int> ports;
  for (int port :
       {settings.caller_port, settings.operator_port, settings.peer_port}) {
    if (port != 0 && !ports.insert(port).second) {
      findings->Add(file,
                    absl::StrCat("port ", port, " is used more than once"),
                    "callers, operators and peers need different ports");
    }
  }
}

}  // namespace internal

std::optional<ProcessSettings> ParseProcessSettings(absl::string_view file,
                                                    absl::string_view text,
                                                    base::Findings* findings) {
  base::Findings own_findings;
  const ProcessSettings settings =
      ParseByRules(file, text, internal::ProcessSettingRules(), &own_findings);
  internal::CheckSettingCombinations(file, settings, &own_findings);
  findings->Append(own_findings);
  if (!own_findings.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace baobabwall::settings
