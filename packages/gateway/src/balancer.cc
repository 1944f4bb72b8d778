#include "gateway/src/balancer.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/base.h"

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

uint32_t Balancer::ServerHash(absl::string_view id) {
  return static_cast<uint32_t>(base::StableHash(id));
}

void Balancer::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  config_ = std::move(config);
  best_priority_.clear();
  config_->ForEachRoute([&](const Route& route) {
    for (const WeightedService& part : route.services) {
      const auto [entry, is_new] =
          best_priority_.emplace(part.service, route.priority);
      entry->second = std::min(entry->second, route.priority);
    }
  });
}

void Balancer::SetBackends(const BackendSet& set) {
  evacuated_ = set.evacuated_zones;
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
}

bool Balancer::HasServers(absl::string_view service) const {
  return by_service_.contains(service);
}

int64_t Balancer::ColdShare(const BackendServer& server) const {
  const ServiceSpec* service = config_->FindService(server.service);
  if (service == nullptr) {
    return 1;
  }
  // The instances of the server's zone, else of its region, else all.
  const absl::string_view region = zones_->RegionOf(server.zone);
  std::vector<std::pair<uint64_t, const InstanceRecord*>> ranked;
  for (int level = 0; level < 3 && ranked.empty(); ++level) {
    for (const InstanceRecord& instance : instances_) {
      const bool fits = level == 2 ||
                        (level == 1 && instance.region == region) ||
                        (level == 0 && instance.zone == server.zone);
      if (fits) {
        ranked.emplace_back(
            base::StableHash(instance.name, ServerHash(server.id)), &instance);
      }
    }
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

bool Balancer::IsUsable(const PlacementQuery& query,
                        ServerLoad* server,
                        absl::Time now) const {
  const BackendServer& info = server->server();
  if (info.is_draining || server->IsPaused(now) ||
      evacuated_.count(info.zone) > 0 ||
      internal::Contains(query.tried, info.id)) {
    return false;
  }
  const std::vector<std::string>& regions = query.route->allowed_regions;
  if (!regions.empty() &&
      !internal::Contains(regions, zones_->RegionOf(info.zone))) {
    return false;
  }
  return !server->IsCold(now) || server->HasColdRoom(ColdShare(info), now);
}

int Balancer::BestPriority(absl::string_view service) const {
  const auto found = best_priority_.find(service);
  return found == best_priority_.end() ? 0 : found->second;
}

double Balancer::LoadLimit(const PlacementQuery& query, int slots) const {
  if (query.route->priority > BestPriority(query.service)) {
    return std::max(1.0, slots * kLessUrgentPart);
  }
  const double part = query.is_return ? kReturnQueuePart : kQueuePart;
  return slots + std::max(1.0, slots * part);
}

Balancer::Candidate Balancer::Weigh(const PlacementQuery& query,
                                    ServerLoad* server,
                                    bool is_preferred,
                                    absl::Duration work,
                                    absl::Time now) const {
  const BackendServer& info = server->server();
  Candidate candidate;
  candidate.server = server;
  candidate.load = server->Total(now);
  const absl::Duration round_trip = zones_->RoundTrip(info.zone);
  const double slowness =
      server->Slowness(now) * (server->IsCold(now) ? 2.0 : 1.0);
  const double waiting = std::max(0.0, candidate.load + 1 - info.slots);
  const absl::Duration wait = work * slowness * (waiting / info.slots);
  candidate.expected = round_trip + wait + work * slowness;
  candidate.cost = round_trip + wait * kWaitWeight +
                   work * std::max(0.0, slowness - 1) +
                   work * (2 * server->FailureShare(now));
  if (query.object != 0 && !is_preferred) {
    candidate.cost += work * kColdObjectPart;
    candidate.expected += work * kColdObjectPart;
  }
  // Spreads requests that all else leaves equal.
  candidate.cost += work * (0.05 * candidate.load / info.slots);
  return candidate;
}

Placement Balancer::Choose(const PlacementQuery& query, absl::Time now) {
  const auto of_service = by_service_.find(query.service);
  if (of_service == by_service_.end()) {
    return {nullptr, 0, {}, "no-server"};
  }
  // The servers that remember the object: the first of each region by rank.
  std::map<absl::string_view, std::vector<std::pair<uint64_t, ServerLoad*>>>
      by_region;
  for (const std::shared_ptr<ServerLoad>& owned : of_service->second) {
    ServerLoad* server = owned.get();
    if (server->server().is_draining) {
      continue;
    }
    by_region[zones_->RegionOf(server->server().zone)].emplace_back(
        internal::Rendezvous(query.object, server->server().id), server);
  }
  const absl::Duration work = WorkTime(query.service, *query.route);
  Candidate best;
  absl::string_view refusal = "no-usable-server";
  for (auto& [region, servers] : by_region) {
    std::sort(servers.rbegin(), servers.rend());
    const auto preferred =
        static_cast<size_t>(std::ceil(servers.size() * kAffinityPart));
    for (size_t i = 0; i < servers.size(); ++i) {
      ServerLoad* server = servers[i].second;
      if (!IsUsable(query, server, now)) {
        continue;
      }
      const Candidate candidate =
          Weigh(query, server, i < preferred, work, now);
      if (candidate.load + 1 > LoadLimit(query, server->server().slots)) {
        refusal = "full";
        continue;
      }
      if (best.server == nullptr || candidate.cost < best.cost) {
        best = candidate;
      }
    }
  }
  if (best.server == nullptr) {
    return {nullptr, 0, {}, refusal};
  }
  const auto chosen = servers_.find(best.server->server().id);
  return {chosen->second, best.load, best.expected, {}};
}

absl::Duration Balancer::WorkTime(absl::string_view service,
                                  const Route& route) const {
  const auto found = work_s_.find(absl::StrCat(service, "/", route.name));
  return found == work_s_.end() ? route.latency_objective * kInitialWorkPart
                                : absl::Seconds(found->second);
}

void Balancer::OnWork(absl::string_view service,
                      const Route& route,
                      absl::Duration work) {
  const double seconds = absl::ToDoubleSeconds(work);
  const auto [entry, is_new] =
      work_s_.emplace(absl::StrCat(service, "/", route.name),
                      absl::ToDoubleSeconds(WorkTime(service, route)));
  entry->second += kWorkWeight * (seconds - entry->second);
}

std::vector<std::pair<uint32_t, int>> Balancer::OwnLoads() const {
  std::vector<std::pair<uint32_t, int>> loads;
  for (const auto& [id, server] : servers_) {
    if (server->own() > 0) {
      loads.emplace_back(ServerHash(id), server->own());
    }
  }
  return loads;
}

void Balancer::SetPeerLoads(const absl::flat_hash_map<uint32_t, int>& loads) {
  for (const auto& [id, server] : servers_) {
    const auto found = loads.find(ServerHash(id));
    server->SetPeers(found == loads.end() ? 0 : found->second);
  }
}

}  // namespace baobabwall::gateway
