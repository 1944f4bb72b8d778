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
#include "gateway/src/region_plan.h"
#include "gateway/src/routing_config.h"
#include "gateway/src/server_load.h"
#include "gateway/src/work_times.h"
#include "gateway/src/zone_map.h"

namespace baobabwall::gateway {

/// \brief A request that needs a backend server.
struct PlacementQuery {
  const Route* route = nullptr;
  absl::string_view service;
  uint64_t object = 0;  ///< Hash of the object it concerns, or any number.
  bool has_affinity = false;  ///< Servers remember the object.
  absl::Time objective;       ///< Until when an answer earns its full credit.
  bool is_return = false;     ///< Its caller was refused before.
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
/// A server that remembers a request's object needs much less time, so requests
/// for an object go to the server that had it before, and to the same one from
/// all instances at first: the first by rank of the region that the plan gives
/// the object. They wait there as long as that is shorter than the work of a
/// server that would have to begin anew.
class Balancer {
 public:
  /// A request that waits delays those behind it as well.
  static constexpr double kWaitWeight = 2.0;
  /// Cost of a server that is not the first choice for an object, as a part of
  /// the work; it only decides between servers that are alike otherwise.
  static constexpr double kOtherChoicePart = 0.3;
  /// Chance that the first choice for an object does not remember it although
  /// this instance never sent it there: the other instances do.
  static constexpr double kFirstColdChance = 0.25;
  /// Part of the slots of a server open to objects that it does not remember
  /// and that belong elsewhere: they take long and displace others, and under
  /// load no server would remember anything.
  static constexpr double kSpillPart = 0.5;
  /// Requests beyond the slots, as a part of them, of which none can be
  /// answered in time: of new requests, and of requests whose caller was
  /// refused before.
  static constexpr double kQueuePart = 0.25;
  static constexpr double kReturnQueuePart = 0.8;
  /// Most requests at a server, as a multiple of its slots.
  static constexpr double kMostLoadPart = 3.0;
  /// Room at each server, in requests, that less urgent routes leave while more
  /// urgent ones have come within kUrgentMemory.
  static constexpr double kUrgentRoom = 1.0;
  static constexpr absl::Duration kUrgentMemory = absl::Seconds(2);
  /// A server within its first seconds needs this many times as long.
  static constexpr double kColdServerFactor = 2.0;
  /// Instances that may send to a cold server, of those that carry callers.
  static constexpr int kColdOwners = 2;

  explicit Balancer(ZoneMap* zones, std::string self)
      : zones_(zones), self_(std::move(self)) {}

  void SetConfig(std::shared_ptr<const RoutingConfig> config);
  void SetBackends(const BackendSet& set);
  /// \param instances all live instances, this one included.
  void SetInstances(std::vector<InstanceRecord> instances);

  Placement Choose(const PlacementQuery& query, absl::Time now);

  /// \brief A server with a free slot has answered.
  /// \param work time that it took, without the way.
  void OnWork(const PlacementQuery& query,
              ServerLoad* server,
              absl::Duration work,
              absl::Time now);

  WorkTime WorkTimeOf(absl::string_view service, const Route& route) const {
    return work_times_.Of(service, route);
  }

  /// \brief Plans anew in which regions requests run.
  /// \param demand of all callers by region and ServerHash() of the service, in
  /// slots.
  void UpdatePlans(
      const std::map<std::string, absl::flat_hash_map<uint32_t, double>>&
          demand,
      absl::Time now);

  /// \returns requests in flight by backend server, without those at zero.
  std::vector<std::pair<uint32_t, int>> OwnLoads() const;

  /// \brief Requests that other instances have in flight, by ServerHash().
  void SetPeerLoads(const absl::flat_hash_map<uint32_t, int>& loads);

  /// \returns what names a backend server, or a service, in heartbeats.
  static uint32_t ServerHash(absl::string_view id) {
    return ServerLoad::HashOf(id);
  }

  /// \returns shares by service, for services where one has changed notably
  /// since the last call.
  std::map<std::string, RegionPlan::Shares> TakeChangedShares();
  /// \returns the smallest part of a service's requests that is to run in the
  /// own region.
  double LeastOwnShare() const;

  size_t server_count() const { return servers_.size(); }

 private:
  struct Candidate {
    double load = 0;
    absl::Duration expected;
    absl::Duration cost;
    absl::Duration work;    ///< Of each request at the server.
    bool is_known = false;  ///< It remembers the object, or will.
  };

  /// \returns whether a server takes new work at all.
  bool IsAvailable(const ServerLoad& server, absl::Time now) const;
  bool IsUsable(const PlacementQuery& query,
                ServerLoad* server,
                absl::Time now);
  /// \returns requests a second that this instance may send to a cold server.
  int64_t ColdShare(const ServerLoad& server);
  int64_t FindColdShare(const ServerLoad& server) const;
  double LoadLimit(const PlacementQuery& query,
                   const BackendServer& server,
                   const Candidate& candidate,
                   absl::Time now) const;
  /// \returns whether the service lately had requests of a more urgent route.
  bool HasMoreUrgent(const PlacementQuery& query, absl::Time now) const;
  /// \param is_first whether it is the first choice for the object.
  Candidate Weigh(const PlacementQuery& query,
                  const ServerLoad& server,
                  bool is_first,
                  const WorkTime& work,
                  absl::Time now) const;
  /// \returns the first choice for the query's object; empty: none.
  std::string FirstChoice(const PlacementQuery& query, absl::Time now) const;

  ZoneMap* zones_;
  std::string self_;
  std::shared_ptr<const RoutingConfig> config_ =
      std::make_shared<RoutingConfig>();
  std::map<std::string, std::shared_ptr<ServerLoad>, std::less<>> servers_;
  absl::flat_hash_map<std::string, std::vector<std::shared_ptr<ServerLoad>>>
      by_service_;
  std::set<std::string, std::less<>> evacuated_;
  std::vector<InstanceRecord> instances_;
  /// By server; found anew when instances, servers or services change.
  absl::flat_hash_map<uint32_t, int64_t> cold_shares_;
  absl::flat_hash_map<std::string, RegionPlan> plans_;  ///< By service.
  /// Last request by service and priority.
  absl::flat_hash_map<std::string, std::map<int, absl::Time>> priorities_seen_;
  WorkTimes work_times_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_BALANCER_H_
