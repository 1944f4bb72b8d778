#ifndef CONTROL_SRC_ACTION_H_
#define CONTROL_SRC_ACTION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "control/src/peer_message.h"
#include "control/src/store.h"
#include "steer/steer.h"

/// \brief Actions that control::Node requests from the adapters.
namespace baobabwall::control {

struct SendPeer {
  Identity to;
  PeerPayload payload;
};

struct PublishSnapshot {
  std::shared_ptr<const steer::Snapshot> snapshot;
};

/// \brief Result of one WriteRequested event.
struct WriteAnswered {
  enum class Result { kAccepted, kInvalid, kConflict, kUnavailable };
  uint64_t id = 0;
  Result result = Result::kUnavailable;
  int64_t revision = 0;     ///< Log revision of the entry; set for kAccepted.
  base::Findings findings;  ///< Validation errors; set for kInvalid.
  base::VersionConflict conflict;  ///< Version conflict; set for kConflict.
};

struct ProbeBackendServer {
  std::string name;
  std::string address;
  int port = 0;
};

/// \brief Asks the adapter to read the platform's instance list and to report
/// the list as a ListRead event.
struct ReadInstanceList {};

/// \brief Reports that all cached lookup answers have expired after a shutdown
/// request. The process may exit once no request is in flight.
struct ShutdownReady {};

using Action = std::variant<StoreCall,
                            SendPeer,
                            PublishSnapshot,
                            WriteAnswered,
                            ProbeBackendServer,
                            ReadInstanceList,
                            ShutdownReady>;
using Actions = std::vector<Action>;

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_ACTION_H_
