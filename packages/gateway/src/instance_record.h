#ifndef GATEWAY_SRC_INSTANCE_RECORD_H_
#define GATEWAY_SRC_INSTANCE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "gateway/src/backend_server.h"

namespace baobabwall::gateway {

/// \brief How an entry instance announces itself to the others.
struct InstanceRecord {
  std::string name;
  int64_t incarnation = 0;  ///< Start of the process, ms since the epoch.
  std::string zone;
  std::string region;
  Endpoint callers;  ///< Where callers connect.
  /// At the same address: heartbeats by UDP, reads of the state by TCP.
  uint16_t peer_port = 0;
  double cpu_share = 1;  ///< Of a core.

  /// \returns its key in the store; one for each incarnation, so that the
  /// lease of an earlier one can't remove it.
  std::string Key() const;

  /// \returns the value of the key, as JSON.
  std::string Encode() const;

  /// \returns none if the value is not an instance's.
  static std::optional<InstanceRecord> Decode(absl::string_view value);
};

/// Prefix of the keys of all instances.
inline constexpr absl::string_view kInstancePrefix = "baobabwall/instances/";

/// Prefix of the reports of requests that crash backend servers.
inline constexpr absl::string_view kCrashPrefix = "baobabwall/crashes/";

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_INSTANCE_RECORD_H_
