#include "steer/src/idempotency_key.h"

#include <cstdint>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace baobabwall::steer {
namespace internal {

constexpr size_t kMaxNonceLength = 64;

}  // namespace internal

std::optional<IdempotencyKey> IdempotencyKey::Parse(absl::string_view text) {
  const std::vector<absl::string_view> parts = absl::StrSplit(text, '.');
  if (parts.size() != 4) {
    return std::nullopt;
  }
  IdempotencyKey key;
  int64_t expiry_ms = 0;
  if (parts[0].empty() || !absl::SimpleAtoi(parts[1], &key.owner.incarnation) ||
      !absl::SimpleAtoi(parts[2], &expiry_ms) || parts[3].empty() ||
      parts[3].size() > internal::kMaxNonceLength) {
    return std::nullopt;
  }
  key.owner.name = std::string(parts[0]);
  key.expiry = absl::FromUnixMillis(expiry_ms);
  key.nonce = std::string(parts[3]);
  // Only the canonical spelling is accepted. Numbers with blanks, signs or
  // leading zeros would give one key several spellings of any length.
  if (absl::StrCat(Prefix(key.owner, key.expiry), ".", key.nonce) != text) {
    return std::nullopt;
  }
  return key;
}

std::string IdempotencyKey::Prefix(const InstanceId& owner, absl::Time expiry) {
  return absl::StrCat(owner.name, ".", owner.incarnation, ".",
                      absl::ToUnixMillis(expiry));
}

}  // namespace baobabwall::steer
