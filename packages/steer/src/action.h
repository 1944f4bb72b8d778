#ifndef STEER_SRC_ACTION_H_
#define STEER_SRC_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "base/base.h"
#include "steer/src/event.h"

/// \brief Actions that steer::Engine returns for the adapters to execute.
namespace baobabwall::steer {

/// \brief The backend server or instance to which an attempt is sent.
struct Target {
  enum class Type { kBackendServer, kInstance };
  Type type = Type::kBackendServer;
  std::string name;  ///< Name of the backend server or the instance.
  std::string address;
  int port = 0;
  /// Reservation of Placement; 0 if Placement did not choose the target.
  uint64_t reservation = 0;
};

/// \brief Sends the request to a target.
struct StartAttempt {
  RequestId request = 0;
  AttemptId attempt = 0;
  Target target;
  absl::Time deadline;
  std::string home_region;  ///< Sent with a relay; empty if unknown.
  RelayMark relay;          ///< Sent if the target is an instance.
  /// If the answer is longer, the attempt ends as AttemptResult::kOversized.
  int64_t max_answer_bytes = 0;
};

/// \brief Sends the caller an answer made by the engine, with or without
/// earlier attempts.
struct AnswerCaller {
  RequestId request = 0;
  int status = 0;
  base::Outcome outcome = base::Outcome::kUnknown;
  absl::Duration retry_after;  ///< Zero if the caller must not retry.
  std::string reason;
  /// The fields below hold the stored answer of the first run.
  bool is_replay = false;
  AnswerHeaders headers;
  std::string body;
};

/// \brief Closes the connection of an attempt whose answer is no longer needed.
struct CancelAttempt {
  RequestId request = 0;
  AttemptId attempt = 0;
};

using Action = std::variant<StartAttempt, AnswerCaller, CancelAttempt>;
using Actions = std::vector<Action>;

/// \brief Outcome of an attempt at a backend server, passed to the control
/// thread.
struct Observation {
  std::string backend_server;
  AttemptResult result = AttemptResult::kCompleted;
  int status = 0;
  absl::Duration latency;
  absl::Time at;
};

/// \brief A request fingerprint that this instance has quarantined.
struct QuarantineNotice {
  uint64_t fingerprint = 0;
  absl::Time until;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_ACTION_H_
