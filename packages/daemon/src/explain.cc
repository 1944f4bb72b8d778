#include "daemon/src/explain.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace baobabwall::daemon {
namespace internal {

using Json = nlohmann::json;

absl::string_view ToString(steer::HealthStatus health) {
  switch (health) {
    case steer::HealthStatus::kHealthy:
      return "healthy";
    case steer::HealthStatus::kSlowStart:
      return "slow-start";
    case steer::HealthStatus::kUnhealthy:
      return "unhealthy";
    case steer::HealthStatus::kUnmeasured:
      return "unmeasured";
  }
  return "unmeasured";
}

int UsableSlots(const steer::BackendView& backend) {
  if (backend.is_leaving || backend.health == steer::HealthStatus::kUnhealthy) {
    return 0;
  }
  return static_cast<int>(backend.slot_share * backend.ramp);
}

/// Why a backend server gets no work at this moment; empty if it can get some.
absl::string_view Exclusion(const steer::BackendView& backend, int in_use) {
  if (backend.is_leaving) {
    return "it is leaving or drained";
  }
  if (backend.health == steer::HealthStatus::kUnhealthy) {
    return "it is unhealthy";
  }
  if (backend.slot_share == 0) {
    return "this instance has no share of its slots";
  }
  return in_use >= std::max(1, UsableSlots(backend))
             ? "this instance's share is in use"
             : absl::string_view();
}

Json HomeOf(const steer::Snapshot& snapshot, const std::string& client) {
  const auto address = model::ClientAddress::Parse(client);
  const absl::string_view zone =
      address ? snapshot.configuration->client_blocks().HomeZone(*address)
              : absl::string_view();
  const absl::string_view home = zone.empty() ? snapshot.zone : zone;
  return {{"zone", home},
          {"region", snapshot.configuration->RegionOf(home)},
          {"rule", zone.empty()
                       ? "no client block matches: the zone of this instance"
                       : "the longest matching client block"}};
}

Json InstancesLeftOut(const steer::Snapshot& snapshot) {
  Json left_out = Json::array();
  for (const steer::InstanceView& instance : snapshot.instances) {
    if (instance.is_leaving) {
      left_out.push_back(
          {{"instance", instance.id.name}, {"reason", "it is leaving"}});
    }
  }
  return left_out;
}

/// The first rule of the routing order that applies.
std::string DecidingRule(const steer::Snapshot& snapshot,
                         const std::string& service,
                         bool has_free,
                         bool has_share,
                         bool is_home_region) {
  if (!snapshot.is_ready) {
    return "not ready: refused as not-run";
  }
  if (!snapshot.is_admitting) {
    return "after a pause, state is not yet compared: refused as not-run";
  }
  if (has_free && is_home_region) {
    return "own zone: the least used of the free backend servers";
  }
  if (has_free) {
    return "own zone, as moved traffic: within this instance's share of the "
           "cap of the home region, else refused as not-run";
  }
  for (const steer::InstanceView& instance : snapshot.instances) {
    const auto used = instance.utilisation.find(service);
    if (instance.id == snapshot.self || instance.is_leaving ||
        instance.is_suspect || used == instance.utilisation.end() ||
        used->second >= 1.0) {
      continue;
    }
    return "own zone has no free slot: relay to an instance with room, in the "
           "order zone, region, other regions";
  }
  return has_share ? "no free slot: waits in the queue of the service until "
                     "the deadline"
                   : "no backend server can run it: refused as not-run";
}

}  // namespace internal

nlohmann::json Explain(const steer::Snapshot& snapshot,
                       const std::map<std::string, int, std::less<>>& in_use,
                       const ExplainQuery& query,
                       absl::Time now) {
  using internal::Json;
  const model::Service& service =
      snapshot.configuration->services().at(query.service);
  const bool is_idempotent = std::any_of(
      service.idempotent_methods.begin(), service.idempotent_methods.end(),
      [&](const std::string& method) {
        return absl::EqualsIgnoreCase(method, query.method);
      });
  const Json home = internal::HomeOf(snapshot, query.client);
  Json lookup = Json::array();
  for (const steer::LookupEntry& entry :
       steer::Lookup(snapshot, query.service, query.client, now).entries) {
    Json item = {{"instance", entry.instance},
                 {"address", entry.address},
                 {"port", entry.port}};
    for (const steer::InstanceView& instance : snapshot.instances) {
      if (instance.id.name != entry.instance) {
        continue;
      }
      item["zone"] = instance.zone;
      item["rule"] = instance.is_suspect                 ? "suspected: last"
                     : instance.zone == home["zone"]     ? "home zone"
                     : instance.region == home["region"] ? "home region"
                                                         : "another region";
    }
    lookup.push_back(std::move(item));
  }
  Json candidates = Json::array();
  bool has_free = false;
  bool has_share = false;
  for (const steer::BackendView& backend : snapshot.backends) {
    if (backend.service != query.service) {
      continue;
    }
    const auto used = in_use.find(backend.name);
    const int count = used == in_use.end() ? 0 : used->second;
    const absl::string_view exclusion = internal::Exclusion(backend, count);
    has_free = has_free || exclusion.empty();
    has_share = has_share || internal::UsableSlots(backend) > 0;
    candidates.push_back({{"backendServer", backend.name},
                          {"health", internal::ToString(backend.health)},
                          {"leaving", backend.is_leaving},
                          {"share", backend.slot_share},
                          {"ramp", backend.ramp},
                          {"inUse", count},
                          {"excluded", exclusion}});
  }
  const bool is_home_region = home["region"] == snapshot.region;
  return {{"service", query.service},
          {"client", query.client},
          {"revision", snapshot.configuration->revision()},
          {"home", home},
          {"lookup", std::move(lookup)},
          {"notNamed", internal::InstancesLeftOut(snapshot)},
          {"instance", snapshot.self.name},
          {"zone", snapshot.zone},
          {"method", query.method},
          {"idempotent", is_idempotent},
          {"candidates", std::move(candidates)},
          {"decision", internal::DecidingRule(snapshot, query.service, has_free,
                                              has_share, is_home_region)}};
}

}  // namespace baobabwall::daemon
