#include "gateway/src/balancer.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "base/base.h"
#include "gateway/src/directory.h"

namespace baobabwall::gateway {
namespace internal {

/// \returns the rank of a server for an object. The server with the highest
/// rank is the preferred server of the object.
uint64_t RendezvousRank(uint64_t object, absl::string_view id) {
  return base::StableHash(id, object);
}

bool Contains(absl::Span<const std::string> names, absl::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace internal

void Balancer::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  config_ = std::move(config);
  cold_request_rates_.clear();
}

void Balancer::SetBackends(const BackendSet& set) {
  evacuated_zones_ = set.evacuated_zones;
  cold_request_rates_.clear();
  for (auto known = servers_.begin(); known != servers_.end();) {
    const auto found = set.servers.find(known->first);
    const bool is_same =
        found != set.servers.end() &&
        found->second.incarnation == known->second->server().incarnation &&
        found->second.endpoint == known->second->server().endpoint;
    known = is_same ? std::next(known) : servers_.erase(known);
  }
  servers_by_service_.clear();
  for (const auto& [id, server] : set.servers) {
    std::shared_ptr<ServerLoad>& load = servers_[id];
    if (load == nullptr) {
      load = std::make_shared<ServerLoad>(server);
    } else {
      load->Update(server);
    }
    servers_by_service_[server.service].push_back(load);
  }
}

void Balancer::SetInstances(std::vector<InstanceRecord> instances) {
  instances_ = std::move(instances);
  cold_request_rates_.clear();
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

bool Balancer::IsAvailable(const ServerLoad& server, absl::Time now) const {
  const BackendServer& info = server.server();
  return !info.is_draining && !server.IsPaused(now) &&
         evacuated_zones_.count(info.zone) == 0;
}

bool Balancer::IsUsable(const PlacementQuery& query,
                        ServerLoad* server,
                        absl::Time now) {
  const BackendServer& info = server->server();
  if (!IsAvailable(*server, now) ||
      internal::Contains(query.tried_servers, info.id)) {
    return false;
  }
  const std::vector<std::string>& regions = query.route->allowed_regions;
  if (!regions.empty() &&
      !internal::Contains(regions, zones_->RegionOf(info.zone))) {
    return false;
  }
  return !server->IsCold(now) ||
         server->IsBelowColdRate(ColdRequestRate(*server), now);
}

bool Balancer::HasRecentUrgentRequests(const PlacementQuery& query,
                                       absl::Time now) const {
  const auto seen = last_request_by_priority_.find(query.service);
  if (seen == last_request_by_priority_.end()) {
    return false;
  }
  for (const auto& [priority, at] : seen->second) {
    if (priority < query.route->priority && now - at < kUrgentRequestMaxAge) {
      return true;
    }
  }
  return false;
}

double Balancer::LoadLimit(const PlacementQuery& query,
                           const BackendServer& server,
                           const Candidate& candidate,
                           absl::Time now) const {
  const int slots = server.slots;
  if (query.has_affinity && !candidate.is_likely_cached) {
    return std::max(1.0, slots * kMaxUncachedLoadRatio);
  }
  const double ratio = query.is_retry ? kMinRetryQueueRatio : kMinQueueRatio;
  const double min_limit = slots + std::max(1.0, slots * ratio);
  // The largest load at which the answer still arrives within the latency
  // objective.
  const absl::Duration round_trip = zones_->RoundTrip(server.zone);
  const absl::Duration max_queue_time =
      query.objective_deadline - now - round_trip - candidate.work;
  const double in_time_limit =
      slots * (1 + absl::FDivDuration(max_queue_time, candidate.work));
  const double limit =
      std::clamp(in_time_limit, min_limit, slots * kMaxLoadRatio);
  return HasRecentUrgentRequests(query, now)
             ? std::max(1.0, limit - kUrgentRequestReserve)
             : limit;
}

Balancer::Candidate Balancer::EvaluateCandidate(const PlacementQuery& query,
                                                const ServerLoad& server,
                                                bool is_preferred,
                                                const WorkTime& work,
                                                absl::Time now) const {
  const BackendServer& info = server.server();
  const double slowness =
      server.Slowness(now) * (server.IsCold(now) ? kColdServerWorkFactor : 1.0);
  const bool is_cached =
      !query.has_affinity || server.cached_objects().Has(query.object, now);
  Candidate candidate;
  candidate.load = server.EstimateInFlight(now);
  candidate.is_likely_cached = is_cached || is_preferred;
  candidate.work = work.warm * slowness;
  const double waiting = std::max(0.0, candidate.load + 1 - info.slots);
  const absl::Duration wait = candidate.work * (waiting / info.slots);
  const absl::Duration round_trip = zones_->RoundTrip(info.zone);
  const double cold_probability =
      is_cached ? 0 : (is_preferred ? kPreferredServerColdProbability : 1);
  const absl::Duration expected_work =
      (work.warm + (work.cold - work.warm) * cold_probability) * slowness;
  candidate.expected = round_trip + wait + expected_work;
  candidate.cost = round_trip + wait * kQueueWaitCostFactor + expected_work +
                   work.cold * server.FailureRatio(now);
  if (query.has_affinity && !is_preferred) {
    candidate.cost += work.warm * kNonPreferredServerCostRatio;
  }
  // If several servers are otherwise equal, the least loaded server is chosen.
  candidate.cost += work.warm * (0.1 * candidate.load / info.slots);
  return candidate;
}

std::string Balancer::PreferredServer(const PlacementQuery& query,
                                      absl::Time now) const {
  const auto service_servers = servers_by_service_.find(query.service);
  if (!query.has_affinity || service_servers == servers_by_service_.end()) {
    return "";
  }
  const auto plan = plans_.find(query.service);
  const absl::string_view home =
      plan == plans_.end()
          ? zones_->own_region()
          : plan->second.RegionOf(query.object, query.route->allowed_regions);
  uint64_t best_rank = 0;
  absl::string_view best;
  for (const std::shared_ptr<ServerLoad>& server : service_servers->second) {
    const BackendServer& info = server->server();
    if (!IsAvailable(*server, now) || server->IsCold(now) ||
        zones_->RegionOf(info.zone) != home) {
      continue;
    }
    const uint64_t rank = internal::RendezvousRank(query.object, info.id);
    if (best.empty() || rank > best_rank) {
      best = info.id;
      best_rank = rank;
    }
  }
  return std::string(best);
}

Placement Balancer::Choose(const PlacementQuery& query, absl::Time now) {
  const auto service_servers = servers_by_service_.find(query.service);
  if (service_servers == servers_by_service_.end()) {
    return {nullptr, 0, {}, "no-server"};
  }
  last_request_by_priority_[std::string(query.service)][query.route->priority] =
      now;
  const std::string preferred = PreferredServer(query, now);
  const WorkTime work = WorkTimeOf(query.service, *query.route);
  std::shared_ptr<ServerLoad> chosen;
  Candidate best;
  absl::string_view refusal = "no-usable-server";
  for (const std::shared_ptr<ServerLoad>& server : service_servers->second) {
    if (!IsUsable(query, server.get(), now)) {
      continue;
    }
    const Candidate candidate = EvaluateCandidate(
        query, *server, server->server().id == preferred, work, now);
    if (candidate.load + 1 >
        LoadLimit(query, server->server(), candidate, now)) {
      refusal = "full";
      continue;
    }
    if (chosen == nullptr || candidate.cost < best.cost) {
      chosen = server;
      best = candidate;
    }
  }
  if (chosen == nullptr) {
    return {nullptr, 0, {}, refusal};
  }
  return {std::move(chosen), best.load, best.expected, {}};
}

void Balancer::RecordWorkTime(const PlacementQuery& query,
                              ServerLoad* server,
                              absl::Duration work,
                              absl::Time now) {
  const bool was_cached =
      query.has_affinity && server->cached_objects().Has(query.object, now);
  const WorkTime previous = WorkTimeOf(query.service, *query.route);
  const bool is_warm = work_times_.OnAnswer(query.service, *query.route, work);
  const absl::Duration expected = is_warm ? previous.warm : previous.cold;
  if (expected > absl::ZeroDuration()) {
    server->RecordWorkTimeRatio(absl::FDivDuration(work, expected), now);
  }
  if (query.has_affinity && was_cached && !is_warm) {
    server->cached_objects().Remove(query.object);
  } else if (query.has_affinity) {
    server->cached_objects().Add(query.object, now);
  }
}

void Balancer::UpdatePlans(
    const std::map<std::string, absl::flat_hash_map<uint32_t, double>>& demand,
    absl::Time now) {
  for (const auto& [service, servers] : servers_by_service_) {
    std::map<std::string, RegionLoad, std::less<>> loads;
    for (const auto& [region, by_hash] : demand) {
      const auto found = by_hash.find(HeartbeatKey(service));
      loads[region].demand = found == by_hash.end() ? 0 : found->second;
    }
    for (const std::shared_ptr<ServerLoad>& server : servers) {
      const BackendServer& info = server->server();
      if (IsAvailable(*server, now)) {
        loads[std::string(zones_->RegionOf(info.zone))].capacity +=
            info.slots / server->Slowness(now);
      }
    }
    plans_.try_emplace(service, zones_->own_region())
        .first->second.Update(loads);
  }
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

std::vector<std::pair<uint32_t, int>> Balancer::OwnLoads() const {
  std::vector<std::pair<uint32_t, int>> loads;
  for (const auto& [id, server] : servers_) {
    if (server->own_in_flight() > 0) {
      loads.emplace_back(server->hash(), server->own_in_flight());
    }
  }
  return loads;
}

void Balancer::SetPeerLoads(const absl::flat_hash_map<uint32_t, int>& loads) {
  for (const auto& [id, server] : servers_) {
    const auto found = loads.find(server->hash());
    server->SetPeersInFlight(found == loads.end() ? 0 : found->second);
  }
}

}  // namespace baobabwall::gateway
