#ifndef GATEWAY_SRC_HEARTBEAT_H_
#define GATEWAY_SRC_HEARTBEAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace baobabwall::gateway {

/// \brief Share of the requests of a region's callers to one service that a
/// region plan assigns to one region.
struct PlannedShare {
  uint32_t service = 0;  ///< Balancer::HeartbeatKey() of the service.
  uint32_t region = 0;   ///< Balancer::HeartbeatKey() of the region.
  int permille = 0;

  bool operator==(const PlannedShare& other) const {
    return service == other.service && region == other.region &&
           permille == other.permille;
  }
};

/// \brief What an instance knows of the request limit of a backend server.
struct ServerLimitNotice {
  uint32_t server = 0;  ///< ServerLoad::limit_key() of the server.
  /// Requests per second that the server takes from all instances together;
  /// nullopt if it no longer names a limit.
  std::optional<double> per_s;
  absl::Duration age;  ///< Time since the server's answer that said so.
};

/// \brief The state that an instance sends to the other instances several times
/// per second, in one datagram.
struct Heartbeat {
  std::string instance;
  int64_t incarnation = 0;
  uint64_t sequence = 0;
  bool is_ready = false;    ///< Whether the instance accepts callers.
  bool is_leaving = false;  ///< Whether the instance is shutting down.
  /// Whether the instance has received requests recently.
  bool is_active = false;
  /// Store revision up to which the instance has read all changes.
  int64_t state_revision = 0;
  int64_t state_era = 0;  ///< Era of state_revision; see StatePosition.
  /// Requests in flight by Balancer::HeartbeatKey() of the server; at most
  /// kMaxLoads entries are sent.
  std::vector<std::pair<uint32_t, int>> loads;

  /// Demand of the instance's callers by Balancer::HeartbeatKey() of the
  /// service, in 1/1000 slots.
  std::vector<std::pair<uint32_t, int>> demand;

  /// Region plans of the instance for the callers of its region.
  std::vector<PlannedShare> planned_shares;

  /// Limits of backend servers, and limits that have ended recently.
  std::vector<ServerLimitNotice> server_limits;

  /// Maximum numbers of entries that are sent, which limit the size of a
  /// datagram to kMaxEncodedBytes.
  static constexpr size_t kMaxLoads = 120;
  static constexpr size_t kMaxPlannedShares = 60;
  static constexpr size_t kMaxServerLimits = 45;
  static constexpr size_t kMaxEncodedBytes = 4096;

  /// Whether `loads` and `planned_shares` are part of the message. Most
  /// instances of a large fleet place no requests and do not need them.
  enum class LoadReport { kIncluded, kOmitted };

  /// \returns the heartbeat encoded as MessagePack.
  std::vector<uint8_t> Encode(
      LoadReport load_report = LoadReport::kIncluded) const;

  /// \returns nullopt if the bytes are not a valid heartbeat.
  static std::optional<Heartbeat> Decode(absl::Span<const uint8_t> bytes);
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_HEARTBEAT_H_
