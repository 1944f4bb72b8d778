#ifndef STEER_SRC_IDEMPOTENCY_KEY_H_
#define STEER_SRC_IDEMPOTENCY_KEY_H_

#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "steer/src/snapshot.h"

namespace baobabwall::steer {

/// Time for which a key from a lookup is valid. Covers a cached lookup (at most
/// 60 s) and a user who retries for some minutes.
inline constexpr absl::Duration kKeyLifetime = absl::Minutes(15);

/// \brief Idempotency key of the form
/// `<instance>.<incarnation>.<expiry>.<nonce>`.
///
/// Only the named incarnation may run a request with this key. Two instances
/// therefore never run requests with the same idempotency key, even if their
/// views of the cluster differ.
struct IdempotencyKey {
  InstanceId owner;
  absl::Time expiry;
  std::string nonce;

  /// \returns std::nullopt if the text is not a valid key.
  static std::optional<IdempotencyKey> Parse(absl::string_view text);

  /// \returns the key prefix that a lookup returns, without the final dot.
  static std::string Prefix(const InstanceId& owner, absl::Time expiry);
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_IDEMPOTENCY_KEY_H_
