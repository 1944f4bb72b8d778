#ifndef GATEWAY_SRC_BALANCER_H_
#define GATEWAY_SRC_BALANCER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "gateway/src/backend_server.h"
#include "gateway/src/instance_record.h"
#include "gateway/src/routing_config.h"
#include "gateway/src/server_load.h"
#include "gateway/src/zone_map.h"

namespace baobabwall::gateway {

/// \brief A request that needs a backend server.
struct PlacementQuery {
  const Route* route = nullptr;
  absl::string_view service;
  uint64_t object = 0;     ///< Hash of the object it concerns; 0: none.
  absl::Time objective;    ///< Until when an answer earns its full credit.
  bool is_return = false;  ///< Its caller was refused before.
  absl::Span<const std::string> tried;  ///< Ids of backend servers.
};

/// \brief Where a request goes, or why nowhere.
struct Placement {
  std::shared_ptr<ServerLoad> server;  ///< nullptr: refused.
  double load = 0;                     ///< Requests at the server, expected.
  absl::Duration expected;             ///< Time until its answer.
  absl::string_view refusal;           ///< Reason; static text.
};

/// \brief Chooses backend servers by distance, load, speed and affinity.
///
/// A server is used beyond its slots only as far as the lag of the load
/// figures asks for; more would make requests wait that another could serve in
/// time. Requests for the same object go to the same few servers of a region,
/// which remember it.
class Balancer {
 public:
  /// Time of work before any answer was seen, as a part of the objective.
  static constexpr double kInitialWorkPart = 0.8;
  static constexpr double kWorkWeight = 0.03;
  /// A server that does not remember the object takes this much longer.
  static constexpr double kColdObjectPart = 0.43;
  /// Part of a region's servers that get the requests for one object.
  static constexpr double kAffinityPart = 0.5;
  /// A request that waits delays those behind it as well.
  static constexpr double kWaitWeight = 2.0;
  /// Requests beyond the slots, as a part of them: of new requests, and of
  /// requests whose caller was refused before.
  static constexpr double kQueuePart = 0.25;
  static constexpr double kReturnQueuePart = 0.8;
  /// Part of the slots open to requests of less urgent routes.
  static constexpr double kLessUrgentPart = 0.8;
  /// Instances that may send to a cold server.
  static constexpr int kColdOwners = 2;

  explicit Balancer(ZoneMap* zones, std::string self)
      : zones_(zones), self_(std::move(self)) {}

  void SetConfig(std::shared_ptr<const RoutingConfig> config);
  void SetBackends(const BackendSet& set);
  /// \param instances all live instances, this one included.
  void SetInstances(std::vector<InstanceRecord> instances);

  Placement Choose(const PlacementQuery& query, absl::Time now);

  /// \brief An answer arrived from a server that was not overfull when its
  /// request was sent.
  void OnWork(absl::string_view service,
              const Route& route,
              absl::Duration work);

  absl::Duration WorkTime(absl::string_view service, const Route& route) const;

  /// \returns requests in flight by backend server, without those at zero.
  std::vector<std::pair<uint32_t, int>> OwnLoads() const;

  /// \brief Requests that other instances have in flight, by ServerHash().
  void SetPeerLoads(const absl::flat_hash_map<uint32_t, int>& loads);

  static uint32_t ServerHash(absl::string_view id);

  size_t server_count() const { return servers_.size(); }
  bool HasServers(absl::string_view service) const;

 private:
  struct Candidate {
    ServerLoad* server = nullptr;
    double load = 0;
    absl::Duration expected;
    absl::Duration cost;
  };

  bool IsUsable(const PlacementQuery& query,
                ServerLoad* server,
                absl::Time now) const;
  int64_t ColdShare(const BackendServer& server) const;
  double LoadLimit(const PlacementQuery& query, int slots) const;
  int BestPriority(absl::string_view service) const;
  Candidate Weigh(const PlacementQuery& query,
                  ServerLoad* server,
                  bool is_preferred,
                  absl::Duration work,
                  absl::Time now) const;

  ZoneMap* zones_;
  std::string self_;
  std::shared_ptr<const RoutingConfig> config_ =
      std::make_shared<RoutingConfig>();
  std::map<std::string, std::shared_ptr<ServerLoad>, std::less<>> servers_;
  absl::flat_hash_map<std::string, std::vector<std::shared_ptr<ServerLoad>>>
      by_service_;
  std::set<std::string, std::less<>> evacuated_;
  std::vector<InstanceRecord> instances_;
  absl::flat_hash_map<std::string, int> best_priority_;
  absl::flat_hash_map<std::string, double> work_s_;  ///< By service and route.
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_BALANCER_H_
