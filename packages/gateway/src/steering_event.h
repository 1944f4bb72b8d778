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

/// \brief What goes into gateway::Steering and what comes out of it.
namespace baobabwall::gateway {

using steer::AttemptId;
using steer::AttemptResult;
using steer::RequestId;

/// \brief A whole request of a caller.
struct CallerRequest {
  RequestId id = 0;          ///< Unique within the process.
  std::string caller_id;     ///< The id that the caller gave it; for logs.
  std::string host;          ///< Without a port.
  std::string path;          ///< Without a query.
  uint64_t object = 0;       ///< Hash of the object it concerns; 0: none.
  uint64_t fingerprint = 0;  ///< Same for the same request sent again.
  std::optional<absl::Duration> time_left;  ///< That the caller waits.
  absl::Time arrival;
};

/// \brief How an attempt at a backend server ended.
struct AttemptEnd {
  AttemptId attempt = 0;
  AttemptResult result = AttemptResult::kBroken;
  int status = 0;                ///< Of the answer, if one came whole.
  bool is_other_server = false;  ///< Another server has that address now.
  std::optional<ReportedLoad> load;
  std::optional<absl::Duration> cold_left;
  std::optional<absl::Duration> connect_time;  ///< If a connection was opened.
};

/// \brief Send the request to a backend server.
struct StartAttempt {
  RequestId request = 0;
  AttemptId attempt = 0;
  std::string server;
  Endpoint endpoint;
  absl::Duration time_left;  ///< For the server's answer.
  absl::Duration connect_timeout;
  bool is_idempotent = false;
};

/// \brief Pass the answer of an attempt on to the caller.
struct DeliverAnswer {
  RequestId request = 0;
  AttemptId attempt = 0;
};

/// \brief Answer the caller ourselves.
struct Refuse {
  RequestId request = 0;
  int status = 0;
  std::optional<absl::Duration> retry_after;
  std::string reason;
};

/// \brief Close the connection of an attempt.
struct AbortAttempt {
  RequestId request = 0;
  AttemptId attempt = 0;
};

using SteeringAction =
    std::variant<StartAttempt, DeliverAnswer, Refuse, AbortAttempt>;
using SteeringActions = std::vector<SteeringAction>;

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STEERING_EVENT_H_
