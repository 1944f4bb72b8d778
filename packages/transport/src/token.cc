#include "transport/src/token.h"

#include <algorithm>

#include "absl/strings/strip.h"

namespace baobabwall::transport {

Token::Token(absl::string_view secret)
    : secret_(Pad(secret)), secret_length_(secret.size()) {}

Token::PaddedText Token::Pad(absl::string_view text) {
  PaddedText padded = {};
  std::copy_n(text.begin(), std::min(text.size(), kMaxLength), padded.begin());
  return padded;
}

bool Token::IsEqual(absl::string_view presented) const {
  const PaddedText padded_presented = Pad(presented);
  size_t difference = secret_length_ ^ presented.size();
  difference |= static_cast<size_t>(secret_length_ == 0);
  difference |= static_cast<size_t>(secret_length_ > kMaxLength);
  for (size_t i = 0; i < kMaxLength; ++i) {
    difference |= static_cast<size_t>(secret_[i] ^ padded_presented[i]);
  }
  return difference == 0;
}

bool Token::IsBearer(absl::string_view authorization) const {
  const bool has_scheme = absl::ConsumePrefix(&authorization, "Bearer ");
  return IsEqual(authorization) && has_scheme;
}

}  // namespace baobabwall::transport
