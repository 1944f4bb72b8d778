#ifndef DAEMON_SRC_EXPLAIN_H_
#define DAEMON_SRC_EXPLAIN_H_

#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "nlohmann/json.hpp"
#include "steer/steer.h"

namespace baobabwall::daemon {

/// \brief A request for which a routing decision is explained.
struct ExplainQuery {
  std::string service;
  std::string client;  ///< IP address.
  std::string method;
};

/// \brief Explains how a request of a caller would be routed now.
///
/// The explanation contains the home zone, the lookup order, each candidate
/// backend server of the local zone with its health and slot share, and the
/// rule that decides. The function follows the routing order on the snapshot
/// but reserves no slot, so the next request may be routed differently.
/// \param snapshot the published snapshot.
/// \param in_use number of slots in use by name of the backend server.
/// \param query a query with a declared service and a valid IP address.
nlohmann::json Explain(const steer::Snapshot& snapshot,
                       const std::map<std::string, int, std::less<>>& in_use,
                       const ExplainQuery& query,
                       absl::Time now);

}  // namespace baobabwall::daemon

#endif  // DAEMON_SRC_EXPLAIN_H_
