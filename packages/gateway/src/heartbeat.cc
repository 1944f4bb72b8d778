#include "gateway/src/heartbeat.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "gateway/src/msgpack.h"

namespace baobabwall::gateway {
namespace internal {

/// Number of fields of the first version of the message. Later fields may be
/// missing while a fleet is upgraded.
constexpr size_t kMinFieldCount = 10;
constexpr size_t kServerLimitsField = 10;
constexpr size_t kEraField = 11;
constexpr size_t kPlannedShareFields = 3;
constexpr size_t kServerLimitFields = 3;
/// In place of a rate: the server names no limit any more.
constexpr int64_t kNoLimit = -1;
/// Largest rate that is sent, in 1/1000 requests per second; a server that
/// names more does not limit anything.
constexpr double kMaxMilliPerS = 4e9;

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

nlohmann::json Flatten(absl::Span<const ServerLimitNotice> notices) {
  nlohmann::json flat = nlohmann::json::array();
  for (const ServerLimitNotice& notice :
       notices.first(std::min(notices.size(), Heartbeat::kMaxServerLimits))) {
    const double milli_per_s =
        std::min(notice.per_s.value_or(0) * 1000, kMaxMilliPerS);
    flat.push_back(notice.server);
    flat.push_back(notice.per_s ? static_cast<int64_t>(milli_per_s) : kNoLimit);
    flat.push_back(absl::ToInt64Milliseconds(notice.age));
  }
  return flat;
}

std::vector<ServerLimitNotice> UnflattenServerLimits(
    const nlohmann::json& flat) {
  std::vector<ServerLimitNotice> notices;
  for (size_t i = 0; i + kServerLimitFields <= flat.size();
       i += kServerLimitFields) {
    ServerLimitNotice& notice = notices.emplace_back();
    notice.server = flat[i].get<uint32_t>();
    const auto milli_per_s = flat[i + 1].get<int64_t>();
    if (milli_per_s >= 0) {
      notice.per_s = static_cast<double>(milli_per_s) / 1000;
    }
    // An answer is never younger than its notice.
    notice.age =
        absl::Milliseconds(std::max<int64_t>(0, flat[i + 2].get<int64_t>()));
  }
  return notices;
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
      has_loads ? internal::Flatten(planned_shares) : none,
      internal::Flatten(server_limits),
      state_era};
  return nlohmann::json::to_msgpack(message);
}

std::optional<Heartbeat> Heartbeat::Decode(absl::Span<const uint8_t> bytes) {
  const std::optional<nlohmann::json> decoded = DecodeMsgpack(bytes);
  if (!decoded || !decoded->is_array() ||
      decoded->size() < internal::kMinFieldCount) {
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
    if (message.size() > internal::kServerLimitsField) {
      heartbeat.server_limits = internal::UnflattenServerLimits(
          message[internal::kServerLimitsField]);
    }
    if (message.size() > internal::kEraField) {
      heartbeat.state_era = message[internal::kEraField].get<int64_t>();
    }
    return heartbeat;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace baobabwall::gateway
