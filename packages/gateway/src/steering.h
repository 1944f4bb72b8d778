#ifndef GATEWAY_SRC_STEERING_H_
#define GATEWAY_SRC_STEERING_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/base.h"
#include "gateway/src/balancer.h"
#include "gateway/src/demand_meter.h"
#include "gateway/src/request_record.h"
#include "gateway/src/retry_allowance.h"
#include "gateway/src/steering_event.h"
#include "gateway/src/traffic_split.h"
#include "gateway/src/zone_map.h"

namespace baobabwall::gateway {

/// \brief Decides on each request: route, backend server, retry, refusal.
///
/// No I/O and no clock; used by the traffic thread alone. Each request ends by
/// one DeliverAnswer or Refuse, or by OnCallerGone().
class Steering {
 public:
  /// An answer that takes this many times as long as expected, and as the work
  /// of a server that remembers nothing, counts as lost if the request may run
  /// again.
  static constexpr double kLostAnswerFactor = 2.0;
  /// Connections are given up after two round trips and this time.
  static constexpr absl::Duration kConnectSlack = absl::Milliseconds(250);
  /// Attempts that failed before a request was sent, for each request.
  static constexpr int kMaxUnsent = 3;
  /// A retry needs this part of the expected time.
  static constexpr double kLeastRetryPart = 0.6;
  /// Time left for the answer's way back to the caller.
  static constexpr absl::Duration kReturnTrip = absl::Milliseconds(5);
  /// A connection refused this soon after one broke shows a crash.
  static constexpr absl::Duration kCrashWindow = absl::Milliseconds(1500);
  /// Part of the expected work after which refused callers return, at least
  /// and at most.
  static constexpr double kReturnLeast = 0.4;
  static constexpr double kReturnMost = 1.2;
  /// Time to return when this instance can't judge.
  static constexpr absl::Duration kUnreadyRetryAfter = absl::Milliseconds(500);

  struct Hooks {
    std::function<void(const RequestRecord&)> on_request_end;
    /// A request crashes backend servers; the other instances must know.
    std::function<void(uint64_t fingerprint)> on_crashing_request;
    /// A backend server gets no new work for that long.
    std::function<void(const BackendServer&, absl::Duration)> on_server_paused;
    /// A backend server could be reached again.
    std::function<void(const BackendServer&)> on_server_back;
  };

  Steering(ZoneMap* zones, std::string self, uint64_t seed, Hooks hooks);

  void SetConfig(std::shared_ptr<const RoutingConfig> config);
  void SetBackends(const BackendSet& set);
  void SetRetryBound(const RetryBudgetBound& bound) {
    retries_.SetBound(bound);
  }
  void SetInstances(std::vector<InstanceRecord> instances);
  /// \param fingerprints all requests that are reported to crash servers.
  void SetCrashReports(const std::set<uint64_t>& fingerprints, absl::Time now);

  SteeringActions OnRequest(CallerRequest request, absl::Time now);
  SteeringActions OnAttemptEnd(const AttemptEnd& end, absl::Time now);

  /// \brief The caller has closed its connection.
  SteeringActions OnCallerGone(RequestId id, absl::Time now);

  /// \brief Ends requests whose time is over, and attempts without an answer.
  SteeringActions OnTick(absl::Time now);

  /// \returns demand of this instance's callers by service, in slots.
  absl::flat_hash_map<std::string, double> Demand(absl::Time now) const {
    return demand_.Demand(now);
  }

  Balancer& balancer() { return balancer_; }
  const RoutingConfig* config() const { return config_.get(); }
  size_t in_flight() const { return requests_.size(); }
  /// \returns whether it has had requests within the last seconds.
  bool IsActive(absl::Time now) const;

 private:
  struct Attempt {
    AttemptId id = 0;  ///< 0: none is under way.
    std::shared_ptr<ServerLoad> server;
    absl::Time start;
    bool was_uncrowded = false;  ///< A slot was free for it.
  };

  struct BrokenAttempt {
    absl::Time began;
    absl::Time broke;
    uint64_t fingerprint = 0;
  };

  struct Request {
    CallerRequest caller;
    std::shared_ptr<const RoutingConfig> config;  ///< Owns `route`.
    const Route* route = nullptr;
    std::string service;
    absl::Time deadline;
    bool is_return = false;
    bool may_have_run = false;
    bool is_caller_gone = false;
    int sent = 0;    ///< Attempts that reached a server.
    int unsent = 0;  ///< Attempts that did not.
    std::vector<std::string> tried;
    std::vector<AttemptRecord> records;
    Attempt attempt;
    absl::Time next_check;
  };

  /// \brief Starts the first attempt, or one after an attempt that was not
  /// sent.
  void Place(Request* request, absl::Time now, SteeringActions* actions);
  static PlacementQuery QueryOf(const Request& request);
  Placement Choose(const Request& request, absl::Time now);
  void Start(Request* request,
             const Placement& placement,
             absl::Time now,
             SteeringActions* actions);
  void Learn(const Request& request, const AttemptEnd& end, absl::Time now);
  /// \brief A backend server is gone: what broke there lately may be the cause.
  void NoteCrash(const std::string& server, absl::Time now);
  void NoteReachable(ServerLoad* server);
  void NoteUnreachable(const Request& request, absl::Time now);
  void NoteBroken(const Request& request,
                  const AttemptEnd& end,
                  absl::Time now);
  /// \returns where to send the request once more, which counts as a retry; or
  /// no server, with the reason in the attempt's record.
  Placement ChooseRetry(Request* request, absl::Time now);
  /// \brief Replaces an attempt whose answer seems lost.
  void ReplaceAttempt(Request* request,
                      absl::Time now,
                      SteeringActions* actions);
  void OnTimeout(Request* request, absl::Time now, SteeringActions* actions);
  void OnAnswer(Request* request,
                const AttemptEnd& end,
                absl::Time now,
                SteeringActions* actions);
  void Deliver(Request* request,
               const AttemptEnd& end,
               absl::Time now,
               SteeringActions* actions);
  void GiveUp(Request* request,
              int status,
              absl::string_view reason,
              absl::Time now,
              SteeringActions* actions);
  void AbandonAttempt(Request* request,
                      absl::Time now,
                      SteeringActions* actions);
  void Finish(Request* request,
              int status,
              absl::string_view reason,
              absl::Duration retry_after,
              absl::Time now);
  absl::Duration RetryAfter(const Request& request);

  ZoneMap* zones_;
  base::Random random_;
  Hooks hooks_;
  std::shared_ptr<const RoutingConfig> config_;
  Balancer balancer_;
  RetryAllowance retries_;
  TrafficSplit split_;
  DemandMeter demand_;
  steer::CrashSuspects suspects_;
  /// Attempts whose connection broke, by server.
  std::map<std::string, std::deque<BrokenAttempt>> broken_;
  absl::flat_hash_map<RequestId, std::unique_ptr<Request>> requests_;
  absl::flat_hash_map<AttemptId, RequestId> attempts_;
  absl::flat_hash_map<std::string, absl::Duration> longest_time_left_;
  AttemptId last_attempt_ = 0;
  absl::Time last_request_ = absl::InfinitePast();
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STEERING_H_
