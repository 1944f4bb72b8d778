#ifndef GATEWAY_SRC_STEERING_EVENT_H_
#define GATEWAY_SRC_STEERING_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "gateway/src/backend_server.h"
#include "gateway/src/server_load.h"
#include "steer/steer.h"

/// \brief Events and actions of gateway::Steering.
namespace baobabwall::gateway {

using steer::AttemptId;
using steer::AttemptResult;
using steer::RequestId;

/// \brief A complete request of a caller.
struct CallerRequest {
  RequestId id = 0;       ///< Unique within the process.
  std::string caller_id;  ///< Request id sent by the caller; for logs.
  std::string host;       ///< Without a port.
  std::string path;       ///< Without a query.
  uint64_t object = 0;    ///< Hash of the requested object; 0 if there is none.
  uint64_t fingerprint = 0;  ///< Equal for repetitions of the same request.
  /// Remaining time for which the caller waits for the answer.
  std::optional<absl::Duration> time_left;
  absl::Time arrival;
};

/// \brief The caller as a backend server is told of it.
struct CallerIdentity {
  /// Whether the configuration has client accounts. If so, the caller's
  /// credentials are not sent to the server.
  bool is_checked = false;
  std::string account;  ///< Name of the account; empty if there is none.
};

/// \brief How an attempt at a backend server ended.
struct AttemptEnd {
  AttemptId attempt = 0;
  AttemptResult result = AttemptResult::kBroken;
  int status = 0;  ///< HTTP status if a complete answer was received.
  /// Whether another server now uses the address.
  bool is_other_server = false;
  std::optional<ReportedLoad> load;
  std::optional<absl::Duration> cold_left;
  /// Whether the server announced that it shuts down soon.
  bool is_server_leaving = false;
  /// Time for which the server wants no requests from this instance.
  std::optional<absl::Duration> requested_pause;
  LimitReport limit;
  /// Set if a connection was opened.
  std::optional<absl::Duration> connect_time;
};

/// \brief Sends the request to a backend server.
struct StartAttempt {
  RequestId request = 0;
  AttemptId attempt = 0;
  std::string server;
  Endpoint endpoint;
  absl::Duration time_left;  ///< Time left for the server's answer.
  absl::Duration connect_timeout;
  bool is_idempotent = false;
  CallerIdentity identity;
};

/// \brief Passes the answer of an attempt to the caller.
struct DeliverAnswer {
  RequestId request = 0;
  AttemptId attempt = 0;
};

/// \brief Answers the caller with an error of the gateway itself.
struct Refuse {
  RequestId request = 0;
  int status = 0;
  std::optional<absl::Duration> retry_after;
  std::string reason;
};

/// \brief Closes the connection of an attempt.
struct AbortAttempt {
  RequestId request = 0;
  AttemptId attempt = 0;
};

using SteeringAction =
    std::variant<StartAttempt, DeliverAnswer, Refuse, AbortAttempt>;
using SteeringActions = std::vector<SteeringAction>;

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STEERING_EVENT_H_
