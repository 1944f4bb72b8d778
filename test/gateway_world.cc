#include "gateway_world.h"

#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"

namespace baobabwall::gateway {
namespace {

constexpr char kHost[] = "shop.example";
constexpr char kService[] = "rooms";

Route MakeRoute(const WorldSettings& settings, bool is_urgent) {
  Route route;
  route.name = is_urgent ? "urgent" : "rooms";
  route.prefix = is_urgent ? "/urgent/" : "/rooms/";
  route.is_idempotent = settings.is_idempotent;
  route.timeout = settings.route_timeout;
  route.latency_objective = settings.objective;
  route.priority = is_urgent ? settings.priority - 1 : settings.priority;
  route.max_attempts = 2;
  route.has_affinity = true;
  route.services = {{kService, 1}};
  return route;
}

}  // namespace

GatewayWorld::GatewayWorld(WorldSettings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      end_(now_ + settings_.duration) {
  RoutingConfig::Builder builder;
  builder.Version(1)
      .AddService({kService, "/health", 330, absl::Seconds(3), 7.9})
      .AddRoute(kHost, MakeRoute(settings_, false))
      .AddRoute(kHost, MakeRoute(settings_, true));
  const std::shared_ptr<const RoutingConfig> config = builder.Build();
  std::vector<InstanceRecord> records;
  for (const WorldZone& zone : settings_.zones) {
    regions_[zone.name] = zone.region;
    for (int i = 0; i < zone.servers; ++i) {
      Server server;
      server.info.id = absl::StrCat("server-", servers_.size());
      server.info.service = kService;
      server.info.endpoint = {"10.0.0.1", 80};
      server.info.zone = zone.name;
      server.info.slots = settings_.slots;
      servers_.push_back(std::move(server));
    }
    for (int i = 0; i < zone.instances; ++i) {
      InstanceRecord record;
      record.name = absl::StrCat("instance-", zone.name, "-", i);
      record.zone = zone.name;
      record.region = zone.region;
      records.push_back(record);
    }
  }
  for (const InstanceRecord& record : records) {
    Instance instance;
    instance.record = record;
    instance.zones = std::make_unique<ZoneMap>(regions_, record.zone);
    instance.steering =
        std::make_unique<Steering>(instance.zones.get(), record.name,
                                   instances_.size() + 1, Steering::Hooks());
    instance.steering->SetConfig(config);
    instance.steering->SetInstances(records, records, now_);
    instances_.push_back(std::move(instance));
  }
  PublishBackends();
}

void GatewayWorld::ScheduleAt(absl::Time time, std::function<void()> action) {
  scheduled_events_.emplace(time, std::move(action));
}

absl::Duration GatewayWorld::OneWayDelay(const std::string& a,
                                         const std::string& b) const {
  if (a == b) {
    return absl::Milliseconds(1) / 2;
  }
  return regions_.at(a) == regions_.at(b) ? absl::Milliseconds(4)
                                          : absl::Milliseconds(35);
}

void GatewayWorld::PublishBackends() {
  BackendSet set;
  for (const Server& server : servers_) {
    if (!server.is_stopped) {
      set.Add(server.info);
    }
  }
  for (Instance& instance : instances_) {
    instance.steering->SetBackends(set);
  }
}

void GatewayWorld::SlowServer(size_t server,
                              double work_factor,
                              absl::Duration at) {
  ScheduleAt(now_ + at, [this, server, work_factor] {
    servers_[server].work_factor = work_factor;
  });
}

void GatewayWorld::StopServer(size_t server, absl::Duration at) {
  ScheduleAt(now_ + at, [this, server] {
    servers_[server].is_stopped = true;
    PublishBackends();
  });
}

void GatewayWorld::AddUrgentRequests(absl::Duration interval) {
  for (absl::Time time = now_; time < end_; time += interval) {
    for (size_t i = 0; i < instances_.size(); ++i) {
      ScheduleAt(time, [this, i] {
        Call call;
        call.instance = i;
        call.zone = "urgent";
        call.object = 1;
        call.first_sent_at = now_;
        call.deadline = now_ + settings_.caller_deadline;
        call.is_urgent = true;
        Send(call);
      });
    }
  }
}

void GatewayWorld::ScheduleNext(size_t zone) {
  const WorldZone& place = settings_.zones[zone];
  const absl::Duration arrival_gap =
      absl::Seconds(-std::log(1 - random_.Unit()) / place.requests_per_s);
  ScheduleAt(now_ + arrival_gap, [this, zone] {
    const WorldZone& from = settings_.zones[zone];
    size_t first = 0;
    while (instances_[first].record.zone != from.name) {
      ++first;
    }
    Call call;
    call.instance = first + random_.Below(from.instances);
    call.zone = from.name;
    call.object = base::StableHash(absl::StrCat(
        from.region, "/", random_.Below(settings_.objects_per_region)));
    call.first_sent_at = now_;
    call.deadline = now_ + settings_.caller_deadline;
    ++results_by_zone_[call.zone].requests;
    Send(call);
    ScheduleNext(zone);
  });
}

void GatewayWorld::Send(Call call) {
  const size_t instance = call.instance;
  CallerRequest request;
  request.id = ++last_request_;
  request.caller_id = absl::StrCat(request.id);
  request.host = kHost;
  request.path = call.is_urgent ? "/urgent/x" : "/rooms/x";
  request.object = call.object;
  request.fingerprint = request.id;
  request.time_left = call.deadline - now_;
  request.arrival = now_;
  ++call.tries;
  calls_.emplace(request.id, call);
  Perform(instance,
          instances_[instance].steering->OnRequest(std::move(request), now_));
}

void GatewayWorld::Perform(size_t instance, SteeringActions actions) {
  for (const SteeringAction& action : actions) {
    if (const auto* start = std::get_if<gateway::StartAttempt>(&action)) {
      StartAttempt(instance, *start);
    } else if (const auto* answer = std::get_if<DeliverAnswer>(&action)) {
      Finish(answer->request, 200, std::nullopt);
    } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
      Finish(refuse->request, refuse->status, refuse->retry_after);
    }
  }
}

void GatewayWorld::StartAttempt(size_t instance,
                                const gateway::StartAttempt& start) {
  size_t server = 0;
  while (servers_[server].info.id != start.server) {
    ++server;
  }
  const Call& call = calls_.at(start.request);
  const uint64_t object = call.object;
  if (!call.is_urgent) {
    WorldResult& result = results_by_zone_[call.zone];
    ++result.runs;
    result.runs_in_other_regions +=
        regions_.at(servers_[server].info.zone) != regions_.at(call.zone) ? 1
                                                                          : 0;
  }
  const absl::Duration one_way_delay =
      OneWayDelay(instances_[instance].record.zone, servers_[server].info.zone);
  const auto reply = [this, instance, one_way_delay, attempt = start.attempt,
                      server](bool is_run) {
    AttemptEnd end;
    end.attempt = attempt;
    end.result = is_run ? AttemptResult::kCompleted : AttemptResult::kRefused;
    end.status = is_run ? 200 : 503;
    end.load = ReportedLoad{servers_[server].running,
                            static_cast<int>(servers_[server].waiting.size()),
                            settings_.slots};
    ScheduleAt(now_ + one_way_delay, [this, instance, end] {
      Perform(instance, instances_[instance].steering->OnAttemptEnd(end, now_));
    });
  };
  const std::string zone = call.zone;
  ScheduleAt(now_ + one_way_delay, [this, server, object, zone, reply] {
    Server& target = servers_[server];
    const bool is_cached =
        std::find(target.cached_objects.begin(), target.cached_objects.end(),
                  object) != target.cached_objects.end();
    results_by_zone_[zone].warm_runs += is_cached ? 1 : 0;
    RunOnServer(server, object, reply);
  });
}

void GatewayWorld::RunOnServer(size_t server,
                               uint64_t object,
                               std::function<void(bool)> done) {
  Server& target = servers_[server];
  if (target.is_stopped) {
    return;  // The instance detects the missing answer by a timeout.
  }
  if (target.running >= settings_.slots) {
    if (static_cast<int>(target.waiting.size()) >= settings_.server_queue) {
      done(false);
      return;
    }
    target.waiting.push_back(
        [this, server, object, done] { RunOnServer(server, object, done); });
    return;
  }
  ++target.running;
  const auto known = std::find(target.cached_objects.begin(),
                               target.cached_objects.end(), object);
  double work_ratio = target.work_factor * (0.85 + 0.3 * random_.Unit());
  if (known != target.cached_objects.end()) {
    work_ratio *= settings_.warm_work_ratio;
    target.cached_objects.erase(known);
  }
  target.cached_objects.push_front(object);
  if (target.cached_objects.size() > settings_.cached_objects_per_server) {
    target.cached_objects.pop_back();
  }
  ScheduleAt(now_ + settings_.cold_work * work_ratio, [this, server, done] {
    EndRun(server);
    done(true);
  });
}

void GatewayWorld::EndRun(size_t server) {
  Server& target = servers_[server];
  --target.running;
  if (target.waiting.empty()) {
    return;
  }
  const std::function<void()> next = std::move(target.waiting.front());
  target.waiting.pop_front();
  next();
}

void GatewayWorld::Finish(RequestId id,
                          int status,
                          std::optional<absl::Duration> retry) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call call = found->second;
  calls_.erase(found);
  if (call.is_urgent) {
    return;
  }
  WorldResult& result = results_by_zone_[call.zone];
  if (status == 200) {
    const bool is_in_time = now_ - call.first_sent_at <= settings_.objective;
    (is_in_time ? result.in_time : result.late) += 1;
    return;
  }
  if (!retry) {
    ++result.failed;
    return;
  }
  const absl::Duration wait = std::min(*retry, (call.deadline - now_) / 3);
  if (call.tries > 1) {
    ++result.refused;
    return;
  }
  ScheduleAt(now_ + wait, [this, call] { Send(call); });
}

void GatewayWorld::Heartbeat() {
  std::map<std::string, absl::flat_hash_map<uint32_t, double>> demand;
  for (const Instance& instance : instances_) {
    for (const auto& [service, slots] : instance.steering->Demand(now_)) {
      demand[instance.record.region][Balancer::HeartbeatKey(service)] += slots;
    }
  }
  for (Instance& receiver : instances_) {
    absl::flat_hash_map<uint32_t, int> loads;
    for (const Instance& sender : instances_) {
      if (&sender == &receiver) {
        continue;
      }
      for (const auto& [server, in_flight] :
           sender.steering->balancer().OwnLoads()) {
        loads[server] += in_flight;
      }
    }
    receiver.steering->balancer().SetPeerLoads(loads);
    receiver.steering->balancer().UpdatePlans(demand, now_);
  }
  AdoptPlans();
  ScheduleAt(now_ + settings_.heartbeat_interval, [this] { Heartbeat(); });
}

void GatewayWorld::AdoptPlans() {
  std::map<std::string, std::vector<PlannedShare>> plan_by_region;
  for (Instance& instance : instances_) {
    Balancer& balancer = instance.steering->balancer();
    const auto [plan, is_leader] = plan_by_region.emplace(
        instance.record.region, balancer.PlannedShares());
    if (!is_leader) {
      balancer.AdoptPlans(plan->second);
    }
  }
}

void GatewayWorld::Run() {
  for (size_t zone = 0; zone < settings_.zones.size(); ++zone) {
    ScheduleNext(zone);
  }
  Heartbeat();
  absl::Time next_tick = now_;
  while (!scheduled_events_.empty() &&
         scheduled_events_.begin()->first < end_) {
    const auto first = scheduled_events_.begin();
    const std::function<void()> action = std::move(first->second);
    now_ = first->first;
    scheduled_events_.erase(first);
    action();
    if (now_ < next_tick) {
      continue;
    }
    next_tick = now_ + absl::Milliseconds(20);
    for (size_t i = 0; i < instances_.size(); ++i) {
      Perform(i, instances_[i].steering->OnTick(now_));
    }
  }
}

WorldResult GatewayWorld::total() const {
  WorldResult sum;
  for (const auto& [zone, result] : results_by_zone_) {
    sum.requests += result.requests;
    sum.in_time += result.in_time;
    sum.late += result.late;
    sum.refused += result.refused;
    sum.failed += result.failed;
    sum.warm_runs += result.warm_runs;
    sum.runs += result.runs;
    sum.runs_in_other_regions += result.runs_in_other_regions;
  }
  return sum;
}

}  // namespace baobabwall::gateway
