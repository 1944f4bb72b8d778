#include "gateway/src/heartbeat.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace baobabwall::gateway {
namespace internal {

constexpr size_t kFields = 8;

}  // namespace internal

std::vector<uint8_t> Heartbeat::Encode() const {
  nlohmann::json flat = nlohmann::json::array();
  for (size_t i = 0; i < std::min(loads.size(), kMaxLoads); ++i) {
    flat.push_back(loads[i].first);
    flat.push_back(loads[i].second);
  }
  const nlohmann::json message = {instance,       incarnation,    sequence,
                                  is_ready,       is_leaving,     is_active,
                                  config_version, std::move(flat)};
  return nlohmann::json::to_msgpack(message);
}

std::optional<Heartbeat> Heartbeat::Decode(absl::Span<const uint8_t> bytes) {
  const nlohmann::json message =
      nlohmann::json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  if (!message.is_array() || message.size() < internal::kFields) {
    return std::nullopt;
  }
  try {
    Heartbeat heartbeat;
    heartbeat.instance = message[0].get<std::string>();
    heartbeat.incarnation = message[1].get<int64_t>();
    heartbeat.sequence = message[2].get<uint64_t>();
    heartbeat.is_ready = message[3].get<bool>();
    heartbeat.is_leaving = message[4].get<bool>();
    heartbeat.is_active = message[5].get<bool>();
    heartbeat.config_version = message[6].get<int64_t>();
    const nlohmann::json& flat = message[7];
    for (size_t i = 0; i + 1 < flat.size(); i += 2) {
      heartbeat.loads.emplace_back(flat[i].get<uint32_t>(),
                                   flat[i + 1].get<int>());
    }
    return heartbeat;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace baobabwall::gateway
