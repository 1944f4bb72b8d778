#include "steer/src/engine.h"

#include <algorithm>
#include <set>
#include <utility>

namespace baobabwall::steer {
namespace internal {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr absl::Duration kDefaultRetryAfter = absl::Seconds(1);

// Maximum number of attempts of a request at one instance, including the first
// attempt. If half of the servers refuse, 94% (1 - 0.5^4) of the requests are
// accepted within four attempts.
constexpr int kMaxAttempts = 4;

// Maximum ratio of retries after a refusal to first attempts. Refusals are
// cheap, but retries must at most double the load of servers that shed load.
constexpr double kRefusalRetriesPerFirstAttempt = 1.0;

constexpr double kFractionPerPercent = 0.01;

AnswerCaller Refusal(RequestId request,
                     int status,
                     base::Outcome outcome,
                     absl::string_view reason,
                     absl::Duration retry_after = absl::ZeroDuration()) {
  AnswerCaller answer;
  answer.request = request;
  answer.status = status;
  answer.outcome = outcome;
  answer.reason = std::string(reason);
  answer.retry_after = retry_after;
  return answer;
}

// Uses the hash of each part as the seed for the next part, so that the parts
// need not be copied into one buffer.
uint64_t Fingerprint(const RequestArrival& arrival) {
  const uint64_t head = base::StableHash(
      arrival.method, base::StableHash(arrival.service, arrival.body_hash));
  return base::StableHash(arrival.path, head);
}

/// \returns true if the target has certainly not run the request.
bool IsConfirmedNotRun(const AttemptEnd& end, const Target& target) {
  switch (end.result) {
    case AttemptResult::kConnectFailed:
    case AttemptResult::kRefused:
    case AttemptResult::kCancelled:
      return true;
    case AttemptResult::kCompleted:
      return target.type == Target::Type::kInstance &&
             end.relayed_outcome == base::Outcome::kNotRun;
    default:
      return false;
  }
}

/// \returns HTTP status of the answer for a failed attempt.
int FailureStatus(const AttemptEnd& end, bool is_not_run) {
  if (end.result == AttemptResult::kTimedOut) {
    return kGatewayTimeout;
  }
  return is_not_run ? kUnavailable : kBadGateway;
}

}  // namespace internal

Engine::Builder& Engine::Builder::Seed(uint64_t seed) {
  seed_ = seed;
  return *this;
}

Engine::Builder& Engine::Builder::KeyCapacity(size_t capacity) {
  key_capacity_ = capacity;
  return *this;
}

Engine::Builder& Engine::Builder::KeyAnswerBytes(size_t bytes) {
  key_answer_bytes_ = bytes;
  return *this;
}

Engine::Builder& Engine::Builder::QueueLength(size_t length) {
  queue_length_ = length;
  return *this;
}

Engine::Builder& Engine::Builder::SetPlacementRules(PlacementRules rules) {
  placement_rules_ = std::move(rules);
  return *this;
}

Engine::Builder& Engine::Builder::Chart(absl::string_view file,
                                        absl::string_view text) {
  chart_file_ = std::string(file);
  chart_text_ = std::string(text);
  return *this;
}

Engine::Builder& Engine::Builder::Rules(const steer::Rules& rules) {
  request_rules_ = rules;
  return *this;
}

std::unique_ptr<Engine> Engine::Builder::Build(base::Findings* findings) const {
  base::Findings chart_findings;
  std::shared_ptr<const RequestChart> chart =
      RequestChart::Parse(chart_file_, chart_text_, &chart_findings);
  if (findings != nullptr) {
    findings->Append(chart_findings);
  }
  if (chart == nullptr) {
    return nullptr;
  }
  return std::unique_ptr<Engine>(new Engine(*this, std::move(chart)));
}

Engine::Engine(const Builder& builder,
               std::shared_ptr<const RequestChart> chart)
    : max_waiting_suspects_(builder.queue_length_),
      request_rules_(builder.request_rules_),
      chart_(std::move(chart)),
      placement_(builder.seed_, builder.placement_rules_),
      keys_(builder.key_capacity_,
            builder.key_answer_bytes_,
            builder.request_rules_),
      queue_(builder.queue_length_, builder.placement_rules_.queues_fairly) {}

Actions Engine::Publish(std::shared_ptr<const Snapshot> snapshot,
                        absl::Time now) {
  snapshot_ = std::move(snapshot);
  instances_.clear();
  for (const InstanceView& instance : snapshot_->instances) {
    const InstanceView*& known = instances_[instance.id.name];
    if (known == nullptr || known->id < instance.id) {
      known = &instance;
    }
  }
  suspects_.Publish(snapshot_->quarantined);
  placement_.Publish(snapshot_, now);
  Actions actions;
  ServeQueue({}, now, &actions);
  return actions;
}

const InstanceView* Engine::FindInstance(absl::string_view name) const {
  const auto found = instances_.find(name);
  return found == instances_.end() ? nullptr : found->second;
}

const model::Service* Engine::Classify(Request* request, absl::Time now) const {
  RequestArrival& arrival = request->arrival;
  const auto& services = snapshot_->configuration->services();
  const auto found = services.find(arrival.service);
  if (found == services.end()) {
    return nullptr;
  }
  const model::Service& service = found->second;
  arrival.deadline = std::min(arrival.deadline, now + service.deadline);
  const auto& methods = service.idempotent_methods;
  request->is_idempotent = std::find(methods.begin(), methods.end(),
                                     arrival.method) != methods.end();
  request->service_class = service.service_class;
  request->max_answer_bytes = service.max_answer_bytes;
  request->retries_per_first_attempt =
      service.retry_budget_percent * internal::kFractionPerPercent;
  if (arrival.body_hash != 0 || request->is_idempotent) {
    request->fingerprint = internal::Fingerprint(arrival);
  } else if (!arrival.idempotency_key.empty()) {
    // Without a hash of the body, only the key distinguishes requests of the
    // same path.
    request->fingerprint = base::StableHash(arrival.idempotency_key);
  }
  request->placement.service = arrival.service;
  request->placement.is_relayed = arrival.is_relayed;
  request->placement.deadline = arrival.deadline;
  request->placement.home_region = arrival.relayed_region;
  const auto address = model::ClientAddress::Parse(arrival.client_address);
  if (!arrival.is_relayed && address) {
    request->placement.home_region =
        std::string(snapshot_->configuration->RegionOf(
            snapshot_->configuration->client_blocks().HomeZone(*address)));
  }
  return &service;
}

Actions Engine::OnArrival(RequestArrival arrival, absl::Time now) {
  Actions actions;
  const RequestId id = arrival.id;
  Request* request = &requests_[id];
  request->arrival = std::move(arrival);
  request->state = chart_->initial();
  const auto refuse = [&](int status, absl::string_view reason,
                          absl::Duration retry_after) {
    EndWithoutAttempt(id,
                      internal::Refusal(id, status, base::Outcome::kNotRun,
                                        reason, retry_after),
                      &actions);
    return actions;
  };
  const model::Service* service = Classify(request, now);
  const bool is_admitting = snapshot_->is_ready && snapshot_->is_admitting;
  // A refusal reports the outcome "not run", which is correct only if no
  // request with this idempotency key has run before. The key is therefore
  // looked up first.
  const bool can_refuse_before_lookup =
      !request_rules_.look_up_key_before_refusing;
  if (can_refuse_before_lookup && !is_admitting) {
    return refuse(internal::kUnavailable, "the instance is not ready",
                  internal::kDefaultRetryAfter);
  }
  if (request->arrival.is_relayed && !AdmitRelay(request, &actions)) {
    return actions;
  }
  if (!request->is_idempotent && !request->arrival.idempotency_key.empty()) {
    AdmitKey(request, service, now, &actions);
    if (!actions.empty()) {
      return actions;
    }
  }
  if (!is_admitting) {
    return refuse(internal::kUnavailable, "the instance is not ready",
                  internal::kDefaultRetryAfter);
  }
  if (service == nullptr) {
    return refuse(internal::kNotFound, "the service is not declared",
                  absl::ZeroDuration());
  }
  if (request->arrival.deadline <= now) {
    return refuse(internal::kGatewayTimeout, "the deadline has passed",
                  absl::ZeroDuration());
  }
  if (request->has_key_of_other_owner) {
    RelayToOwner(request,
                 IdempotencyKey::Parse(request->arrival.idempotency_key)->owner,
                 now, &actions);
    return actions;
  }
  if (CheckSuspect(request, nullptr, now, &actions)) {
    Place(request, now, &actions);
  }
  return actions;
}

bool Engine::AdmitRelay(Request* request, Actions* actions) {
  const RelayMark& mark = request->arrival.relay;
  const RequestId id = request->arrival.id;
  if (!(mark.to == snapshot_->self) && request_rules_.check_relay_target) {
    EndWithoutAttempt(
        id,
        internal::Refusal(id, internal::kConflict, base::Outcome::kUnknown,
                          "the relay was for another incarnation"),
        actions);
    return false;
  }
  if (!relay_window_.Accept(mark) && request_rules_.refuse_duplicate_relays) {
    EndWithoutAttempt(
        id,
        internal::Refusal(id, internal::kConflict, base::Outcome::kUnknown,
                          "the relay has arrived before"),
        actions);
    return false;
  }
  return true;
}

void Engine::AdmitKey(Request* request,
                      const model::Service* service,
                      absl::Time now,
                      Actions* actions) {
  const RequestArrival& arrival = request->arrival;
  const RequestId id = arrival.id;
  const auto refuse = [&](int status, base::Outcome outcome,
                          absl::string_view reason,
                          absl::Duration retry_after = absl::ZeroDuration()) {
    EndWithoutAttempt(
        id, internal::Refusal(id, status, outcome, reason, retry_after),
        actions);
  };
  const auto key = IdempotencyKey::Parse(arrival.idempotency_key);
  if (!key) {
    refuse(internal::kBadRequest, base::Outcome::kNotRun,
           "the idempotency key was not made from a lookup");
    return;
  }
  if (!(key->owner == snapshot_->self)) {
    if (!request_rules_.bind_keys_to_owner) {
      return;
    }
    if (!arrival.is_relayed) {
      request->has_key_of_other_owner = true;
      return;
    }
    // The owner of the key has recorded the key and relays the request only for
    // a single run.
    if (!(arrival.relay.from == key->owner)) {
      refuse(internal::kConflict, base::Outcome::kUnknown,
             "another instance may run this key");
    }
    return;
  }
  switch (keys_.Begin(arrival.idempotency_key, *key,
                      service == nullptr ? "" : service->tenant,
                      arrival.body_hash != 0 && service != nullptr
                          ? request->fingerprint
                          : internal::Fingerprint(arrival),
                      now)) {
    case KeyStatus::kRun:
      request->holds_key = true;
      break;
    case KeyStatus::kStillRunning:
      refuse(internal::kConflict, base::Outcome::kUnknown,
             "the request with this key is still running",
             internal::kDefaultRetryAfter);
      break;
    case KeyStatus::kDifferent:
      // A request with the same idempotency key but different content may have
      // run, so the answer must not report the outcome "not run".
      refuse(internal::kUnprocessable, base::Outcome::kUnknown,
             "the key belongs to another request");
      break;
    case KeyStatus::kTableFull:
      refuse(internal::kTooManyRequests, base::Outcome::kNotRun,
             "too many idempotency keys are in use",
             internal::kDefaultRetryAfter);
      break;
    case KeyStatus::kExpired:
      refuse(internal::kConflict, base::Outcome::kUnknown,
             "the idempotency key has expired");
      break;
    case KeyStatus::kExpiryTooLate:
      refuse(internal::kBadRequest, base::Outcome::kNotRun,
             "the expiry of the idempotency key is too far away");
      break;
    case KeyStatus::kEnded:
      AnswerFromKeyRecord(*request, actions);
      break;
  }
}

void Engine::AnswerFromKeyRecord(const Request& request, Actions* actions) {
  const RequestId id = request.arrival.id;
  const KeyEnd* record = keys_.FindEnd(request.arrival.idempotency_key);
  AnswerCaller answer = internal::Refusal(
      id, record->has_answer ? record->status : internal::kConflict,
      record->outcome, "the request with this key has run before");
  answer.is_replay = record->has_answer;
  answer.headers = record->headers;
  answer.body = record->body;
  EndWithoutAttempt(id, std::move(answer), actions);
}

void Engine::RelayToOwner(Request* request,
                          const InstanceId& owner,
                          absl::Time now,
                          Actions* actions) {
  const InstanceView* view = FindInstance(owner.name);
  if (view == nullptr || !(view->id == owner)) {
    const RequestId id = request->arrival.id;
    EndWithoutAttempt(
        id,
        internal::Refusal(id, internal::kConflict, base::Outcome::kUnknown,
                          "the instance that may run this key is gone"),
        actions);
    return;
  }
  Start(request,
        {Target::Type::kInstance, owner.name, view->address, view->caller_port},
        now, actions);
}

bool Engine::CheckSuspect(Request* request,
                          const Target* target,
                          absl::Time now,
                          Actions* actions) {
  const RequestId id = request->arrival.id;
  const uint64_t fingerprint = request->fingerprint;
  const CrashSuspects::Admission admission =
      suspects_.CheckAdmission(fingerprint, now);
  if (admission == CrashSuspects::Admission::kQuarantined &&
      request_rules_.quarantine) {
    EndWithoutAttempt(
        id,
        internal::Refusal(id, internal::kUnavailable, base::Outcome::kNotRun,
                          "backend servers crashed while they ran this",
                          suspects_.QuarantinedUntil(fingerprint, now) - now),
        actions);
    return false;
  }
  const bool can_run_alone =
      admission != CrashSuspects::Admission::kInFlight &&
      (target == nullptr || !suspects_.IsSuspect(fingerprint, now) ||
       suspects_.ServersWithSuspects(fingerprint).count(target->name) == 0);
  if (can_run_alone || !request_rules_.one_suspect_in_flight) {
    return true;
  }
  // Most of the suspected requests did not cause the crash, so they are queued,
  // not refused.
  if (waiting_suspects_.size() < max_waiting_suspects_) {
    waiting_suspects_.push_back(id);
    HandleEvent(request, RequestEvent::kWait, nullptr, actions);
    return false;
  }
  EndWithoutAttempt(
      id,
      internal::Refusal(id, internal::kUnavailable, base::Outcome::kNotRun,
                        "a backend server crashed while it ran this",
                        internal::kDefaultRetryAfter),
      actions);
  return false;
}

void Engine::PlaceWaitingSuspects(absl::Time now, Actions* actions) {
  if (waiting_suspects_.empty()) {
    return;
  }
  for (RequestId id : std::exchange(waiting_suspects_, {})) {
    Request& request = requests_.at(id);
    if (request.arrival.deadline <= now) {
      EndWithoutAttempt(
          id,
          internal::Refusal(id, internal::kGatewayTimeout,
                            base::Outcome::kNotRun,
                            "the deadline passed while it waited"),
          actions);
    } else if (CheckSuspect(&request, nullptr, now, actions)) {
      Place(&request, now, actions);
    }
  }
}

StartAttempt Engine::MakeStartAttempt(const Request& request) {
  StartAttempt start;
  start.request = request.arrival.id;
  start.attempt = request.attempt.id;
  start.target = request.attempt.target;
  start.deadline = request.arrival.deadline;
  start.home_region = request.placement.home_region;
  start.max_answer_bytes = request.max_answer_bytes;
  if (start.target.type == Target::Type::kInstance) {
    const InstanceView* view = FindInstance(start.target.name);
    start.relay.from = snapshot_->self;
    start.relay.to = view == nullptr ? InstanceId() : view->id;
    start.relay.number = ++last_relay_number_;
  }
  return start;
}

void Engine::Start(Request* request,
                   const Target& target,
                   absl::Time now,
                   Actions* actions) {
  // While the request waited, it may have become suspected of crashing backend
  // servers, or its deadline may have passed.
  const bool is_late = request->arrival.deadline <= now &&
                       request_rules_.no_start_after_deadline;
  if (is_late || (!request->has_key_of_other_owner &&
                  !CheckSuspect(request, &target, now, actions))) {
    AttemptEnd end;
    end.result = AttemptResult::kCancelled;
    placement_.Release(target, end, absl::ZeroDuration(), now);
    if (is_late) {
      EndWithoutAttempt(
          request->arrival.id,
          internal::Refusal(request->arrival.id, internal::kGatewayTimeout,
                            base::Outcome::kNotRun,
                            "the deadline passed while it waited",
                            internal::kDefaultRetryAfter),
          actions);
    }
    return;
  }
  request->attempt = Attempt();
  request->attempt.id = next_attempt_id_++;
  request->attempt.target = target;
  request->attempt.start = now;
  if (++request->attempts == 1) {
    const auto budget = static_cast<size_t>(request->service_class);
    retry_budgets_[budget].OnFirstAttempt(request->retries_per_first_attempt);
    refusal_budgets_[budget].OnFirstAttempt(
        internal::kRefusalRetriesPerFirstAttempt);
  }
  if (target.type == Target::Type::kBackendServer) {
    request->attempt.was_suspect_at_start =
        suspects_.IsSuspect(request->fingerprint, now);
    suspects_.OnStart(request->fingerprint, target.name, now);
  }
  HandleEvent(request, RequestEvent::kStart, nullptr, actions);
}

PlacementChoice Engine::ChooseTarget(Request* request, absl::Time now) {
  PlacementRequest& request_placement = request->placement;
  const bool is_suspect = suspects_.IsSuspect(request->fingerprint, now);
  if (request_placement.excluded_targets.empty() && !is_suspect) {
    return placement_.Choose(request_placement, now);
  }
  std::set<std::string> servers_with_suspects;
  if (is_suspect && request_rules_.one_suspect_in_flight) {
    servers_with_suspects = suspects_.ServersWithSuspects(request->fingerprint);
  }
  PlacementRequest restricted = request_placement;
  restricted.excluded_targets.insert(servers_with_suspects.begin(),
                                     servers_with_suspects.end());
  PlacementChoice choice = placement_.Choose(restricted, now);
  if (choice.type != PlacementChoice::Type::kRefuse ||
      restricted.excluded_targets.empty()) {
    return choice;
  }
  // No other target can run the request, so failed targets are tried again. The
  // list of failed targets is also cleared if the request waits, because the
  // request would otherwise block the queue.
  request_placement.excluded_targets.clear();
  if (servers_with_suspects.empty()) {
    return placement_.Choose(request_placement, now);
  }
  // The request waits until a slot is free at a server that runs no other
  // request suspected of crashing backend servers.
  choice.type = PlacementChoice::Type::kWait;
  return choice;
}

void Engine::Place(Request* request, absl::Time now, Actions* actions) {
  const RequestId id = request->arrival.id;
  const RequestArrival& arrival = request->arrival;
  if (queue_.Length(arrival.service) > 0) {
    // Starts earlier requests first, because a slot may have become free
    // without an event, for example when the slow start raised a limit.
    ServeQueue(arrival.service, now, actions);
  }
  request->placement.waiting = queue_.Length(arrival.service);
  request->placement.body_bytes = arrival.body_bytes;
  const PlacementChoice choice = ChooseTarget(request, now);
  if (choice.type == PlacementChoice::Type::kTarget) {
    Start(request, choice.target, now, actions);
    return;
  }
  const auto service =
      snapshot_->configuration->services().find(arrival.service);
  if (choice.type == PlacementChoice::Type::kWait &&
      service != snapshot_->configuration->services().end() &&
      queue_.Push({id, arrival.service, service->second.tenant,
                   service->second.service_class, arrival.deadline})) {
    // The request is placed again only when it is at the head of the queue.
    request->placement.waiting = 0;
    request->placement.is_waiting = true;
    HandleEvent(request, RequestEvent::kWait, nullptr, actions);
    return;
  }
  const std::string reason =
      choice.reason.empty() ? "the queue is full" : choice.reason;
  EndWithoutAttempt(
      id,
      internal::Refusal(
          id, internal::kUnavailable, base::Outcome::kNotRun, reason,
          choice.retry_after > absl::ZeroDuration()
              ? choice.retry_after
              : placement_.RetryAfter(internal::kDefaultRetryAfter)),
      actions);
}

void Engine::EndWithoutAttempt(RequestId id,
                               AnswerCaller answer,
                               Actions* actions) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const Request& request = found->second;
  const bool may_have_run =
      (request.may_have_run &&
       request_rules_.report_unknown_after_lost_attempt) ||
      request.has_key_of_other_owner;
  if (answer.outcome == base::Outcome::kNotRun && may_have_run) {
    answer.outcome = base::Outcome::kUnknown;
  }
  HandleEvent(&found->second, RequestEvent::kRefuse, &answer, actions);
}

bool Engine::HandleEvent(Request* request,
                         RequestEvent event,
                         AnswerCaller* answer,
                         Actions* actions) {
  const RequestChart::Step* step = chart_->Find(request->state, event);
  if (step == nullptr) {
    return false;
  }
  request->state = step->target;
  for (RequestAction action : step->actions) {
    switch (action) {
      case RequestAction::kSend:
        actions->push_back(MakeStartAttempt(*request));
        break;
      case RequestAction::kRecord:
        SaveKeyResult(*request, *answer);
        break;
      case RequestAction::kAnswer:
        actions->push_back(*answer);
        break;
      case RequestAction::kCancel:
        actions->push_back(
            CancelAttempt{request->arrival.id, request->attempt.id});
        break;
    }
  }
  if (step->target == RequestState::kEnded) {
    requests_.erase(request->arrival.id);
  }
  return true;
}

void Engine::SaveKeyResult(const Request& request, const AnswerCaller& answer) {
  if (!request.holds_key) {
    return;
  }
  KeyEnd end;
  end.outcome = answer.outcome;
  end.status = answer.status;
  end.has_answer = answer.is_replay;
  if (answer.is_replay) {
    end.headers = answer.headers;
    end.body = answer.body;
  }
  keys_.End(request.arrival.idempotency_key, std::move(end));
}

bool Engine::OnAnswerStart(RequestId id, AttemptId attempt) {
  const auto found = requests_.find(id);
  if (!request_rules_.drop_late_answers) {
    return found != requests_.end();
  }
  if (found == requests_.end() || attempt == 0 ||
      found->second.attempt.id != attempt ||
      found->second.attempt.is_answer_started) {
    return false;
  }
  if (!HandleEvent(&found->second, RequestEvent::kAnswer, nullptr, nullptr)) {
    return false;
  }
  found->second.attempt.is_answer_started = true;
  return true;
}

bool Engine::CanRetry(const Request& request,
                      const AttemptEnd& end,
                      bool is_not_run,
                      absl::Time now) {
  if (request.state != RequestState::kAttempting || end.was_answer_started ||
      request.has_key_of_other_owner) {
    return false;
  }
  if (now >= request.arrival.deadline &&
      request_rules_.no_start_after_deadline) {
    return false;
  }
  if (request.arrival.is_relayed && request_rules_.no_retry_at_relay_target) {
    return false;
  }
  if (request.attempts >= internal::kMaxAttempts &&
      request_rules_.limit_attempts) {
    return false;
  }
  // A retry is useless, because its answer would also be oversized.
  if (end.result == AttemptResult::kOversized) {
    return false;
  }
  if (!is_not_run && !request.is_idempotent &&
      request_rules_.no_retry_after_first_byte) {
    return false;
  }
  return TakeRetryToken(request, is_not_run, now);
}

bool Engine::TakeRetryToken(const Request& request,
                            bool is_not_run,
                            absl::Time now) {
  if (!request_rules_.retry_budget) {
    return true;
  }
  auto& budgets = is_not_run ? refusal_budgets_ : retry_budgets_;
  return budgets[static_cast<size_t>(request.service_class)].TryTake(now);
}

void Engine::EndAttempt(Request* request,
                        const AttemptEnd& end,
                        absl::Time now) {
  const Attempt& attempt = request->attempt;
  // The clock may have been set back since the attempt started.
  const absl::Duration latency =
      std::max(now - attempt.start, absl::ZeroDuration());
  placement_.Release(attempt.target, end, latency, now);
  if (attempt.target.type != Target::Type::kBackendServer) {
    return;
  }
  observations_.push_back(
      {attempt.target.name, end.result, end.status, latency, now});
  suspects_.OnEnd(request->fingerprint);
  if (end.result == AttemptResult::kCompleted) {
    suspects_.OnCompleted(request->fingerprint);
  }
  const bool is_crash = end.result == AttemptResult::kBroken &&
                        !attempt.is_answer_started && !end.was_answer_started;
  // This instance itself closed the connection of a cancelled attempt.
  const bool is_cancelled =
      request->state == RequestState::kDetached &&
      !(request->holds_key && request_rules_.finish_run_after_disconnect);
  if (!is_crash || is_cancelled) {
    return;
  }
  const auto notice = suspects_.OnCrash(request->fingerprint,
                                        attempt.was_suspect_at_start, now);
  if (notice && request_rules_.quarantine) {
    quarantine_notices_.push_back(*notice);
  }
}

Actions Engine::OnAttemptEnd(const AttemptEnd& end, absl::Time now) {
  Actions actions;
  const auto found = requests_.find(end.request);
  if (found == requests_.end() || end.attempt == 0 ||
      found->second.attempt.id != end.attempt) {
    return actions;
  }
  Request& request = found->second;
  EndAttempt(&request, end, now);
  const Attempt attempt = std::exchange(request.attempt, Attempt());
  const std::string service = request.arrival.service;
  const bool is_started = attempt.is_answer_started || end.was_answer_started;
  const bool is_not_run =
      internal::IsConfirmedNotRun(end, attempt.target) && !is_started;

  AnswerCaller answer = internal::Refusal(
      end.request, internal::FailureStatus(end, is_not_run),
      is_not_run ? base::Outcome::kNotRun : base::Outcome::kUnknown,
      "the attempt failed", internal::kDefaultRetryAfter);
  // If another instance sent the answer, the answer comes from a run of the
  // request only if the answer reports the outcome "run".
  const bool is_result_of_run =
      attempt.target.type == Target::Type::kBackendServer ||
      end.relayed_outcome == base::Outcome::kRun ||
      !request_rules_.pass_on_relayed_outcome;
  if (end.result == AttemptResult::kCompleted) {
    answer.status = end.status;
    answer.headers = end.answer_headers;
    answer.body = end.answer;
    answer.is_replay =
        static_cast<int64_t>(end.answer.size()) == end.answer_bytes;
  }
  if (end.result == AttemptResult::kCompleted &&
      (is_result_of_run || is_started)) {
    answer.outcome =
        is_result_of_run ? base::Outcome::kRun : base::Outcome::kUnknown;
    answer.is_replay = answer.is_replay && is_result_of_run;
    HandleEvent(&request, RequestEvent::kComplete, &answer, &actions);
  } else if (CanRetry(request, end, is_not_run, now)) {
    request.may_have_run = request.may_have_run || !is_not_run;
    request.placement.excluded_targets.insert(attempt.target.name);
    HandleEvent(&request, RequestEvent::kRetry, nullptr, &actions);
    if (CheckSuspect(&request, nullptr, now, &actions)) {
      Place(&request, now, &actions);
    }
  } else {
    if (request.may_have_run &&
        request_rules_.report_unknown_after_lost_attempt) {
      answer.outcome = base::Outcome::kUnknown;
    }
    // Only the owner of the idempotency key can confirm that no request with
    // this key has run.
    if (request.has_key_of_other_owner &&
        end.result != AttemptResult::kRefused &&
        end.result != AttemptResult::kCompleted) {
      answer.outcome = base::Outcome::kUnknown;
    }
    if (is_started) {
      HandleEvent(&request, RequestEvent::kAnswer, nullptr, &actions);
    }
    if (answer.outcome == base::Outcome::kUnknown && !request.is_idempotent &&
        request.arrival.idempotency_key.empty()) {
      answer.retry_after = absl::ZeroDuration();
    }
    HandleEvent(&request,
                is_not_run ? RequestEvent::kNotRun : RequestEvent::kLost,
                &answer, &actions);
  }
  PlaceWaitingSuspects(now, &actions);
  ServeQueue(service, now, &actions);
  return actions;
}

Actions Engine::OnCallerDisconnected(RequestId id, absl::Time now) {
  Actions actions;
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return actions;
  }
  Request& request = found->second;
  const std::string service = request.arrival.service;
  if (request.state == RequestState::kWaiting) {
    queue_.Erase(id);
    waiting_suspects_.erase(
        std::remove(waiting_suspects_.begin(), waiting_suspects_.end(), id),
        waiting_suspects_.end());
  }
  AnswerCaller answer = internal::Refusal(
      id, internal::kUnavailable,
      request.may_have_run ? base::Outcome::kUnknown : base::Outcome::kNotRun,
      "the caller is gone");
  HandleEvent(&request,
              request.holds_key && request_rules_.finish_run_after_disconnect
                  ? RequestEvent::kCallerWithKeyDisconnected
                  : RequestEvent::kCallerDisconnected,
              &answer, &actions);
  ServeQueue(service, now, &actions);
  return actions;
}

void Engine::ServeQueue(const std::string& service,
                        absl::Time now,
                        Actions* actions) {
  const auto offer = [&](const WaitingRequest& waiting_request) {
    Request& request = requests_.at(waiting_request.id);
    const PlacementChoice choice = placement_.Choose(request.placement, now);
    if (choice.type == PlacementChoice::Type::kWait) {
      return WaitQueue::Offer::kBlocked;
    }
    request.placement.is_waiting = false;
    if (choice.type == PlacementChoice::Type::kTarget) {
      Start(&request, choice.target, now, actions);
    } else {
      EndWithoutAttempt(
          waiting_request.id,
          internal::Refusal(waiting_request.id, internal::kUnavailable,
                            base::Outcome::kNotRun, choice.reason,
                            choice.retry_after),
          actions);
    }
    return WaitQueue::Offer::kTaken;
  };
  if (service.empty()) {
    queue_.ServeAll(offer);
  } else {
    queue_.Serve(service, offer);
  }
}

Actions Engine::OnTick(absl::Time now) {
  Actions actions;
  keys_.Expire(now);
  PlaceWaitingSuspects(now, &actions);
  for (const RequestId id : queue_.TakeExpired(now)) {
    EndWithoutAttempt(
        id,
        internal::Refusal(id, internal::kGatewayTimeout, base::Outcome::kNotRun,
                          "the deadline passed while it waited",
                          placement_.RetryAfter(internal::kDefaultRetryAfter)),
        &actions);
  }
  ServeQueue({}, now, &actions);
  return actions;
}

std::vector<Observation> Engine::TakeObservations() {
  return std::exchange(observations_, {});
}

std::vector<QuarantineNotice> Engine::TakeQuarantineNotices() {
  return std::exchange(quarantine_notices_, {});
}

}  // namespace baobabwall::steer
