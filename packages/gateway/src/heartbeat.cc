#include "gateway/src/heartbeat.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "gateway/src/msgpack.h"

namespace baobabwall::gateway {
namespace internal {

constexpr size_t kFieldCount = 10;
constexpr size_t kPlannedShareFields = 3;

/// \returns a flat list of the pairs, which is the format of the message.
nlohmann::json Flatten(absl::Span<const std::pair<uint32_t, int>> pairs) {
  nlohmann::json flat = nlohmann::json::array();
  for (const auto& [key, value] :
       pairs.first(std::min(pairs.size(), Heartbeat::kMaxLoads))) {
    flat.push_back(key);
    flat.push_back(value);
  }
  return flat;
}

std::vector<std::pair<uint32_t, int>> Unflatten(const nlohmann::json& flat) {
  std::vector<std::pair<uint32_t, int>> pairs;
  for (size_t i = 0; i + 1 < flat.size(); i += 2) {
    pairs.emplace_back(flat[i].get<uint32_t>(), flat[i + 1].get<int>());
  }
  return pairs;
}

nlohmann::json Flatten(absl::Span<const PlannedShare> shares) {
  nlohmann::json flat = nlohmann::json::array();
  for (const PlannedShare& share :
       shares.first(std::min(shares.size(), Heartbeat::kMaxPlannedShares))) {
    flat.push_back(share.service);
    flat.push_back(share.region);
    flat.push_back(share.permille);
  }
  return flat;
}

std::vector<PlannedShare> UnflattenShares(const nlohmann::json& flat) {
  std::vector<PlannedShare> shares;
  for (size_t i = 0; i + kPlannedShareFields <= flat.size();
       i += kPlannedShareFields) {
    shares.push_back({flat[i].get<uint32_t>(), flat[i + 1].get<uint32_t>(),
                      flat[i + 2].get<int>()});
  }
  return shares;
}

}  // namespace internal

std::vector<uint8_t> Heartbeat::Encode(LoadReport load_report) const {
  const bool has_loads = load_report == LoadReport::kIncluded;
  const nlohmann::json none = nlohmann::json::array();
  const nlohmann::json message = {
      instance,
      incarnation,
      sequence,
      is_ready,
      is_leaving,
      is_active,
      state_revision,
      has_loads ? internal::Flatten(loads) : none,
      internal::Flatten(demand),
      has_loads ? internal::Flatten(planned_shares) : none};
  return nlohmann::json::to_msgpack(message);
}

std::optional<Heartbeat> Heartbeat::Decode(absl::Span<const uint8_t> bytes) {
  const std::optional<nlohmann::json> decoded = DecodeMsgpack(bytes);
  if (!decoded || !decoded->is_array() ||
      decoded->size() < internal::kFieldCount) {
    return std::nullopt;
  }
  const nlohmann::json& message = *decoded;
  try {
    Heartbeat heartbeat;
    heartbeat.instance = message[0].get<std::string>();
    heartbeat.incarnation = message[1].get<int64_t>();
    heartbeat.sequence = message[2].get<uint64_t>();
    heartbeat.is_ready = message[3].get<bool>();
    heartbeat.is_leaving = message[4].get<bool>();
    heartbeat.is_active = message[5].get<bool>();
    heartbeat.state_revision = message[6].get<int64_t>();
    heartbeat.loads = internal::Unflatten(message[7]);
    heartbeat.demand = internal::Unflatten(message[8]);
    heartbeat.planned_shares = internal::UnflattenShares(message[9]);
    return heartbeat;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace baobabwall::gateway
