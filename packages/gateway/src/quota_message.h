#ifndef GATEWAY_SRC_QUOTA_MESSAGE_H_
#define GATEWAY_SRC_QUOTA_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/types/span.h"

namespace baobabwall::gateway {

/// \brief State of one account at the sender.
struct AccountReport {
  uint32_t account = 0;   ///< AccountQuotas::AccountKey() of the account.
  double rate_per_s = 0;  ///< Arrival rate of the account's requests.
  double tokens = 0;      ///< Tokens that the sender holds.
};

/// \brief Tokens of one account that the sender gives to the receiver.
struct TokenGrant {
  uint32_t account = 0;  ///< AccountQuotas::AccountKey() of the account.
  double tokens = 0;
};

/// \brief Message by which instances report the state of accounts and give
/// tokens to each other. Sent to one receiver in one datagram.
struct QuotaMessage {
  /// Maximum numbers of entries of each kind, which limit the size of a
  /// datagram.
  static constexpr size_t kMaxEntries = 120;

  std::string sender;
  int64_t sender_incarnation = 0;
  uint64_t sequence = 0;
  std::vector<AccountReport> reports;
  std::vector<TokenGrant> grants;

  /// \returns the message encoded as MessagePack.
  std::vector<uint8_t> Encode() const;

  /// \returns nullopt if the bytes are not a valid message.
  static std::optional<QuotaMessage> Decode(absl::Span<const uint8_t> bytes);
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_QUOTA_MESSAGE_H_
