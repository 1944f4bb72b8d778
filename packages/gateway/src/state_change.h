#ifndef GATEWAY_SRC_STATE_CHANGE_H_
#define GATEWAY_SRC_STATE_CHANGE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "gateway/src/backend_server.h"
#include "gateway/src/instance_record.h"
#include "gateway/src/routing_config.h"

namespace baobabwall::gateway {

/// \brief A configuration was written by the operators.
struct ConfigWritten {
  /// Does not change after the configuration is in force.
  std::shared_ptr<RoutingConfig> config;
};

struct BackendWritten {
  BackendServer server;
};

/// \brief The entry of a backend server was removed or can no longer be parsed.
struct BackendRemoved {
  std::string id;
};

struct EvacuationChanged {
  std::string zone;
  bool is_evacuated = false;
};

struct InstanceWritten {
  InstanceRecord instance;
};

struct InstanceRemoved {
  std::string key;  ///< Key of the record in the store.
};

/// \brief A request was reported to crash backend servers, or the report
/// expired.
struct CrashReported {
  uint64_t fingerprint = 0;
  bool is_ended = false;  ///< Whether the report has expired.
};

/// \brief One change of the shared state, as read from the store.
using StateChange = std::variant<ConfigWritten,
                                 BackendWritten,
                                 BackendRemoved,
                                 EvacuationChanged,
                                 InstanceWritten,
                                 InstanceRemoved,
                                 CrashReported>;

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STATE_CHANGE_H_
