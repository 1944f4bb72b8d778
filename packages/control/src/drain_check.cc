#include "control/src/drain_check.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "control/src/allotments.h"

namespace baobabwall::control {
namespace internal {

bool DrainCovers(const model::Configuration& configuration,
                 const model::Drain& drain,
                 const model::BackendServer& server) {
  switch (drain.target) {
    case model::DrainTarget::kBackendServer:
      return drain.target_name == server.name;
    case model::DrainTarget::kInstance:
      return false;
    case model::DrainTarget::kZone:
      return drain.target_name == server.zone;
    case model::DrainTarget::kRegion:
      return drain.target_name == configuration.RegionOf(server.zone);
  }
  return false;
}

/// \brief Compares the slots in use of one service with its remaining slots.
class ServiceHeadroomCheck {
 public:
  ServiceHeadroomCheck(const model::Configuration& configuration,
                       const ServiceUse& service_use,
                       const std::set<std::string, std::less<>>& started_drains)
      : configuration_(configuration),
        service_use_(service_use),
        started_drains_(started_drains) {}

  /// \param region the region whose slots count; empty for all regions.
  void Check(const model::Drain& drain,
             absl::string_view service,
             absl::string_view region,
             DrainCheckResult* result) const {
    int64_t remaining_slots = 0;
    std::set<std::string> zones;
    bool is_affected = false;
    for (const auto& [name, server] : configuration_.backend_servers()) {
      if (server.service != service ||
          (!region.empty() && configuration_.RegionOf(server.zone) != region)) {
        continue;
      }
      zones.insert(server.zone);
      if (DrainCovers(configuration_, drain, server)) {
        is_affected = true;
      } else if (!IsCovered(configuration_, started_drains_, server)) {
        remaining_slots += server.slots;
      }
    }
    if (!is_affected) {
      return;
    }
    DrainShortfall shortfall;
    shortfall.quantity =
        absl::StrCat("slots of ", service, " in ",
                     region.empty() ? "all other regions" : region);
    shortfall.available =
        static_cast<double>(remaining_slots) * kMaxUtilisationAfterDrain;
    for (const std::string& zone : zones) {
      const auto observed_use = service_use_.find({zone, std::string(service)});
      shortfall.is_observed =
          shortfall.is_observed && observed_use != service_use_.end();
      shortfall.needed +=
          observed_use == service_use_.end() ? 0 : observed_use->second;
    }
    if (!shortfall.is_observed || shortfall.needed > shortfall.available) {
      result->shortfalls.push_back(std::move(shortfall));
    }
  }

 private:
  const model::Configuration& configuration_;
  const ServiceUse& service_use_;
  const std::set<std::string, std::less<>>& started_drains_;
};

/// \brief Checks the caps of a region that is to be drained. A region cannot be
/// drained faster than its caps allow its declared traffic to move.
void CheckCaps(const model::Configuration& configuration,
               const model::Drain& drain,
               DrainCheckResult* result) {
  const auto region = configuration.regions().find(drain.target_name);
  if (region == configuration.regions().end()) {
    return;
  }
  for (const auto& [name, cap] : configuration.caps()) {
    if (cap.region != drain.target_name) {
      continue;
    }
    const double needed =
        region->second.declared_rate * absl::ToDoubleSeconds(cap.window);
    const auto total =
        static_cast<double>(MaxMovedRequestsPerWindow(configuration, cap));
    if (needed > total) {
      result->shortfalls.push_back(
          {absl::StrCat("moved requests per window of ", name), needed, total,
           true});
    }
  }
}

}  // namespace internal

std::string DrainCheckResult::ToString() const {
  return absl::StrJoin(
      shortfalls, "; ", [](std::string* out, const DrainShortfall& shortfall) {
        absl::StrAppendFormat(out, "%s: ", shortfall.quantity);
        if (shortfall.is_observed) {
          absl::StrAppendFormat(out, "needs %.1f, has %.1f", shortfall.needed,
                                shortfall.available);
        } else {
          absl::StrAppend(out, "the use is not known");
        }
      });
}

bool IsCovered(const model::Configuration& configuration,
               const std::set<std::string, std::less<>>& drains,
               const model::BackendServer& server) {
  for (const std::string& name : drains) {
    const auto drain = configuration.drains().find(name);
    if (drain != configuration.drains().end() &&
        internal::DrainCovers(configuration, drain->second, server)) {
      return true;
    }
  }
  return false;
}

DrainCheckResult CheckDrain(
    const model::Configuration& configuration,
    const model::Drain& drain,
    const std::set<std::string, std::less<>>& started_drains,
    const ServiceUse& service_use,
    int zone_instance_count) {
  DrainCheckResult result;
  if (drain.target == model::DrainTarget::kInstance) {
    // The slots of the zone remain available, but only if another instance of
    // the zone can use these slots.
    if (zone_instance_count < 2) {
      result.shortfalls.push_back(
          {absl::StrCat("instances beside ", drain.target_name), 1, 0, true});
    }
    return result;
  }
  std::string region;
  if (drain.target == model::DrainTarget::kBackendServer) {
    const auto server = configuration.backend_servers().find(drain.target_name);
    if (server != configuration.backend_servers().end()) {
      region = std::string(configuration.RegionOf(server->second.zone));
    }
  } else if (drain.target == model::DrainTarget::kZone) {
    region = std::string(configuration.RegionOf(drain.target_name));
  } else {
    internal::CheckCaps(configuration, drain, &result);
  }
  const internal::ServiceHeadroomCheck check(configuration, service_use,
                                             started_drains);
  for (const auto& [service, spec] : configuration.services()) {
    check.Check(drain, service, region, &result);
  }
  return result;
}

}  // namespace baobabwall::control
