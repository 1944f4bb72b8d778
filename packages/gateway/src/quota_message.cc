#include "gateway/src/quota_message.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "gateway/src/msgpack.h"

namespace baobabwall::gateway {
namespace internal {

/// First element of the message. A heartbeat begins with a string instead.
constexpr int kQuotaMessageType = 1;
constexpr size_t kQuotaFieldCount = 6;
/// Numbers of elements of one entry in the flat lists.
constexpr size_t kReportFields = 3;
constexpr size_t kGrantFields = 2;
/// Rates and tokens are sent as integers, in thousandths.
constexpr double kScale = 1000;
/// Largest rate and number of tokens that is accepted from the network.
constexpr double kMaxValue = 1e9;

/// \returns the value rounded down, so that no tokens are created by rounding.
int64_t Encoded(double value) {
  return static_cast<int64_t>(
      std::floor(std::clamp(value, 0.0, kMaxValue) * kScale));
}

/// \returns 0 if the number is not within the limits.
double Decoded(const nlohmann::json& number) {
  const double value = number.get<double>() / kScale;
  return value >= 0 && value <= kMaxValue ? value : 0;
}

bool IsAccountKey(const nlohmann::json& number) {
  return number.is_number_unsigned() &&
         number.get<uint64_t>() <= std::numeric_limits<uint32_t>::max();
}

/// \returns whether the list consists of entries that begin with an account.
bool IsValidList(const nlohmann::json& list, size_t fields) {
  if (!list.is_array() || list.size() % fields != 0 ||
      list.size() > fields * QuotaMessage::kMaxEntries) {
    return false;
  }
  for (size_t i = 0; i < list.size(); i += fields) {
    if (!IsAccountKey(list[i])) {
      return false;
    }
  }
  return true;
}

}  // namespace internal

std::vector<uint8_t> QuotaMessage::Encode() const {
  nlohmann::json flat_reports = nlohmann::json::array();
  for (const AccountReport& report : absl::MakeConstSpan(reports).first(
           std::min(reports.size(), kMaxEntries))) {
    flat_reports.push_back(report.account);
    flat_reports.push_back(internal::Encoded(report.rate_per_s));
    flat_reports.push_back(internal::Encoded(report.tokens));
  }
  nlohmann::json flat_grants = nlohmann::json::array();
  for (const TokenGrant& grant : absl::MakeConstSpan(grants).first(
           std::min(grants.size(), kMaxEntries))) {
    flat_grants.push_back(grant.account);
    flat_grants.push_back(internal::Encoded(grant.tokens));
  }
  const nlohmann::json message = {
      internal::kQuotaMessageType, sender,
      sender_incarnation,          sequence,
      std::move(flat_reports),     std::move(flat_grants)};
  return nlohmann::json::to_msgpack(message);
}

std::optional<QuotaMessage> QuotaMessage::Decode(
    absl::Span<const uint8_t> bytes) {
  const std::optional<nlohmann::json> decoded = DecodeMsgpack(bytes);
  if (!decoded || !decoded->is_array() ||
      decoded->size() < internal::kQuotaFieldCount) {
    return std::nullopt;
  }
  const nlohmann::json& fields = *decoded;
  const nlohmann::json& reports = fields[4];
  const nlohmann::json& grants = fields[5];
  if (fields[0] != internal::kQuotaMessageType ||
      !fields[2].is_number_integer() || !fields[3].is_number_unsigned() ||
      !internal::IsValidList(reports, internal::kReportFields) ||
      !internal::IsValidList(grants, internal::kGrantFields)) {
    return std::nullopt;
  }
  try {
    QuotaMessage message;
    message.sender = fields[1].get<std::string>();
    message.sender_incarnation = fields[2].get<int64_t>();
    message.sequence = fields[3].get<uint64_t>();
    for (size_t i = 0; i < reports.size(); i += internal::kReportFields) {
      message.reports.push_back({reports[i].get<uint32_t>(),
                                 internal::Decoded(reports[i + 1]),
                                 internal::Decoded(reports[i + 2])});
    }
    for (size_t i = 0; i < grants.size(); i += internal::kGrantFields) {
      message.grants.push_back(
          {grants[i].get<uint32_t>(), internal::Decoded(grants[i + 1])});
    }
    return message;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace baobabwall::gateway
