#include "gateway/src/steering.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/src/http_status.h"

namespace baobabwall::gateway {
namespace internal {

/// Seed offset that gives the quotas their own random sequence.
constexpr uint64_t kQuotaSeed = 1;

/// Time without requests after which an instance counts as idle.
constexpr absl::Duration kActiveTimeout = absl::Seconds(3);

/// A request counts as a retry after a refusal if its time left is below this
/// fraction of the longest time left seen on its route. The reason is that the
/// callers of a route send nearly the same time with each first request.
constexpr double kRefusedTimeLeftRatio = 0.97;

/// Time limit of requests for which the caller sent no deadline.
constexpr absl::Duration kDefaultTimeLeft = absl::Seconds(30);

}  // namespace internal

Steering::Steering(ZoneMap* zones,
                   std::string self,
                   uint64_t seed,
                   Hooks hooks,
                   int64_t incarnation)
    : zones_(zones),
      random_(seed),
      hooks_(std::move(hooks)),
      balancer_(zones, self, hooks_.on_limit_changed),
      quotas_(std::move(self), incarnation, seed + internal::kQuotaSeed) {}

void Steering::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  config_ = std::move(config);
  balancer_.SetConfig(config_);
  traffic_split_.Clear();
}

void Steering::SetBackends(const BackendSet& set) {
  balancer_.SetBackends(set);
  for (auto broken = broken_attempts_.begin();
       broken != broken_attempts_.end();) {
    const bool is_known = set.Find(broken->first) != nullptr;
    broken = is_known ? std::next(broken) : broken_attempts_.erase(broken);
  }
}

void Steering::SetInstances(std::vector<InstanceRecord> live,
                            absl::Span<const InstanceRecord> announced,
                            absl::Time now) {
  retry_allowance_.SetInstances(static_cast<int>(announced.size()));
  balancer_.server_limits().SetInstances(announced, live, now);
  balancer_.SetInstances(std::move(live));
}

void Steering::SetCrashReports(const std::set<uint64_t>& fingerprints,
                               absl::Time now) {
  std::map<uint64_t, absl::Time> quarantined;
  for (const uint64_t fingerprint : fingerprints) {
    quarantined[fingerprint] = now + steer::CrashSuspects::kQuarantineDuration;
  }
  crash_suspects_.Publish(quarantined);
}

bool Steering::IsActive(absl::Time now) const {
  return now - last_request_at_ < internal::kActiveTimeout;
}

SteeringActions Steering::OnRequest(CallerRequest caller,
                                    absl::Time now,
                                    const Credentials& credentials) {
  SteeringActions actions;
  last_request_at_ = now;
  auto owned = std::make_unique<Request>();
  Request* request = owned.get();
  const RequestId id = caller.id;
  request->caller = std::move(caller);
  request->config = config_;
  requests_.emplace(id, std::move(owned));
  if (!Admit(request, credentials, now, &actions)) {
    return actions;
  }
  const Route& route = *request->route;
  const absl::Duration time_left =
      request->caller.time_left.value_or(internal::kDefaultTimeLeft);
  request->deadline =
      request->caller.arrival + std::min(time_left, route.timeout);
  absl::Duration& max_time_left = max_time_left_by_route_[route.name];
  max_time_left = std::max(max_time_left, time_left);
  request->was_refused_before =
      time_left < max_time_left * internal::kRefusedTimeLeftRatio;
  request->service = traffic_split_.Next(route);
  if (crash_suspects_.QuarantinedUntil(request->caller.fingerprint, now) >
      absl::InfinitePast()) {
    RefuseRequest(request, kHttpUnavailable, "crashes-servers", now, &actions);
    return actions;
  }
  if (MayOutlastProcess(*request, now)) {
    request->outlasts_process = true;
    RefuseRequest(request, kHttpUnavailable, "stopping", now, &actions);
    return actions;
  }
  retry_allowance_.OnRequest(request->service, now);
  demand_meter_.OnRequest(request->service,
                          balancer_.WorkTimeOf(request->service, route).warm,
                          now);
  PlaceRequest(request, now, &actions);
  return actions;
}

PlacementQuery Steering::MakeQuery(const Request& request) {
  PlacementQuery query;
  query.route = request.route;
  query.service = request.service;
  query.allowed_regions = request.allowed_regions.regions;
  query.priority = request.route->priority;
  if (request.account != nullptr) {
    query.priority = request.account->priority.value_or(query.priority);
  }
  query.has_affinity =
      request.route->has_affinity && request.caller.object != 0;
  // Requests without an object are distributed by the hash of their id.
  query.object = query.has_affinity ? request.caller.object
                                    : base::StableHash("", request.caller.id);
  query.objective_deadline =
      request.caller.arrival + request.route->latency_objective;
  query.is_retry = request.was_refused_before || request.sent_attempts > 0;
  query.tried_servers = request.tried_servers;
  return query;
}

Placement Steering::Choose(const Request& request, absl::Time now) {
  return balancer_.Choose(MakeQuery(request), now);
}

void Steering::PlaceRequest(Request* request,
                            absl::Time now,
                            SteeringActions* actions) {
  const Placement placement = Choose(*request, now);
  request->pause_end = placement.pause_end;
  if (placement.server == nullptr) {
    RefuseRequest(request, kHttpUnavailable, placement.refusal, now, actions);
    return;
  }
  Start(request, placement, now, actions);
}

void Steering::Start(Request* request,
                     const Placement& placement,
                     absl::Time now,
                     SteeringActions* actions) {
  const BackendServer& server = placement.server->server();
  if (request->account != nullptr && request->may_have_run) {
    quotas_.ChargeAttempt(*request->account, now);
  }
  Attempt& attempt = request->attempt;
  attempt.id = ++last_attempt_id_;
  attempt.server = placement.server;
  attempt.start = now;
  attempt.had_free_slot = placement.load + 1 <= server.slots;
  attempt.was_cached =
      balancer_.RecordStart(MakeQuery(*request), attempt.server.get(), now);
  request->tried_servers.push_back(server.id);
  AttemptRecord& record = request->attempt_records.emplace_back();
  record.server = server.id;
  record.load = placement.load;
  record.slots = server.slots;
  record.load_age = placement.server->ReportAge(now);
  record.expected = placement.expected;
  request->answer_check_at =
      request->route->is_idempotent
          ? now +
                (placement.expected +
                 balancer_.WorkTimeOf(request->service, *request->route).cold *
                     placement.server->WorkFactor(now)) *
                    kAnswerTimeoutFactor
          : request->deadline;
  attempts_.emplace(attempt.id, request->caller.id);
  const absl::Duration round_trip = zones_->RoundTrip(server.zone);
  StartAttempt start;
  start.request = request->caller.id;
  start.attempt = attempt.id;
  start.server = server.id;
  start.endpoint = server.endpoint;
  start.time_left =
      request->deadline - now - round_trip / 2 - kAnswerReturnTime;
  start.connect_timeout = round_trip * 2 + kConnectTimeoutMargin;
  start.is_idempotent = request->route->is_idempotent;
  start.identity.is_checked = request->config->has_accounts();
  if (request->account != nullptr) {
    start.identity.account = request->account->name;
  }
  actions->push_back(std::move(start));
}

void Steering::RecordAttemptEnd(const Request& request,
                                const AttemptEnd& end,
                                absl::Time now) {
  ServerLoad* server = request.attempt.server.get();
  server->OnRequestEnd();
  if (end.load) {
    server->RecordReportedLoad(*end.load, now);
    if (end.load->is_partly_malformed && server->MarkMalformedReport() &&
        hooks_.on_malformed_load) {
      hooks_.on_malformed_load(server->server());
    }
  }
  if (end.cold_left) {
    server->SetColdUntil(now + *end.cold_left);
  }
  if (end.connect_time) {
    zones_->RecordRoundTrip(server->server().zone, *end.connect_time);
  }
  if (!end.is_other_server) {
    balancer_.server_limits().OnAnswer(*server, end.limit,
                                       request.attempt.start, now);
    RecordNotice(server, end, now);
  }
  const bool is_run = end.result != AttemptResult::kConnectFailed &&
                      end.result != AttemptResult::kRefused;
  if (!is_run && !request.attempt.was_cached) {
    Balancer::RecordNotRun(MakeQuery(request), server);
  }
  if (end.is_other_server) {
    RecordUnreachable(request, now);
    return;
  }
  switch (end.result) {
    case AttemptResult::kConnectFailed:
      RecordUnreachable(request, now);
      return;
    case AttemptResult::kCompleted:
      RecordReachable(server);
      server->RecordOutcome(end.status >= kHttpServerError, now);
      break;
    case AttemptResult::kRefused: {
      RecordReachable(server);
      // A refusal by a full server is expected; a refusal despite free slots
      // counts as a failure.
      const bool is_full =
          end.load && end.load->running + end.load->waiting >= end.load->slots;
      server->RecordOutcome(!is_full, now);
      return;
    }
    default:
      server->RecordOutcome(true, now);
      return;
  }
  if (!request.attempt.had_free_slot || server->IsCold(now) ||
      end.status >= kHttpServerError) {
    return;
  }
  const absl::Duration work =
      now - request.attempt.start - zones_->RoundTrip(server->server().zone);
  balancer_.RecordWorkTime(MakeQuery(request), server, work, now);
}

void Steering::RecordNotice(ServerLoad* server,
                            const AttemptEnd& end,
                            absl::Time now) {
  if (end.is_server_leaving && server->MarkLeaving() &&
      hooks_.on_server_leaving) {
    hooks_.on_server_leaving(server->server());
  }
  if (!end.requested_pause) {
    return;
  }
  // The instances return to the server at different times.
  const absl::Duration spread =
      std::min(*end.requested_pause * kPauseSpreadRatio, kMaxPauseSpread);
  const absl::Duration pause = *end.requested_pause + spread * random_.Unit();
  server->PauseUntil(now + pause);
  if (hooks_.on_pause_requested) {
    hooks_.on_pause_requested(server->server(), pause);
  }
}

void Steering::RecordReachable(ServerLoad* server) {
  if (server->OnReachable() && hooks_.on_server_reachable) {
    hooks_.on_server_reachable(server->server());
  }
}

void Steering::RecordUnreachable(const Request& request, absl::Time now) {
  ServerLoad* server = request.attempt.server.get();
  const ServiceSpec* service = request.config->FindService(request.service);
  const absl::Duration warmup =
      service == nullptr ? absl::ZeroDuration() : service->warmup;
  const absl::Duration pause = server->OnUnreachable(warmup, now);
  if (pause > absl::ZeroDuration() && hooks_.on_server_paused) {
    hooks_.on_server_paused(server->server(), pause);
  }
}

void Steering::RecordBrokenConnection(const Request& request,
                                      const AttemptEnd& end,
                                      absl::Time now) {
  const std::string& server = request.attempt.server->server().id;
  if (end.result == AttemptResult::kCompleted) {
    crash_suspects_.OnCompleted(request.caller.fingerprint);
  } else if (end.result == AttemptResult::kBroken) {
    auto& broken = broken_attempts_[server];
    while (!broken.empty() && now - broken.front().broken_at > kCrashWindow) {
      broken.pop_front();
    }
    broken.push_back({request.attempt.start, now, request.caller.fingerprint});
  } else if (end.result == AttemptResult::kConnectFailed) {
    RecordCrash(server, now);
  }
}

void Steering::RecordCrash(const std::string& server, absl::Time now) {
  const auto broken = broken_attempts_.find(server);
  if (broken == broken_attempts_.end()) {
    return;
  }
  for (const BrokenAttempt& attempt : broken->second) {
    if (now - attempt.broken_at > kCrashWindow) {
      continue;
    }
    // If several servers fail at the same time, for example when a zone fails,
    // all copies of a request break at once. A further crash therefore counts
    // against a request only if its attempt began after the first crash.
    const auto first_crash =
        crash_suspects_.CrashedAt(attempt.fingerprint, now);
    const bool was_suspect = first_crash && attempt.started_at >= *first_crash;
    const auto crash_notice = crash_suspects_.OnCrash(
        attempt.fingerprint, was_suspect, attempt.broken_at);
    if (crash_notice && hooks_.on_crashing_request) {
      hooks_.on_crashing_request(crash_notice->fingerprint);
    }
  }
  broken_attempts_.erase(broken);
}

SteeringActions Steering::OnAttemptEnd(const AttemptEnd& end, absl::Time now) {
  SteeringActions actions;
  const auto known = attempts_.find(end.attempt);
  if (known == attempts_.end()) {
    return actions;
  }
  Request* request = requests_.at(known->second).get();
  attempts_.erase(known);
  RecordBrokenConnection(*request, end, now);
  RecordAttemptEnd(*request, end, now);
  request->attempt.id = 0;
  AttemptRecord& record = request->attempt_records.back();
  record.result = end.result;
  record.status = end.status;
  record.took = now - request->attempt.start;
  if (request->is_caller_disconnected) {
    FinishRequest(request, 0, "caller-gone", absl::ZeroDuration(), now);
    return actions;
  }
  switch (end.result) {
    case AttemptResult::kCompleted:
      OnAnswer(request, end, now, &actions);
      break;
    case AttemptResult::kRefused:
      ++request->sent_attempts;
      if (const Placement next = ChooseRetryServer(request, now); next.server) {
        Start(request, next, now, &actions);
        break;
      }
      RefuseRequest(request, kHttpUnavailable, "refused-by-server", now,
                    &actions);
      break;
    case AttemptResult::kConnectFailed:
      ++request->unsent_attempts;
      if (request->unsent_attempts <= kMaxUnsentAttempts &&
          now < request->deadline) {
        PlaceRequest(request, now, &actions);
        break;
      }
      RefuseRequest(request, kHttpUnavailable, "no-connection", now, &actions);
      break;
    default:
      ++request->sent_attempts;
      request->may_have_run = true;
      if (!request->route->is_idempotent) {
        record.no_retry = NoRetry::kMayHaveRun;
      } else if (const Placement next = ChooseRetryServer(request, now);
                 next.server) {
        Start(request, next, now, &actions);
        break;
      }
      RefuseRequest(request, kHttpBadGateway, "answer-lost", now, &actions);
  }
  return actions;
}

void Steering::OnAnswer(Request* request,
                        const AttemptEnd& end,
                        absl::Time now,
                        SteeringActions* actions) {
  ++request->sent_attempts;
  request->may_have_run = true;
  const bool is_failure =
      end.status >= kHttpServerError && end.status != kHttpGatewayTimeout;
  if (is_failure && request->route->is_idempotent) {
    if (const Placement next = ChooseRetryServer(request, now); next.server) {
      Start(request, next, now, actions);
      return;
    }
  }
  Deliver(request, end, now, actions);
}

Placement Steering::ChooseRetryServer(Request* request, absl::Time now) {
  NoRetry& no_retry = request->attempt_records.back().no_retry;
  if (request->sent_attempts >= request->route->max_attempts) {
    no_retry = NoRetry::kAttempts;
    return {};
  }
  const absl::Duration work =
      balancer_.WorkTimeOf(request->service, *request->route).cold;
  if (request->deadline - now < work * kMinRetryTimeFraction) {
    no_retry = NoRetry::kTime;
    return {};
  }
  Placement next = Choose(*request, now);
  request->pause_end = next.pause_end;
  if (next.server == nullptr) {
    no_retry = NoRetry::kNoServer;
    return {};
  }
  if (!retry_allowance_.TryRetry(request->service, now)) {
    no_retry = NoRetry::kBudget;
    return {};
  }
  no_retry = NoRetry::kNotApplicable;
  return next;
}

void Steering::Deliver(Request* request,
                       const AttemptEnd& end,
                       absl::Time now,
                       SteeringActions* actions) {
  RecordAnswerTime(*request, now);
  actions->push_back(DeliverAnswer{request->caller.id, end.attempt});
  FinishRequest(request, end.status, kAnswered, absl::ZeroDuration(), now);
}

void Steering::RefuseRequest(Request* request,
                             int status,
                             absl::string_view reason,
                             absl::Time now,
                             SteeringActions* actions) {
  Refuse refuse;
  refuse.request = request->caller.id;
  refuse.status = status;
  refuse.reason = std::string(reason);
  const bool reports_not_run = status == kHttpUnavailable;
  if (reports_not_run && request->may_have_run) {
    refuse.status = kHttpBadGateway;
  } else if (reports_not_run) {
    refuse.retry_after = RetryAfter(*request, now);
  } else if (status == kHttpTooManyRequests) {
    refuse.retry_after = request->quota.retry_after;
  }
  FinishRequest(request, refuse.status, reason,
                refuse.retry_after.value_or(absl::ZeroDuration()), now);
  actions->push_back(std::move(refuse));
}

absl::Duration Steering::RetryAfter(const Request& request, absl::Time now) {
  if (request.route == nullptr || request.needs_newer_config) {
    return kNoConfigRetryAfter;
  }
  if (request.outlasts_process) {
    // Other instances are available at once.
    return absl::ZeroDuration();
  }
  if (request.pause_end) {
    return *request.pause_end - now;
  }
  const absl::Duration work =
      balancer_.WorkTimeOf(request.service, *request.route).cold;
  return work *
         (kMinRetryAfterFactor +
          (kMaxRetryAfterFactor - kMinRetryAfterFactor) * random_.Unit());
}

void Steering::AbortCurrentAttempt(Request* request,
                                   absl::Time now,
                                   SteeringActions* actions) {
  Attempt& attempt = request->attempt;
  if (attempt.id == 0) {
    return;
  }
  request->may_have_run = true;
  attempt.server->OnRequestEnd();
  request->attempt_records.back().took = now - attempt.start;
  attempts_.erase(attempt.id);
  actions->push_back(AbortAttempt{request->caller.id, attempt.id});
  attempt.id = 0;
}

SteeringActions Steering::OnCallerDisconnected(RequestId id, absl::Time now) {
  SteeringActions actions;
  const auto known = requests_.find(id);
  if (known == requests_.end()) {
    return actions;
  }
  Request* request = known->second.get();
  request->is_caller_disconnected = true;
  // Non-idempotent requests are not aborted, because they may be partly
  // executed.
  if (request->route != nullptr && !request->route->is_idempotent &&
      request->attempt.id != 0) {
    return actions;
  }
  AbortCurrentAttempt(request, now, &actions);
  FinishRequest(request, 0, "caller-gone", absl::ZeroDuration(), now);
  return actions;
}

SteeringActions Steering::OnTick(absl::Time now) {
  SteeringActions actions;
  std::vector<Request*> due;
  for (const auto& [id, request] : requests_) {
    if (now >= request->deadline || now >= request->answer_check_at) {
      due.push_back(request.get());
    }
  }
  for (Request* request : due) {
    if (now >= request->deadline) {
      OnTimeout(request, now, &actions);
      continue;
    }
    request->answer_check_at = request->deadline;
    ReplaceAttempt(request, now, &actions);
  }
  return actions;
}

void Steering::OnTimeout(Request* request,
                         absl::Time now,
                         SteeringActions* actions) {
  const bool was_in_progress = request->attempt.id != 0;
  request->may_have_run = request->may_have_run || was_in_progress;
  if (was_in_progress) {
    RecordOverdue(*request, now);
  }
  AbortCurrentAttempt(request, now, actions);
  if (request->is_caller_disconnected) {
    FinishRequest(request, 0, "caller-gone", absl::ZeroDuration(), now);
    return;
  }
  RefuseRequest(request,
                request->may_have_run ? kHttpGatewayTimeout : kHttpUnavailable,
                "timeout", now, actions);
}

void Steering::RecordOverdue(const Request& request, absl::Time now) {
  balancer_.RecordOverdue(MakeQuery(request), request.attempt.server.get(),
                          now - request.attempt.start, now);
}

void Steering::ReplaceAttempt(Request* request,
                              absl::Time now,
                              SteeringActions* actions) {
  if (request->is_caller_disconnected || request->attempt.id == 0 ||
      request->sent_attempts + 1 >= request->route->max_attempts) {
    return;
  }
  const Placement next = ChooseRetryServer(request, now);
  if (next.server == nullptr) {
    return;
  }
  RecordOverdue(*request, now);
  AbortCurrentAttempt(request, now, actions);
  ++request->sent_attempts;
  request->may_have_run = true;
  Start(request, next, now, actions);
}

void Steering::FinishRequest(Request* request,
                             int status,
                             absl::string_view reason,
                             absl::Duration retry_after,
                             absl::Time now) {
  const bool has_token =
      request->account != nullptr && request->quota.is_admitted;
  if (has_token && !request->may_have_run) {
    quotas_.Refund(*request->account, now);
  }
  if (hooks_.on_request_end) {
    RequestRecord record;
    record.request = &request->caller;
    record.route = request->route == nullptr ? "" : request->route->name;
    record.service = request->service;
    record.quota_tokens = request->quota.tokens;
    record.quota_report_age = request->quota.report_age;
    record.account = request->account == nullptr ? "" : request->account->name;
    record.config_version =
        request->config == nullptr ? 0 : request->config->version();
    record.status = status;
    record.reason = std::string(reason);
    record.attempts = std::move(request->attempt_records);
    record.retry_after = retry_after;
    record.took = now - request->caller.arrival;
    hooks_.on_request_end(record);
  }
  requests_.erase(request->caller.id);
}

}  // namespace baobabwall::gateway
