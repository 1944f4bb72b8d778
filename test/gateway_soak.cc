// Randomized soak of real gateway processes under faults from outside.
//   gateway_soak --seed=N --seconds=N [--instances=N]
// With more than eight instances a few read the store for the others.
// Prints the seed, the faults in order, and each broken promise; ends with 1 if
// there is any.

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "base/base.h"
#include "gateway_fleet.h"
#include "loopback_proxy.h"

ABSL_FLAG(uint64_t, seed, 1, "seed of the faults");
ABSL_FLAG(int, seconds, 20, "time during which faults come");
ABSL_FLAG(int, instances, 3, "gateway processes");

namespace baobabwall::test {
namespace {

constexpr int kCallers = 5;
/// After the last fault, requests must succeed within this time.
constexpr absl::Duration kRecovery = absl::Seconds(15);
/// Then a configuration must be in force within this time.
constexpr absl::Duration kConfigBound = absl::Milliseconds(2500);
/// First version with the route /later/.
constexpr int kLaterVersion = 10;
/// Requests in a row that must succeed then.
constexpr int kGoodInRow = 20;

struct Sent {
  bool is_booking = false;
  int status = 0;
};

class Soak {
 public:
  Soak(uint64_t seed, int instances)
      : random_(seed),
        instances_(instances),
        fleet_(absl::StrCat("soak-", seed)),
        store_proxy_(fleet_.platform().store_port()),
        started_(absl::Now()) {
    fleet_.SetStorePort(store_proxy_.port());
    fleet_.platform().SetAnnouncedPort([this](int port) {
      backend_proxies_.push_back(std::make_unique<LoopbackProxy>(port));
      return backend_proxies_.back()->port();
    });
    fleet_.PutConfig(version_);
    for (int i = 0; i < 4; ++i) {
      AddBackend();
    }
    for (int i = 0; i < instances_; ++i) {
      fleet_.Start(Name(i), i % 3 < 2 ? "a-1" : "a-2");
    }
    for (int i = 0; i < instances_; ++i) {
      Expect(fleet_.WaitReady(Name(i)),
             absl::StrCat(Name(i), " is ready at the start"));
    }
  }

  int Run(absl::Duration length) {
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i] { CallOn(i); });
    }
    const absl::Time end = absl::Now() + length;
    while (absl::Now() < end) {
      absl::SleepFor(absl::Milliseconds(100 + random_.Below(600)));
      Fault();
    }
    EndFaults();
    CheckRecovery();
    CheckConfiguration();
    is_stopping_ = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    CheckRuns();
    CheckLogs();
    std::cout << "requests=" << sent_.size() << " faults=" << faults_
              << " broken=" << broken_ << "\n";
    return broken_ == 0 ? 0 : 1;
  }

 private:
  static std::string Name(int i) { return absl::StrCat("instance-", i); }

  void Note(const std::string& what) {
    std::cout << absl::ToDoubleSeconds(absl::Now() - started_) << " " << what
              << std::endl;
  }

  void Expect(bool is_kept, const std::string& promise) {
    if (!is_kept) {
      std::lock_guard<std::mutex> lock(mutex_);
      ++broken_;
      Note(absl::StrCat("BROKEN: ", promise));
    }
  }

  void AddBackend() {
    ++last_backend_;
    const std::string server = absl::StrCat("server-", last_backend_);
    fleet_.platform().AddBackend(server, "s",
                                 last_backend_ % 2 == 0 ? "a-1" : "a-2",
                                 absl::Milliseconds(5 + random_.Below(40)));
    live_.push_back(server);
  }

  /// Sends requests until the end and checks each answer.
  void CallOn(int caller) {
    base::Random random(1000 + caller);
    for (int i = 0; !is_stopping_; ++i) {
      const std::string id = absl::StrCat("id-", caller, "-", i);
      const bool is_booking = random.Below(2) == 0;
      const int instance = static_cast<int>(random.Below(instances_));
      const CallerAnswer answer =
          Call(fleet_.caller_port(Name(instance)), is_booking ? "POST" : "GET",
               is_booking ? "/book/x" : "/read/x",
               {absl::StrCat("X-Request-Id: ", id), "X-Deadline-Ms: 1500",
                absl::StrCat("Cookie: X-Affinity-Key=", random.Below(20))},
               is_booking ? absl::StrCat("card=", id) : "");
      if (answer.status == 200) {
        Expect(answer.is_signed, absl::StrCat(id, " has its signature"));
        Expect(absl::StrContains(answer.body, absl::StrCat(" ran ", id, " ")),
               absl::StrCat(id, " got its own answer: ", answer.body));
      }
      Expect(answer.status != 404, absl::StrCat(id, " is not denied"));
      std::lock_guard<std::mutex> lock(mutex_);
      sent_[id] = {is_booking, answer.status};
    }
  }

  void Fault() {
    ++faults_;
    const int instance = static_cast<int>(random_.Below(instances_));
    ChildProcess& process = fleet_.process(Name(instance));
    switch (random_.Below(14)) {
      case 0:
        Note(absl::StrCat("kill ", instance));
        process.Signal(SIGKILL);
        process.Wait();
        fleet_.Restart(Name(instance));
        break;
      case 1:
        Note(absl::StrCat("planned stop ", instance));
        process.Signal(SIGCONT);
        process.Signal(SIGTERM);
        Expect(process.Wait() == 0, "a planned stop ends with 0");
        fleet_.Restart(Name(instance));
        break;
      case 2:
        Note(absl::StrCat("pause ", instance));
        process.Signal(SIGSTOP);
        absl::SleepFor(absl::Milliseconds(200 + random_.Below(2500)));
        process.Signal(SIGCONT);
        break;
      case 3:
        Note("reload");
        process.Signal(SIGHUP);
        break;
      case 4:
      case 5: {
        const StoreMode modes[] = {StoreMode::kUp, StoreMode::kRefusing,
                                   StoreMode::kSilent,
                                   StoreMode::kLosesAnswers};
        const size_t mode = random_.Below(4);
        Note(absl::StrCat("store mode ", mode));
        fleet_.platform().SetStoreMode(modes[mode]);
        break;
      }
      case 6: {
        const ProxyMode modes[] = {ProxyMode::kPass, ProxyMode::kDelay,
                                   ProxyMode::kSilent, ProxyMode::kDropReplies};
        const size_t mode = random_.Below(4);
        Note(absl::StrCat("store connections mode ", mode));
        store_proxy_.SetMode(modes[mode]);
        break;
      }
      case 7:
        Note("store connections reset");
        store_proxy_.Reset();
        break;
      case 8:
        Note("history forgotten");
        fleet_.platform().ForgetHistory();
        break;
      case 9:
        Note("configuration");
        fleet_.PutConfig(++version_);
        break;
      case 10:
        ReplaceBackend();
        break;
      case 11:
      case 12:
        HarmBackendConnections();
        break;
      default: {
        const std::string& server = live_[random_.Below(live_.size())];
        const int each = static_cast<int>(random_.Below(6));
        Note(absl::StrCat(server, " loses each answer of ", each));
        fleet_.platform().LoseEachAnswer(server, each);
      }
    }
  }

  void HarmBackendConnections() {
    const size_t which = random_.Below(backend_proxies_.size());
    const ProxyMode modes[] = {ProxyMode::kPass, ProxyMode::kDelay,
                               ProxyMode::kSilent, ProxyMode::kDropReplies};
    const size_t mode = random_.Below(5);
    Note(absl::StrCat("connections of backend ", which + 1, " mode ", mode));
    if (mode == 4) {
      backend_proxies_[which]->Reset();
    } else {
      backend_proxies_[which]->SetMode(modes[mode]);
    }
  }

  void ReplaceBackend() {
    const size_t which = random_.Below(live_.size());
    const std::string server = live_[which];
    live_.erase(live_.begin() + which);
    AddBackend();
    if (random_.Below(2) == 0) {
      Note(absl::StrCat(server, " drains"));
      fleet_.platform().Drain(server);
      return;
    }
    Note(absl::StrCat(server, " crashes"));
    fleet_.platform().Crash(server);
    fleet_.platform().Delete(absl::StrCat("servers/", server));
  }

  void EndFaults() {
    Note("faults end");
    fleet_.platform().SetStoreMode(StoreMode::kUp);
    store_proxy_.SetMode(ProxyMode::kPass);
    for (const auto& proxy : backend_proxies_) {
      proxy->SetMode(ProxyMode::kPass);
    }
    for (const std::string& server : live_) {
      fleet_.platform().LoseEachAnswer(server, 0);
    }
  }

  void CheckRecovery() {
    for (int i = 0; i < instances_; ++i) {
      const int port = fleet_.caller_port(Name(i));
      int good = 0;
      const bool is_back = WaitFor(
          [&] {
            const std::string id =
                absl::StrCat("id-last-", i, "-", ++last_probe_);
            const CallerAnswer answer = Call(
                port, "GET", "/read/x", {absl::StrCat("X-Request-Id: ", id)});
            good = answer.status == 200 ? good + 1 : 0;
            return good >= kGoodInRow;
          },
          kRecovery);
      Expect(is_back, absl::StrCat(Name(i), " serves after the faults"));
    }
  }

  void CheckConfiguration() {
    version_ = std::max(version_, kLaterVersion) + 1;
    fleet_.PutConfig(version_);
    const absl::Time end = absl::Now() + kConfigBound;
    for (int i = 0; i < instances_; ++i) {
      const std::string marker =
          absl::StrCat("config: in force version=", version_, " ");
      const bool is_in_force = WaitFor(
          [&] { return absl::StrContains(fleet_.Log(Name(i)), marker); },
          std::max(absl::ZeroDuration(), end - absl::Now()));
      Expect(is_in_force, absl::StrCat(Name(i), " has the configuration"));
    }
  }

  void CheckLogs() {
    for (const std::string& finding : fleet_.LogFindings()) {
      Expect(false, finding);
    }
  }

  void CheckRuns() {
    for (const auto& [id, seen] : fleet_.platform().seen()) {
      const auto found = sent_.find(id);
      if (found == sent_.end() || !found->second.is_booking) {
        continue;
      }
      Expect(seen.runs <= 1, absl::StrCat(id, " runs at most once"));
      Expect(seen.body == absl::StrCat("card=", id),
             absl::StrCat(id, " has its own body"));
      const int status = found->second.status;
      Expect(status != 503 && status != 429 && status != 408,
             absl::StrCat(id, " was called not run, and ran"));
    }
  }

  base::Random random_;
  int instances_;
  std::vector<std::unique_ptr<LoopbackProxy>> backend_proxies_;
  GatewayFleet fleet_;
  LoopbackProxy store_proxy_;
  absl::Time started_;
  std::vector<std::string> live_;
  int last_backend_ = 0;
  int last_probe_ = 0;
  int version_ = 1;
  int faults_ = 0;
  std::atomic<bool> is_stopping_{false};
  std::mutex mutex_;
  std::map<std::string, Sent> sent_;
  int broken_ = 0;
};

}  // namespace
}  // namespace baobabwall::test

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const uint64_t seed = absl::GetFlag(FLAGS_seed);
  std::cout << "seed=" << seed << "\n";
  baobabwall::test::Soak soak(seed, absl::GetFlag(FLAGS_instances));
  return soak.Run(absl::Seconds(absl::GetFlag(FLAGS_seconds)));
}
