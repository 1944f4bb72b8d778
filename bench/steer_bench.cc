// Compares the placement policy with baseline policies in a discrete-event
// simulation.
//
// Usage: steer_bench [SECONDS [DEPLOYMENT]]
// The simulation uses the arrival rates, service times, slots and network
// delays of docs/design.md, section 1.2, and drives one steer::Engine per
// instance through the public interface. The load is open loop: refused callers
// do not retry. Half of the mean service time is constant and the other half is
// exponentially distributed. All random numbers are seeded, so a run is
// repeatable.

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "model/model.h"
#include "steer/steer.h"

namespace baobabwall::steer {
namespace {

constexpr double kClientDelaySeconds = 0.001;
constexpr double kServerDelaySeconds = 0.0005;  ///< One way, within a zone.
/// Time until a caller tries another instance if the first one is down.
constexpr double kConnectTimeoutSeconds = 0.2;
constexpr double kSuspicionTimeoutSeconds = 3;
constexpr double kWarmUpSeconds = 5;
constexpr int kZoneCount = 6;
constexpr int kRegionCount = 3;
constexpr int kMaxMovedPercent = 20;
constexpr std::array<int, kZoneCount> kInstancesPerZone = {2, 2, 2, 2, 1, 1};

struct ServiceModel {
  std::string name;
  std::string service_class;
  int servers;
  int slots;
  double mean_service_time_s;
  int64_t answer_bytes;
  double Capacity() const { return servers * slots / mean_service_time_s; }
};

struct Deployment {
  std::string name;
  std::string policy;
  std::array<std::string, kRegionCount> regions;
  double zone_delay_s;
  double region_delay_s;
  int link_mbit;
  std::vector<ServiceModel> services;
};

std::vector<Deployment> MakeDeployments() {
  return {{"cantaloma",
           "latency",
           {"amba", "cuyo", "litoral"},
           0.004,
           0.035,
           4'000,
           {{"disponible", "interactive", 16, 5, 0.040, 8'000},
            {"reservas", "transactional", 12, 3, 0.060, 2'000},
            {"cancionero", "bulk", 12, 3, 0.300, 1'000'000},
            {"boliches", "interactive", 12, 3, 0.030, 2'000}}},
          {"altyn",
           "headroom",
           {"almaty", "astana", "shymkent"},
           0.005,
           0.035,
           300,
           {{"catalogue", "interactive", 16, 5, 0.040, 8'000},
            {"orders", "transactional", 12, 4, 0.060, 2'000},
            {"patterns", "bulk", 12, 3, 0.300, 1'000'000},
            {"stock", "interactive", 12, 3, 0.030, 2'000}}}};
}

struct Policy {
  std::string name;
  PlacementRules rules;
  size_t queue_length = 64;
};

std::vector<Policy> MakePolicies() {
  std::vector<Policy> policies = {{"policy", {}}};
  PlacementRules baseline_rules;
  baseline_rules.adapts_limit = baseline_rules.ramps_cold =
      baseline_rules.refuses_late = baseline_rules.bounds_wait =
          baseline_rules.randomises = baseline_rules.uses_hysteresis =
              baseline_rules.backs_off_after_refusal =
                  baseline_rules.queues_fairly = false;
  PlacementRules round_robin_rules = baseline_rules;
  round_robin_rules.backend_score = [](const BackendLoad& load) {
    return static_cast<double>(load.last_chosen);
  };
  policies.push_back({"round-robin", round_robin_rules, 1'000});
  PlacementRules least_in_flight_rules = baseline_rules;
  least_in_flight_rules.backend_score = [](const BackendLoad& load) {
    return static_cast<double>(load.in_use);
  };
  policies.push_back({"least-in-flight", least_in_flight_rules, 1'000});
  PlacementRules no_admission_rules = baseline_rules;
  no_admission_rules.limits_slots = no_admission_rules.caps_moved =
      no_admission_rules.budgets_links = false;
  no_admission_rules.backend_score = least_in_flight_rules.backend_score;
  policies.push_back({"no-admission", no_admission_rules, 1'000});
  return policies;
}

struct Scenario {
  std::string name;
  double load = 1;
  bool has_zone_failure = false;
  bool has_cold_servers = false;
  double report_interval_s = 1;
  double first_region_factor = 1;  ///< Multiplies the load of region 0.
};

struct RunResult {
  /// Latencies in seconds by service class.
  std::map<std::string, std::vector<double>> latencies_by_class;
  std::map<std::string, std::vector<double>> latencies_by_service;
  int64_t arrived_count = 0;
  int64_t completed_count = 0;
  int64_t wasted_count = 0;
  int64_t relayed_count = 0;
  int64_t moved_count = 0;
  std::array<double, kRegionCount> region_busy_s = {};
  double region_peak_load = 0;  ///< Peak ratio of requests to slots.
  double link_peak_ratio = 0;   ///< Peak ratio of traffic to capacity.
};

double Percentile(std::vector<double>* values, double fraction) {
  if (values->empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(
      fraction * static_cast<double>(values->size() - 1));
  std::nth_element(values->begin(), values->begin() + index, values->end());
  return *(values->begin() + index);
}

class Simulation {
 public:
  Simulation(const Deployment& deployment,
             const Policy& policy,
             const Scenario& scenario,
             double seconds)
      : deployment_(deployment),
        scenario_(scenario),
        end_s_(kWarmUpSeconds + seconds),
        random_(11) {
    ApplyConfiguration();
    for (int zone = 0; zone < kZoneCount; ++zone) {
      for (int i = 0; i < kInstancesPerZone[zone]; ++i) {
        Instance instance;
        instance.zone = zone;
        instance.name = absl::StrCat("z", zone, "-", i);
        instance.engine = Engine::Builder()
                              .Seed(instances_.size() + 1)
                              .QueueLength(policy.queue_length)
                              .SetPlacementRules(policy.rules)
                              .Build();
        instances_.push_back(std::move(instance));
      }
    }
    for (size_t service = 0; service < deployment_.services.size(); ++service) {
      for (int i = 0; i < deployment_.services[service].servers; ++i) {
        Server server;
        server.name = absl::StrCat(deployment_.services[service].name, i);
        server.service = service;
        server.zone = i % kZoneCount;
        server.index = i;
        server_index_[server.name] = servers_.size();
        servers_.push_back(std::move(server));
      }
    }
  }

  RunResult Run() {
    PublishReports();
    for (size_t service = 0; service < deployment_.services.size(); ++service) {
      for (int zone = 0; zone < kZoneCount; ++zone) {
        ScheduleNextArrival(service, zone);
      }
    }
    ScheduleEvery(0.1, [this] { HandleTick(); });
    ScheduleEvery(scenario_.report_interval_s, [this] { PublishReports(); });
    ScheduleEvery(1, [this] { UpdateLinkPeak(); });
    ScheduleAt(kWarmUpSeconds, [this] { InjectFailures(); });
    while (!events_.empty() && events_.top().time_s < end_s_) {
      // The handler may push events to the queue, so the handler is moved out
      // of the queue before the call.
      const auto handler = std::move(const_cast<Event&>(events_.top()).handler);
      now_s_ = events_.top().time_s;
      events_.pop();
      handler();
    }
    return std::move(result_);
  }

 private:
  struct Event {
    double time_s;
    int64_t sequence;
    std::function<void()> handler;
    bool operator<(const Event& other) const {
      return time_s != other.time_s ? time_s > other.time_s
                                    : sequence > other.sequence;
    }
  };
  struct Instance {
    std::string name;
    int zone = 0;
    std::unique_ptr<Engine> engine;
    bool is_alive = true;
  };
  struct Job {
    size_t instance;
    RequestId request;
    AttemptId attempt;
    int64_t run_id = 0;  ///< 0 while the job waits for a slot.
  };
  struct Server {
    std::string name;
    size_t service = 0;
    int zone = 0;
    int index = 0;
    std::vector<Job> running;
    std::deque<Job> waiting;
    double cold_since_s = -1;
    int cold_request_count = 0;
    bool is_alive = true;
  };
  struct RequestContext {
    size_t service;
    double start;
    bool is_relayed = false;
    size_t parent_instance = 0;
    RequestId parent_request = 0;
    AttemptId parent_attempt = 0;
  };

  absl::Time SimulationTime() const {
    return absl::UnixEpoch() + absl::Hours(1000) + absl::Seconds(now_s_);
  }
  static double ToSimulationSeconds(absl::Time time) {
    return absl::ToDoubleSeconds(time - absl::UnixEpoch() - absl::Hours(1000));
  }
  bool IsAfterWarmUp() const { return now_s_ >= kWarmUpSeconds; }
  static int RegionOf(int zone) { return zone / 2; }
  std::string ZoneName(int zone) const {
    return absl::StrCat(deployment_.regions[RegionOf(zone)], "-",
                        zone % 2 == 0 ? "a" : "b");
  }
  double OneWayDelaySeconds(int a, int b) const {
    return a == b                       ? kServerDelaySeconds
           : RegionOf(a) == RegionOf(b) ? deployment_.zone_delay_s
                                        : deployment_.region_delay_s;
  }
  double RandomExponential(double mean) {
    return -mean * std::log(1 - random_.Unit());
  }

  void ScheduleAt(double time_s, std::function<void()> handler) {
    events_.push({time_s, ++last_event_sequence_, std::move(handler)});
  }
  void ScheduleEvery(double interval, std::function<void()> handler) {
    ScheduleAt(now_s_ + interval,
               [this, interval, handler = std::move(handler)] {
                 handler();
                 ScheduleEvery(interval, handler);
               });
  }

  void ApplyConfiguration() {
    using model::Kind;
    model::ChangeBatch batch{"bench", {}};
    const auto add_change = [&](Kind kind, std::string name, std::string spec) {
      batch.changes.push_back({{kind, std::move(name)}, std::move(spec), {}});
    };
    double rate = 0;
    for (const ServiceModel& service : deployment_.services) {
      rate += service.Capacity() / kRegionCount;
      add_change(Kind::kService, service.name,
                 absl::StrCat(R"({"tenant":")", deployment_.name,
                              R"(","class":")", service.service_class,
                              R"(","policy":")", deployment_.policy, "\"}"));
      for (int i = 0; i < service.servers; ++i) {
        add_change(Kind::kBackendServer, absl::StrCat(service.name, i),
                   absl::StrCat(R"({"service":")", service.name,
                                R"(","zone":")", ZoneName(i % kZoneCount),
                                R"(","address":"10.0.0.1","port":1,"slots":)",
                                service.slots, "}"));
      }
    }
    max_moved_per_window_ = rate * 60 * kMaxMovedPercent / 100;
    for (int region = 0; region < kRegionCount; ++region) {
      const std::string& name = deployment_.regions[region];
      add_change(Kind::kRegion, name,
                 absl::StrCat(R"({"declaredRate":)", rate, "}"));
      add_change(Kind::kCap, name,
                 absl::StrCat(R"({"region":")", name, R"(","maxMovedPercent":)",
                              kMaxMovedPercent, R"(,"windowMs":60000})"));
      const std::string& next =
          deployment_.regions[(region + 1) % kRegionCount];
      add_change(Kind::kLink, name + "-" + next,
                 absl::StrCat(R"({"a":")", name, R"(","b":")", next,
                              R"(","mbitPerS":)", deployment_.link_mbit, "}"));
    }
    std::string blocks;
    for (int zone = 0; zone < kZoneCount; ++zone) {
      add_change(Kind::kZone, ZoneName(zone),
                 absl::StrCat(R"({"region":")",
                              deployment_.regions[RegionOf(zone)], "\"}"));
      absl::StrAppend(&blocks, zone == 0 ? "" : ",", "\"", ZoneName(zone),
                      R"(":["10.)", zone + 1, R"(.0.0/16"])");
    }
    add_change(Kind::kClientBlocks, "all",
               absl::StrCat(R"({"blocks":{)", blocks, "}}"));
    base::Findings findings;
    configuration_ = model::Configuration::Empty()->Apply(batch, 1, &findings);
    if (configuration_ == nullptr) {
      std::printf("%s\n", findings.ToString().c_str());
      std::exit(1);
    }
  }

  int SlotShare(const Server& server, size_t instance) const {
    const int holders = kInstancesPerZone[server.zone];
    int rank = 0;
    for (size_t i = 0; i < instance; ++i) {
      rank += instances_[i].zone == server.zone ? 1 : 0;
    }
    // The remainder of the slots of each server goes to the instances of the
    // zone in rotation.
    const int slots = deployment_.services[server.service].slots;
    const int turn = (rank + server.index / kZoneCount) % holders;
    return slots / holders + (turn < slots % holders ? 1 : 0);
  }

  // Adds the slots in use to the sums, so that each report has the mean since
  // the previous report.
  void SampleSlotUse() {
    ++sample_count_;
    for (size_t i = 0; i < instances_.size(); ++i) {
      for (const Server& server : servers_) {
        if (server.zone == instances_[i].zone) {
          sampled_slot_use_[{i, server.service}] +=
              instances_[i].engine->InUse(server.name);
        }
      }
    }
  }

  // Publishes to each live instance a snapshot with the reports of all
  // instances.
  void PublishReports() {
    SampleSlotUse();
    std::vector<InstanceView> views;
    for (size_t i = 0; i < instances_.size(); ++i) {
      const Instance& instance = instances_[i];
      if (!instance.is_alive &&
          now_s_ > kWarmUpSeconds + kSuspicionTimeoutSeconds) {
        continue;
      }
      InstanceView view;
      view.id = {instance.name, 1};
      view.zone = ZoneName(instance.zone);
      view.region = deployment_.regions[RegionOf(instance.zone)];
      for (size_t service = 0; service < deployment_.services.size();
           ++service) {
        int share = 0;
        for (const Server& server : servers_) {
          if (server.zone == instance.zone && server.service == service) {
            share += SlotShare(server, i);
          }
        }
        view.utilisation[deployment_.services[service].name] =
            sampled_slot_use_[{i, service}] / sample_count_ /
            std::max(1, share);
      }
      views.push_back(std::move(view));
    }
    sample_count_ = 0;
    sampled_slot_use_.clear();
    for (size_t i = 0; i < instances_.size(); ++i) {
      if (instances_[i].is_alive) {
        PublishSnapshot(i, views);
      }
    }
  }

  void PublishSnapshot(size_t index, const std::vector<InstanceView>& views) {
    Instance& instance = instances_[index];
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->configuration = configuration_;
    snapshot->self = {instance.name, 1};
    snapshot->zone = ZoneName(instance.zone);
    snapshot->region = deployment_.regions[RegionOf(instance.zone)];
    snapshot->instances = views;
    snapshot->is_ready = true;
    const auto instances_in = [](int region) {
      return kInstancesPerZone[2 * region] + kInstancesPerZone[2 * region + 1];
    };
    const int instance_count = static_cast<int>(instances_.size());
    const int own_region = RegionOf(instance.zone);
    for (int region = 0; region < kRegionCount; ++region) {
      snapshot->moved_shares[deployment_.regions[region]] =
          static_cast<int64_t>(max_moved_per_window_ /
                               (instance_count - instances_in(region)));
    }
    for (const auto& [name, link] : configuration_->links()) {
      snapshot->link_shares[name] =
          link.mbit_per_s * 125'000 / instances_in(own_region);
    }
    for (const Server& server : servers_) {
      if (server.zone != instance.zone) {
        continue;
      }
      BackendView view;
      view.name = server.name;
      view.service = deployment_.services[server.service].name;
      view.slot_share = SlotShare(server, index);
      view.health = HealthStatus::kHealthy;
      if (server.cold_since_s >= 0) {
        view.ramp = std::min(1.0, 0.1 + 0.09 * (now_s_ - server.cold_since_s));
      }
      snapshot->backends.push_back(view);
    }
    snapshot->lookup_index = std::make_shared<LookupIndex>(*snapshot);
    lookup_snapshot_ = snapshot;
    ExecuteActions(index, instance.engine->Publish(snapshot, SimulationTime()));
  }

  void HandleTick() {
    SampleSlotUse();
    for (size_t i = 0; i < instances_.size(); ++i) {
      if (instances_[i].is_alive) {
        ExecuteActions(i, instances_[i].engine->OnTick(SimulationTime()));
      }
    }
  }

  void InjectFailures() {
    for (Server& server : servers_) {
      if (scenario_.has_cold_servers && server.index / kZoneCount % 2 == 0) {
        server.cold_since_s = now_s_;
      }
    }
    if (!scenario_.has_zone_failure) {
      return;
    }
    for (Instance& instance : instances_) {
      instance.is_alive = instance.is_alive && instance.zone != 0;
    }
    for (Server& server : servers_) {
      server.is_alive = server.zone != 0;
    }
  }

  void UpdateLinkPeak() {
    for (auto& [pair, bytes] : link_bytes_in_second_) {
      if (IsAfterWarmUp()) {
        result_.link_peak_ratio =
            std::max(result_.link_peak_ratio,
                     bytes / (deployment_.link_mbit * 125'000.0));
      }
      bytes = 0;
    }
  }

  void ScheduleNextArrival(size_t service, int zone) {
    const double factor =
        RegionOf(zone) == 0 ? scenario_.first_region_factor : 1;
    const double rate = deployment_.services[service].Capacity() / kZoneCount *
                        scenario_.load * factor;
    ScheduleAt(now_s_ + RandomExponential(1 / rate), [this, service, zone] {
      HandleArrival(service, zone);
      ScheduleNextArrival(service, zone);
    });
  }

  void HandleArrival(size_t service, int zone) {
    if (IsAfterWarmUp()) {
      ++result_.arrived_count;
    }
    RequestArrival arrival;
    arrival.id = ++last_request_id_;
    arrival.service = deployment_.services[service].name;
    arrival.method = "GET";
    arrival.path = "/";
    arrival.client_address = absl::StrCat(
        "10.", zone + 1, ".", random_.Below(256), ".", random_.Below(256));
    const LookupAnswer answer =
        Lookup(*lookup_snapshot_, arrival.service, arrival.client_address,
               SimulationTime());
    double delay = kClientDelaySeconds;
    for (const LookupEntry& entry : answer.entries) {
      const size_t index = InstanceIndex(entry.instance);
      if (!instances_[index].is_alive) {
        delay += kConnectTimeoutSeconds;
        continue;
      }
      delay += OneWayDelaySeconds(zone, instances_[index].zone) -
               kServerDelaySeconds;
      request_contexts_[arrival.id] = {service, now_s_};
      arrival.deadline = SimulationTime() + absl::Seconds(2);
      ScheduleAt(now_s_ + delay, [this, index, arrival] {
        if (instances_[index].is_alive) {
          ExecuteActions(index, instances_[index].engine->OnArrival(
                                    arrival, SimulationTime()));
        }
      });
      return;
    }
  }

  size_t InstanceIndex(const std::string& name) const {
    for (size_t i = 0; i < instances_.size(); ++i) {
      if (instances_[i].name == name) {
        return i;
      }
    }
    return 0;
  }

  void ExecuteActions(size_t index, const Actions& actions) {
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        ExecuteAttempt(index, *start);
      } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
        HandleAnswer(index, answer->request,
                     answer->outcome == base::Outcome::kNotRun
                         ? AttemptResult::kRefused
                         : AttemptResult::kBroken);
      }
    }
  }

  void ExecuteAttempt(size_t index, const StartAttempt& start) {
    ScheduleAt(ToSimulationSeconds(start.deadline), [this, index, start] {
      if (EndAttempt(index, start.request, start.attempt,
                     AttemptResult::kTimedOut) &&
          start.target.type == Target::Type::kBackendServer) {
        CancelJob(server_index_.at(start.target.name), start.attempt, index);
      }
    });
    if (start.target.type == Target::Type::kBackendServer) {
      const size_t server = server_index_.at(start.target.name);
      ScheduleAt(now_s_ + kServerDelaySeconds, [this, index, server, start] {
        servers_[server].waiting.push_back(
            {index, start.request, start.attempt});
        StartWaitingJobs(server);
        UpdateRegionPeak(RegionOf(servers_[server].zone));
      });
      return;
    }
    const size_t target = InstanceIndex(start.target.name);
    const RequestContext context = request_contexts_[start.request];
    const double delay =
        OneWayDelaySeconds(instances_[index].zone, instances_[target].zone);
    if (IsAfterWarmUp()) {
      ++result_.relayed_count;
      result_.moved_count +=
          RegionOf(instances_[index].zone) != RegionOf(instances_[target].zone)
              ? 1
              : 0;
    }
    ScheduleAt(now_s_ + delay, [this, index, target, start, context, delay] {
      if (!instances_[target].is_alive) {
        ScheduleAt(now_s_ + delay, [this, index, start] {
          EndAttempt(index, start.request, start.attempt,
                     AttemptResult::kConnectFailed);
        });
        return;
      }
      RequestArrival arrival;
      arrival.id = ++last_request_id_;
      arrival.service = deployment_.services[context.service].name;
      arrival.method = "GET";
      arrival.path = "/";
      arrival.deadline = start.deadline;
      arrival.is_relayed = true;
      arrival.relayed_region = start.home_region;
      request_contexts_[arrival.id] = {
          context.service, context.start, true,
          index,           start.request, start.attempt};
      ExecuteActions(target, instances_[target].engine->OnArrival(
                                 arrival, SimulationTime()));
    });
  }

  void UpdateRegionPeak(int region) {
    int slots = 0;
    int request_count = 0;
    for (const Server& server : servers_) {
      if (RegionOf(server.zone) == region && server.is_alive) {
        slots += deployment_.services[server.service].slots;
        request_count +=
            static_cast<int>(server.running.size() + server.waiting.size());
      }
    }
    if (IsAfterWarmUp()) {
      result_.region_peak_load = std::max(
          result_.region_peak_load, static_cast<double>(request_count) / slots);
    }
  }

  void StartWaitingJobs(size_t index) {
    Server& server = servers_[index];
    const ServiceModel& service = deployment_.services[server.service];
    while (server.is_alive &&
           static_cast<int>(server.running.size()) < service.slots &&
           !server.waiting.empty()) {
      Job job = server.waiting.front();
      server.waiting.pop_front();
      double service_time_s =
          service.mean_service_time_s / 2 +
          RandomExponential(service.mean_service_time_s / 2);
      if (server.cold_since_s >= 0) {
        service_time_s *= 1 + 3 * std::exp(-server.cold_request_count / 30.0);
        ++server.cold_request_count;
      }
      job.run_id = ++last_run_id_;
      server.running.push_back(job);
      if (IsAfterWarmUp()) {
        result_.region_busy_s[RegionOf(server.zone)] += service_time_s;
      }
      ScheduleAt(now_s_ + service_time_s, [this, index, job] {
        if (!RemoveJob(&servers_[index].running, job)) {
          return;
        }
        StartWaitingJobs(index);
        ScheduleAt(now_s_ + kServerDelaySeconds, [this, job] {
          if (!EndAttempt(job.instance, job.request, job.attempt,
                          AttemptResult::kCompleted)) {
            result_.wasted_count += IsAfterWarmUp() ? 1 : 0;
          }
        });
      });
    }
  }

  template <typename Jobs>
  static bool RemoveJob(Jobs* jobs, const Job& job) {
    const auto found =
        std::find_if(jobs->begin(), jobs->end(), [&](const Job& candidate) {
          return candidate.instance == job.instance &&
                 candidate.attempt == job.attempt;
        });
    if (found == jobs->end()) {
      return false;
    }
    jobs->erase(found);
    return true;
  }

  // The server detects the closed connection. The work on a running job is
  // wasted.
  void CancelJob(size_t index, AttemptId attempt, size_t instance) {
    Server& server = servers_[index];
    const Job job{instance, 0, attempt};
    if (!RemoveJob(&server.waiting, job) && RemoveJob(&server.running, job)) {
      result_.wasted_count += IsAfterWarmUp() ? 1 : 0;
      StartWaitingJobs(index);
    }
  }

  // Returns false if the attempt had ended before.
  bool EndAttempt(size_t index,
                  RequestId request,
                  AttemptId attempt,
                  AttemptResult result) {
    Instance& instance = instances_[index];
    if (!instance.is_alive ||
        !instance.engine->OnAnswerStart(request, attempt)) {
      return false;
    }
    AttemptEnd end;
    end.request = request;
    end.attempt = attempt;
    end.result = result;
    end.status = 200;
    end.answer_bytes =
        deployment_.services[request_contexts_[request].service].answer_bytes;
    const Actions actions =
        instance.engine->OnAttemptEnd(end, SimulationTime());
    if (result == AttemptResult::kCompleted) {
      HandleAnswer(index, request, result);
    }
    ExecuteActions(index, actions);
    return true;
  }

  void HandleAnswer(size_t index, RequestId request, AttemptResult result) {
    const auto found = request_contexts_.find(request);
    if (found == request_contexts_.end()) {
      return;
    }
    const RequestContext context = found->second;
    request_contexts_.erase(found);
    const ServiceModel& service = deployment_.services[context.service];
    if (context.is_relayed) {
      const int from = instances_[index].zone;
      const int to = instances_[context.parent_instance].zone;
      double delay = OneWayDelaySeconds(from, to);
      if (RegionOf(from) != RegionOf(to) &&
          result == AttemptResult::kCompleted) {
        const auto bytes = static_cast<double>(service.answer_bytes);
        link_bytes_in_second_[{RegionOf(from), RegionOf(to)}] += bytes;
        delay += bytes / (deployment_.link_mbit * 125'000.0);
      }
      ScheduleAt(now_s_ + delay, [this, context, result] {
        EndAttempt(context.parent_instance, context.parent_request,
                   context.parent_attempt, result);
      });
      return;
    }
    if (result != AttemptResult::kCompleted || !IsAfterWarmUp()) {
      return;
    }
    ++result_.completed_count;
    const double latency = now_s_ + kClientDelaySeconds - context.start;
    result_.latencies_by_class[service.service_class].push_back(latency);
    result_.latencies_by_service[service.name].push_back(latency);
  }

  const Deployment& deployment_;
  const Scenario& scenario_;
  double end_s_;
  base::Random random_;
  std::shared_ptr<const model::Configuration> configuration_;
  std::shared_ptr<const Snapshot> lookup_snapshot_;
  std::vector<Instance> instances_;
  std::vector<Server> servers_;
  std::map<std::string, size_t> server_index_;
  std::map<RequestId, RequestContext> request_contexts_;
  std::map<std::pair<int, int>, double> link_bytes_in_second_;
  std::priority_queue<Event> events_;
  std::map<std::pair<size_t, size_t>, double> sampled_slot_use_;
  double sample_count_ = 0;
  int64_t last_event_sequence_ = 0;
  int64_t last_run_id_ = 0;
  RequestId last_request_id_ = 0;
  double now_s_ = 0;
  double max_moved_per_window_ = 0;
  RunResult result_;
};

double TotalCapacity(const Deployment& deployment) {
  double capacity = 0;
  for (const ServiceModel& service : deployment.services) {
    capacity += service.Capacity();
  }
  return capacity;
}

/// \brief Simulates the best possible placement: a single pool without a queue
/// that has the current number of free slots of all zones, places each request
/// at the nearest free slot, and refuses a request only if no slot is free.
/// \returns the median latency of a service in seconds.
double BestMedianLatencySeconds(const Deployment& deployment,
                                const ServiceModel& service,
                                const Scenario& scenario,
                                double seconds) {
  using ReleaseTimes =
      std::priority_queue<double, std::vector<double>, std::greater<>>;
  base::Random random(12);
  std::array<int, kZoneCount> free_slots = {};
  for (int i = 0; i < service.servers; ++i) {
    free_slots[i % kZoneCount] += service.slots;
  }
  std::array<ReleaseTimes, kZoneCount> release_times;
  std::vector<std::pair<double, int>> arrivals;
  const auto exponential = [&random](double mean) {
    return -mean * std::log(1 - random.Unit());
  };
  for (int zone = 0; zone < kZoneCount; ++zone) {
    const double rate = service.Capacity() / kZoneCount * scenario.load *
                        (zone < 2 ? scenario.first_region_factor : 1);
    for (double time_s = 0; time_s < seconds; time_s += exponential(1 / rate)) {
      arrivals.emplace_back(time_s, zone);
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  std::vector<double> latencies;
  for (const auto& [time_s, home_zone] : arrivals) {
    int best_zone = -1;
    double best_delay = 0;
    for (int zone = 0; zone < kZoneCount; ++zone) {
      while (!release_times[zone].empty() &&
             release_times[zone].top() <= time_s) {
        release_times[zone].pop();
        ++free_slots[zone];
      }
      const double delay = zone == home_zone ? 0
                           : zone / 2 == home_zone / 2
                               ? deployment.zone_delay_s
                               : deployment.region_delay_s;
      if (free_slots[zone] > 0 && (best_zone < 0 || delay < best_delay)) {
        best_zone = zone;
        best_delay = delay;
      }
    }
    if (best_zone < 0) {
      continue;
    }
    const double service_time_s = service.mean_service_time_s / 2 +
                                  exponential(service.mean_service_time_s / 2);
    --free_slots[best_zone];
    release_times[best_zone].push(time_s + service_time_s + best_delay +
                                  kServerDelaySeconds);
    latencies.push_back(service_time_s + 2 * (best_delay + kClientDelaySeconds +
                                              kServerDelaySeconds));
  }
  return Percentile(&latencies, 0.5);
}

void PrintHeader() {
  std::printf("%-9s %-15s %-10s %4s %6s %7s %6s %6s %6s %6s %5s %5s | %s\n",
              "deploy", "policy", "scenario", "load", "good%", "refus%",
              "waste", "relay%", "moved%", "region", "link", "free%",
              "ms p50/p99/p99.9: interactive, transactional, bulk");
}

/// \returns the mean ratio of free slots to all slots in the busiest region.
double Headroom(const Deployment& deployment,
                const RunResult& result,
                double seconds) {
  double slots = 0;
  for (const ServiceModel& service : deployment.services) {
    slots += service.servers * service.slots;
  }
  const double max_region_busy_s = *std::max_element(
      result.region_busy_s.begin(), result.region_busy_s.end());
  return 1 - max_region_busy_s / seconds / (slots / kRegionCount);
}

RunResult RunAndPrint(const Deployment& deployment,
                      const Policy& policy,
                      const Scenario& scenario,
                      double seconds) {
  RunResult result = Simulation(deployment, policy, scenario, seconds).Run();
  const auto percent = [&](int64_t part) {
    return 100.0 * static_cast<double>(part) /
           static_cast<double>(result.arrived_count);
  };
  std::printf(
      "%-9s %-15s %-10s %4.1f %6.1f %7.1f %6lld %6.1f %6.1f %6.2f %5.2f %5.1f "
      "|",
      deployment.name.c_str(), policy.name.c_str(), scenario.name.c_str(),
      scenario.load,
      100 * static_cast<double>(result.completed_count) / seconds /
          TotalCapacity(deployment),
      100 - percent(result.completed_count),
      static_cast<long long>(result.wasted_count),
      percent(result.relayed_count), percent(result.moved_count),
      result.region_peak_load, result.link_peak_ratio,
      100 * Headroom(deployment, result, seconds));
  for (const char* name : {"interactive", "transactional", "bulk"}) {
    std::vector<double>& values = result.latencies_by_class[name];
    std::printf(" %4.0f/%4.0f/%4.0f", 1e3 * Percentile(&values, 0.5),
                1e3 * Percentile(&values, 0.99),
                1e3 * Percentile(&values, 0.999));
  }
  std::printf("\n");
  std::fflush(stdout);
  return result;
}

void PrintTarget(const char* description,
                 double value,
                 const char* bound,
                 bool is_met) {
  std::printf("target: %-58s %6.3f (%s) %s\n", description, value, bound,
              is_met ? "met" : "NOT met");
}

void CompareWithBestPlacement(const Deployment& deployment,
                              const Scenario& scenario,
                              double seconds,
                              RunResult* result) {
  for (const ServiceModel& service : deployment.services) {
    const double ratio =
        Percentile(&result->latencies_by_service[service.name], 0.5) /
        BestMedianLatencySeconds(deployment, service, scenario, seconds);
    PrintTarget(
        absl::StrCat(service.name, ": ratio of p50 to best placement").c_str(),
        ratio, "at most 1.1", ratio <= 1.1);
  }
}

void ComparePolicies(const Deployment& deployment, double seconds) {
  PrintHeader();
  double max_goodput = 0;
  double goodput_at_double_load = 0;
  std::map<std::string, double> p99_at_half_load;
  for (const Policy& policy : MakePolicies()) {
    for (const double load : {0.5, 0.8, 1.0, 1.5, 2.0, 4.0}) {
      const Scenario scenario{"even", load};
      RunResult result = RunAndPrint(deployment, policy, scenario, seconds);
      if (policy.name != "policy") {
        continue;
      }
      if (load <= 1 && deployment.policy == "latency") {
        CompareWithBestPlacement(deployment, scenario, seconds, &result);
      }
      const auto goodput = static_cast<double>(result.completed_count);
      max_goodput = std::max(max_goodput, goodput);
      goodput_at_double_load = load == 2.0 ? goodput : goodput_at_double_load;
      for (auto& [name, values] : result.latencies_by_class) {
        const double p99 = Percentile(&values, 0.99);
        if (load == 0.5) {
          p99_at_half_load[name] = p99;
        } else if (load == 2.0) {
          const double ratio = p99 / p99_at_half_load[name];
          PrintTarget(
              absl::StrCat(name, ": ratio of p99 at 2 x to p99 at 0.5 x load")
                  .c_str(),
              ratio, "at most 1.5", ratio <= 1.5);
        }
      }
    }
  }
  PrintTarget("ratio of goodput at 2 x load to maximum goodput",
              goodput_at_double_load / max_goodput, "at least 0.95",
              goodput_at_double_load >= 0.95 * max_goodput);
  const std::vector<Scenario> scenarios = {
      {"zone-down", 0.7, true},
      {"zone-down", 1.0, true},
      {"cold", 0.7, false, true},
      {"stale-5s", 0.9, false, false, 5},
      {"uneven", 0.7, false, false, 1, 1.6},
      {"uneven-5s", 0.7, false, false, 5, 1.6}};
  for (const Scenario& scenario : scenarios) {
    for (const Policy& policy : MakePolicies()) {
      RunResult result = RunAndPrint(deployment, policy, scenario, seconds);
      if (policy.name == "policy" && scenario.name == "uneven" &&
          deployment.policy == "latency") {
        CompareWithBestPlacement(deployment, scenario, seconds, &result);
      }
      if (policy.name == "policy" && scenario.has_zone_failure) {
        PrintTarget("zone down: peak ratio of requests to slots in a region",
                    result.region_peak_load, "at most 1",
                    result.region_peak_load <= 1);
      }
    }
  }
}

}  // namespace
}  // namespace baobabwall::steer

int main(int argc, char** argv) {
  const double seconds = argc > 1 ? std::atof(argv[1]) : 20;
  for (const auto& deployment : baobabwall::steer::MakeDeployments()) {
    if (argc <= 2 || deployment.name == argv[2]) {
      baobabwall::steer::ComparePolicies(deployment, seconds);
    }
  }
  return 0;
}
