#ifndef GATEWAY_SRC_REQUEST_RECORD_H_
#define GATEWAY_SRC_REQUEST_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "gateway/src/steering_event.h"

namespace baobabwall::gateway {

/// \brief Reason why a request was not retried on another backend server after
/// an attempt.
enum class NoRetry {
  kNotApplicable,  ///< The answer was final, or the next attempt has started.
  kAttempts,       ///< The maximum number of attempts of the route is reached.
  kTime,           ///< The time left is too short for another answer.
  kNoServer,       ///< No backend server can accept the request.
  kBudget,         ///< The retry budget of the fleet is used up.
  kMayHaveRun      ///< The request may have run and must not run twice.
};

/// \brief State on which the decision for one attempt was based, and the result
/// of the attempt.
struct AttemptRecord {
  std::string server;  ///< Id of the server.
  double load = 0;     ///< Expected number of requests at the server.
  int slots = 0;       ///< Number of slots of the server.
  /// Age of the server's last load report, if any.
  std::optional<absl::Duration> load_age;
  absl::Duration expected;              ///< Expected time until the answer.
  std::optional<AttemptResult> result;  ///< nullopt if the attempt was aborted.
  int status = 0;                       ///< HTTP status of the answer.
  absl::Duration took;
  NoRetry no_retry = NoRetry::kNotApplicable;
};

/// Reason that is recorded for a request answered by a backend server.
constexpr absl::string_view kAnswered = "answered";

/// \brief The outcome of a request and the attempts that led to it.
struct RequestRecord {
  const CallerRequest* request = nullptr;
  std::string route;
  std::string service;
  std::string account;  ///< Name of the client account; empty if none.
  /// Tokens of the account's quota that were left at this instance when the
  /// request had been admitted or refused, and the age of the oldest report of
  /// another instance.
  double quota_tokens = 0;
  absl::Duration quota_report_age;
  int64_t config_version = 0;
  int status = 0;  ///< Status sent to the caller; 0 if the caller disconnected.
  std::string reason;
  std::vector<AttemptRecord> attempts;
  absl::Duration retry_after;
  absl::Duration took;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_REQUEST_RECORD_H_
