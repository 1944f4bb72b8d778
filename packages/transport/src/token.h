#ifndef TRANSPORT_SRC_TOKEN_H_
#define TRANSPORT_SRC_TOKEN_H_

#include <array>

#include "absl/strings/string_view.h"

namespace baobabwall::transport {

/// \brief A secret with which callers of a port authenticate.
///
/// The comparison takes constant time, so that its duration reveals neither the
/// content nor the length of the secret.
class Token {
 public:
  /// Maximum length of a token in bytes. If a token is longer, no text is
  /// accepted as equal to the token.
  static constexpr size_t kMaxLength = 256;

  explicit Token(absl::string_view secret);

  bool IsEqual(absl::string_view presented) const;

  /// \param authorization value of an Authorization header.
  /// \returns true if the value contains this secret as a bearer token.
  bool IsBearer(absl::string_view authorization) const;

 private:
  using PaddedText = std::array<unsigned char, kMaxLength>;

  static PaddedText Pad(absl::string_view text);

  PaddedText secret_;
  size_t secret_length_;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_TOKEN_H_
