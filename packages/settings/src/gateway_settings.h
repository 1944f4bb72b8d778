#ifndef SETTINGS_SRC_GATEWAY_SETTINGS_H_
#define SETTINGS_SRC_GATEWAY_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/base.h"

namespace baobabwall::settings {

/// \brief Settings of an instance that runs on the operators' platform.
struct GatewaySettings {
  std::string instance_name;
  std::string zone;
  double cpu_share = 1;      ///< Of a core.
  base::Endpoint callers;    ///< Where callers send requests.
  base::Endpoint readiness;  ///< Where the platform asks whether it is ready.
  base::Endpoint lookups;    ///< Where callers ask which instances to use.
  base::Endpoint peers;      ///< For the other instances, UDP and TCP.
  base::Endpoint metrics;
  base::Endpoint store;
  std::map<std::string, std::string, std::less<>> zone_regions;

  double retry_ratio = 0.2;  ///< Retries per request, over the whole fleet.
  double retry_extra = 50;   ///< Retries beyond that, over the whole fleet.
  absl::Duration retry_window = absl::Seconds(10);

  /// Time from the signal to stop until the process is killed.
  absl::Duration shutdown_grace = absl::Seconds(6);
  /// Time for which callers may keep the answer to a lookup.
  absl::Duration lookup_time_to_live = absl::Seconds(1);
  /// Most lines of the request log in a second.
  int64_t log_lines_per_s = 200;
  int64_t seed = 0;  ///< 0: taken from the instance name and the start time.
};

/// \brief Reads and checks the settings as a whole.
/// \param file name used in findings.
/// \param text the INI text.
/// \param findings receives every problem.
/// \returns none if there was any finding.
std::optional<GatewaySettings> ParseGatewaySettings(absl::string_view file,
                                                    absl::string_view text,
                                                    base::Findings* findings);

}  // namespace baobabwall::settings

#endif  // SETTINGS_SRC_GATEWAY_SETTINGS_H_
