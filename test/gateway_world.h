#ifndef TEST_GATEWAY_WORLD_H_
#define TEST_GATEWAY_WORLD_H_

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "base/base.h"
#include "gateway/gateway.h"

namespace baobabwall::gateway {

/// \brief A zone of the simulated deployment.
struct WorldZone {
  std::string name;
  std::string region;
  int instances = 1;
  int servers = 1;
  double requests_per_s = 10;
};

/// \brief Settings of the simulated service, its servers and its callers.
struct WorldSettings {
  std::vector<WorldZone> zones;
  int slots = 5;
  int server_queue = 15;
  absl::Duration cold_work = absl::Milliseconds(480);
  /// Work time of a cached object, relative to cold_work.
  double warm_work_ratio = 0.3;
  /// Number of objects that each server caches.
  size_t cached_objects_per_server = 30;
  int objects_per_region = 45;
  absl::Duration objective = absl::Milliseconds(400);
  absl::Duration caller_deadline = absl::Milliseconds(2500);
  absl::Duration route_timeout = absl::Milliseconds(1500);
  int priority = 2;
  bool is_idempotent = true;
  absl::Duration duration = absl::Seconds(20);
  absl::Duration heartbeat_interval = absl::Milliseconds(100);
  uint64_t seed = 1;
};

/// \brief Counts of request outcomes, for all callers or for the callers of one
/// zone.
struct WorldResult {
  int requests = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int failed = 0;
  int warm_runs = 0;
  int runs = 0;
  int runs_in_other_regions = 0;  ///< Runs outside the region of the caller.

  double InTimeShare() const { return Share(in_time, requests); }
  double RefusedShare() const { return Share(refused, requests); }
  double WarmShare() const { return Share(warm_runs, runs); }
  static double Share(int part, int total) {
    return total == 0 ? 0 : static_cast<double>(part) / total;
  }
};

/// \brief Discrete-event simulation of callers, instances with real Steering,
/// and backend servers that cache objects. Uses no I/O, clock or threads.
///
/// A caller whose request is refused retries once, after Retry-After.
class GatewayWorld {
 public:
  explicit GatewayWorld(WorldSettings settings);

  /// \brief Slows a server down at the given time: its work takes `work_factor`
  /// times as long.
  void SlowServer(size_t server, double work_factor, absl::Duration at);
  /// \brief Removes a server from the registry at the given time; the server
  /// stops answering.
  void StopServer(size_t server, absl::Duration at);
  /// \brief Adds a request of a more urgent route of the service at every
  /// instance, once per `interval`.
  void AddUrgentRequests(absl::Duration interval);

  void Run();

  WorldResult total() const;
  const std::map<std::string, WorldResult>& by_zone() const {
    return results_by_zone_;
  }
  size_t server_count() const { return servers_.size(); }

 private:
  struct Server {
    BackendServer info;
    double work_factor = 1;
    bool is_stopped = false;
    int running = 0;
    std::deque<std::function<void()>> waiting;
    std::list<uint64_t> cached_objects;  ///< Most recently used first.
  };

  struct Instance {
    InstanceRecord record;
    std::unique_ptr<ZoneMap> zones;
    std::unique_ptr<Steering> steering;
  };

  struct Call {
    size_t instance = 0;
    std::string zone;
    uint64_t object = 0;
    absl::Time first_sent_at;
    absl::Time deadline;
    int tries = 0;
    bool is_urgent = false;
  };

  void ScheduleAt(absl::Time time, std::function<void()> action);
  void ScheduleNext(size_t zone);
  void Send(Call call);
  void Perform(size_t instance, SteeringActions actions);
  void StartAttempt(size_t instance, const gateway::StartAttempt& start);
  void RunOnServer(size_t server,
                   uint64_t object,
                   std::function<void(bool)> done);
  void EndRun(size_t server);
  void Finish(RequestId id, int status, std::optional<absl::Duration> retry);
  void PublishBackends();
  void Heartbeat();
  /// All instances of a region follow the plans of its first instance.
  void AdoptPlans();
  absl::Duration OneWayDelay(const std::string& a, const std::string& b) const;

  WorldSettings settings_;
  base::Random random_;
  absl::Time now_ = absl::FromUnixSeconds(1'000'000);
  absl::Time end_;
  std::multimap<absl::Time, std::function<void()>> scheduled_events_;
  std::vector<Server> servers_;
  std::vector<Instance> instances_;
  std::map<std::string, std::string, std::less<>> regions_;
  std::map<RequestId, Call> calls_;
  std::map<std::string, WorldResult> results_by_zone_;
  RequestId last_request_ = 0;
};

}  // namespace baobabwall::gateway

#endif  // TEST_GATEWAY_WORLD_H_
