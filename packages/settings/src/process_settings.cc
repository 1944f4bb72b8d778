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

const std::vector<Rule<ProcessSettings>>& Rules() {
  using S = ProcessSettings;
  static const auto* rules = new std::vector<Rule<ProcessSettings>>{
      {"instance.name", true, Name(&S::instance_name)},
      {"instance.zone", true, Name(&S::zone)},
      {"instance.region", true, Name(&S::region)},
      {"instance.address", true, Address(&S::address)},
      {"callers.port", true, Integer(&S::caller_port, 1, 65535)},
      {"callers.threads", false, Integer(&S::caller_threads, 2, 4096)},
      {"callers.idle_timeout_ms", false,
       Milliseconds(&S::idle_timeout, 100, 600'000)},
      {"operators.port", true, Integer(&S::operator_port, 1, 65535)},
      {"operators.token", true, Token(&S::operator_token)},
      {"peers.port", true, Integer(&S::peer_port, 1, 65535)},
      {"peers.token", true, Token(&S::peer_token)},
      {"store.kind", true, SetStoreKind},
      {"store.address", false, Address(&S::store_address)},
      {"store.port", false, Integer(&S::store_port, 1, 65535)},
      {"store.timeout_ms", false, Milliseconds(&S::store_timeout, 10, 60'000)},
      {"limits.idempotency_keys", false,
       Integer(&S::key_capacity, 100, 10'000'000)},
      {"limits.queue_length", false, Integer(&S::queue_length, 0, 100'000)},
      {"charts.directory", true, Text(&S::chart_directory)},
      {"shutdown.deadline_ms", false,
       Milliseconds(&S::shutdown_deadline, 0, 3'600'000)},
      {"random.seed", false, Integer(&S::seed, 0, INT64_MAX)},
  };
  return *rules;
}

void CheckTogether(absl::string_view file,
                   const ProcessSettings& settings,
                   base::Findings* findings) {
  if (!settings.is_store_embedded &&
      (settings.store_address.empty() || settings.store_port == 0)) {
    findings->Add(file, "[store] address and port are missing",
                  "needed with kind = http");
  }
  std::set<int> ports;
  for (int port :
       {settings.caller_port, settings.operator_port, settings.peer_port}) {
    if (port != 0 && !ports.insert(port).second) {
      findings->Add(file, absl::StrCat("port ", port, " is used twice"),
                    "callers, operators and peers need ports of their own");
    }
  }
}

}  // namespace internal

std::optional<ProcessSettings> ParseProcessSettings(absl::string_view file,
                                                    absl::string_view text,
                                                    base::Findings* findings) {
  base::Findings own;
  const ProcessSettings settings =
      ParseByRules(file, text, internal::Rules(), &own);
  internal::CheckTogether(file, settings, &own);
  findings->Append(own);
  if (!own.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace baobabwall::settings
