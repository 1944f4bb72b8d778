#ifndef SETTINGS_SRC_PROCESS_SETTINGS_H_
#define SETTINGS_SRC_PROCESS_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/base.h"

namespace baobabwall::settings {

/// \brief Settings of a `baobabwalld` process.
struct ProcessSettings {
  std::string instance_name;
  std::string zone;
  std::string region;
  std::string address;  ///< IP address of all listening ports.

  int caller_port = 0;
  /// Number of threads. Each open caller connection occupies a thread.
  int caller_threads = 64;
  absl::Duration idle_timeout = absl::Seconds(5);

  int operator_port = 0;
  std::string operator_token;

  int peer_port = 0;
  std::string peer_token;

  bool is_store_embedded = true;
  std::string store_address;
  int store_port = 0;
  absl::Duration store_timeout = absl::Seconds(2);

  /// Maximum number of stored idempotency keys.
  size_t idempotency_key_capacity = 100'000;
  size_t queue_length = 64;

  std::string chart_directory;
  absl::Duration shutdown_deadline = absl::Minutes(2);
  /// Random seed. 0 derives the seed from the instance name and start time.
  int64_t seed = 0;
};

/// \brief Parses and validates the settings of a process in INI format.
/// \param file file name used in findings.
/// \param text the INI text.
/// \param findings receives every problem. A finding states the file, line,
/// section, key and a suggested correction.
/// \returns nullopt if any problem was found.
std::optional<ProcessSettings> ParseProcessSettings(absl::string_view file,
                                                    absl::string_view text,
                                                    base::Findings* findings);

}  // namespace baobabwall::settings

#endif  // SETTINGS_SRC_PROCESS_SETTINGS_H_
