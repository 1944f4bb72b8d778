#include "gateway/src/steering.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/src/http_status.h"

namespace baobabwall::gateway {
namespace internal {

/// Without requests for this long an instance counts as idle.
constexpr absl::Duration kActiveMemory = absl::Seconds(3);

/// A caller that was refused waits less from then on; other callers all say
/// nearly the same.
constexpr double kReturnPart = 0.97;

/// Longest time for requests whose caller tells none.
constexpr absl::Duration kNoDeadline = absl::Seconds(30);

}  // namespace internal

Steering::Steering(ZoneMap* zones, std::string self, uint64_t seed, Hooks hooks)
    : zones_(zones),
      random_(seed),
      hooks_(std::move(hooks)),
      balancer_(zones, std::move(self)) {}

void Steering::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  config_ = std::move(config);
  balancer_.SetConfig(config_);
  split_.Clear();
}

void Steering::SetBackends(const BackendSet& set) {
  balancer_.SetBackends(set);
  for (auto broken = broken_.begin(); broken != broken_.end();) {
    const bool is_known = set.servers.count(broken->first) > 0;
    broken = is_known ? std::next(broken) : broken_.erase(broken);
  }
}

void Steering::SetInstances(std::vector<InstanceRecord> instances) {
  retries_.SetInstances(static_cast<int>(instances.size()));
  balancer_.SetInstances(std::move(instances));
}

void Steering::SetCrashReports(const std::set<uint64_t>& fingerprints,
                               absl::Time now) {
  std::map<uint64_t, absl::Time> quarantined;
  for (const uint64_t fingerprint : fingerprints) {
    quarantined[fingerprint] = now + steer::CrashSuspects::kQuarantineDuration;
  }
  suspects_.Publish(quarantined);
}

bool Steering::IsActive(absl::Time now) const {
  return now - last_request_ < internal::kActiveMemory;
}

SteeringActions Steering::OnRequest(CallerRequest caller, absl::Time now) {
  SteeringActions actions;
  last_request_ = now;
  auto owned = std::make_unique<Request>();
  Request* request = owned.get();
  const RequestId id = caller.id;
  request->caller = std::move(caller);
  request->config = config_;
  requests_.emplace(id, std::move(owned));
  if (config_ == nullptr) {
    GiveUp(request, kHttpUnavailable, "no-configuration", now, &actions);
    return actions;
  }
  request->route =
      config_->FindRoute(request->caller.host, request->caller.path);
  if (request->route == nullptr) {
    GiveUp(request, kHttpNotFound, "no-route", now, &actions);
    return actions;
  }
  const Route& route = *request->route;
  const absl::Duration time_left =
      request->caller.time_left.value_or(internal::kNoDeadline);
  request->deadline =
      request->caller.arrival + std::min(time_left, route.timeout);
  absl::Duration& longest = longest_time_left_[route.name];
  longest = std::max(longest, time_left);
  request->is_return = time_left < longest * internal::kReturnPart;
  request->service = split_.Next(route);
  if (suspects_.QuarantinedUntil(request->caller.fingerprint, now) >
      absl::InfinitePast()) {
    GiveUp(request, kHttpUnavailable, "crashes-servers", now, &actions);
    return actions;
  }
  retries_.OnRequest(request->service, now);
  demand_.OnRequest(request->service,
                    balancer_.WorkTimeOf(request->service, route).warm, now);
  Place(request, now, &actions);
  return actions;
}

PlacementQuery Steering::QueryOf(const Request& request) {
  PlacementQuery query;
  query.route = request.route;
  query.service = request.service;
  query.has_affinity =
      request.route->has_affinity && request.caller.object != 0;
  // Requests without an object are spread by their number.
  query.object = query.has_affinity ? request.caller.object
                                    : base::StableHash("", request.caller.id);
  query.objective = request.caller.arrival + request.route->latency_objective;
  query.is_return = request.is_return || request.sent > 0;
  query.tried = request.tried;
  return query;
}

Placement Steering::Choose(const Request& request, absl::Time now) {
  return balancer_.Choose(QueryOf(request), now);
}

void Steering::Place(Request* request,
                     absl::Time now,
                     SteeringActions* actions) {
  const Placement placement = Choose(*request, now);
  if (placement.server == nullptr) {
    GiveUp(request, kHttpUnavailable, placement.refusal, now, actions);
    return;
  }
  Start(request, placement, now, actions);
}

void Steering::Start(Request* request,
                     const Placement& placement,
                     absl::Time now,
                     SteeringActions* actions) {
  const BackendServer& server = placement.server->server();
  placement.server->OnStart(now);
  Attempt& attempt = request->attempt;
  attempt.id = ++last_attempt_;
  attempt.server = placement.server;
  attempt.start = now;
  attempt.was_uncrowded = placement.load + 1 <= server.slots;
  request->tried.push_back(server.id);
  AttemptRecord& record = request->records.emplace_back();
  record.server = server.id;
  record.load = placement.load;
  record.slots = server.slots;
  record.load_age = placement.server->ReportAge(now);
  record.expected = placement.expected;
  request->next_check =
      request->route->is_idempotent
          ? now +
                (placement.expected +
                 balancer_.WorkTimeOf(request->service, *request->route).cold) *
                    kLostAnswerFactor
          : request->deadline;
  attempts_.emplace(attempt.id, request->caller.id);
  const absl::Duration round_trip = zones_->RoundTrip(server.zone);
  StartAttempt start;
  start.request = request->caller.id;
  start.attempt = attempt.id;
  start.server = server.id;
  start.endpoint = server.endpoint;
  start.time_left = request->deadline - now - round_trip / 2 - kReturnTrip;
  start.connect_timeout = round_trip * 2 + kConnectSlack;
  start.is_idempotent = request->route->is_idempotent;
  actions->push_back(std::move(start));
}

void Steering::Learn(const Request& request,
                     const AttemptEnd& end,
                     absl::Time now) {
  ServerLoad* server = request.attempt.server.get();
  server->OnEnd();
  if (end.load) {
    server->OnReport(*end.load, now);
  }
  if (end.cold_left) {
    server->OnCold(now + *end.cold_left);
  }
  if (end.connect_time) {
    zones_->OnRoundTrip(server->server().zone, *end.connect_time);
  }
  if (end.is_other_server) {
    NoteUnreachable(request, now);
    return;
  }
  switch (end.result) {
    case AttemptResult::kConnectFailed:
      NoteUnreachable(request, now);
      return;
    case AttemptResult::kCompleted:
      NoteReachable(server);
      server->OnOutcome(end.status >= kHttpServerError, now);
      break;
    case AttemptResult::kRefused: {
      NoteReachable(server);
      // A full server refuses; with free slots a refusal is a fault.
      const bool is_full =
          end.load && end.load->running + end.load->waiting >= end.load->slots;
      server->OnOutcome(!is_full, now);
      return;
    }
    default:
      server->OnOutcome(true, now);
      return;
  }
  if (!request.attempt.was_uncrowded || server->IsCold(now) ||
      end.status >= kHttpServerError) {
    return;
  }
  const absl::Duration work =
      now - request.attempt.start - zones_->RoundTrip(server->server().zone);
  balancer_.OnWork(QueryOf(request), server, work, now);
}

void Steering::NoteReachable(ServerLoad* server) {
  if (server->OnReachable() && hooks_.on_server_back) {
    hooks_.on_server_back(server->server());
  }
}

void Steering::NoteUnreachable(const Request& request, absl::Time now) {
  ServerLoad* server = request.attempt.server.get();
  const ServiceSpec* service = request.config->FindService(request.service);
  const absl::Duration warmup =
      service == nullptr ? absl::ZeroDuration() : service->warmup;
  const absl::Duration pause = server->OnUnreachable(warmup, now);
  if (pause > absl::ZeroDuration() && hooks_.on_server_paused) {
    hooks_.on_server_paused(server->server(), pause);
  }
}

void Steering::NoteBroken(const Request& request,
                          const AttemptEnd& end,
                          absl::Time now) {
  const std::string& server = request.attempt.server->server().id;
  if (end.result == AttemptResult::kCompleted) {
    suspects_.OnCompleted(request.caller.fingerprint);
  } else if (end.result == AttemptResult::kBroken) {
    auto& broken = broken_[server];
    while (!broken.empty() && now - broken.front().broke > kCrashWindow) {
      broken.pop_front();
    }
    broken.push_back({request.attempt.start, now, request.caller.fingerprint});
  } else if (end.result == AttemptResult::kConnectFailed) {
    NoteCrash(server, now);
  }
}

void Steering::NoteCrash(const std::string& server, absl::Time now) {
  const auto broken = broken_.find(server);
  if (broken == broken_.end()) {
    return;
  }
  for (const BrokenAttempt& attempt : broken->second) {
    if (now - attempt.broke > kCrashWindow) {
      continue;
    }
    // Servers that fail together break all copies of a request at once; only
    // one that began after the first crash speaks against the request.
    const auto first = suspects_.CrashedAt(attempt.fingerprint, now);
    const bool was_suspect = first && attempt.began >= *first;
    const auto notice =
        suspects_.OnCrash(attempt.fingerprint, was_suspect, attempt.broke);
    if (notice && hooks_.on_crashing_request) {
      hooks_.on_crashing_request(notice->fingerprint);
    }
  }
  broken_.erase(broken);
}

SteeringActions Steering::OnAttemptEnd(const AttemptEnd& end, absl::Time now) {
  SteeringActions actions;
  const auto known = attempts_.find(end.attempt);
  if (known == attempts_.end()) {
    return actions;
  }
  Request* request = requests_.at(known->second).get();
  attempts_.erase(known);
  NoteBroken(*request, end, now);
  Learn(*request, end, now);
  request->attempt.id = 0;
  AttemptRecord& record = request->records.back();
  record.result = end.result;
  record.status = end.status;
  record.took = now - request->attempt.start;
  if (request->is_caller_gone) {
    Finish(request, 0, "caller-gone", absl::ZeroDuration(), now);
    return actions;
  }
  switch (end.result) {
    case AttemptResult::kCompleted:
      OnAnswer(request, end, now, &actions);
      break;
    case AttemptResult::kRefused:
      ++request->sent;
      if (const Placement next = ChooseRetry(request, now); next.server) {
        Start(request, next, now, &actions);
        break;
      }
      GiveUp(request, kHttpUnavailable, "refused-by-server", now, &actions);
      break;
    case AttemptResult::kConnectFailed:
      ++request->unsent;
      if (request->unsent <= kMaxUnsent && now < request->deadline) {
        Place(request, now, &actions);
        break;
      }
      GiveUp(request, kHttpUnavailable, "no-connection", now, &actions);
      break;
    default:
      ++request->sent;
      request->may_have_run = true;
      if (!request->route->is_idempotent) {
        record.no_retry = NoRetry::kMayHaveRun;
      } else if (const Placement next = ChooseRetry(request, now);
                 next.server) {
        Start(request, next, now, &actions);
        break;
      }
      GiveUp(request, kHttpBadGateway, "answer-lost", now, &actions);
  }
  return actions;
}

void Steering::OnAnswer(Request* request,
                        const AttemptEnd& end,
                        absl::Time now,
                        SteeringActions* actions) {
  ++request->sent;
  request->may_have_run = true;
  const bool is_failure =
      end.status >= kHttpServerError && end.status != kHttpGatewayTimeout;
  if (is_failure && request->route->is_idempotent) {
    if (const Placement next = ChooseRetry(request, now); next.server) {
      Start(request, next, now, actions);
      return;
    }
  }
  Deliver(request, end, now, actions);
}

Placement Steering::ChooseRetry(Request* request, absl::Time now) {
  NoRetry& no_retry = request->records.back().no_retry;
  if (request->sent >= request->route->max_attempts) {
    no_retry = NoRetry::kAttempts;
    return {};
  }
  const absl::Duration work =
      balancer_.WorkTimeOf(request->service, *request->route).cold;
  if (request->deadline - now < work * kLeastRetryPart) {
    no_retry = NoRetry::kTime;
    return {};
  }
  Placement next = Choose(*request, now);
  if (next.server == nullptr) {
    no_retry = NoRetry::kNoServer;
    return {};
  }
  if (!retries_.TryRetry(request->service, now)) {
    no_retry = NoRetry::kBudget;
    return {};
  }
  no_retry = NoRetry::kNotAsked;
  return next;
}

void Steering::Deliver(Request* request,
                       const AttemptEnd& end,
                       absl::Time now,
                       SteeringActions* actions) {
  actions->push_back(DeliverAnswer{request->caller.id, end.attempt});
  Finish(request, end.status, kAnswered, absl::ZeroDuration(), now);
}

void Steering::GiveUp(Request* request,
                      int status,
                      absl::string_view reason,
                      absl::Time now,
                      SteeringActions* actions) {
  Refuse refuse;
  refuse.request = request->caller.id;
  refuse.status = status;
  refuse.reason = std::string(reason);
  const bool promises_not_run = status == kHttpUnavailable;
  if (promises_not_run && request->may_have_run) {
    refuse.status = kHttpBadGateway;
  } else if (promises_not_run) {
    refuse.retry_after = RetryAfter(*request);
  }
  Finish(request, refuse.status, reason,
         refuse.retry_after.value_or(absl::ZeroDuration()), now);
  actions->push_back(std::move(refuse));
}

absl::Duration Steering::RetryAfter(const Request& request) {
  if (request.route == nullptr) {
    return kUnreadyRetryAfter;
  }
  const absl::Duration work =
      balancer_.WorkTimeOf(request.service, *request.route).cold;
  return work * (kReturnLeast + (kReturnMost - kReturnLeast) * random_.Unit());
}

void Steering::AbandonAttempt(Request* request,
                              absl::Time now,
                              SteeringActions* actions) {
  Attempt& attempt = request->attempt;
  if (attempt.id == 0) {
    return;
  }
  attempt.server->OnEnd();
  request->records.back().took = now - attempt.start;
  attempts_.erase(attempt.id);
  actions->push_back(AbortAttempt{request->caller.id, attempt.id});
  attempt.id = 0;
}

SteeringActions Steering::OnCallerGone(RequestId id, absl::Time now) {
  SteeringActions actions;
  const auto known = requests_.find(id);
  if (known == requests_.end()) {
    return actions;
  }
  Request* request = known->second.get();
  request->is_caller_gone = true;
  // Work that can't be repeated is not broken off: it may be half done.
  if (request->route != nullptr && !request->route->is_idempotent &&
      request->attempt.id != 0) {
    return actions;
  }
  AbandonAttempt(request, now, &actions);
  Finish(request, 0, "caller-gone", absl::ZeroDuration(), now);
  return actions;
}

SteeringActions Steering::OnTick(absl::Time now) {
  SteeringActions actions;
  std::vector<Request*> due;
  for (const auto& [id, request] : requests_) {
    if (now >= request->deadline || now >= request->next_check) {
      due.push_back(request.get());
    }
  }
  for (Request* request : due) {
    if (now >= request->deadline) {
      OnTimeout(request, now, &actions);
      continue;
    }
    request->next_check = request->deadline;
    ReplaceAttempt(request, now, &actions);
  }
  return actions;
}

void Steering::OnTimeout(Request* request,
                         absl::Time now,
                         SteeringActions* actions) {
  const bool was_sent = request->attempt.id != 0;
  request->may_have_run = request->may_have_run || was_sent;
  AbandonAttempt(request, now, actions);
  if (request->is_caller_gone) {
    Finish(request, 0, "caller-gone", absl::ZeroDuration(), now);
    return;
  }
  GiveUp(request,
         request->may_have_run ? kHttpGatewayTimeout : kHttpUnavailable,
         "timeout", now, actions);
}

void Steering::ReplaceAttempt(Request* request,
                              absl::Time now,
                              SteeringActions* actions) {
  if (request->is_caller_gone || request->attempt.id == 0 ||
      request->sent + 1 >= request->route->max_attempts) {
    return;
  }
  const Placement next = ChooseRetry(request, now);
  if (next.server == nullptr) {
    return;
  }
  request->attempt.server->OnOutcome(true, now);
  AbandonAttempt(request, now, actions);
  ++request->sent;
  request->may_have_run = true;
  Start(request, next, now, actions);
}

void Steering::Finish(Request* request,
                      int status,
                      absl::string_view reason,
                      absl::Duration retry_after,
                      absl::Time now) {
  if (hooks_.on_request_end) {
    RequestRecord record;
    record.request = &request->caller;
    record.route = request->route == nullptr ? "" : request->route->name;
    record.service = request->service;
    record.config_version =
        request->config == nullptr ? 0 : request->config->version();
    record.status = status;
    record.reason = std::string(reason);
    record.attempts = std::move(request->records);
    record.retry_after = retry_after;
    record.took = now - request->caller.arrival;
    hooks_.on_request_end(record);
  }
  requests_.erase(request->caller.id);
}

}  // namespace baobabwall::gateway
