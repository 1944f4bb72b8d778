#ifndef TEST_STEER_FIXTURE_H_
#define TEST_STEER_FIXTURE_H_

#include <memory>
#include <string>

#include "steer/steer.h"

/// \brief Test fixture of the steer package: a configuration with the regions
/// amba (zones amba-a and amba-b) and cuyo (zone cuyo-a), and snapshots of
/// instance amba-a-1.
namespace baobabwall::steer {

inline const absl::Time kTestStart = absl::UnixEpoch() + absl::Hours(1000);
inline constexpr int64_t kTestLinkShare = 100'000;  ///< In bytes/s.

inline model::Change Declare(model::Kind kind,
                             const std::string& name,
                             const std::string& spec) {
  return {{kind, name}, spec, {}};
}

/// \param shift_percent percentage of the reservas traffic of amba that a shift
/// moves to cuyo.
inline std::shared_ptr<const model::Configuration> TestConfiguration(
    int shift_percent,
    int cap_window_ms = 10'000) {
  using model::Kind;
  model::ChangeBatch batch{"test", {}};
  auto& changes = batch.changes;
  for (const char* region : {"amba", "cuyo"}) {
    changes.push_back(Declare(Kind::kRegion, region, R"({"declaredRate":50})"));
    changes.push_back(Declare(Kind::kCap, std::string(region) + "-out",
                              std::string(R"({"region":")") + region +
                                  R"(","maxMovedPercent":10,"windowMs":)" +
                                  std::to_string(cap_window_ms) + "}"));
  }
  for (const char* zone : {"amba-a", "amba-b", "cuyo-a"}) {
    changes.push_back(
        Declare(Kind::kZone, zone,
                R"({"region":")" + std::string(zone).substr(0, 4) + R"("})"));
  }
  const auto service = [&](const char* name, const char* service_class,
                           const char* policy) {
    changes.push_back(
        Declare(Kind::kService, name,
                std::string(R"({"tenant":"cantaloma","class":")") +
                    service_class + R"(","policy":")" + policy + R"("})"));
  };
  service("reservas", "transactional", "latency");
  service("cancionero", "bulk", "latency");
  service("disponible", "interactive", "headroom");
  changes.push_back(Declare(Kind::kLink, "amba-cuyo",
                            R"({"a":"amba","b":"cuyo","mbitPerS":300})"));
  if (shift_percent > 0) {
    changes.push_back(Declare(
        Kind::kShift, "away",
        R"({"service":"reservas","from":"amba","to":"cuyo","percent":)" +
            std::to_string(shift_percent) + "}"));
  }
  base::Findings findings;
  auto result = model::Configuration::Empty()->Apply(batch, 1, &findings);
  return result;
}

/// \returns a snapshot with three backend servers for each service.
inline std::shared_ptr<Snapshot> TestSnapshot(int slot_share,
                                              int shift_percent = 0) {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->configuration = TestConfiguration(shift_percent);
  snapshot->self = {"amba-a-1", 5};
  snapshot->zone = "amba-a";
  snapshot->region = "amba";
  snapshot->is_ready = true;
  snapshot->moved_shares = {{"cuyo-out", 3}, {"amba-out", 3}};
  snapshot->link_shares = {{"amba-cuyo", kTestLinkShare}};
  for (const char* service : {"reservas", "cancionero", "disponible"}) {
    for (int i = 0; i < 3; ++i) {
      BackendView view;
      view.name = std::string(service) + std::to_string(i);
      view.service = service;
      view.slot_share = slot_share;
      view.health = HealthStatus::kHealthy;
      snapshot->backends.push_back(view);
    }
  }
  return snapshot;
}

/// \brief Adds an instance with the same utilisation for each service.
/// Zone and region are derived from the name.
inline void AddInstance(Snapshot* snapshot,
                        const std::string& name,
                        double utilisation) {
  InstanceView view;
  view.id = {name, 1};
  view.zone = name.substr(0, 6);
  view.region = name.substr(0, 4);
  for (const char* service : {"reservas", "cancionero", "disponible"}) {
    view.utilisation[service] = utilisation;
  }
  snapshot->instances.push_back(view);
}

inline PlacementRequest TestRequest(const std::string& service) {
  PlacementRequest request;
  request.service = service;
  request.home_region = "amba";
  request.deadline = absl::InfiniteFuture();
  return request;
}

}  // namespace baobabwall::steer

#endif  // TEST_STEER_FIXTURE_H_
