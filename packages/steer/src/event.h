#ifndef STEER_SRC_EVENT_H_
#define STEER_SRC_EVENT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/base.h"
#include "steer/src/relay_mark.h"
#include "steer/src/snapshot.h"

/// \brief Events that the adapters report to steer::Engine.
namespace baobabwall::steer {

using RequestId = uint64_t;
using AttemptId = uint64_t;  ///< Starts at 1 in each engine.

/// End-to-end headers of an answer, without the headers of its connection.
using AnswerHeaders = std::vector<std::pair<std::string, std::string>>;

/// \brief A request that came from a caller or was relayed by another instance.
struct RequestArrival {
  RequestId id = 0;  ///< Unique within the process; chosen by the adapter.
  std::string service;
  std::string method;
  std::string path;
  std::string idempotency_key;  ///< Empty if the caller sent no key.
  /// Hash of the body; 0 if the adapter forwards the body without buffering. If
  /// the same request is sent several times, an adapter must hash the
  /// body every time or never. Otherwise a repeated request counts as a
  /// different request.
  uint64_t body_hash = 0;
  int64_t body_bytes = 0;      ///< Size of the body; 0 if unknown.
  std::string client_address;  ///< IP address; determines the home zone.
  absl::Time deadline;
  /// Whether another instance relayed the request; such a request is not
  /// relayed again. The adapter has checked the shared secret of the instances
  /// and must ignore relay headers of any other sender.
  bool is_relayed = false;
  RelayMark relay;             ///< Mark of a relayed request.
  std::string relayed_region;  ///< Home region sent by the relaying instance.
};

/// \brief Result of an attempt as observed by the adapter.
enum class AttemptResult {
  kConnectFailed,  ///< No byte of the request was sent.
  kRefused,        ///< The target reported that it did not run the request.
  /// The whole answer was received. If another instance answers with an outcome
  /// other than kRun, the adapter must not start to forward that answer: the
  /// answer is small and the request may be retried. The engine sends the
  /// answer to the caller if the request is not retried.
  kCompleted,
  kBroken,     ///< The connection broke after a byte was sent.
  kTimedOut,   ///< The deadline passed after a byte was sent.
  kTruncated,  ///< The answer ended before its declared length.
  kOversized,  ///< The answer is larger than the service allows.
  /// The target confirmed that it did not run the request. Closing the
  /// connection does not count as a confirmation.
  kCancelled,
};

/// \brief End of an attempt.
struct AttemptEnd {
  RequestId request = 0;
  AttemptId attempt = 0;
  AttemptResult result = AttemptResult::kBroken;
  int status = 0;  ///< HTTP status; 0 without an answer.
  /// X-Request-Outcome in the answer of an instance; kUnknown if absent.
  base::Outcome relayed_outcome = base::Outcome::kUnknown;
  AnswerHeaders answer_headers;  ///< Stored for replay with the body.
  std::string answer;  ///< Body; stored for replay if its size is answer_bytes.
  int64_t answer_bytes = 0;
  /// The caller has received a part of the answer.
  bool was_answer_started = false;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_EVENT_H_
