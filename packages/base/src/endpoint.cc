#include "base/src/endpoint.h"

#include <limits>

#include "absl/strings/numbers.h"

namespace baobabwall::base {

std::optional<Endpoint> ParseEndpoint(absl::string_view text) {
  const size_t colon = text.rfind(':');
  int port = 0;
  if (colon == absl::string_view::npos ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 1 ||
      port > std::numeric_limits<uint16_t>::max()) {
    return std::nullopt;
  }
  return Endpoint{std::string(text.substr(0, colon)),
                  static_cast<uint16_t>(port)};
}

}  // namespace baobabwall::base
