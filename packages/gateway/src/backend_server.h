#ifndef GATEWAY_SRC_BACKEND_SERVER_H_
#define GATEWAY_SRC_BACKEND_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "base/base.h"

namespace baobabwall::gateway {

using Endpoint = base::Endpoint;

/// \brief A backend server as it describes itself.
struct BackendServer {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  int slots = 1;             ///< Requests that it runs at once.
  bool is_draining = false;  ///< Takes no new work.
  /// Start of this incarnation, in ms since the Unix epoch; 0: not told.
  int64_t incarnation = 0;
  absl::Time cold_until = absl::InfinitePast();
};

/// \brief The backend servers that may be used, and the zones that may not.
/// Immutable; handed from the control thread to the traffic thread.
struct BackendSet {
  std::map<std::string, BackendServer, std::less<>> servers;  ///< By id.
  std::set<std::string, std::less<>> evacuated_zones;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_BACKEND_SERVER_H_
