#ifndef CONTROL_SRC_EVENT_H_
#define CONTROL_SRC_EVENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "control/src/identity.h"
#include "control/src/peer_message.h"
#include "control/src/store.h"
#include "model/model.h"
#include "steer/steer.h"

/// \brief Events that the adapters report to control::Node.
namespace baobabwall::control {

/// \brief Periodic event, sent every kTickInterval.
struct Tick {};

/// \brief Request of an operator to change the configuration.
struct WriteRequested {
  /// Request id that the adapter assigns and WriteAnswered returns.
  uint64_t id = 0;
  model::ChangeBatch batch;
};

/// \brief Reports the platform's list after a successful read.
struct ListRead {
  InstanceList list;
};

/// \brief Outcomes of request attempts since the previous report of the traffic
/// threads.
struct TrafficReported {
  std::vector<steer::Observation> observations;
  std::vector<steer::QuarantineNotice> quarantines;
  /// Number of slots in use at the time of the report, by backend server.
  std::map<std::string, int, std::less<>> slots_in_use;
};

/// \brief Result of one health probe of a backend server.
struct ProbeEnded {
  std::string backend_server;
  bool is_answered = false;
  bool is_ready = false;  ///< The health endpoint reported the server as ready.
  bool is_leaving = false;  ///< The backend server reported that it is leaving.
  double reported_load = 0;  ///< Ratio of slots in use, 0 to 1.
  /// Age of the reported load, if the server sends the age.
  absl::Duration report_age;
};

/// \brief Request to shut down the process.
struct ShutdownRequested {};

using Event = std::variant<Tick,
                           StoreAnswer,
                           PeerMessage,
                           WriteRequested,
                           ListRead,
                           TrafficReported,
                           ProbeEnded,
                           ShutdownRequested>;

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_EVENT_H_
