#include "edge/src/traffic_loop.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <set>
#include <utility>

#include "absl/strings/str_join.h"
#include "edge/src/log_writer.h"
#include "glog/logging.h"

namespace baobabwall::edge {
namespace internal {

base::Outcome OutcomeOf(int status) {
  if (status == gateway::kHttpUnavailable) {
    return base::Outcome::kNotRun;
  }
  const bool is_unsure = status == 0 || status == gateway::kHttpBadGateway ||
                         status == gateway::kHttpGatewayTimeout;
  return is_unsure ? base::Outcome::kUnknown : base::Outcome::kRun;
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
      io_(1),
      zones_(settings.zone_regions, settings.zone),
      steering_(
          &zones_,
          self_.name,
          seed,
          {[this](const gateway::RequestRecord& record) {
             OnRequestEnd(record);
           },
           hooks_.report_crash,
           [](const gateway::BackendServer& server, absl::Duration pause) {
             LOG(INFO) << "backend: paused server=" << server.id
                       << " service=" << server.service
                       << " ms=" << absl::ToInt64Milliseconds(pause);
           },
           [](const gateway::BackendServer& server) {
             LOG(INFO) << "backend: back server=" << server.id
                       << " service=" << server.service;
           }}),
      peers_(self_.name, self_.zone, self_.region),
      request_log_(settings.log_lines_per_s),
      callers_(&io_,
               {[this](ExchangeId exchange, HttpRequest request) {
                  OnRequest(exchange, std::move(request));
                },
                [this](ExchangeId exchange) { OnCallerGone(exchange); }}),
      readiness_(&io_,
                 {[this](ExchangeId exchange, const HttpRequest& request) {
                    OnReadinessCheck(exchange, request);
                  },
                  [](ExchangeId) {}}),
      lookups_(&io_,
               {[this](ExchangeId exchange, const HttpRequest& request) {
                  OnLookup(exchange, request);
                },
                [](ExchangeId) {}}),
      metrics_listener_(&io_,
                        {[this](ExchangeId exchange, const HttpRequest&) {
                           OnMetrics(exchange);
                         },
                         [](ExchangeId) {}}),
      backends_(&io_,
                dialect,
                [this](const gateway::AttemptEnd& end,
                       std::optional<HttpResponse> answer) {
                  OnAttemptEnd(end, std::move(answer));
                }),
      channel_(&io_,
               [this](const gateway::Heartbeat& heartbeat) {
                 peers_.OnHeartbeat(heartbeat, transport::SteadyNow());
               }),
      timer_(io_) {
  SetRetryBound(
      {settings.retry_ratio, settings.retry_extra, settings.retry_window});
  AddMetrics();
}

TrafficLoop::~TrafficLoop() {
  Stop();
}

bool TrafficLoop::Open() {
  return readiness_.Open(settings_.readiness) &&
         callers_.Open(settings_.callers) && lookups_.Open(settings_.lookups) &&
         metrics_listener_.Open(settings_.metrics) &&
         channel_.Open(settings_.peers);
}

void TrafficLoop::Start() {
  started_ = transport::SteadyNow();
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

void TrafficLoop::Leave() {
  asio::post(io_, [this] {
    if (leaving_since_ != absl::InfiniteFuture()) {
      return;
    }
    leaving_since_ = transport::SteadyNow();
    LOG(INFO) << "drain: leaving in_flight=" << steering_.in_flight()
              << " connections=" << callers_.connection_count();
    callers_.StartLeaving();
    TickPeers(leaving_since_);
  });
}

void TrafficLoop::Apply(std::shared_ptr<const gateway::ControlView> view) {
  const absl::Time now = transport::SteadyNow();
  const std::shared_ptr<const gateway::ControlView> before =
      std::exchange(view_, std::move(view));
  if (view_->config != nullptr &&
      (before == nullptr || before->config != view_->config)) {
    steering_.SetConfig(view_->config);
    callers_.SetLimits(view_->config->limits());
  }
  steering_.SetBackends(*view_->backends);
  std::set<std::string> ids;
  for (const auto& [id, server] : view_->backends->servers) {
    ids.insert(id);
  }
  backends_.KeepServers(ids);
  peers_.SetRecords(view_->instances, now);
  steering_.SetCrashReports(view_->crashing_requests, now);
  TickSlow(now);
  SteerEarly();
}

bool TrafficLoop::IsReady() const {
  return view_ != nullptr && view_->config != nullptr &&
         steering_.config() != nullptr &&
         leaving_since_ == absl::InfiniteFuture();
}

void TrafficLoop::OnRequest(ExchangeId exchange, HttpRequest request) {
  const absl::Time now = transport::SteadyNow();
  if (view_ == nullptr && now - started_ < kStartWait) {
    early_.emplace(exchange, EarlyRequest{std::move(request), now});
    return;
  }
  Steer(exchange, std::move(request), now);
}

void TrafficLoop::SteerEarly() {
  std::map<ExchangeId, EarlyRequest> early = std::exchange(early_, {});
  for (auto& [exchange, waiting] : early) {
    Steer(exchange, std::move(waiting.request), waiting.arrival);
  }
}

void TrafficLoop::OnCallerGone(ExchangeId exchange) {
  early_.erase(exchange);
  const auto known = by_exchange_.find(exchange);
  if (known == by_exchange_.end()) {
    return;
  }
  const gateway::RequestId id = known->second;
  by_exchange_.erase(known);
  Perform(steering_.OnCallerGone(id, transport::SteadyNow()), nullptr);
}

void TrafficLoop::Steer(ExchangeId exchange,
                        HttpRequest request,
                        absl::Time arrival) {
  gateway::CallerRequest caller = dialect_->read_request(request);
  if (is_refusing_) {
    callers_.Answer(exchange,
                    dialect_->refusal(gateway::kHttpUnavailable,
                                      absl::ZeroDuration(), caller.caller_id));
    return;
  }
  caller.id = ++last_request_;
  caller.arrival = arrival;
  Pending pending;
  pending.exchange = exchange;
  pending.caller_id = caller.caller_id;
  pending.request = std::make_shared<const HttpRequest>(std::move(request));
  by_exchange_.emplace(exchange, caller.id);
  pending_.emplace(caller.id, std::move(pending));
  Perform(steering_.OnRequest(std::move(caller), transport::SteadyNow()),
          nullptr);
}

void TrafficLoop::OnAttemptEnd(const gateway::AttemptEnd& end,
                               std::optional<HttpResponse> answer) {
  Perform(steering_.OnAttemptEnd(end, transport::SteadyNow()), &answer);
}

void TrafficLoop::Perform(gateway::SteeringActions actions,
                          std::optional<HttpResponse>* answer) {
  for (gateway::SteeringAction& action : actions) {
    if (const auto* start = std::get_if<gateway::StartAttempt>(&action)) {
      const auto pending = pending_.find(start->request);
      if (pending != pending_.end()) {
        backends_.Start(*start, pending->second.request,
                        pending->second.caller_id);
      }
    } else if (const auto* abort =
                   std::get_if<gateway::AbortAttempt>(&action)) {
      backends_.Abort(abort->attempt);
    } else if (const auto* deliver =
                   std::get_if<gateway::DeliverAnswer>(&action)) {
      RemoveConnectionHeaders(&(*answer)->base());
      Deliver(deliver->request, std::move(**answer));
    } else if (const auto* refuse = std::get_if<gateway::Refuse>(&action)) {
      const auto pending = pending_.find(refuse->request);
      if (pending != pending_.end()) {
        Deliver(refuse->request,
                dialect_->refusal(refuse->status, refuse->retry_after,
                                  pending->second.caller_id));
      }
    }
  }
}

void TrafficLoop::Deliver(gateway::RequestId id, HttpResponse answer) {
  const auto pending = pending_.find(id);
  if (pending == pending_.end()) {
    return;
  }
  const ExchangeId exchange = pending->second.exchange;
  const bool is_head = pending->second.request->method() == http::verb::head;
  by_exchange_.erase(exchange);
  pending_.erase(pending);
  if (!is_head) {
    answer.prepare_payload();
  }
  callers_.Answer(exchange, std::move(answer));
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
  if (record.status == 0) {
    // The caller is gone: there is nothing to deliver.
    const auto pending = pending_.find(record.request->id);
    if (pending != pending_.end()) {
      by_exchange_.erase(pending->second.exchange);
      pending_.erase(pending);
    }
  }
  request_log_.Write(record, view_ == nullptr ? 0 : view_->revision,
                     transport::SteadyNow());
}

void TrafficLoop::OnReadinessCheck(ExchangeId exchange,
                                   const HttpRequest& request) {
  int status = gateway::kHttpNotFound;
  if (dialect_->is_readiness_check(
          {request.target().data(), request.target().size()})) {
    status = IsReady() ? gateway::kHttpOk : gateway::kHttpUnavailable;
  }
  readiness_.Answer(exchange, EmptyAnswer(status));
}

void TrafficLoop::OnLookup(ExchangeId exchange, const HttpRequest& request) {
  const auto place =
      dialect_->read_lookup({request.target().data(), request.target().size()});
  if (!place) {
    lookups_.Answer(exchange, EmptyAnswer(gateway::kHttpNotFound));
    return;
  }
  const std::vector<gateway::Endpoint> named = gateway::Directory::Endpoints(
      *place, LiveInstances(transport::SteadyNow()));
  lookups_.Answer(
      exchange, dialect_->lookup_answer(named, settings_.lookup_time_to_live));
}

void TrafficLoop::OnMetrics(ExchangeId exchange) {
  HttpResponse answer(http::status::ok, 11);
  answer.set(http::field::content_type, "text/plain; version=0.0.4");
  answer.body() = metrics_->Serialize();
  answer.prepare_payload();
  metrics_listener_.Answer(exchange, std::move(answer));
}

std::vector<gateway::InstanceRecord> TrafficLoop::LiveInstances(
    absl::Time now) const {
  std::vector<gateway::InstanceRecord> live = peers_.Live(now);
  if (IsReady()) {
    live.push_back(self_);
  }
  return live;
}

void TrafficLoop::Tick() {
  const absl::Time now = transport::SteadyNow();
  if (last_tick_ != absl::InfinitePast() && now - last_tick_ > kPause) {
    LOG(WARNING) << "http: paused ms="
                 << absl::ToInt64Milliseconds(now - last_tick_);
  }
  last_tick_ = now;
  if (now - started_ >= kStartWait) {
    SteerEarly();
  }
  Perform(steering_.OnTick(now), nullptr);
  if (now - last_peer_tick_ >= kPeerTick) {
    TickPeers(now);
  }
  if (now - last_slow_tick_ >= kSlowTick) {
    TickSlow(now);
  }
  TickLeaving(now);
  timer_.expires_after(std::chrono::milliseconds(absl::ToInt64Milliseconds(
      steering_.in_flight() > 0 ? kTick : kIdleTick)));
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
  heartbeat.is_leaving = leaving_since_ != absl::InfiniteFuture();
  heartbeat.is_active = steering_.IsActive(now);
  heartbeat.state_revision = view_ == nullptr ? 0 : view_->revision;
  heartbeat.loads = steering_.balancer().OwnLoads();
  for (const auto& [service, slots] : steering_.Demand(now)) {
    heartbeat.demand.emplace_back(gateway::Balancer::HeartbeatKey(service),
                                  static_cast<int>(slots * 1000));
  }
  channel_.Send(heartbeat, peers_.DueHeartbeats(heartbeat, now));
  steering_.balancer().SetPeerLoads(peers_.Loads(now));
  const int64_t newest = peers_.NewestRevision(now);
  if (newest > heartbeat.state_revision) {
    hooks_.peer_revision(newest);
  }
}

void TrafficLoop::TickSlow(absl::Time now) {
  last_slow_tick_ = now;
  std::vector<gateway::InstanceRecord> instances = peers_.Live(now);
  instances.push_back(self_);
  steering_.SetInstances(std::move(instances));
  auto demand = peers_.Demand(now);
  for (const auto& [service, slots] : steering_.Demand(now)) {
    demand[self_.region][gateway::Balancer::HeartbeatKey(service)] += slots;
  }
  steering_.balancer().UpdatePlans(demand, now);
  LogChanges(now);
  backends_.OnTick(now);
  for (HttpListener* listener :
       {&callers_, &readiness_, &lookups_, &metrics_listener_}) {
    listener->OnTick(now);
  }
}

void TrafficLoop::LogChanges(absl::Time now) {
  for (const gateway::PeerTable::Change& change : peers_.TakeChanges(now)) {
    LOG(INFO) << (change.is_live ? "peer: in use" : "peer: out of use")
              << " instance=" << change.instance
              << " silence_ms=" << absl::ToInt64Milliseconds(change.silence)
              << " leaving=" << change.is_leaving;
  }
  for (const auto& [service, shares] :
       steering_.balancer().TakeChangedShares()) {
    LOG(INFO) << "plan: shares service=" << service << " regions="
              << absl::StrJoin(shares, ",", absl::PairFormatter(":"));
  }
}

void TrafficLoop::TickLeaving(absl::Time now) {
  if (leaving_since_ == absl::InfiniteFuture() || has_left_) {
    return;
  }
  const absl::Duration since = now - leaving_since_;
  const absl::Duration grace = settings_.shutdown_grace;
  if (!is_refusing_ && since >= grace * kServePart) {
    is_refusing_ = true;
    LOG(INFO) << "drain: refusing in_flight=" << steering_.in_flight();
  }
  if (is_refusing_) {
    callers_.CloseIdle(now);
  }
  const bool is_idle =
      steering_.in_flight() == 0 && callers_.connection_count() == 0;
  const bool is_done = is_idle && since >= grace * kLeastServePart;
  if (!is_done && since < grace - kKillMargin) {
    return;
  }
  has_left_ = true;
  callers_.StopAccepting();
  LOG(INFO) << "drain: finished in_flight=" << steering_.in_flight()
            << " ms=" << absl::ToInt64Milliseconds(since);
  hooks_.left();
}

void TrafficLoop::AddMetrics() {
  const auto add = [&](const char* name, const char* help, bool is_total,
                       std::function<double()> read) {
    metrics_->AddReader(name, help, {}, is_total, std::move(read));
  };
  add("baobabwall_in_flight", "Requests whose answer is not sent", false,
      [this] { return static_cast<double>(steering_.in_flight()); });
  add("baobabwall_caller_connections", "Open connections of callers", false,
      [this] { return static_cast<double>(callers_.connection_count()); });
  add("baobabwall_backend_connections_idle",
      "Kept connections to backend servers", false,
      [this] { return static_cast<double>(backends_.idle_count()); });
  add("baobabwall_backend_connections_opened_total",
      "Connections opened to backend servers", true,
      [this] { return static_cast<double>(backends_.opened_count()); });
  add("baobabwall_instances", "Other instances in use", false, [this] {
    return static_cast<double>(peers_.Live(transport::SteadyNow()).size());
  });
  add("baobabwall_least_own_region_share",
      "Smallest part of a service's requests that is to run in the own region",
      false, [this] { return steering_.balancer().LeastOwnShare(); });
  metrics_->AddReader(
      kLeftOutMetric, kLeftOutHelp, {{"by", "requests"}}, true,
      [this] { return static_cast<double>(request_log_.left_out_total()); });
  add("baobabwall_config_version", "Configuration in force", false, [this] {
    return steering_.config() == nullptr
               ? 0.0
               : static_cast<double>(steering_.config()->version());
  });
  add("baobabwall_backend_servers", "Backend servers known", false, [this] {
    return static_cast<double>(steering_.balancer().server_count());
  });
}

}  // namespace baobabwall::edge
