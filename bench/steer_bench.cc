// Compares the placement policy with plain baselines in a discrete-event model.
//
// Usage: steer_bench [seconds [deployment]]
// The model has arrivals, service times, slots and the delays of
// docs/design.md, section 1.2; it drives one steer::Engine for each instance
// through its public interface. Arrivals are open loop: refused callers do not
// come back. Service times are half fixed and half exponential. All random
// numbers are seeded, so a run is repeatable.

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

constexpr double kClientDelayS = 0.001;
constexpr double kServerDelayS = 0.0005;  ///< Within a zone, one way.
constexpr double kDeadEntryS = 0.2;       ///< Until a caller tries the next.
constexpr double kSuspicionS = 3;
constexpr double kWarmUpS = 5;
constexpr int kZones = 6;
constexpr int kRegions = 3;
constexpr int kCapPercent = 20;
constexpr std::array<int, kZones> kInstancesInZone = {2, 2, 2, 2, 1, 1};

struct ServiceModel {
  std::string name;
  std::string service_class;
  int servers;
  int slots;
  double mean_s;
  int64_t answer_bytes;
  double Capacity() const { return servers * slots / mean_s; }
};

struct Deployment {
  std::string name;
  std::string policy;
  std::array<std::string, kRegions> regions;
  double zone_delay_s;
  double region_delay_s;
  int link_mbit;
  std::vector<ServiceModel> services;
};

std::vector<Deployment> Deployments() {
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

std::vector<Policy> Policies() {
  std::vector<Policy> policies = {{"policy", {}}};
  PlacementRules plain;
  plain.adapts_limit = plain.ramps_cold = plain.refuses_late =
      plain.bounds_wait = plain.randomises = plain.uses_hysteresis =
          plain.backs_off_after_refusal = plain.queues_fairly = false;
  PlacementRules round_robin = plain;
  round_robin.backend_score = [](const BackendLoad& load) {
    return static_cast<double>(load.last_chosen);
  };
  policies.push_back({"round-robin", round_robin, 1'000});
  PlacementRules least = plain;
  least.backend_score = [](const BackendLoad& load) {
    return static_cast<double>(load.in_use);
  };
  policies.push_back({"least-in-flight", least, 1'000});
  PlacementRules open = plain;
  open.limits_slots = open.caps_moved = open.budgets_links = false;
  open.backend_score = least.backend_score;
  policies.push_back({"no-admission", open, 1'000});
  return policies;
}

struct Scenario {
  std::string name;
  double load = 1;
  bool is_zone_lost = false;
  bool is_cold = false;
  double report_interval_s = 1;
  double first_region_factor = 1;  ///< On the load of the first region.
};

struct Result {
  std::map<std::string, std::vector<double>> latencies;  ///< By class.
  std::map<std::string, std::vector<double>> by_service;
  int64_t arrived = 0;
  int64_t done = 0;
  int64_t wasted = 0;
  int64_t relayed = 0;
  int64_t moved = 0;
  std::array<double, kRegions> region_busy_s = {};
  double region_peak = 0;  ///< Most requests at servers, share of slots.
  double link_peak = 0;    ///< Most bytes in a second, share of the link.
};

double Percentile(std::vector<double>* values, double share) {
  if (values->empty()) {
    return 0;
  }
  const auto place = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values->size() - 1));
  std::nth_element(values->begin(), values->begin() + place, values->end());
  return *(values->begin() + place);
}

class Model {
 public:
  Model(const Deployment& deployment,
        const Policy& policy,
        const Scenario& scenario,
        double seconds)
      : deployment_(deployment),
        scenario_(scenario),
        end_s_(kWarmUpS + seconds),
        random_(11) {
    Configure();
    for (int zone = 0; zone < kZones; ++zone) {
      for (int i = 0; i < kInstancesInZone[zone]; ++i) {
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
        server.zone = i % kZones;
        server.index = i;
        server_index_[server.name] = servers_.size();
        servers_.push_back(std::move(server));
      }
    }
  }

  Result Run() {
    Report();
    for (size_t service = 0; service < deployment_.services.size(); ++service) {
      for (int zone = 0; zone < kZones; ++zone) {
        NextArrival(service, zone);
      }
    }
    Every(0.1, [this] { Tick(); });
    Every(scenario_.report_interval_s, [this] { Report(); });
    Every(1, [this] { CloseSecond(); });
    At(kWarmUpS, [this] { Disturb(); });
    while (!events_.empty() && events_.top().at < end_s_) {
      // The handler may add events, so it is moved out first.
      const auto handler = std::move(const_cast<Event&>(events_.top()).handler);
      now_s_ = events_.top().at;
      events_.pop();
      handler();
    }
    return std::move(result_);
  }

 private:
  struct Event {
    double at;
    int64_t order;
    std::function<void()> handler;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
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
    int64_t run = 0;  ///< Number of its run; 0 while it waits.
  };
  struct Server {
    std::string name;
    size_t service = 0;
    int zone = 0;
    int index = 0;
    std::vector<Job> running;
    std::deque<Job> waiting;
    double cold_since = -1;
    int served_cold = 0;
    bool is_alive = true;
  };
  struct Context {
    size_t service;
    double start;
    bool is_relayed = false;
    size_t parent = 0;
    RequestId parent_request = 0;
    AttemptId parent_attempt = 0;
  };

  absl::Time Now() const {
    return absl::UnixEpoch() + absl::Hours(1000) + absl::Seconds(now_s_);
  }
  static double ToModel(absl::Time time) {
    return absl::ToDoubleSeconds(time - absl::UnixEpoch() - absl::Hours(1000));
  }
  bool IsMeasured() const { return now_s_ >= kWarmUpS; }
  static int RegionOf(int zone) { return zone / 2; }
  std::string ZoneName(int zone) const {
    return absl::StrCat(deployment_.regions[RegionOf(zone)], "-",
                        zone % 2 == 0 ? "a" : "b");
  }
  double Delay(int a, int b) const {
    return a == b                       ? kServerDelayS
           : RegionOf(a) == RegionOf(b) ? deployment_.zone_delay_s
                                        : deployment_.region_delay_s;
  }
  double Exponential(double mean) {
    return -mean * std::log(1 - random_.Unit());
  }

  void At(double at, std::function<void()> handler) {
    events_.push({at, ++order_, std::move(handler)});
  }
  void Every(double interval, std::function<void()> handler) {
    At(now_s_ + interval, [this, interval, handler = std::move(handler)] {
      handler();
      Every(interval, handler);
    });
  }

  void Configure() {
    using model::Kind;
    model::ChangeBatch batch{"bench", {}};
    const auto declare = [&](Kind kind, std::string name, std::string spec) {
      batch.changes.push_back({{kind, std::move(name)}, std::move(spec), {}});
    };
    double rate = 0;
    for (const ServiceModel& service : deployment_.services) {
      rate += service.Capacity() / kRegions;
      declare(Kind::kService, service.name,
              absl::StrCat(R"({"tenant":")", deployment_.name, R"(","class":")",
                           service.service_class, R"(","policy":")",
                           deployment_.policy, "\"}"));
      for (int i = 0; i < service.servers; ++i) {
        declare(Kind::kBackendServer, absl::StrCat(service.name, i),
                absl::StrCat(R"({"service":")", service.name, R"(","zone":")",
                             ZoneName(i % kZones),
                             R"(","address":"10.0.0.1","port":1,"slots":)",
                             service.slots, "}"));
      }
    }
    moved_per_window_ = rate * 60 * kCapPercent / 100;
    for (int region = 0; region < kRegions; ++region) {
      const std::string& name = deployment_.regions[region];
      declare(Kind::kRegion, name,
              absl::StrCat(R"({"declaredRate":)", rate, "}"));
      declare(Kind::kCap, name,
              absl::StrCat(R"({"region":")", name, R"(","maxMovedPercent":)",
                           kCapPercent, R"(,"windowMs":60000})"));
      const std::string& next = deployment_.regions[(region + 1) % kRegions];
      declare(Kind::kLink, name + "-" + next,
              absl::StrCat(R"({"a":")", name, R"(","b":")", next,
                           R"(","mbitPerS":)", deployment_.link_mbit, "}"));
    }
    std::string blocks;
    for (int zone = 0; zone < kZones; ++zone) {
      declare(Kind::kZone, ZoneName(zone),
              absl::StrCat(R"({"region":")",
                           deployment_.regions[RegionOf(zone)], "\"}"));
      absl::StrAppend(&blocks, zone == 0 ? "" : ",", "\"", ZoneName(zone),
                      R"(":["10.)", zone + 1, R"(.0.0/16"])");
    }
    declare(Kind::kClientBlocks, "all",
            absl::StrCat(R"({"blocks":{)", blocks, "}}"));
    base::Findings findings;
    configuration_ = model::Configuration::Empty()->Apply(batch, 1, &findings);
    if (configuration_ == nullptr) {
      std::printf("%s\n", findings.ToString().c_str());
      std::exit(1);
    }
  }

  int Share(const Server& server, size_t instance) const {
    const int holders = kInstancesInZone[server.zone];
    int rank = 0;
    for (size_t i = 0; i < instance; ++i) {
      rank += instances_[i].zone == server.zone ? 1 : 0;
    }
    // The odd slots of a zone's servers go to its instances in turn.
    const int slots = deployment_.services[server.service].slots;
    const int turn = (rank + server.index / kZones) % holders;
    return slots / holders + (turn < slots % holders ? 1 : 0);
  }

  // Adds up what is in use, so that reports hold the mean since the last one.
  void Sample() {
    ++samples_;
    for (size_t i = 0; i < instances_.size(); ++i) {
      for (const Server& server : servers_) {
        if (server.zone == instances_[i].zone) {
          sampled_use_[{i, server.service}] +=
              instances_[i].engine->InUse(server.name);
        }
      }
    }
  }

  // What all instances hear of each other, and the snapshots from it.
  void Report() {
    Sample();
    std::vector<InstanceView> views;
    for (size_t i = 0; i < instances_.size(); ++i) {
      const Instance& instance = instances_[i];
      if (!instance.is_alive && now_s_ > kWarmUpS + kSuspicionS) {
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
            share += Share(server, i);
          }
        }
        view.utilisation[deployment_.services[service].name] =
            sampled_use_[{i, service}] / samples_ / std::max(1, share);
      }
      views.push_back(std::move(view));
    }
    samples_ = 0;
    sampled_use_.clear();
    for (size_t i = 0; i < instances_.size(); ++i) {
      if (instances_[i].is_alive) {
        PublishTo(i, views);
      }
    }
  }

  void PublishTo(size_t index, const std::vector<InstanceView>& views) {
    Instance& instance = instances_[index];
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->configuration = configuration_;
    snapshot->self = {instance.name, 1};
    snapshot->zone = ZoneName(instance.zone);
    snapshot->region = deployment_.regions[RegionOf(instance.zone)];
    snapshot->instances = views;
    snapshot->is_ready = true;
    const auto instances_in = [](int region) {
      return kInstancesInZone[2 * region] + kInstancesInZone[2 * region + 1];
    };
    const int all = static_cast<int>(instances_.size());
    const int own_region = RegionOf(instance.zone);
    for (int region = 0; region < kRegions; ++region) {
      snapshot->moved_shares[deployment_.regions[region]] =
          static_cast<int64_t>(moved_per_window_ /
                               (all - instances_in(region)));
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
      view.slot_share = Share(server, index);
      view.health = HealthStatus::kHealthy;
      if (server.cold_since >= 0) {
        view.ramp = std::min(1.0, 0.1 + 0.09 * (now_s_ - server.cold_since));
      }
      snapshot->backends.push_back(view);
    }
    snapshot->lookup_index = std::make_shared<LookupIndex>(*snapshot);
    lookup_snapshot_ = snapshot;
    Do(index, instance.engine->Publish(snapshot, Now()));
  }

  void Tick() {
    Sample();
    for (size_t i = 0; i < instances_.size(); ++i) {
      if (instances_[i].is_alive) {
        Do(i, instances_[i].engine->OnTick(Now()));
      }
    }
  }

  void Disturb() {
    for (Server& server : servers_) {
      if (scenario_.is_cold && server.index / kZones % 2 == 0) {
        server.cold_since = now_s_;
      }
    }
    if (!scenario_.is_zone_lost) {
      return;
    }
    for (Instance& instance : instances_) {
      instance.is_alive = instance.is_alive && instance.zone != 0;
    }
    for (Server& server : servers_) {
      server.is_alive = server.zone != 0;
    }
  }

  void CloseSecond() {
    for (auto& [pair, bytes] : link_bytes_) {
      if (IsMeasured()) {
        result_.link_peak = std::max(
            result_.link_peak, bytes / (deployment_.link_mbit * 125'000.0));
      }
      bytes = 0;
    }
  }

  void NextArrival(size_t service, int zone) {
    const double factor =
        RegionOf(zone) == 0 ? scenario_.first_region_factor : 1;
    const double rate = deployment_.services[service].Capacity() / kZones *
                        scenario_.load * factor;
    At(now_s_ + Exponential(1 / rate), [this, service, zone] {
      Arrive(service, zone);
      NextArrival(service, zone);
    });
  }

  void Arrive(size_t service, int zone) {
    if (IsMeasured()) {
      ++result_.arrived;
    }
    RequestArrival arrival;
    arrival.id = ++last_request_;
    arrival.service = deployment_.services[service].name;
    arrival.method = "GET";
    arrival.path = "/";
    arrival.client_address = absl::StrCat(
        "10.", zone + 1, ".", random_.Below(256), ".", random_.Below(256));
    const LookupAnswer answer = Lookup(*lookup_snapshot_, arrival.service,
                                       arrival.client_address, Now());
    double delay = kClientDelayS;
    for (const LookupEntry& entry : answer.entries) {
      const size_t index = IndexOf(entry.instance);
      if (!instances_[index].is_alive) {
        delay += kDeadEntryS;
        continue;
      }
      delay += Delay(zone, instances_[index].zone) - kServerDelayS;
      contexts_[arrival.id] = {service, now_s_};
      arrival.deadline = Now() + absl::Seconds(2);
      At(now_s_ + delay, [this, index, arrival] {
        if (instances_[index].is_alive) {
          Do(index, instances_[index].engine->OnArrival(arrival, Now()));
        }
      });
      return;
    }
  }

  size_t IndexOf(const std::string& name) const {
    for (size_t i = 0; i < instances_.size(); ++i) {
      if (instances_[i].name == name) {
        return i;
      }
    }
    return 0;
  }

  void Do(size_t index, const Actions& actions) {
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        Start(index, *start);
      } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
        Answer(index, answer->request,
               answer->outcome == base::Outcome::kNotRun
                   ? AttemptResult::kRefused
                   : AttemptResult::kBroken);
      }
    }
  }

  void Start(size_t index, const StartAttempt& start) {
    At(ToModel(start.deadline), [this, index, start] {
      if (End(index, start.request, start.attempt, AttemptResult::kTimedOut) &&
          start.target.type == Target::Type::kBackendServer) {
        Cancel(server_index_.at(start.target.name), start.attempt, index);
      }
    });
    if (start.target.type == Target::Type::kBackendServer) {
      const size_t server = server_index_.at(start.target.name);
      At(now_s_ + kServerDelayS, [this, index, server, start] {
        servers_[server].waiting.push_back(
            {index, start.request, start.attempt});
        Serve(server);
        NotePeak(RegionOf(servers_[server].zone));
      });
      return;
    }
    const size_t target = IndexOf(start.target.name);
    const Context context = contexts_[start.request];
    const double delay = Delay(instances_[index].zone, instances_[target].zone);
    if (IsMeasured()) {
      ++result_.relayed;
      result_.moved +=
          RegionOf(instances_[index].zone) != RegionOf(instances_[target].zone)
              ? 1
              : 0;
    }
    At(now_s_ + delay, [this, index, target, start, context, delay] {
      if (!instances_[target].is_alive) {
        At(now_s_ + delay, [this, index, start] {
          End(index, start.request, start.attempt,
              AttemptResult::kConnectFailed);
        });
        return;
      }
      RequestArrival arrival;
      arrival.id = ++last_request_;
      arrival.service = deployment_.services[context.service].name;
      arrival.method = "GET";
      arrival.path = "/";
      arrival.deadline = start.deadline;
      arrival.is_relayed = true;
      arrival.relayed_region = start.home_region;
      contexts_[arrival.id] = {context.service, context.start, true,
                               index,           start.request, start.attempt};
      Do(target, instances_[target].engine->OnArrival(arrival, Now()));
    });
  }

  void NotePeak(int region) {
    int slots = 0;
    int present = 0;
    for (const Server& server : servers_) {
      if (RegionOf(server.zone) == region && server.is_alive) {
        slots += deployment_.services[server.service].slots;
        present +=
            static_cast<int>(server.running.size() + server.waiting.size());
      }
    }
    if (IsMeasured()) {
      result_.region_peak =
          std::max(result_.region_peak, static_cast<double>(present) / slots);
    }
  }

  void Serve(size_t index) {
    Server& server = servers_[index];
    const ServiceModel& service = deployment_.services[server.service];
    while (server.is_alive &&
           static_cast<int>(server.running.size()) < service.slots &&
           !server.waiting.empty()) {
      Job job = server.waiting.front();
      server.waiting.pop_front();
      double run_s = service.mean_s / 2 + Exponential(service.mean_s / 2);
      if (server.cold_since >= 0) {
        run_s *= 1 + 3 * std::exp(-server.served_cold / 30.0);
        ++server.served_cold;
      }
      job.run = ++last_run_;
      server.running.push_back(job);
      if (IsMeasured()) {
        result_.region_busy_s[RegionOf(server.zone)] += run_s;
      }
      At(now_s_ + run_s, [this, index, job] {
        if (!Remove(&servers_[index].running, job)) {
          return;
        }
        Serve(index);
        At(now_s_ + kServerDelayS, [this, job] {
          if (!End(job.instance, job.request, job.attempt,
                   AttemptResult::kCompleted)) {
            result_.wasted += IsMeasured() ? 1 : 0;
          }
        });
      });
    }
  }

  template <typename Jobs>
  static bool Remove(Jobs* jobs, const Job& job) {
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

  // The server sees the closed connection: what it had begun is wasted.
  void Cancel(size_t index, AttemptId attempt, size_t instance) {
    Server& server = servers_[index];
    const Job job{instance, 0, attempt};
    if (!Remove(&server.waiting, job) && Remove(&server.running, job)) {
      result_.wasted += IsMeasured() ? 1 : 0;
      Serve(index);
    }
  }

  // Returns false if the attempt was over before.
  bool End(size_t index,
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
        deployment_.services[contexts_[request].service].answer_bytes;
    const Actions actions = instance.engine->OnAttemptEnd(end, Now());
    if (result == AttemptResult::kCompleted) {
      Answer(index, request, result);
    }
    Do(index, actions);
    return true;
  }

  void Answer(size_t index, RequestId request, AttemptResult result) {
    const auto found = contexts_.find(request);
    if (found == contexts_.end()) {
      return;
    }
    const Context context = found->second;
    contexts_.erase(found);
    const ServiceModel& service = deployment_.services[context.service];
    if (context.is_relayed) {
      const int from = instances_[index].zone;
      const int to = instances_[context.parent].zone;
      double delay = Delay(from, to);
      if (RegionOf(from) != RegionOf(to) &&
          result == AttemptResult::kCompleted) {
        const auto bytes = static_cast<double>(service.answer_bytes);
        link_bytes_[{RegionOf(from), RegionOf(to)}] += bytes;
        delay += bytes / (deployment_.link_mbit * 125'000.0);
      }
      At(now_s_ + delay, [this, context, result] {
        End(context.parent, context.parent_request, context.parent_attempt,
            result);
      });
      return;
    }
    if (result != AttemptResult::kCompleted || !IsMeasured()) {
      return;
    }
    ++result_.done;
    const double latency = now_s_ + kClientDelayS - context.start;
    result_.latencies[service.service_class].push_back(latency);
    result_.by_service[service.name].push_back(latency);
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
  std::map<RequestId, Context> contexts_;
  std::map<std::pair<int, int>, double> link_bytes_;
  std::priority_queue<Event> events_;
  std::map<std::pair<size_t, size_t>, double> sampled_use_;
  double samples_ = 0;
  int64_t order_ = 0;
  int64_t last_run_ = 0;
  RequestId last_request_ = 0;
  double now_s_ = 0;
  double moved_per_window_ = 0;
  Result result_;
};

double Capacity(const Deployment& deployment) {
  double capacity = 0;
  for (const ServiceModel& service : deployment.services) {
    capacity += service.Capacity();
  }
  return capacity;
}

/// \brief The best possible placement: one queue-less pool that knows all free
/// slots at once, takes the nearest, and refuses only when none is free.
/// \returns the median latency of a service in seconds.
double BestMedian(const Deployment& deployment,
                  const ServiceModel& service,
                  const Scenario& scenario,
                  double seconds) {
  using Releases =
      std::priority_queue<double, std::vector<double>, std::greater<>>;
  base::Random random(12);
  std::array<int, kZones> free = {};
  for (int i = 0; i < service.servers; ++i) {
    free[i % kZones] += service.slots;
  }
  std::array<Releases, kZones> releases;
  std::vector<std::pair<double, int>> arrivals;
  const auto exponential = [&random](double mean) {
    return -mean * std::log(1 - random.Unit());
  };
  for (int zone = 0; zone < kZones; ++zone) {
    const double rate = service.Capacity() / kZones * scenario.load *
                        (zone < 2 ? scenario.first_region_factor : 1);
    for (double at = 0; at < seconds; at += exponential(1 / rate)) {
      arrivals.emplace_back(at, zone);
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  std::vector<double> latencies;
  for (const auto& [at, home] : arrivals) {
    int best = -1;
    double best_delay = 0;
    for (int zone = 0; zone < kZones; ++zone) {
      while (!releases[zone].empty() && releases[zone].top() <= at) {
        releases[zone].pop();
        ++free[zone];
      }
      const double delay = zone == home           ? 0
                           : zone / 2 == home / 2 ? deployment.zone_delay_s
                                                  : deployment.region_delay_s;
      if (free[zone] > 0 && (best < 0 || delay < best_delay)) {
        best = zone;
        best_delay = delay;
      }
    }
    if (best < 0) {
      continue;
    }
    const double run = service.mean_s / 2 + exponential(service.mean_s / 2);
    --free[best];
    releases[best].push(at + run + best_delay + kServerDelayS);
    latencies.push_back(run + 2 * (best_delay + kClientDelayS + kServerDelayS));
  }
  return Percentile(&latencies, 0.5);
}

void PrintHead() {
  std::printf("%-9s %-15s %-10s %4s %6s %7s %6s %6s %6s %6s %5s %5s | %s\n",
              "where", "rules", "scenario", "load", "good%", "refus%", "waste",
              "relay%", "moved%", "region", "link", "head%",
              "ms p50/p99/p99.9: interactive, transactional, bulk");
}

/// \returns the free share of the slots in the fullest region, on average.
double Headroom(const Deployment& deployment,
                const Result& result,
                double seconds) {
  double slots = 0;
  for (const ServiceModel& service : deployment.services) {
    slots += service.servers * service.slots;
  }
  const double busiest = *std::max_element(result.region_busy_s.begin(),
                                           result.region_busy_s.end());
  return 1 - busiest / seconds / (slots / kRegions);
}

Result Show(const Deployment& deployment,
            const Policy& policy,
            const Scenario& scenario,
            double seconds) {
  Result result = Model(deployment, policy, scenario, seconds).Run();
  const auto percent = [&](int64_t part) {
    return 100.0 * static_cast<double>(part) /
           static_cast<double>(result.arrived);
  };
  std::printf(
      "%-9s %-15s %-10s %4.1f %6.1f %7.1f %6lld %6.1f %6.1f %6.2f %5.2f %5.1f "
      "|",
      deployment.name.c_str(), policy.name.c_str(), scenario.name.c_str(),
      scenario.load,
      100 * static_cast<double>(result.done) / seconds / Capacity(deployment),
      100 - percent(result.done), static_cast<long long>(result.wasted),
      percent(result.relayed), percent(result.moved), result.region_peak,
      result.link_peak, 100 * Headroom(deployment, result, seconds));
  for (const char* name : {"interactive", "transactional", "bulk"}) {
    std::vector<double>& values = result.latencies[name];
    std::printf(" %4.0f/%4.0f/%4.0f", 1e3 * Percentile(&values, 0.5),
                1e3 * Percentile(&values, 0.99),
                1e3 * Percentile(&values, 0.999));
  }
  std::printf("\n");
  std::fflush(stdout);
  return result;
}

void Aim(const char* what, double value, const char* bound, bool is_reached) {
  std::printf("aim: %-58s %6.3f (%s) %s\n", what, value, bound,
              is_reached ? "reached" : "NOT reached");
}

void CompareWithBest(const Deployment& deployment,
                     const Scenario& scenario,
                     double seconds,
                     Result* result) {
  for (const ServiceModel& service : deployment.services) {
    const double ratio = Percentile(&result->by_service[service.name], 0.5) /
                         BestMedian(deployment, service, scenario, seconds);
    Aim(absl::StrCat(service.name, ": p50 over the best placement's").c_str(),
        ratio, "at most 1.1", ratio <= 1.1);
  }
}

void Compare(const Deployment& deployment, double seconds) {
  PrintHead();
  double best = 0;
  double at_twice = 0;
  std::map<std::string, double> p99_half;
  for (const Policy& policy : Policies()) {
    for (const double load : {0.5, 0.8, 1.0, 1.5, 2.0, 4.0}) {
      const Scenario scenario{"even", load};
      Result result = Show(deployment, policy, scenario, seconds);
      if (policy.name != "policy") {
        continue;
      }
      if (load <= 1 && deployment.policy == "latency") {
        CompareWithBest(deployment, scenario, seconds, &result);
      }
      const auto goodput = static_cast<double>(result.done);
      best = std::max(best, goodput);
      at_twice = load == 2.0 ? goodput : at_twice;
      for (auto& [name, values] : result.latencies) {
        const double p99 = Percentile(&values, 0.99);
        if (load == 0.5) {
          p99_half[name] = p99;
        } else if (load == 2.0) {
          const double ratio = p99 / p99_half[name];
          Aim(absl::StrCat(name, ": p99 at 2 x over p99 at 0.5 x").c_str(),
              ratio, "at most 1.5", ratio <= 1.5);
        }
      }
    }
  }
  Aim("goodput at 2 x over the best", at_twice / best, "at least 0.95",
      at_twice >= 0.95 * best);
  const std::vector<Scenario> scenarios = {
      {"zone-lost", 0.7, true},
      {"zone-lost", 1.0, true},
      {"cold", 0.7, false, true},
      {"stale-5s", 0.9, false, false, 5},
      {"uneven", 0.7, false, false, 1, 1.6},
      {"uneven-5s", 0.7, false, false, 5, 1.6}};
  for (const Scenario& scenario : scenarios) {
    for (const Policy& policy : Policies()) {
      Result result = Show(deployment, policy, scenario, seconds);
      if (policy.name == "policy" && scenario.name == "uneven" &&
          deployment.policy == "latency") {
        CompareWithBest(deployment, scenario, seconds, &result);
      }
      if (policy.name == "policy" && scenario.is_zone_lost) {
        Aim("zone lost: most requests at a region's servers, of its slots",
            result.region_peak, "at most 1", result.region_peak <= 1);
      }
    }
  }
}

}  // namespace
}  // namespace baobabwall::steer

int main(int argc, char** argv) {
  const double seconds = argc > 1 ? std::atof(argv[1]) : 20;
  for (const auto& deployment : baobabwall::steer::Deployments()) {
    if (argc <= 2 || deployment.name == argv[2]) {
      baobabwall::steer::Compare(deployment, seconds);
    }
  }
  return 0;
}
