#ifndef GATEWAY_SRC_BALANCER_H_
#define GATEWAY_SRC_BALANCER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "gateway/src/backend_server.h"
#include "gateway/src/heartbeat.h"
#include "gateway/src/instance_record.h"
#include "gateway/src/region_plan.h"
#include "gateway/src/routing_config.h"
#include "gateway/src/server_limits.h"
#include "gateway/src/server_load.h"
#include "gateway/src/work_times.h"
#include "gateway/src/zone_map.h"

namespace baobabwall::gateway {

/// \brief Describes a request for which a backend server is chosen.
struct PlacementQuery {
  const Route* route = nullptr;
  absl::string_view service;
  /// Names of the allowed regions; empty if all are allowed.
  absl::Span<const std::string> allowed_regions;
  int priority = 0;           ///< 0 is the highest.
  uint64_t object = 0;        ///< Hash of the requested object, or any number.
  bool has_affinity = false;  ///< Whether backend servers cache the object.
  /// Latest time at which an answer meets the latency objective.
  absl::Time objective_deadline;
  bool is_retry = false;  ///< Whether the request is a retry after a refusal.
  /// Ids of the backend servers tried so far.
  absl::Span<const std::string> tried_servers;
};

/// \brief The backend server chosen for a request, or the reason of a refusal.
struct Placement {
  std::shared_ptr<ServerLoad> server;  ///< nullptr if the request is refused.
  double load = 0;            ///< Expected number of requests at the server.
  absl::Duration expected;    ///< Expected time until the answer.
  absl::string_view refusal;  ///< Reason of the refusal; static text.
  /// If only pauses that servers asked for prevent the request: the end of the
  /// first of these pauses.
  std::optional<absl::Time> pause_end = std::nullopt;
};

/// \brief Chooses backend servers by round-trip time, load, speed and affinity.
///
/// A server that has cached the object of a request needs much less time, so
/// requests for an object are sent to a server that has handled the object
/// before. If no server has handled the object, all instances choose the
/// preferred server of the object: the server with the highest rendezvous rank
/// in the region that the plan assigns to the object. Requests wait for the
/// preferred server as long as the wait is shorter than the additional work on
/// a server without the cached object.
class Balancer {
 public:
  /// Cost of a second of waiting, as a multiple of the cost of a second of
  /// work. The factor is above 1 because a waiting request also delays the
  /// requests behind it.
  static constexpr double kQueueWaitCostFactor = 2.0;
  /// Additional cost of a server that is not the preferred server of an object,
  /// as a fraction of the work time. The cost is small, so it only decides
  /// between servers that are otherwise equal.
  static constexpr double kNonPreferredServerCostRatio = 0.3;
  /// Number of servers of the home region, and of all regions, with the highest
  /// ranks for an object that all instances try first if the preferred server
  /// is full. With the same alternates at all instances, an object is cached by
  /// few servers.
  static constexpr size_t kRankedServers = 2;
  /// A server that has named a request limit is the preferred server of fewer
  /// objects: as many as its limit suffices for, in multiples of this part of
  /// the objects of other servers, so that small changes move no objects.
  static constexpr double kObjectShareQuantum = 1.0 / 8;
  /// Weight of a request in the mean work time of a service.
  static constexpr double kMeanWorkWeight = 0.05;
  /// Minimum utilisation that is assumed of servers without a limit.
  static constexpr double kMinUtilisation = 0.1;
  /// Additional cost of a server that is not among the ranked servers of an
  /// object, as a fraction of the work time of an uncached object.
  static constexpr double kUnrankedServerCostRatio = 0.3;
  /// Probability, 0 to 1, that the preferred server has not cached an object
  /// which this instance never sent to that server. The probability is below 1
  /// because other instances send requests for the object to the same server.
  static constexpr double kPreferredServerColdProbability = 0.25;
  /// The same probability for the other ranked servers of an object.
  static constexpr double kRankedServerColdProbability = 0.8;
  /// Load limit of a server, as a multiple of its slots, for requests whose
  /// object the server has not cached and for which it is not the preferred
  /// server. These requests take long and evict other objects; without the
  /// limit, no server would keep its cached objects under load.
  static constexpr double kMaxUncachedLoadRatio = 0.5;
  /// Number of requests that a server may queue, as a multiple of its slots,
  /// even if the requests cannot be answered within the latency objective.
  /// kMinQueueRatio is for new requests, kMinRetryQueueRatio for retries after
  /// a refusal.
  static constexpr double kMinQueueRatio = 0.25;
  static constexpr double kMinRetryQueueRatio = 0.8;
  /// Maximum number of requests at a server, as a multiple of its slots.
  static constexpr double kMaxLoadRatio = 3.0;
  /// Number of requests by which the load limit of each server is lowered for
  /// less urgent routes. The lower limit applies while more urgent requests
  /// have arrived within kUrgentRequestMaxAge.
  static constexpr double kUrgentRequestReserve = 1.0;
  static constexpr absl::Duration kUrgentRequestMaxAge = absl::Seconds(2);
  /// Minimum work time that is corrected by the reported work factor, relative
  /// to the warm work time. If the result is shorter, the work was done before
  /// the machine became slow, and the correction is omitted.
  static constexpr double kMinCorrectedWorkRatio = 0.6;
  /// Factor by which the work time is longer on a server that is warming up.
  static constexpr double kColdServerWorkFactor = 2.0;
  /// Maximum number of instances that send requests to a cold server. These
  /// instances are chosen among the instances that serve the callers of the
  /// server's zone.
  static constexpr int kMaxColdServerSenders = 2;
  /// Maximum number of servers that are not in the store whose notices are
  /// retained. Above it, all of these notices are dropped.
  static constexpr size_t kMaxRetainedNotices = 4096;

  /// \param on_limit_changed see ServerLimits.
  explicit Balancer(ZoneMap* zones,
                    std::string self,
                    ServerLimits::ChangeHook on_limit_changed = {})
      : zones_(zones),
        self_(std::move(self)),
        server_limits_(self_, std::move(on_limit_changed)) {}

  void SetConfig(std::shared_ptr<const RoutingConfig> config);
  void SetBackends(const BackendSet& set);
  /// \param instances all live instances, including this one.
  void SetInstances(std::vector<InstanceRecord> instances);

  Placement Choose(const PlacementQuery& query, absl::Time now);

  /// \brief Records that the request is sent to the server, which caches its
  /// object from the start of the work.
  /// \returns whether the object was already known to be cached.
  bool RecordStart(const PlacementQuery& query,
                   ServerLoad* server,
                   absl::Time now);
  /// \brief Records that the server did not run the request, whose object was
  /// not known to be cached before.
  static void RecordNotRun(const PlacementQuery& query, ServerLoad* server);
  /// \brief Records that the answer of the server is overdue.
  /// \param elapsed time since the request was sent.
  void RecordOverdue(const PlacementQuery& query,
                     ServerLoad* server,
                     absl::Duration elapsed,
                     absl::Time now) const;

  /// \brief Records the work time of an answer. The server must have had a free
  /// slot when the request was sent.
  /// \param work processing time: time from request to answer minus the network
  /// round-trip time.
  void RecordWorkTime(const PlacementQuery& query,
                      ServerLoad* server,
                      absl::Duration work,
                      absl::Time now);

  WorkTime WorkTimeOf(absl::string_view service, const Route& route) const {
    return work_times_.Of(service, route);
  }

  /// \brief Updates the distribution of the requests over the regions.
  /// \param demand demand of all callers in slots, by region and by
  /// HeartbeatKey() of the service.
  void UpdatePlans(
      const std::map<std::string, absl::flat_hash_map<uint32_t, double>>&
          demand,
      absl::Time now);

  /// \brief Replaces the plans by those of another instance of this region.
  void AdoptPlans(absl::Span<const PlannedShare> shares);
  /// \returns the current plans of all services.
  std::vector<PlannedShare> PlannedShares() const;

  /// \returns the requests that this instance has in flight, by HeartbeatKey()
  /// of the backend server; servers without requests are omitted.
  std::vector<std::pair<uint32_t, int>> OwnLoads() const;

  /// \brief Sets the requests in flight of the other instances, by
  /// HeartbeatKey().
  void SetPeerLoads(const absl::flat_hash_map<uint32_t, int>& loads);

  /// \returns the hash that identifies a backend server or a service in
  /// heartbeats.
  static uint32_t HeartbeatKey(absl::string_view id) {
    return ServerLoad::HashOf(id);
  }

  /// \returns the region shares of the services whose shares have changed
  /// significantly since the last call.
  std::map<std::string, RegionPlan::Shares> TakeChangedShares();
  /// \returns the share of requests that the plan assigns to this instance's
  /// region, for the service with the smallest such share.
  double LeastOwnShare() const;

  ServerLimits& server_limits() { return server_limits_; }

  size_t server_count() const { return servers_.size(); }
  /// \returns the number of servers that have announced that they leave.
  size_t leaving_server_count() const;
  /// \returns the number of servers that want no requests for a time.
  size_t pausing_server_count(absl::Time now) const;

 private:
  /// A server with the data that is read for each request.
  struct Server {
    std::shared_ptr<const BackendServer> description;
    std::shared_ptr<ServerLoad> load;
    const ZoneMap::Zone* zone = nullptr;
    bool is_evacuated = false;
  };

  /// Data of a placement that is the same for all candidates. Times are in
  /// seconds, because the arithmetic of absl::Duration is slow.
  struct PlacementContext {
    const PlacementQuery& query;
    absl::Time now;
    double warm_work_s = 0;
    double cold_work_s = 0;
    double objective_left_s = 0;  ///< Time until the objective's deadline.
    /// Whether the service has recently received requests of a more urgent
    /// route.
    bool has_urgent_requests = false;
    /// The ranked servers of the object, the preferred server first. Empty if
    /// the servers do not cache the object.
    absl::InlinedVector<const ServerLoad*, 2 * kRankedServers> ranked;
  };

  struct Candidate {
    double load = 0;
    double round_trip_s = 0;
    double work_s = 0;      ///< Work time of each request at the server.
    double expected_s = 0;  ///< Expected time until the answer.
    double cost_s = 0;
    /// Whether the object is or will be cached.
    bool is_likely_cached = false;
  };

  struct ServiceLoad {
    double mean_work_s = 0;  ///< Mean warm work time of the requests.
    /// Part of the slots of servers without a limit that the demand uses.
    double utilisation = 1;
  };

  /// A notice of a server whose entry is not in the store.
  struct RetainedNotice {
    std::shared_ptr<const BackendServer> server;
    ServerNotice notice;
  };

  /// Retains the notices of servers that are no longer in the set: an entry
  /// that has lapsed may come back.
  void RetainNotices(const BackendSet& set);
  /// Applies the retained notice to a server whose entry has come back.
  void RestoreNotice(const Server& server);
  /// \returns the end of the first pause that a server of the query's regions
  /// asked for; nullopt if another reason prevents the request.
  std::optional<absl::Time> FirstPauseEnd(const PlacementQuery& query,
                                          absl::Span<const Server> servers,
                                          absl::Time now) const;
  void UpdateServer(Server* server,
                    const std::shared_ptr<const BackendServer>& description);
  /// \returns whether the server accepts any new requests.
  static bool IsAvailable(const Server& server, absl::Time now);
  bool IsUsable(const PlacementQuery& query,
                const Server& server,
                absl::Time now);
  /// \returns the number of requests per second that this instance may send to
  /// a cold server.
  int64_t ColdRequestRate(const ServerLoad& server);
  int64_t ComputeColdRequestRate(const ServerLoad& server) const;
  PlacementContext MakeContext(const PlacementQuery& query,
                               absl::Span<const Server> servers,
                               absl::Time now) const;
  static double LoadLimit(const PlacementContext& context,
                          const BackendServer& server,
                          const Candidate& candidate);
  bool HasRecentUrgentRequests(const PlacementQuery& query,
                               absl::Time now) const;
  static Candidate EvaluateCandidate(const PlacementContext& context,
                                     const Server& server);
  void RankServers(absl::Span<const Server> servers,
                   PlacementContext* context) const;
  /// \returns the number of objects that prefer the server, relative to a
  /// server without a limit.
  double ObjectShare(const PlacementContext& context,
                     const Server& server) const;
  /// \returns the slots of the server that requests can use.
  double UsableSlots(const Server& server,
                     const ServiceLoad& load,
                     absl::Time now) const;

  ZoneMap* zones_;
  std::string self_;
  std::shared_ptr<const RoutingConfig> config_ =
      std::make_shared<RoutingConfig>();
  std::vector<Server> servers_;  ///< Sorted by id.
  /// By server id.
  absl::flat_hash_map<std::string, RetainedNotice> retained_notices_;
  absl::flat_hash_map<std::string, std::vector<Server>> servers_by_service_;
  std::vector<InstanceRecord> instances_;
  /// Sum of the CPU shares of the live instances by region.
  std::map<std::string, double, std::less<>> cpu_share_by_region_;
  /// Cached results of ColdRequestRate() by server hash; cleared when
  /// instances, servers or the configuration change.
  absl::flat_hash_map<uint32_t, int64_t> cold_request_rates_;
  absl::flat_hash_map<std::string, RegionPlan> plans_;  ///< By service.
  absl::flat_hash_map<std::string, ServiceLoad> service_loads_;
  /// Time of the last request by service and priority.
  absl::flat_hash_map<std::string, std::map<int, absl::Time>>
      last_request_by_priority_;
  WorkTimes work_times_;
  ServerLimits server_limits_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_BALANCER_H_
