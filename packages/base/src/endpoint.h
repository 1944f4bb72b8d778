#ifndef BASE_SRC_ENDPOINT_H_
#define BASE_SRC_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "absl/strings/string_view.h"

namespace baobabwall::base {

/// \brief IP address and port.
struct Endpoint {
  std::string address;
  uint16_t port = 0;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.address == b.address && a.port == b.port;
  }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return std::tie(a.address, a.port) < std::tie(b.address, b.port);
  }
};

/// \brief Parses "ADDRESS:PORT". The address is not validated.
/// \returns nullopt if the text has no port from 1 to 65535.
std::optional<Endpoint> ParseEndpoint(absl::string_view text);

}  // namespace baobabwall::base

#endif  // BASE_SRC_ENDPOINT_H_
