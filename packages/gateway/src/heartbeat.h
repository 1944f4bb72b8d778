#ifndef GATEWAY_SRC_HEARTBEAT_H_
#define GATEWAY_SRC_HEARTBEAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/types/span.h"

namespace baobabwall::gateway {

/// \brief What an instance tells the others many times a second, in one
/// datagram.
struct Heartbeat {
  std::string instance;
  int64_t incarnation = 0;
  uint64_t sequence = 0;
  bool is_ready = false;       ///< Takes callers.
  bool is_leaving = false;     ///< Shuts down.
  bool is_active = false;      ///< Has had requests lately.
  int64_t state_revision = 0;  ///< Of the store; known up to it at least.
  /// Requests in flight by Balancer::ServerHash(), at most kMaxLoads.
  std::vector<std::pair<uint32_t, int>> loads;

  /// Demand of its callers by Balancer::ServerHash() of the service, in 1/1000
  /// slots.
  std::vector<std::pair<uint32_t, int>> demand;

  /// Keeps a datagram within an Ethernet frame.
  static constexpr size_t kMaxLoads = 120;

  /// \returns the message in MessagePack.
  std::vector<uint8_t> Encode() const;

  /// \returns none if the bytes are not a heartbeat.
  static std::optional<Heartbeat> Decode(absl::Span<const uint8_t> bytes);
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_HEARTBEAT_H_
