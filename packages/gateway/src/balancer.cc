#include "gateway/src/balancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "base/base.h"
#include "gateway/src/directory.h"

namespace baobabwall::gateway {
namespace internal {

/// \param object_share number of objects that prefer the server, relative to
/// other servers.
/// \returns the rank of a server for an object. The server with the highest
/// rank is the preferred server of the object.
uint64_t RendezvousRank(uint64_t object,
                        absl::string_view id,
                        double object_share) {
  const uint64_t rank = base::StableHash(id, object);
  if (object_share >= 1) {
    return rank;
  }
  const double unit = static_cast<double>(rank) * 0x1.0p-64;
  return static_cast<uint64_t>(std::pow(unit, 1 / object_share) *
                               0x1.fffffffffffffp63);
}

/// \returns whether both describe the same incarnation at the same endpoint.
bool IsSameServer(const BackendServer& a, const BackendServer& b) {
  return a.id == b.id && a.incarnation == b.incarnation &&
         a.endpoint == b.endpoint && a.service == b.service;
}

/// The servers with the highest ranks, the highest first.
class TopServers {
 public:
  void Add(const ServerLoad* server, uint64_t rank) {
    for (Entry& entry : entries_) {
      if (entry.server == nullptr || rank > entry.rank) {
        std::swap(entry.server, server);
        std::swap(entry.rank, rank);
      }
      if (server == nullptr) {
        return;
      }
    }
  }

  /// Appends the servers that are not yet in the list.
  template <typename List>
  void AppendTo(List* list) const {
    for (const Entry& entry : entries_) {
      const bool is_new =
          entry.server != nullptr &&
          std::find(list->begin(), list->end(), entry.server) == list->end();
      if (is_new) {
        list->push_back(entry.server);
      }
    }
  }

 private:
  struct Entry {
    const ServerLoad* server = nullptr;
    uint64_t rank = 0;
  };

  std::array<Entry, Balancer::kRankedServers> entries_;
};

bool Contains(absl::Span<const std::string> names, absl::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace internal

void Balancer::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  config_ = std::move(config);
  cold_request_rates_.clear();
}

void Balancer::RetainNotices(const BackendSet& set) {
  if (retained_notices_.size() > kMaxRetainedNotices) {
    retained_notices_.clear();
  }
  for (const Server& server : servers_) {
    const ServerNotice& notice = server.load->notice();
    const bool is_notified =
        notice.is_leaving || notice.paused_until > absl::InfinitePast();
    if (is_notified && set.Find(server.description->id) == nullptr) {
      retained_notices_[server.description->id] = {server.description, notice};
    }
  }
}

void Balancer::RestoreNotice(const Server& server) {
  const auto retained = retained_notices_.find(server.description->id);
  if (retained == retained_notices_.end()) {
    return;
  }
  if (internal::IsSameServer(*retained->second.server, *server.description)) {
    server.load->SetNotice(retained->second.notice);
  }
  retained_notices_.erase(retained);
}

void Balancer::SetBackends(const BackendSet& set) {
  RetainNotices(set);
  cold_request_rates_.clear();
  std::vector<Server> servers;
  servers.reserve(set.servers.size());
  auto known = servers_.begin();
  for (const std::shared_ptr<const BackendServer>& description : set.servers) {
    while (known != servers_.end() &&
           known->description->id < description->id) {
      ++known;
    }
    Server& server = servers.emplace_back();
    if (known != servers_.end() &&
        internal::IsSameServer(*known->description, *description)) {
      server = *known;
    }
    if (server.description != description) {
      UpdateServer(&server, description);
    }
    server.is_evacuated = set.evacuated_zones.count(description->zone) > 0;
  }
  servers_ = std::move(servers);
  servers_by_service_.clear();
  for (const Server& server : servers_) {
    servers_by_service_[server.description->service].push_back(server);
  }
}

void Balancer::UpdateServer(
    Server* server,
    const std::shared_ptr<const BackendServer>& description) {
  server->description = description;
  server->zone = &zones_->Find(description->zone);
  if (server->load == nullptr) {
    server->load = std::make_shared<ServerLoad>(description);
    RestoreNotice(*server);
  } else {
    server->load->Update(description);
  }
}

void Balancer::SetInstances(std::vector<InstanceRecord> instances) {
  instances_ = std::move(instances);
  cold_request_rates_.clear();
  cpu_share_by_region_.clear();
  for (const InstanceRecord& instance : instances_) {
    cpu_share_by_region_[instance.region] += instance.cpu_share;
  }
}

int64_t Balancer::ColdRequestRate(const ServerLoad& server) {
  const auto known = cold_request_rates_.find(server.hash());
  if (known != cold_request_rates_.end()) {
    return known->second;
  }
  const int64_t rate = ComputeColdRequestRate(server);
  cold_request_rates_.emplace(server.hash(), rate);
  return rate;
}

int64_t Balancer::ComputeColdRequestRate(const ServerLoad& server) const {
  const BackendServer& info = server.server();
  const ServiceSpec* service = config_->FindService(info.service);
  if (service == nullptr) {
    return 1;
  }
  // Only instances that serve the callers of the server's zone send to a cold
  // server.
  const CallerPlace place{info.zone, std::string(zones_->RegionOf(info.zone))};
  std::vector<std::pair<uint64_t, const InstanceRecord*>> ranked;
  for (const InstanceRecord* instance : Directory::Choose(place, instances_)) {
    ranked.emplace_back(base::StableHash(instance->name, server.hash()),
                        instance);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  const int sender_count = std::min<int>(kMaxColdServerSenders, ranked.size());
  for (int i = 0; i < sender_count; ++i) {
    if (ranked[i].second->name == self_) {
      return std::max<int64_t>(
          1, static_cast<int64_t>(service->cold_rate_per_s / sender_count));
    }
  }
  return 0;
}

bool Balancer::IsAvailable(const Server& server, absl::Time now) {
  return !server.description->is_draining && !server.is_evacuated &&
         !server.load->IsPaused(now);
}

bool Balancer::IsUsable(const PlacementQuery& query,
                        const Server& server,
                        absl::Time now) {
  if (!IsAvailable(server, now) ||
      internal::Contains(query.tried_servers, server.description->id)) {
    return false;
  }
  const absl::Span<const std::string> regions = query.allowed_regions;
  if (!regions.empty() && !internal::Contains(regions, server.zone->region)) {
    return false;
  }
  return !server.load->IsCold(now) ||
         server.load->IsBelowColdRate(ColdRequestRate(*server.load), now);
}

bool Balancer::HasRecentUrgentRequests(const PlacementQuery& query,
                                       absl::Time now) const {
  const auto seen = last_request_by_priority_.find(query.service);
  if (seen == last_request_by_priority_.end()) {
    return false;
  }
  for (const auto& [priority, at] : seen->second) {
    if (priority < query.priority && now - at < kUrgentRequestMaxAge) {
      return true;
    }
  }
  return false;
}

double Balancer::LoadLimit(const PlacementContext& context,
                           const BackendServer& server,
                           const Candidate& candidate) {
  const int slots = server.slots;
  if (context.query.has_affinity && !candidate.is_likely_cached) {
    return std::max(1.0, slots * kMaxUncachedLoadRatio);
  }
  const double ratio =
      context.query.is_retry ? kMinRetryQueueRatio : kMinQueueRatio;
  const double min_limit = slots + std::max(1.0, slots * ratio);
  // The largest load at which the answer still arrives within the latency
  // objective.
  const double max_queue_s =
      context.objective_left_s - candidate.round_trip_s - candidate.work_s;
  const double in_time_limit = slots * (1 + max_queue_s / candidate.work_s);
  const double limit =
      std::clamp(in_time_limit, min_limit, slots * kMaxLoadRatio);
  return context.has_urgent_requests
             ? std::max(1.0, limit - kUrgentRequestReserve)
             : limit;
}

Balancer::Candidate Balancer::EvaluateCandidate(const PlacementContext& context,
                                                const Server& server) {
  const PlacementQuery& query = context.query;
  const absl::Time now = context.now;
  const ServerLoad& load = *server.load;
  const int slots = server.description->slots;
  const double slowness = load.Slowness(now) * load.WorkFactor(now) *
                          (load.IsCold(now) ? kColdServerWorkFactor : 1.0);
  const bool is_cached =
      !query.has_affinity || load.cached_objects().Has(query.object, now);
  const auto rank =
      std::find(context.ranked.begin(), context.ranked.end(), &load);
  const bool is_ranked = rank != context.ranked.end();
  const bool is_preferred = is_ranked && rank == context.ranked.begin();
  Candidate candidate;
  candidate.load = load.EstimateInFlight(now);
  candidate.is_likely_cached = is_cached || is_preferred;
  candidate.round_trip_s = absl::ToDoubleSeconds(server.zone->round_trip);
  candidate.work_s = context.warm_work_s * slowness;
  const double waiting = std::max(0.0, candidate.load + 1 - slots);
  const double wait_s = candidate.work_s * (waiting / slots);
  double cold_probability = 0;
  if (!is_cached) {
    cold_probability = is_preferred ? kPreferredServerColdProbability
                       : is_ranked  ? kRankedServerColdProbability
                                    : 1;
  }
  const double expected_work_s =
      (context.warm_work_s +
       (context.cold_work_s - context.warm_work_s) * cold_probability) *
      slowness;
  candidate.expected_s = candidate.round_trip_s + wait_s + expected_work_s;
  candidate.cost_s = candidate.round_trip_s + wait_s * kQueueWaitCostFactor +
                     expected_work_s +
                     context.cold_work_s * load.FailureRatio(now);
  if (query.has_affinity && !is_preferred) {
    candidate.cost_s += context.warm_work_s * kNonPreferredServerCostRatio;
  }
  if (query.has_affinity && !is_ranked && !is_cached) {
    candidate.cost_s += context.cold_work_s * kUnrankedServerCostRatio;
  }
  // If several servers are otherwise equal, the least loaded server is chosen.
  candidate.cost_s += context.warm_work_s * (0.1 * candidate.load / slots);
  return candidate;
}

void Balancer::RankServers(absl::Span<const Server> servers,
                           PlacementContext* context) const {
  const PlacementQuery& query = context->query;
  if (!query.has_affinity) {
    return;
  }
  const auto plan = plans_.find(query.service);
  const absl::string_view home =
      plan == plans_.end()
          ? zones_->own_region()
          : plan->second.RegionOf(query.object, query.allowed_regions);
  internal::TopServers in_home_region;
  internal::TopServers in_all_regions;
  for (const Server& server : servers) {
    if (!IsAvailable(server, context->now) ||
        server.load->IsCold(context->now)) {
      continue;
    }
    const uint64_t rank = internal::RendezvousRank(
        query.object, server.description->id, ObjectShare(*context, server));
    in_all_regions.Add(server.load.get(), rank);
    if (server.zone->region == home) {
      in_home_region.Add(server.load.get(), rank);
    }
  }
  in_home_region.AppendTo(&context->ranked);
  in_all_regions.AppendTo(&context->ranked);
}

double Balancer::ObjectShare(const PlacementContext& context,
                             const Server& server) const {
  const std::optional<double> per_s = server_limits_.RatePerS(*server.load);
  if (!per_s) {
    return 1;
  }
  const auto load = service_loads_.find(context.query.service);
  if (load == service_loads_.end()) {
    return 1;
  }
  const double others_slots =
      server.description->slots * load->second.utilisation;
  const double share = *per_s * context.warm_work_s / others_slots;
  return std::clamp(
      std::round(share / kObjectShareQuantum) * kObjectShareQuantum,
      kObjectShareQuantum, 1.0);
}

Balancer::PlacementContext Balancer::MakeContext(
    const PlacementQuery& query,
    absl::Span<const Server> servers,
    absl::Time now) const {
  const WorkTime work = WorkTimeOf(query.service, *query.route);
  PlacementContext context{query, now, 0, 0, 0, false, {}};
  context.warm_work_s = absl::ToDoubleSeconds(work.warm);
  context.cold_work_s = absl::ToDoubleSeconds(work.cold);
  context.objective_left_s =
      absl::ToDoubleSeconds(query.objective_deadline - now);
  context.has_urgent_requests = HasRecentUrgentRequests(query, now);
  RankServers(servers, &context);
  return context;
}

Placement Balancer::Choose(const PlacementQuery& query, absl::Time now) {
  const auto service_servers = servers_by_service_.find(query.service);
  if (service_servers == servers_by_service_.end()) {
    return {nullptr, 0, {}, "no-server"};
  }
  const absl::Span<const Server> servers = service_servers->second;
  last_request_by_priority_[std::string(query.service)][query.priority] = now;
  const PlacementContext context = MakeContext(query, servers, now);
  double& mean_work_s = service_loads_[query.service].mean_work_s;
  mean_work_s += (context.warm_work_s - mean_work_s) *
                 (mean_work_s > 0 ? kMeanWorkWeight : 1);
  const Server* chosen = nullptr;
  Candidate best;
  absl::string_view refusal = "no-usable-server";
  for (const Server& server : servers) {
    if (!IsUsable(query, server, now)) {
      continue;
    }
    const Candidate candidate = EvaluateCandidate(context, server);
    if (candidate.load + 1 >
        LoadLimit(context, *server.description, candidate)) {
      refusal = "full";
      continue;
    }
    if (!server_limits_.HasToken(*server.load, server.zone->region, now)) {
      refusal = "server-limit";
      continue;
    }
    if (chosen == nullptr || candidate.cost_s < best.cost_s) {
      chosen = &server;
      best = candidate;
    }
  }
  if (chosen == nullptr) {
    const auto pause_end = FirstPauseEnd(query, servers, now);
    return {nullptr, 0, {}, pause_end ? "pause-requested" : refusal, pause_end};
  }
  return {chosen->load, best.load, absl::Seconds(best.expected_s), {}};
}

std::optional<absl::Time> Balancer::FirstPauseEnd(
    const PlacementQuery& query,
    absl::Span<const Server> servers,
    absl::Time now) const {
  const absl::Span<const std::string> regions = query.allowed_regions;
  std::optional<absl::Time> first;
  for (const Server& server : servers) {
    const bool is_allowed =
        regions.empty() || internal::Contains(regions, server.zone->region);
    if (!is_allowed || server.description->is_draining || server.is_evacuated ||
        server.load->notice().is_leaving) {
      continue;
    }
    const absl::Time pause_end = server.load->notice().paused_until;
    if (pause_end <= now) {
      return std::nullopt;
    }
    first = std::min(first.value_or(pause_end), pause_end);
  }
  return first;
}

bool Balancer::RecordStart(const PlacementQuery& query,
                           ServerLoad* server,
                           absl::Time now) {
  server->OnRequestStart(now);
  server_limits_.OnRequestStart(*server, now);
  if (!query.has_affinity) {
    return false;
  }
  const bool was_cached = server->cached_objects().Has(query.object, now);
  server->cached_objects().Add(query.object, now);
  return was_cached;
}

void Balancer::RecordNotRun(const PlacementQuery& query, ServerLoad* server) {
  if (query.has_affinity) {
    server->cached_objects().Remove(query.object);
  }
}

void Balancer::RecordOverdue(const PlacementQuery& query,
                             ServerLoad* server,
                             absl::Duration elapsed,
                             absl::Time now) const {
  RecordNotRun(query, server);
  server->RecordOutcome(true, now);
  const absl::Duration cold =
      WorkTimeOf(query.service, *query.route).cold * server->WorkFactor(now);
  if (elapsed > cold) {
    server->RecordWorkTimeRatio(absl::FDivDuration(elapsed, cold), now);
  }
}

void Balancer::RecordWorkTime(const PlacementQuery& query,
                              ServerLoad* server,
                              absl::Duration work,
                              absl::Time now) {
  const WorkTime previous = WorkTimeOf(query.service, *query.route);
  // A moment of the machine is neither a run without the cached object nor a
  // lasting slowness.
  const absl::Duration usual_work = work / server->WorkFactor(now);
  if (usual_work >= previous.warm * kMinCorrectedWorkRatio) {
    work = usual_work;
  }
  const bool is_warm = work_times_.OnAnswer(query.service, *query.route, work);
  const absl::Duration expected = is_warm ? previous.warm : previous.cold;
  if (expected > absl::ZeroDuration()) {
    server->RecordWorkTimeRatio(absl::FDivDuration(work, expected), now);
  }
}

double Balancer::UsableSlots(const Server& server,
                             const ServiceLoad& load,
                             absl::Time now) const {
  const double slots = server.description->slots / server.load->Slowness(now);
  const std::optional<double> per_s = server_limits_.RatePerS(*server.load);
  // Without a request, the work time is not known.
  return per_s && load.mean_work_s > 0
             ? std::min(slots, *per_s * load.mean_work_s)
             : slots;
}

void Balancer::UpdatePlans(
    const std::map<std::string, absl::flat_hash_map<uint32_t, double>>& demand,
    absl::Time now) {
  for (const auto& [service, servers] : servers_by_service_) {
    RegionPlan::Loads loads;
    for (const auto& [region, cpu_share] : cpu_share_by_region_) {
      loads[region].cpu_share = cpu_share;
    }
    double unlimited_demand = 0;
    for (const auto& [region, by_hash] : demand) {
      const auto found = by_hash.find(HeartbeatKey(service));
      loads[region].demand = found == by_hash.end() ? 0 : found->second;
      unlimited_demand += loads[region].demand;
    }
    ServiceLoad& service_load = service_loads_[service];
    double unlimited_slots = 0;
    for (const Server& server : servers) {
      if (!IsAvailable(server, now)) {
        continue;
      }
      const double slots = UsableSlots(server, service_load, now);
      loads[server.zone->region].capacity += slots;
      if (server_limits_.RatePerS(*server.load)) {
        unlimited_demand -= slots;
      } else {
        unlimited_slots += slots;
      }
    }
    service_load.utilisation =
        unlimited_slots <= 0 ? 1
                             : std::clamp(unlimited_demand / unlimited_slots,
                                          kMinUtilisation, 1.0);
    plans_.try_emplace(service, zones_->own_region())
        .first->second.Update(loads, now);
  }
}

void Balancer::AdoptPlans(absl::Span<const PlannedShare> shares) {
  absl::flat_hash_map<uint32_t, RegionPlan::Shares> shares_by_service;
  for (const std::string& region : zones_->Regions()) {
    const uint32_t key = HeartbeatKey(region);
    for (const PlannedShare& share : shares) {
      if (share.region == key) {
        shares_by_service[share.service][region] = share.permille / 1000.0;
      }
    }
  }
  for (auto& [service, plan] : plans_) {
    const auto found = shares_by_service.find(HeartbeatKey(service));
    if (found != shares_by_service.end()) {
      plan.Adopt(std::move(found->second));
    }
  }
}

std::vector<PlannedShare> Balancer::PlannedShares() const {
  std::vector<PlannedShare> shares;
  for (const auto& [service, plan] : plans_) {
    for (const auto& [region, share] : plan.shares()) {
      shares.push_back({HeartbeatKey(service), HeartbeatKey(region),
                        static_cast<int>(std::lround(share * 1000))});
    }
  }
  return shares;
}

std::map<std::string, RegionPlan::Shares> Balancer::TakeChangedShares() {
  std::map<std::string, RegionPlan::Shares> changed;
  for (auto& [service, plan] : plans_) {
    if (plan.TakeSignificantChange()) {
      changed.emplace(service, plan.shares());
    }
  }
  return changed;
}

double Balancer::LeastOwnShare() const {
  double least = 1;
  for (const auto& [service, plan] : plans_) {
    least = std::min(least, plan.Share(zones_->own_region()));
  }
  return least;
}

size_t Balancer::leaving_server_count() const {
  return std::count_if(servers_.begin(), servers_.end(), [](const Server& s) {
    return s.load->notice().is_leaving;
  });
}

size_t Balancer::pausing_server_count(absl::Time now) const {
  return std::count_if(
      servers_.begin(), servers_.end(),
      [now](const Server& s) { return now < s.load->notice().paused_until; });
}

std::vector<std::pair<uint32_t, int>> Balancer::OwnLoads() const {
  std::vector<std::pair<uint32_t, int>> loads;
  for (const Server& server : servers_) {
    if (server.load->own_in_flight() > 0) {
      loads.emplace_back(server.load->hash(), server.load->own_in_flight());
    }
  }
  return loads;
}

void Balancer::SetPeerLoads(const absl::flat_hash_map<uint32_t, int>& loads) {
  for (const Server& server : servers_) {
    const auto found = loads.find(server.load->hash());
    server.load->SetPeersInFlight(found == loads.end() ? 0 : found->second);
  }
}

}  // namespace baobabwall::gateway
