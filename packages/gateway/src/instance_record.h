#ifndef GATEWAY_SRC_INSTANCE_RECORD_H_
#define GATEWAY_SRC_INSTANCE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "gateway/src/backend_server.h"

namespace baobabwall::gateway {

/// \brief The record by which an instance announces itself to the other
/// instances.
struct InstanceRecord {
  std::string name;
  /// Start time of the process in ms since the Unix epoch.
  int64_t incarnation = 0;
  std::string zone;
  std::string region;
  Endpoint callers;  ///< Endpoint to which callers connect.
  /// Port at the address of `callers` that receives heartbeats by UDP and reads
  /// of the state by TCP.
  uint16_t peer_port = 0;
  double cpu_share = 1;  ///< CPU share of the instance in cores.

  /// \returns the key of the record in the store. Each incarnation has its own
  /// key, so that the expiry of an earlier incarnation's lease can't remove the
  /// current record.
  std::string Key() const;

  /// \returns the record encoded as JSON.
  std::string Encode() const;

  /// \returns nullopt if the value is not a valid instance record.
  static std::optional<InstanceRecord> Decode(absl::string_view value);
};

/// Key prefix of the records of all instances.
inline constexpr absl::string_view kInstancePrefix = "baobabwall/instances/";

/// Key prefix of the reports of requests that crash backend servers.
inline constexpr absl::string_view kCrashPrefix = "baobabwall/crashes/";

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_INSTANCE_RECORD_H_
