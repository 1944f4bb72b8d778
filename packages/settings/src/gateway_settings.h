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

/// \brief Settings of a gateway instance on the operators' platform.
struct GatewaySettings {
  std::string instance_name;
  std::string zone;
  double cpu_share = 1;      ///< CPU share in cores.
  base::Endpoint callers;    ///< Listening address for caller requests.
  base::Endpoint readiness;  ///< Listening address for readiness checks.
  base::Endpoint lookups;    ///< Listening address for instance lookups.
  base::Endpoint peers;      ///< Listening address for peers, UDP and TCP.
  base::Endpoint metrics;    ///< Listening address for metrics requests.
  base::Endpoint store;      ///< Address of the shared store.
  /// Maps each zone to its region.
  std::map<std::string, std::string, std::less<>> zone_regions;

  /// Allowed number of retries per request, across all instances.
  double retry_ratio = 0.2;
  /// Retries allowed in addition to retry_ratio, across all instances.
  double retry_extra = 50;
  absl::Duration retry_window = absl::Seconds(10);

  /// Bound on the requests of a client account that run in any window of
  /// `quota_window`, across all instances, beyond its quota: a fraction of the
  /// quota, and a number of requests.
  absl::Duration quota_window = absl::Seconds(5);
  double quota_overshoot = 0.1;
  double quota_slack = 20;

  /// Memory that the instance may use, in MiB. 0: only the bounds of single
  /// requests and answers apply.
  int64_t memory_mb = 0;
  /// Number of file descriptors that the process may have open. 0: no bound.
  int64_t max_fds = 0;
  /// Time in which a body that is being received, or an answer that is being
  /// sent, must progress. Only with `memory_mb`.
  absl::Duration progress_timeout = absl::Seconds(10);

  /// Time from the stop signal until the platform kills the process.
  absl::Duration shutdown_grace = absl::Seconds(6);
  /// Time for which callers may cache the response to a lookup.
  absl::Duration lookup_time_to_live = absl::Seconds(1);
  /// Maximum number of request log lines per second.
  int64_t log_lines_per_s = 200;
  /// Random seed. 0 derives the seed from the instance name and start time.
  int64_t seed = 0;
};

/// \brief Parses and validates gateway settings in INI format.
/// \param file file name used in findings.
/// \param text the INI text.
/// \param findings receives every problem.
/// \returns nullopt if any problem was found.
std::optional<GatewaySettings> ParseGatewaySettings(absl::string_view file,
                                                    absl::string_view text,
                                                    base::Findings* findings);

}  // namespace baobabwall::settings

#endif  // SETTINGS_SRC_GATEWAY_SETTINGS_H_
