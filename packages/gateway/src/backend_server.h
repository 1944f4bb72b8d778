#ifndef GATEWAY_SRC_BACKEND_SERVER_H_
#define GATEWAY_SRC_BACKEND_SERVER_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/base.h"

namespace baobabwall::gateway {

using Endpoint = base::Endpoint;

/// \brief A backend server as described by its entry in the store.
struct BackendServer {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  int slots = 1;  ///< Number of requests that the server runs concurrently.
  bool is_draining = false;  ///< Whether the server accepts no new requests.
  /// Start time of this incarnation in ms since the Unix epoch; 0 if not
  /// reported.
  int64_t incarnation = 0;
  /// Count that the server raises with each change of its entry; 0 if not
  /// reported. Starts anew with each incarnation.
  int64_t sequence = 0;
  /// End of the warm-up time of the server.
  absl::Time cold_until = absl::InfinitePast();
};

/// \brief The registered backend servers and the evacuated zones. Immutable;
/// passed from the control thread to the traffic thread.
///
/// Successive sets share the servers that have not changed, so that a receiver
/// finds the changes by comparing pointers.
struct BackendSet {
  /// Sorted by id.
  std::vector<std::shared_ptr<const BackendServer>> servers;
  std::set<std::string, std::less<>> evacuated_zones;

  /// \brief Inserts a server whose id is not in the set.
  void Add(BackendServer server);

  /// \returns nullptr if no server has this id.
  const BackendServer* Find(absl::string_view id) const;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_BACKEND_SERVER_H_
