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

/// \brief A zone of the modelled deployment.
struct WorldZone {
  std::string name;
  std::string region;
  int instances = 1;
  int servers = 1;
  double requests_per_s = 10;
};

/// \brief Load and servers of one service.
struct WorldSettings {
  std::vector<WorldZone> zones;
  int slots = 5;
  int server_queue = 15;
  absl::Duration cold_work = absl::Milliseconds(480);
  /// Time of work of a remembered object, relative to cold_work.
  double warm_part = 0.3;
  size_t remembered_objects = 30;  ///< Of each server.
  int objects_per_region = 45;
  absl::Duration objective = absl::Milliseconds(400);
  absl::Duration caller_deadline = absl::Milliseconds(2500);
  absl::Duration route_timeout = absl::Milliseconds(1500);
  int priority = 2;
  bool is_idempotent = true;
  absl::Duration length = absl::Seconds(20);
  absl::Duration heartbeat = absl::Milliseconds(100);
  uint64_t seed = 1;
};

/// \brief Outcomes, of all callers or of one zone's.
struct WorldResult {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int failed = 0;
  int warm_runs = 0;
  int runs = 0;
  int runs_elsewhere = 0;  ///< In another region than the caller's.

  double InTimeShare() const { return Share(in_time, asked); }
  double RefusedShare() const { return Share(refused, asked); }
  double WarmShare() const { return Share(warm_runs, runs); }
  static double Share(int part, int whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / whole;
  }
};

/// \brief Event-driven model: callers, instances with real Steering, backend
/// servers that remember objects. No I/O, no clock, no threads.
///
/// Callers whose request is refused come back once, after Retry-After.
class GatewayWorld {
 public:
  explicit GatewayWorld(WorldSettings settings);

  /// \brief Changes a server at a time: its work takes `factor` times as long.
  void SlowServer(size_t server, double factor, absl::Duration at);
  /// \brief A server is gone from the registry and answers no more.
  void StopServer(size_t server, absl::Duration at);
  /// \brief Adds a request of a more urgent route of the service each
  /// `interval` at every instance.
  void AddUrgentTrickle(absl::Duration interval);

  void Run();

  WorldResult total() const;
  const std::map<std::string, WorldResult>& by_zone() const { return results_; }
  size_t server_count() const { return servers_.size(); }

 private:
  struct Server {
    BackendServer info;
    double factor = 1;
    bool is_stopped = false;
    int running = 0;
    std::deque<std::function<void()>> waiting;
    std::list<uint64_t> remembered;  ///< The latest first.
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
    absl::Time first_sent;
    absl::Time deadline;
    int tries = 0;
    bool is_urgent = false;
  };

  void At(absl::Time time, std::function<void()> action);
  void ScheduleNext(size_t zone);
  void Send(Call call);
  void Perform(size_t instance, SteeringActions actions);
  void StartAttempt(size_t instance, const gateway::StartAttempt& start);
  void RunAt(size_t server, uint64_t object, std::function<void(bool)> done);
  void EndRun(size_t server);
  void Finish(RequestId id, int status, std::optional<absl::Duration> retry);
  void PublishBackends();
  void Heartbeat();
  absl::Duration Distance(const std::string& a, const std::string& b) const;

  WorldSettings settings_;
  base::Random random_;
  absl::Time now_ = absl::FromUnixSeconds(1'000'000);
  absl::Time end_;
  std::multimap<absl::Time, std::function<void()>> events_;
  std::vector<Server> servers_;
  std::vector<Instance> instances_;
  std::map<std::string, std::string, std::less<>> regions_;
  std::map<RequestId, Call> calls_;
  std::map<std::string, WorldResult> results_;
  RequestId last_request_ = 0;
};

}  // namespace baobabwall::gateway

#endif  // TEST_GATEWAY_WORLD_H_
