#ifndef DAEMON_SRC_CALLER_SERVICE_H_
#define DAEMON_SRC_CALLER_SERVICE_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "daemon/src/traffic.h"
#include "transport/transport.h"

namespace baobabwall::daemon {

/// Path prefix of lookups: `/lookup/<service>`.
inline constexpr absl::string_view kLookupPrefix = "/lookup/";
/// Path prefix of requests: `/s/<service>/<path at the backend server>`.
inline constexpr absl::string_view kRequestPrefix = "/s/";

/// \brief Handles the lookups and requests that arrive at the callers' port.
/// \sa docs/decisions/0041-caller-path.md
class CallerService {
 public:
  /// \param peer_token token that authenticates requests relayed by other
  /// instances.
  /// \param metrics receives request metrics; may be nullptr.
  CallerService(Traffic* traffic,
                std::string peer_token,
                transport::Metrics* metrics = nullptr);

  void Lookup(transport::HttpExchange* exchange);
  void Request(transport::HttpExchange* exchange);

  /// \brief Builds the answer to a request that the HTTP server rejects before
  /// it calls a handler.
  /// \returns the headers and the body of the answer.
  static std::pair<std::vector<transport::Header>, std::string> ErrorAnswer(
      int status);

  /// \brief Closes each caller connection after its next answer, so that
  /// callers look up another instance.
  void StartLeaving() { is_leaving_ = true; }

  /// \brief Refuses all further requests with the outcome not-run.
  void StopAdmitting() { is_refusing_requests_ = true; }

  /// \returns the number of requests whose answer is not completely sent.
  size_t in_flight() const;
  /// \returns the number of attempts in flight to backend servers or other
  /// instances.
  int attempts_in_flight() const { return attempts_in_flight_; }

  /// \returns a log text for each request in flight.
  std::vector<std::string> DescribeInFlight() const;

 private:
  struct Body;
  struct Progress;
  class InFlightRegistration;

  bool ReadArrival(transport::HttpExchange* exchange,
                   steer::RequestArrival* arrival,
                   Body* body);
  void Refuse(transport::HttpExchange* exchange,
              int status,
              absl::string_view reason) const;
  /// \brief Runs one attempt and reports its result to the engine.
  /// \param outcome receives the outcome of the request if the answer was
  /// forwarded to the caller.
  /// \returns true if the request has ended.
  bool Forward(transport::HttpExchange* exchange,
               const steer::RequestArrival& arrival,
               const steer::StartAttempt& attempt_start,
               Body* body,
               base::Outcome* outcome);
  bool SendRequest(transport::HttpConnection* connection,
                   transport::HttpExchange* exchange,
                   const steer::RequestArrival& arrival,
                   const steer::StartAttempt& attempt_start,
                   Body* body);
  void ReadAnswer(transport::HttpConnection* connection,
                  transport::HttpExchange* exchange,
                  const steer::RequestArrival& arrival,
                  const steer::StartAttempt& attempt_start,
                  transport::ConnectionWatch::Id watch,
                  steer::AttemptEnd* attempt_end,
                  Progress* progress);

  Traffic* traffic_;
  std::string peer_token_;
  transport::Metrics* metrics_;
  transport::ConnectionPool pool_;
  transport::ConnectionWatch watch_;
  std::atomic<bool> is_leaving_{false};
  std::atomic<bool> is_refusing_requests_{false};
  std::atomic<int> attempts_in_flight_{0};
  mutable std::mutex mutex_;
  absl::flat_hash_map<steer::RequestId, const steer::RequestArrival*>
      in_flight_;
};

}  // namespace baobabwall::daemon

#endif  // DAEMON_SRC_CALLER_SERVICE_H_
