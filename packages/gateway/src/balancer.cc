#include "gateway/src/balancer.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "base/base.h"
#include "gateway/src/directory.h"

namespace baobabwall::gateway {
namespace internal {

/// Rank of a server for an object; the highest is the first choice.
uint64_t Rendezvous(uint64_t object, absl::string_view id) {
  return base::StableHash(id, object);
}

bool Contains(absl::Span<const std::string> names, absl::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace internal

void Balancer::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  config_ = std::move(config);
  cold_shares_.clear();
}

void Balancer::SetBackends(const BackendSet& set) {
  evacuated_ = set.evacuated_zones;
  cold_shares_.clear();
  for (auto known = servers_.begin(); known != servers_.end();) {
    const auto found = set.servers.find(known->first);
    const bool is_same =
        found != set.servers.end() &&
        found->second.incarnation == known->second->server().incarnation &&
        found->second.endpoint == known->second->server().endpoint;
    known = is_same ? std::next(known) : servers_.erase(known);
  }
  by_service_.clear();
  for (const auto& [id, server] : set.servers) {
    std::shared_ptr<ServerLoad>& load = servers_[id];
    if (load == nullptr) {
      load = std::make_shared<ServerLoad>(server);
    } else {
      load->Update(server);
    }
    by_service_[server.service].push_back(load);
  }
}

void Balancer::SetInstances(std::vector<InstanceRecord> instances) {
  instances_ = std::move(instances);
  cold_shares_.clear();
}

int64_t Balancer::ColdShare(const ServerLoad& server) {
  const auto known = cold_shares_.find(server.hash());
  if (known != cold_shares_.end()) {
    return known->second;
  }
  const int64_t share = FindColdShare(server);
  cold_shares_.emplace(server.hash(), share);
  return share;
}

int64_t Balancer::FindColdShare(const ServerLoad& server) const {
  const BackendServer& info = server.server();
  const ServiceSpec* service = config_->FindService(info.service);
  if (service == nullptr) {
    return 1;
  }
  // Those that carry the callers of the server's zone.
  const CallerPlace place{info.zone, std::string(zones_->RegionOf(info.zone))};
  std::vector<std::pair<uint64_t, const InstanceRecord*>> ranked;
  for (const InstanceRecord* instance : Directory::Choose(place, instances_)) {
    ranked.emplace_back(base::StableHash(instance->name, server.hash()),
                        instance);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  const int owners = std::min<int>(kColdOwners, ranked.size());
  for (int i = 0; i < owners; ++i) {
    if (ranked[i].second->name == self_) {
      return std::max<int64_t>(
          1, static_cast<int64_t>(service->cold_rate_per_s / owners));
    }
  }
  return 0;
}

bool Balancer::IsAvailable(const ServerLoad& server, absl::Time now) const {
  const BackendServer& info = server.server();
  return !info.is_draining && !server.IsPaused(now) &&
         evacuated_.count(info.zone) == 0;
}

bool Balancer::IsUsable(const PlacementQuery& query,
                        ServerLoad* server,
                        absl::Time now) {
  const BackendServer& info = server->server();
  if (!IsAvailable(*server, now) || internal::Contains(query.tried, info.id)) {
    return false;
  }
  const std::vector<std::string>& regions = query.route->allowed_regions;
  if (!regions.empty() &&
      !internal::Contains(regions, zones_->RegionOf(info.zone))) {
    return false;
  }
  return !server->IsCold(now) || server->HasColdRoom(ColdShare(*server), now);
}

bool Balancer::HasMoreUrgent(const PlacementQuery& query,
                             absl::Time now) const {
  const auto seen = priorities_seen_.find(query.service);
  if (seen == priorities_seen_.end()) {
    return false;
  }
  for (const auto& [priority, at] : seen->second) {
    if (priority < query.route->priority && now - at < kUrgentMemory) {
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
  if (query.has_affinity && !candidate.is_known) {
    return std::max(1.0, slots * kSpillPart);
  }
  const double part = query.is_return ? kReturnQueuePart : kQueuePart;
  const double late = slots + std::max(1.0, slots * part);
  // As many as leave the answer within the objective.
  const absl::Duration round_trip = zones_->RoundTrip(server.zone);
  const absl::Duration slack =
      query.objective - now - round_trip - candidate.work;
  const double in_time =
      slots * (1 + absl::FDivDuration(slack, candidate.work));
  const double limit = std::clamp(in_time, late, slots * kMostLoadPart);
  return HasMoreUrgent(query, now) ? std::max(1.0, limit - kUrgentRoom) : limit;
}

Balancer::Candidate Balancer::Weigh(const PlacementQuery& query,
                                    const ServerLoad& server,
                                    bool is_first,
                                    const WorkTime& work,
                                    absl::Time now) const {
  const BackendServer& info = server.server();
  const double slowness =
      server.Slowness(now) * (server.IsCold(now) ? kColdServerFactor : 1.0);
  const bool is_remembered =
      !query.has_affinity || server.objects().Has(query.object, now);
  Candidate candidate;
  candidate.load = server.Total(now);
  candidate.is_known = is_remembered || is_first;
  candidate.work = work.warm * slowness;
  const double waiting = std::max(0.0, candidate.load + 1 - info.slots);
  const absl::Duration wait = candidate.work * (waiting / info.slots);
  const absl::Duration round_trip = zones_->RoundTrip(info.zone);
  const double cold_chance =
      is_remembered ? 0 : (is_first ? kFirstColdChance : 1);
  const absl::Duration own_work =
      (work.warm + (work.cold - work.warm) * cold_chance) * slowness;
  candidate.expected = round_trip + wait + own_work;
  candidate.cost = round_trip + wait * kWaitWeight + own_work +
                   work.cold * server.FailureShare(now);
  if (query.has_affinity && !is_first) {
    candidate.cost += work.warm * kOtherChoicePart;
  }
  // Spreads requests that all else leaves equal.
  candidate.cost += work.warm * (0.1 * candidate.load / info.slots);
  return candidate;
}

std::string Balancer::FirstChoice(const PlacementQuery& query,
                                  absl::Time now) const {
  const auto of_service = by_service_.find(query.service);
  if (!query.has_affinity || of_service == by_service_.end()) {
    return "";
  }
  const auto plan = plans_.find(query.service);
  const absl::string_view home =
      plan == plans_.end()
          ? zones_->own_region()
          : plan->second.RegionOf(query.object, query.route->allowed_regions);
  uint64_t best_rank = 0;
  absl::string_view best;
  for (const std::shared_ptr<ServerLoad>& server : of_service->second) {
    const BackendServer& info = server->server();
    if (!IsAvailable(*server, now) || server->IsCold(now) ||
        zones_->RegionOf(info.zone) != home) {
      continue;
    }
    const uint64_t rank = internal::Rendezvous(query.object, info.id);
    if (best.empty() || rank > best_rank) {
      best = info.id;
      best_rank = rank;
    }
  }
  return std::string(best);
}

Placement Balancer::Choose(const PlacementQuery& query, absl::Time now) {
  const auto of_service = by_service_.find(query.service);
  if (of_service == by_service_.end()) {
    return {nullptr, 0, {}, "no-server"};
  }
  priorities_seen_[std::string(query.service)][query.route->priority] = now;
  const std::string first = FirstChoice(query, now);
  const WorkTime work = WorkTimeOf(query.service, *query.route);
  std::shared_ptr<ServerLoad> chosen;
  Candidate best;
  absl::string_view refusal = "no-usable-server";
  for (const std::shared_ptr<ServerLoad>& server : of_service->second) {
    if (!IsUsable(query, server.get(), now)) {
      continue;
    }
    const Candidate candidate =
        Weigh(query, *server, server->server().id == first, work, now);
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

void Balancer::OnWork(const PlacementQuery& query,
                      ServerLoad* server,
                      absl::Duration work,
                      absl::Time now) {
  const bool was_remembered =
      query.has_affinity && server->objects().Has(query.object, now);
  const WorkTime usual = WorkTimeOf(query.service, *query.route);
  const bool is_warm = work_times_.OnAnswer(query.service, *query.route, work);
  const absl::Duration expected = is_warm ? usual.warm : usual.cold;
  if (expected > absl::ZeroDuration()) {
    server->OnSpeed(absl::FDivDuration(work, expected), now);
  }
  if (query.has_affinity && was_remembered && !is_warm) {
    server->objects().Remove(query.object);
  } else if (query.has_affinity) {
    server->objects().Add(query.object, now);
  }
}

void Balancer::UpdatePlans(
    const std::map<std::string, absl::flat_hash_map<uint32_t, double>>& demand,
    absl::Time now) {
  for (const auto& [service, servers] : by_service_) {
    std::map<std::string, RegionLoad, std::less<>> loads;
    for (const auto& [region, by_hash] : demand) {
      const auto found = by_hash.find(ServerHash(service));
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
    if (plan.TakeNotable()) {
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
    if (server->own() > 0) {
      loads.emplace_back(server->hash(), server->own());
    }
  }
  return loads;
}

void Balancer::SetPeerLoads(const absl::flat_hash_map<uint32_t, int>& loads) {
  for (const auto& [id, server] : servers_) {
    const auto found = loads.find(server->hash());
    server->SetPeers(found == loads.end() ? 0 : found->second);
  }
}

}  // namespace baobabwall::gateway
