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

/// \brief Why a request was not sent to another backend server after an
/// attempt.
enum class NoRetry {
  kNotAsked,   ///< The answer was final, or the next attempt has begun.
  kAttempts,   ///< The route allows no more.
  kTime,       ///< Too little is left for an answer.
  kNoServer,   ///< No backend server may take it.
  kBudget,     ///< The fleet's retry budget is spent.
  kMayHaveRun  ///< It must not run twice.
};

/// \brief What decided one attempt, and how it ended.
struct AttemptRecord {
  std::string server;                      ///< Id.
  double load = 0;                         ///< Requests expected at the server.
  int slots = 0;                           ///< Of the server.
  std::optional<absl::Duration> load_age;  ///< Of its last report, if any.
  absl::Duration expected;                 ///< Time until its answer.
  std::optional<AttemptResult> result;     ///< None: it was given up.
  int status = 0;                          ///< Of its answer.
  absl::Duration took;
  NoRetry no_retry = NoRetry::kNotAsked;
};

/// Reason of a request that got a backend server's answer.
constexpr absl::string_view kAnswered = "answered";

/// \brief What decided a request's outcome.
struct RequestRecord {
  const CallerRequest* request = nullptr;
  std::string route;
  std::string service;
  int64_t config_version = 0;
  int status = 0;  ///< Given to the caller; 0: the caller left.
  std::string reason;
  std::vector<AttemptRecord> attempts;
  absl::Duration retry_after;
  absl::Duration took;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_REQUEST_RECORD_H_
