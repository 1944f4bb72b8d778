#ifndef EDGE_SRC_DEFLATE_H_
#define EDGE_SRC_DEFLATE_H_

#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace baobabwall::edge {

/// Maximum size of decompressed data.
inline constexpr size_t kMaxInflatedBytes = 16 * 1024 * 1024;

/// \returns the size of the data as 8 hexadecimal digits, followed by the data
/// compressed in the raw DEFLATE format.
std::string Deflate(absl::string_view data);

/// \returns the decompressed data; nullopt if `data` is not in the format of
/// Deflate(), is incomplete, or is larger than kMaxInflatedBytes decompressed.
std::optional<std::string> Inflate(absl::string_view data);

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_DEFLATE_H_
