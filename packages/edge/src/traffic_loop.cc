#include "edge/src/traffic_loop.h"

#include <malloc.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "absl/strings/str_join.h"
#include "edge/src/log_writer.h"
#include "glog/logging.h"

namespace baobabwall::edge {
namespace internal {

base::Outcome OutcomeOf(int status) {
  if (status == gateway::kHttpUnavailable ||
      status == gateway::kHttpUnauthorized ||
      status == gateway::kHttpTooManyRequests) {
    return base::Outcome::kNotRun;
  }
  const bool is_unknown = status == 0 || status == gateway::kHttpBadGateway ||
                          status == gateway::kHttpGatewayTimeout;
  return is_unknown ? base::Outcome::kUnknown : base::Outcome::kRun;
}

/// Size from which an allocation is returned to the system when it is freed.
constexpr int kAllocatorThreshold = 256 * 1024;

uint64_t BudgetBytes(int64_t memory_mb) {
  const uint64_t bytes = static_cast<uint64_t>(memory_mb) * 1024 * 1024;
  // Small limits, as in tests, leave a quarter for requests and answers.
  return std::max(bytes / 4,
                  bytes - std::min(bytes, TrafficLoop::kProcessBytes));
}

/// A request with the memory that is reserved for it.
struct HeldRequest {
  HttpRequest request;
  MemoryBudget::Reservation memory;
};

std::shared_ptr<const HttpRequest> HoldRequest(
    HttpRequest request,
    MemoryBudget::Reservation memory) {
  auto held = std::make_shared<HeldRequest>(
      HeldRequest{std::move(request), std::move(memory)});
  return {held, &held->request};
}

}  // namespace internal

TrafficLoop::TrafficLoop(const settings::GatewaySettings& settings,
                         const Dialect* dialect,
                         gateway::InstanceRecord self,
                         uint64_t seed,
                         transport::Metrics* metrics,
                         Hooks hooks)
    : settings_(settings),
      dialect_(dialect),
      self_(std::move(self)),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      memory_budget_(internal::BudgetBytes(settings.memory_mb)),
      io_(1),
      zones_(settings.zone_regions, settings.zone),
      steering_(
          &zones_,
          self_.name,
          seed,
          {[this](const gateway::RequestRecord& record) {
             OnRequestEnd(record);
           },
           hooks_.on_crashing_request,
           [](const gateway::BackendServer& server, absl::Duration pause) {
             LOG(INFO) << "backend: paused server=" << server.id
                       << " service=" << server.service
                       << " ms=" << absl::ToInt64Milliseconds(pause);
           },
           [](const gateway::BackendServer& server) {
             LOG(INFO) << "backend: back server=" << server.id
                       << " service=" << server.service;
           },
           [](const gateway::BackendServer& server) {
             LOG(INFO) << "backend: leaving server=" << server.id
                       << " service=" << server.service
                       << " incarnation=" << server.incarnation;
           },
           [](const gateway::BackendServer& server, absl::Duration pause) {
             LOG(INFO) << "backend: pause requested server=" << server.id
                       << " service=" << server.service
                       << " incarnation=" << server.incarnation
                       << " ms=" << absl::ToInt64Milliseconds(pause);
           },
           [](const gateway::BackendServer& server,
              std::optional<double> per_s) {
             if (per_s) {
               LOG(INFO) << "backend: limit named server=" << server.id
                         << " service=" << server.service
                         << " incarnation=" << server.incarnation
                         << " per_s=" << *per_s;
               return;
             }
             LOG(INFO) << "backend: limit ended server=" << server.id
                       << " service=" << server.service
                       << " incarnation=" << server.incarnation;
           },
           [](const gateway::BackendServer& server) {
             LOG(WARNING) << "backend: malformed load server=" << server.id
                          << " service=" << server.service
                          << " incarnation=" << server.incarnation;
           }},
          self_.incarnation),
      peers_(self_.name, self_.zone, self_.region),
      request_log_(settings.log_lines_per_s),
      account_counters_(metrics),
      caller_listener_(
          &io_,
          {[this](ExchangeId exchange, HttpRequest request) {
             OnRequest(exchange, std::move(request));
           },
           [this](ExchangeId exchange) { OnCallerDisconnected(exchange); },
           [this](const RequestHead& head) { return CheckHead(head); }}),
      readiness_listener_(
          &io_,
          {[this](ExchangeId exchange, const HttpRequest& request) {
             OnReadinessCheck(exchange, request);
           },
           [](ExchangeId) {}}),
      lookup_listener_(
          &io_,
          {[this](ExchangeId exchange, const HttpRequest& request) {
             OnLookup(exchange, request);
           },
           [](ExchangeId) {}}),
      metrics_listener_(&io_,
                        {[this](ExchangeId exchange, const HttpRequest&) {
                           OnMetricsRequest(exchange);
                         },
                         [](ExchangeId) {}}),
      backend_client_(&io_,
                      dialect,
                      [this](const gateway::AttemptEnd& end,
                             std::optional<HttpResponse> answer) {
                        OnAttemptEnd(end, std::move(answer));
                      }),
      peer_channel_(
          &io_,
          [this](const gateway::Heartbeat& heartbeat) {
            OnHeartbeat(heartbeat);
          },
          [this](const gateway::QuotaMessage& message) {
            steering_.quotas().OnMessage(message, transport::SteadyNow());
          }),
      timer_(io_) {
  SetRetryBound(
      {settings.retry_ratio, settings.retry_extra, settings.retry_window});
  steering_.quotas().SetBound(
      {settings.quota_window, settings.quota_overshoot, settings.quota_slack});
  SetClientLimits();
  AddMetrics();
}

TrafficLoop::~TrafficLoop() {
  Stop();
}

bool TrafficLoop::Open() {
  return readiness_listener_.Open(settings_.readiness) &&
         caller_listener_.Open(settings_.callers) &&
         lookup_listener_.Open(settings_.lookups) &&
         metrics_listener_.Open(settings_.metrics) &&
         peer_channel_.Open(settings_.peers);
}

void TrafficLoop::Start() {
  start_time_ = transport::SteadyNow();
  Tick();
  thread_ = std::thread([this] { io_.run(); });
}

void TrafficLoop::Stop() {
  io_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void TrafficLoop::Publish(std::shared_ptr<const gateway::ControlView> view) {
  asio::post(io_, [this, view = std::move(view)]() mutable {
    Apply(std::move(view));
  });
}

void TrafficLoop::SetRetryBound(const gateway::RetryBudgetBound& bound) {
  asio::post(io_, [this, bound] { steering_.SetRetryBound(bound); });
}

void TrafficLoop::StartShutdown() {
  asio::post(io_, [this] {
    if (shutdown_start_ != absl::InfiniteFuture()) {
      return;
    }
    shutdown_start_ = transport::SteadyNow();
    steering_.SetStopTime(shutdown_start_ + settings_.shutdown_grace -
                          kKillTimeMargin);
    LOG(INFO) << "drain: leaving in_flight=" << steering_.in_flight()
              << " connections=" << caller_listener_.connection_count();
    caller_listener_.StartDraining();
    TickPeers(shutdown_start_);
  });
}

void TrafficLoop::Apply(std::shared_ptr<const gateway::ControlView> view) {
  const absl::Time now = transport::SteadyNow();
  DetectPause(now);
  const std::shared_ptr<const gateway::ControlView> previous =
      std::exchange(view_, std::move(view));
  if (view_->config != nullptr &&
      (previous == nullptr || previous->config != view_->config)) {
    steering_.SetConfig(view_->config);
    steering_.quotas().SetAccounts(view_->config->accounts(), now);
    account_counters_.SetAccounts(view_->config->accounts());
    caller_listener_.SetLimits(view_->config->limits());
  }
  steering_.SetConfigFreshness(view_->freshness);
  steering_.SetBackends(*view_->backends);
  backend_client_.RetainServers(*view_->backends);
  if (previous == nullptr || previous->instances != view_->instances) {
    peers_.SetRecords(*view_->instances, now);
    are_records_changed_ = true;
    UpdateQuotaInstances(now);
  }
  if (previous == nullptr ||
      previous->crashing_requests != view_->crashing_requests) {
    steering_.SetCrashReports(view_->crashing_requests, now);
  }
  UpdateLiveInstances(now);
  DispatchQueuedRequests();
}

bool TrafficLoop::IsReady() const {
  return view_ != nullptr && view_->config != nullptr &&
         steering_.config() != nullptr &&
         shutdown_start_ == absl::InfiniteFuture();
}

std::optional<HttpResponse> TrafficLoop::CheckHead(const RequestHead& head) {
  const gateway::CallerRequest request = dialect_->read_head(head);
  const std::optional<gateway::Refuse> refuse = steering_.CheckHead(
      request.host, request.path, dialect_->read_credentials(head));
  if (!refuse) {
    return std::nullopt;
  }
  steering_.RecordHeadRefusal(request, *refuse, transport::SteadyNow());
  return dialect_->refusal(refuse->status, refuse->retry_after,
                           request.caller_id);
}

void TrafficLoop::OnRequest(ExchangeId exchange, HttpRequest request) {
  const absl::Time now = transport::SteadyNow();
  std::shared_ptr<const HttpRequest> held = internal::HoldRequest(
      std::move(request), caller_listener_.TakeReservation(exchange));
  if (view_ == nullptr && now - start_time_ < kMaxStartupWait) {
    queued_requests_.emplace(exchange, QueuedRequest{std::move(held), now});
    return;
  }
  DispatchRequest(exchange, std::move(held), now);
}

void TrafficLoop::DispatchQueuedRequests() {
  std::map<ExchangeId, QueuedRequest> queued_requests =
      std::exchange(queued_requests_, {});
  for (auto& [exchange, queued] : queued_requests) {
    DispatchRequest(exchange, std::move(queued.request), queued.arrival);
  }
}

void TrafficLoop::OnCallerDisconnected(ExchangeId exchange) {
  queued_requests_.erase(exchange);
  const auto entry = request_by_exchange_.find(exchange);
  if (entry == request_by_exchange_.end()) {
    return;
  }
  const gateway::RequestId id = entry->second;
  request_by_exchange_.erase(entry);
  PerformActions(steering_.OnCallerDisconnected(id, transport::SteadyNow()),
                 nullptr);
}

void TrafficLoop::DispatchRequest(ExchangeId exchange,
                                  std::shared_ptr<const HttpRequest> request,
                                  absl::Time arrival) {
  gateway::CallerRequest caller_request = dialect_->read_request(*request);
  if (is_rejecting_requests_) {
    caller_listener_.Answer(
        exchange,
        dialect_->refusal(gateway::kHttpUnavailable, absl::ZeroDuration(),
                          caller_request.caller_id));
    return;
  }
  caller_request.id = ++last_request_id_;
  caller_request.arrival = arrival;
  PendingRequest pending;
  pending.exchange = exchange;
  pending.caller_id = caller_request.caller_id;
  pending.request = std::move(request);
  const absl::Time now = transport::SteadyNow();
  if (!steering_.IsActive(now)) {
    UpdatePeerLoads(now);
    UpdatePlans(now);
  }
  const gateway::Credentials credentials =
      dialect_->read_credentials(*pending.request);
  request_by_exchange_.emplace(exchange, caller_request.id);
  pending_requests_.emplace(caller_request.id, std::move(pending));
  PerformActions(
      steering_.OnRequest(std::move(caller_request), now, credentials),
      nullptr);
}

void TrafficLoop::OnAttemptEnd(const gateway::AttemptEnd& end,
                               std::optional<HttpResponse> answer) {
  PerformActions(steering_.OnAttemptEnd(end, transport::SteadyNow()), &answer);
}

void TrafficLoop::PerformActions(gateway::SteeringActions actions,
                                 std::optional<HttpResponse>* answer) {
  for (gateway::SteeringAction& action : actions) {
    if (const auto* start = std::get_if<gateway::StartAttempt>(&action)) {
      const auto pending = pending_requests_.find(start->request);
      if (pending != pending_requests_.end()) {
        backend_client_.Start(*start, pending->second.request,
                              pending->second.caller_id);
      }
    } else if (const auto* abort =
                   std::get_if<gateway::AbortAttempt>(&action)) {
      backend_client_.Abort(abort->attempt);
    } else if (const auto* deliver =
                   std::get_if<gateway::DeliverAnswer>(&action)) {
      RemoveConnectionHeaders(&(*answer)->base());
      SendAnswer(deliver->request, std::move(**answer));
    } else if (const auto* refuse = std::get_if<gateway::Refuse>(&action)) {
      const auto pending = pending_requests_.find(refuse->request);
      if (pending != pending_requests_.end()) {
        SendAnswer(refuse->request,
                   dialect_->refusal(refuse->status, refuse->retry_after,
                                     pending->second.caller_id));
      }
    }
  }
}

void TrafficLoop::SendAnswer(gateway::RequestId id, HttpResponse answer) {
  const auto pending = pending_requests_.find(id);
  if (pending == pending_requests_.end()) {
    return;
  }
  const ExchangeId exchange = pending->second.exchange;
  const bool is_head = pending->second.request->method() == http::verb::head;
  request_by_exchange_.erase(exchange);
  pending_requests_.erase(pending);
  if (!is_head) {
    answer.prepare_payload();
  }
  caller_listener_.Answer(exchange, std::move(answer));
}

void TrafficLoop::OnRequestEnd(const gateway::RequestRecord& record) {
  metrics_->RequestEnded(record.service, record.route,
                         internal::OutcomeOf(record.status), record.took);
  if (record.attempts.size() > 1) {
    metrics_->Retried(record.service);
  }
  if (record.reason != gateway::kAnswered) {
    metrics_->Refused(record.service, record.reason);
  }
  account_counters_.Count(record);
  if (record.status == 0) {
    // The caller has disconnected, so no answer is sent.
    const auto pending = pending_requests_.find(record.request->id);
    if (pending != pending_requests_.end()) {
      request_by_exchange_.erase(pending->second.exchange);
      pending_requests_.erase(pending);
    }
  }
  request_log_.Write(record, view_ == nullptr ? 0 : view_->position.revision,
                     transport::SteadyNow());
}

void TrafficLoop::OnReadinessCheck(ExchangeId exchange,
                                   const HttpRequest& request) {
  int status = gateway::kHttpNotFound;
  if (dialect_->is_readiness_check(
          {request.target().data(), request.target().size()})) {
    status = IsReady() ? gateway::kHttpOk : gateway::kHttpUnavailable;
  }
  readiness_listener_.Answer(exchange, MakeEmptyAnswer(status));
}

void TrafficLoop::OnLookup(ExchangeId exchange, const HttpRequest& request) {
  const auto caller_place =
      dialect_->read_lookup({request.target().data(), request.target().size()});
  if (!caller_place) {
    lookup_listener_.Answer(exchange, MakeEmptyAnswer(gateway::kHttpNotFound));
    return;
  }
  lookup_listener_.Answer(
      exchange, dialect_->lookup_answer(lookup_cache_.Endpoints(*caller_place),
                                        settings_.lookup_time_to_live));
}

void TrafficLoop::OnMetricsRequest(ExchangeId exchange) {
  HttpResponse answer(http::status::ok, 11);
  answer.set(http::field::content_type, "text/plain; version=0.0.4");
  answer.body() = metrics_->Serialize();
  answer.prepare_payload();
  metrics_listener_.Answer(exchange, std::move(answer));
}

void TrafficLoop::UpdateLiveInstances(absl::Time now) {
  const std::vector<gateway::PeerTable::Change> changes =
      peers_.TakeChanges(now);
  LogPeerChanges(changes);
  const bool is_ready = IsReady();
  if (changes.empty() && !are_records_changed_ && is_ready == was_ready_) {
    return;
  }
  are_records_changed_ = false;
  was_ready_ = is_ready;
  std::vector<gateway::InstanceRecord> live = peers_.Live(now);
  std::vector<gateway::InstanceRecord> accepting = live;
  if (is_ready) {
    accepting.push_back(self_);
  }
  lookup_cache_.SetLive(std::move(accepting));
  live.push_back(self_);
  std::vector<gateway::InstanceRecord> announced = peers_.Announced();
  announced.push_back(self_);
  steering_.SetInstances(std::move(live), announced, now);
}

void TrafficLoop::DetectPause(absl::Time now) {
  const absl::Time previous_tick = std::exchange(last_tick_, now);
  if (previous_tick == absl::InfinitePast() ||
      now - previous_tick <= kPauseThreshold) {
    return;
  }
  LOG(WARNING) << "http: paused ms="
               << absl::ToInt64Milliseconds(now - previous_tick);
  peers_.OnPause(now - previous_tick);
}

void TrafficLoop::Tick() {
  const absl::Time now = transport::SteadyNow();
  DetectPause(now);
  if (now - start_time_ >= kMaxStartupWait) {
    DispatchQueuedRequests();
  }
  PerformActions(steering_.OnTick(now), nullptr);
  caller_listener_.RelieveMemory(now);
  if (now - last_peer_tick_ >= kPeerTickInterval) {
    TickPeers(now);
  }
  if (now - last_maintenance_ >= kMaintenanceInterval) {
    TickMaintenance(now);
  }
  TickShutdown(now);
  timer_.expires_after(std::chrono::milliseconds(absl::ToInt64Milliseconds(
      steering_.in_flight() > 0 ? kTickInterval : kIdleTickInterval)));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Tick();
    }
  });
}

void TrafficLoop::TickPeers(absl::Time now) {
  last_peer_tick_ = now;
  gateway::Heartbeat heartbeat;
  heartbeat.instance = self_.name;
  heartbeat.incarnation = self_.incarnation;
  heartbeat.sequence = ++heartbeat_sequence_;
  heartbeat.is_ready = IsReady();
  heartbeat.is_leaving = shutdown_start_ != absl::InfiniteFuture();
  heartbeat.is_active = steering_.IsActive(now);
  const gateway::StatePosition position =
      view_ == nullptr ? gateway::StatePosition() : view_->position;
  heartbeat.state_revision = position.revision;
  heartbeat.state_era = position.era;
  if (steering_.in_flight() > 0) {
    heartbeat.loads = steering_.balancer().OwnLoads();
  }
  if (heartbeat.is_active) {
    heartbeat.planned_shares = steering_.balancer().PlannedShares();
  }
  for (const auto& [service, slots] : steering_.Demand(now)) {
    heartbeat.demand.emplace_back(gateway::Balancer::HeartbeatKey(service),
                                  static_cast<int>(slots * 1000));
  }
  gateway::ServerLimits& limits = steering_.balancer().server_limits();
  limits.OnTick(now);
  heartbeat.server_limits = limits.TakeNotices(now);
  peer_channel_.Send(heartbeat, peers_.DueHeartbeats(heartbeat, now));
  peer_channel_.Send(steering_.quotas().DueMessages(now));
  if (heartbeat.is_active) {
    UpdatePeerLoads(now);
    steering_.balancer().AdoptPlans(peers_.LeaderShares(now));
  }
  UpdateLiveInstances(now);
  if (position < peers_.newest_position()) {
    hooks_.on_peer_position(peers_.newest_position());
  }
}

void TrafficLoop::OnHeartbeat(const gateway::Heartbeat& heartbeat) {
  const absl::Time now = transport::SteadyNow();
  if (peers_.OnHeartbeat(heartbeat, now)) {
    steering_.balancer().server_limits().OnNotices(heartbeat.server_limits,
                                                   now);
  }
}

void TrafficLoop::UpdatePeerLoads(absl::Time now) {
  steering_.balancer().SetPeerLoads(peers_.Loads(now));
}

void TrafficLoop::UpdateQuotaInstances(absl::Time now) {
  const std::vector<gateway::InstanceRecord>& records = *view_->instances;
  const bool was_announced =
      std::any_of(records.begin(), records.end(),
                  [this](const gateway::InstanceRecord& record) {
                    return record.name == self_.name &&
                           record.incarnation < self_.incarnation;
                  });
  std::vector<gateway::InstanceRecord> announced = peers_.Announced();
  announced.push_back(self_);
  steering_.quotas().SetInstances(std::move(announced), was_announced, now);
}

void TrafficLoop::UpdatePlans(absl::Time now) {
  auto demand = peers_.Demand(now);
  for (const auto& [service, slots] : steering_.Demand(now)) {
    demand[self_.region][gateway::Balancer::HeartbeatKey(service)] += slots;
  }
  steering_.balancer().UpdatePlans(demand, now);
  steering_.balancer().AdoptPlans(peers_.LeaderShares(now));
  LogShareChanges();
}

void TrafficLoop::TickMaintenance(absl::Time now) {
  last_maintenance_ = now;
  if (steering_.IsActive(now)) {
    UpdatePlans(now);
  }
  backend_client_.OnTick(now);
  for (HttpListener* listener : {&caller_listener_, &readiness_listener_,
                                 &lookup_listener_, &metrics_listener_}) {
    listener->OnTick(now);
  }
  LogShedRequests();
}

void TrafficLoop::SetClientLimits() {
  HttpListener::ClientLimits limits;
  if (settings_.memory_mb > 0) {
    limits.budget = &memory_budget_;
    // The allocator otherwise raises these thresholds to the size of freed
    // bodies and keeps that much memory.
    mallopt(M_MMAP_THRESHOLD, internal::kAllocatorThreshold);
    mallopt(M_TRIM_THRESHOLD, internal::kAllocatorThreshold);
    backend_client_.SetBudget(&memory_budget_);
    limits.progress_timeout = settings_.progress_timeout;
  }
  if (settings_.max_fds > 0) {
    const int64_t descriptors = std::max(
        settings_.max_fds / 4, settings_.max_fds - kPlatformDescriptors);
    limits.max_connections = static_cast<size_t>(
        static_cast<double>(descriptors) * kCallerDescriptorFraction);
    limits.max_pipelined_requests = static_cast<size_t>(
        static_cast<double>(settings_.max_fds) * kPipelinedDescriptorFraction);
  }
  caller_listener_.SetClientLimits(limits);
}

void TrafficLoop::LogPeerChanges(
    absl::Span<const gateway::PeerTable::Change> changes) {
  for (const gateway::PeerTable::Change& change :
       changes.first(std::min(changes.size(), kMaxListedPeerChanges))) {
    LOG(INFO) << (change.is_live ? "peer: in use" : "peer: out of use")
              << " instance=" << change.instance
              << " silence_ms=" << absl::ToInt64Milliseconds(change.silence)
              << " leaving=" << change.is_leaving;
  }
  if (changes.size() > kMaxListedPeerChanges) {
    LOG(INFO) << "peer: changes not listed count="
              << changes.size() - kMaxListedPeerChanges;
  }
}

void TrafficLoop::LogShareChanges() {
  for (const auto& [service, shares] :
       steering_.balancer().TakeChangedShares()) {
    LOG(INFO) << "plan: shares service=" << service << " regions="
              << absl::StrJoin(shares, ",", absl::PairFormatter(":"));
  }
}

void TrafficLoop::TickShutdown(absl::Time now) {
  if (shutdown_start_ == absl::InfiniteFuture() || is_shutdown_complete_) {
    return;
  }
  const absl::Duration elapsed = now - shutdown_start_;
  const absl::Duration grace_period = settings_.shutdown_grace;
  if (!is_rejecting_requests_ &&
      elapsed >= grace_period * kAcceptingPhaseFraction) {
    is_rejecting_requests_ = true;
    LOG(INFO) << "drain: refusing in_flight=" << steering_.in_flight();
  }
  if (is_rejecting_requests_) {
    caller_listener_.CloseIdleConnections(now);
  }
  const bool is_idle =
      steering_.in_flight() == 0 && caller_listener_.connection_count() == 0;
  const bool may_stop = is_idle && elapsed >= grace_period * kMinServeFraction;
  if (!may_stop && elapsed < grace_period - kKillTimeMargin) {
    return;
  }
  is_shutdown_complete_ = true;
  caller_listener_.StopAccepting();
  LOG(INFO) << "drain: finished in_flight=" << steering_.in_flight()
            << " ms=" << absl::ToInt64Milliseconds(elapsed);
  hooks_.on_shutdown_complete();
}

}  // namespace baobabwall::edge
