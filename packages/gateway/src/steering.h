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
#include "gateway/src/account_quotas.h"
#include "gateway/src/authorization.h"
#include "gateway/src/balancer.h"
#include "gateway/src/demand_meter.h"
#include "gateway/src/request_record.h"
#include "gateway/src/retry_allowance.h"
#include "gateway/src/steering_event.h"
#include "gateway/src/traffic_split.h"
#include "gateway/src/zone_map.h"

namespace baobabwall::gateway {

/// \brief Decides the route, backend server, retries and refusal of each
/// request.
///
/// Uses neither I/O nor a clock; called only by the traffic thread. Each
/// request ends with exactly one DeliverAnswer or Refuse, or with
/// OnCallerDisconnected().
class Steering {
 public:
  /// An idempotent request is retried on another server if its answer takes
  /// longer than this factor times the sum of two times: the expected time, and
  /// the work time of an uncached object.
  static constexpr double kAnswerTimeoutFactor = 2.0;
  /// Margin that the connect timeout adds to two round-trip times.
  static constexpr absl::Duration kConnectTimeoutMargin =
      absl::Milliseconds(250);
  /// Maximum number of attempts per request that may fail before the request is
  /// sent to a server.
  static constexpr int kMaxUnsentAttempts = 3;
  /// Minimum time left for a retry, as a multiple of the work time of an
  /// uncached object.
  static constexpr double kMinRetryTimeFraction = 0.6;
  /// Time reserved for sending the answer back to the caller.
  static constexpr absl::Duration kAnswerReturnTime = absl::Milliseconds(5);
  /// If a server refuses a connection within this time after another connection
  /// broke, the request on the broken connection is suspected of having crashed
  /// the server.
  static constexpr absl::Duration kCrashWindow = absl::Milliseconds(1500);
  /// Bounds of the Retry-After time, as multiples of the work time of an
  /// uncached object.
  static constexpr double kMinRetryAfterFactor = 0.4;
  static constexpr double kMaxRetryAfterFactor = 1.2;
  /// Retry-After time while this instance has no configuration.
  static constexpr absl::Duration kNoConfigRetryAfter = absl::Milliseconds(500);
  /// While the process shuts down, an idempotent request is accepted if this
  /// multiple of the route's longest recent answer time is left.
  static constexpr double kStopTimeFactor = 1.25;
  /// Time after which the longest answer time of a route is replaced by a
  /// shorter one.
  static constexpr absl::Duration kLongestAnswerAge = absl::Seconds(30);
  /// Bounds of the random time that is added to the pause that a server asked
  /// for: a fraction of the pause, and a maximum.
  static constexpr double kPauseSpreadRatio = 0.1;
  static constexpr absl::Duration kMaxPauseSpread = absl::Seconds(1);

  struct Hooks {
    std::function<void(const RequestRecord&)> on_request_end;
    /// Called when a request is found to crash backend servers, to report the
    /// request to the other instances.
    std::function<void(uint64_t fingerprint)> on_crashing_request;
    /// Called when a backend server gets no new requests for the given time.
    std::function<void(const BackendServer&, absl::Duration)> on_server_paused;
    /// Called when a paused backend server is reachable again.
    std::function<void(const BackendServer&)> on_server_reachable;
    /// Called when a backend server announces that it leaves, and therefore
    /// gets no new requests.
    std::function<void(const BackendServer&)> on_server_leaving;
    /// Called when a backend server gets no new requests for the given time
    /// because it asked for a pause.
    std::function<void(const BackendServer&, absl::Duration)>
        on_pause_requested;
    /// Called when a backend server names a limit for the requests of all
    /// instances together, or (nullopt) no longer names one.
    ServerLimits::ChangeHook on_limit_changed;
    /// Called once for a backend server whose load report is partly malformed.
    std::function<void(const BackendServer&)> on_malformed_load;
  };

  /// \param incarnation start time of this process, which identifies it in
  /// messages about quotas.
  Steering(ZoneMap* zones,
           std::string self,
           uint64_t seed,
           Hooks hooks,
           int64_t incarnation = 0);

  void SetConfig(std::shared_ptr<const RoutingConfig> config);
  void SetBackends(const BackendSet& set);
  void SetRetryBound(const RetryBudgetBound& bound) {
    retry_allowance_.SetBound(bound);
  }
  /// \param live all live instances, including this one.
  /// \param announced all instances that have announced themselves, including
  /// this one, whether or not they are heard of. What the fleet may do is
  /// divided among them, because an instance that is only silent uses its
  /// share.
  void SetInstances(std::vector<InstanceRecord> live,
                    absl::Span<const InstanceRecord> announced,
                    absl::Time now);
  /// \param fingerprints fingerprints of all requests that are reported to
  /// crash servers.
  void SetCrashReports(const std::set<uint64_t>& fingerprints, absl::Time now);

  /// \brief Sets the time at which the process ends. New requests that may not
  /// be answered by then are refused: all non-idempotent ones whose deadline is
  /// later, and idempotent ones whose answer probably takes longer.
  void SetStopTime(absl::Time stop_time) { stop_time_ = stop_time; }

  /// \brief Sets whether this instance may miss a newer configuration.
  void SetConfigFreshness(ConfigFreshness freshness) {
    config_freshness_ = freshness;
  }

  /// \param credentials refer to the text of the request, and are not kept.
  SteeringActions OnRequest(CallerRequest request,
                            absl::Time now,
                            const Credentials& credentials = {});

  /// \brief Checks a request whose body has not been read.
  /// \returns the refusal if the request cannot run, whatever its body is.
  std::optional<Refuse> CheckHead(absl::string_view host,
                                  absl::string_view path,
                                  const Credentials& credentials);
  /// \brief Records a request that was refused by CheckHead(), so that it
  /// appears in the log and in the metrics.
  void RecordHeadRefusal(const CallerRequest& caller,
                         const Refuse& refuse,
                         absl::Time now);
  SteeringActions OnAttemptEnd(const AttemptEnd& end, absl::Time now);

  /// \brief Called when the caller has closed its connection.
  SteeringActions OnCallerDisconnected(RequestId id, absl::Time now);

  /// \brief Ends requests whose deadline has passed, and replaces attempts
  /// whose answer is overdue.
  SteeringActions OnTick(absl::Time now);

  /// \returns the demand of this instance's callers by service, in slots.
  absl::flat_hash_map<std::string, double> Demand(absl::Time now) const {
    return demand_meter_.Demand(now);
  }

  Balancer& balancer() { return balancer_; }
  AccountQuotas& quotas() { return quotas_; }
  const RoutingConfig* config() const { return config_.get(); }
  size_t in_flight() const { return requests_.size(); }
  /// \returns whether this instance has received requests within the last few
  /// seconds.
  bool IsActive(absl::Time now) const;

 private:
  struct Attempt {
    AttemptId id = 0;  ///< 0 if no attempt is in progress.
    std::shared_ptr<ServerLoad> server;
    absl::Time start;
    /// Whether the server had a free slot at the start.
    bool had_free_slot = false;
    /// Whether the server was known to have cached the object before the start.
    bool was_cached = false;
  };

  /// The longest answer time of a route, and when it was seen.
  struct LongestAnswer {
    absl::Duration took;
    absl::Time at = absl::InfinitePast();
  };

  struct BrokenAttempt {
    absl::Time started_at;
    absl::Time broken_at;
    uint64_t fingerprint = 0;
  };

  struct Request {
    CallerRequest caller;
    std::shared_ptr<const RoutingConfig> config;  ///< Owns `route`.
    const Route* route = nullptr;
    /// nullptr if the request has no account.
    std::shared_ptr<const ClientAccount> account;
    AllowedRegions allowed_regions;
    AccountQuotas::Decision quota;
    /// Whether only a newer configuration can admit the request.
    bool needs_newer_config = false;
    std::string service;
    absl::Time deadline;
    bool was_refused_before = false;
    bool may_have_run = false;
    bool outlasts_process = false;
    bool is_caller_disconnected = false;
    int sent_attempts = 0;  ///< Number of attempts that reached a server.
    /// Number of attempts that did not reach a server.
    int unsent_attempts = 0;
    std::vector<std::string> tried_servers;
    std::vector<AttemptRecord> attempt_records;
    Attempt attempt;
    absl::Time answer_check_at;
    /// End of the first pause of a server if only these pauses prevent the next
    /// attempt.
    std::optional<absl::Time> pause_end;
  };

  /// \brief Starts the first attempt, or the next attempt after a request could
  /// not be sent.
  void PlaceRequest(Request* request, absl::Time now, SteeringActions* actions);
  /// \brief Finds the route and the account of a new request.
  /// \returns whether the request may be placed; otherwise it is refused.
  bool Admit(Request* request,
             const Credentials& credentials,
             absl::Time now,
             SteeringActions* actions);
  /// \returns whether the request may still be in progress when the process
  /// ends.
  bool MayOutlastProcess(const Request& request, absl::Time now) const;
  void RecordAnswerTime(const Request& request, absl::Time now);
  static PlacementQuery MakeQuery(const Request& request);
  Placement Choose(const Request& request, absl::Time now);
  void Start(Request* request,
             const Placement& placement,
             absl::Time now,
             SteeringActions* actions);
  void RecordAttemptEnd(const Request& request,
                        const AttemptEnd& end,
                        absl::Time now);
  /// \brief Records a crash of a backend server. Requests whose connections to
  /// the server broke recently are suspected as the cause.
  void RecordCrash(const std::string& server, absl::Time now);
  void RecordReachable(ServerLoad* server);
  void RecordUnreachable(const Request& request, absl::Time now);
  void RecordBrokenConnection(const Request& request,
                              const AttemptEnd& end,
                              absl::Time now);
  /// \returns the placement for a retry; the retry is counted in the retry
  /// budget. If no retry is possible, the placement has no server, and the
  /// reason is stored in the record of the last attempt.
  Placement ChooseRetryServer(Request* request, absl::Time now);
  /// \brief Records that the answer to the current attempt is overdue.
  void RecordOverdue(const Request& request, absl::Time now);
  /// \brief Replaces the current attempt if its answer is overdue.
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
  /// Records what the server has said about itself in its answer.
  void RecordNotice(ServerLoad* server, const AttemptEnd& end, absl::Time now);
  void RefuseRequest(Request* request,
                     int status,
                     absl::string_view reason,
                     absl::Time now,
                     SteeringActions* actions);
  void AbortCurrentAttempt(Request* request,
                           absl::Time now,
                           SteeringActions* actions);
  void FinishRequest(Request* request,
                     int status,
                     absl::string_view reason,
                     absl::Duration retry_after,
                     absl::Time now);
  absl::Duration RetryAfter(const Request& request, absl::Time now);

  ZoneMap* zones_;
  base::Random random_;
  Hooks hooks_;
  std::shared_ptr<const RoutingConfig> config_;
  ConfigFreshness config_freshness_ = ConfigFreshness::kCurrent;
  Balancer balancer_;
  RetryAllowance retry_allowance_;
  AccountQuotas quotas_;
  TrafficSplit traffic_split_;
  DemandMeter demand_meter_;
  steer::CrashSuspects crash_suspects_;
  /// Attempts whose connection broke recently, by server id.
  std::map<std::string, std::deque<BrokenAttempt>> broken_attempts_;
  absl::flat_hash_map<RequestId, std::unique_ptr<Request>> requests_;
  absl::flat_hash_map<AttemptId, RequestId> attempts_;
  absl::flat_hash_map<std::string, absl::Duration> max_time_left_by_route_;
  absl::flat_hash_map<std::string, LongestAnswer> longest_answer_by_route_;
  AttemptId last_attempt_id_ = 0;
  absl::Time last_request_at_ = absl::InfinitePast();
  absl::Time stop_time_ = absl::InfiniteFuture();
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STEERING_H_
