#ifndef CONTROL_SRC_IDENTITY_H_
#define CONTROL_SRC_IDENTITY_H_

#include <string>
#include <vector>

#include "steer/steer.h"

namespace baobabwall::control {

/// \brief Name, location and addresses of an instance.
struct Identity {
  steer::InstanceId id;
  std::string zone;
  std::string region;
  std::string address;  ///< IP address.
  int caller_port = 0;
  int peer_port = 0;
};

/// \brief An item of the platform's list of instances; the list may be
/// out of date.
struct ListedInstance {
  Identity identity;  ///< The incarnation is always 0, since the list does not
                      ///< contain incarnations.
  bool is_leaving = false;
};

/// \brief An item of the platform's list of backend servers; the list may be
/// out of date.
struct ListedBackendServer {
  std::string name;
  bool is_leaving = false;
};

/// \brief The platform's list of live and leaving instances and backend
/// servers.
struct InstanceList {
  std::vector<ListedInstance> instances;
  std::vector<ListedBackendServer> backend_servers;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_IDENTITY_H_
