// Randomized soak test of real gateway processes with injected faults.
// gateway_soak --seed=N --seconds=N [--instances=N] [--fault_kinds=N]
// With more than eight instances, a few of them read the store for the others.
// Prints the seed, the injected faults and each violated guarantee; the exit
// code is 1 if a guarantee was violated.

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "absl/types/span.h"
#include "account_oracle.h"
#include "base/base.h"
#include "gateway_fleet.h"
#include "loopback_proxy.h"
#include "pipelining_caller.h"
#include "soak_records.h"

ABSL_FLAG(uint64_t, seed, 1, "random seed of the injected faults");
ABSL_FLAG(int, seconds, 20, "duration of the fault injection");
ABSL_FLAG(int, instances, 3, "number of gateway processes");
ABSL_FLAG(bool, accounts, false, "whether callers present API keys");
ABSL_FLAG(uint64_t,
          fault_kinds,
          19,
          "number of kinds of faults; a seed that failed with fewer kinds "
          "repeats its faults only with that number");

namespace baobabwall::test {
namespace {

constexpr int kCallers = 5;
/// Maximum number of pipelining callers, one for an instance. More of them
/// would overload the backend servers, which run in the process of the soak.
constexpr int kMaxPipeliningCallers = 8;
/// Time after the last fault within which requests must succeed.
constexpr absl::Duration kMaxRecoveryTime = absl::Seconds(15);
/// Time within which all instances must apply a new configuration.
constexpr absl::Duration kMaxConfigDelay = absl::Milliseconds(2500);
/// First configuration version that has the route /later/.
constexpr int kFirstVersionWithLaterRoute = 10;
/// Number of consecutive requests that must succeed before an instance counts
/// as recovered.
constexpr int kRequiredSuccesses = 20;

/// Time after an answer that announces a server's leaving until which requests
/// may still reach the server.
constexpr absl::Duration kMaxDrainTime = absl::Milliseconds(2500);
/// Time after a refusal with a pause until which requests may still reach the
/// server, and the number of requests that may do so later.
constexpr absl::Duration kPauseDelay = absl::Milliseconds(500);
constexpr int kMaxRequestsInPause = 2;
/// First part of the ids of pipelined requests; the instance is the next one.
constexpr char kPipelinedName[] = "kept";

class Soak {
 public:
  Soak(uint64_t seed, int instances, uint64_t fault_kinds)
      : random_(seed),
        instances_(instances),
        fault_kinds_(fault_kinds),
        fleet_(absl::StrCat("soak-", seed)),
        store_proxy_(fleet_.platform().store_port()),
        start_time_(absl::Now()) {
    fleet_.SetStorePort(store_proxy_.port());
    fleet_.platform().SetAnnouncedPort([this](int port) {
      backend_proxies_.push_back(std::make_unique<LoopbackProxy>(port));
      return backend_proxies_.back()->port();
    });
    if (has_accounts_) {
      fleet_.SetAccounts(AccountOracle::Accounts());
    }
    fleet_.PutConfig(version_);
    for (int i = 0; i < 4; ++i) {
      AddBackend();
    }
    for (int i = 0; i < instances_; ++i) {
      fleet_.Start(Name(i), i % 3 < 2 ? "a-1" : "a-2");
    }
    for (int i = 0; i < instances_; ++i) {
      CheckGuarantee(fleet_.WaitReady(Name(i)),
                     absl::StrCat(Name(i), " becomes ready after the start"));
    }
  }

  int Run(absl::Duration length) {
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i] { SendRequests(i); });
    }
    // The pipelining callers have no keys.
    const int pipelining_callers =
        has_accounts_ ? 0 : std::min(instances_, kMaxPipeliningCallers);
    for (int i = 0; i < pipelining_callers; ++i) {
      pipelining_callers_.push_back(std::make_unique<PipeliningCaller>(
          fleet_.caller_port(Name(i)), absl::StrCat(kPipelinedName, "-", i)));
    }
    const absl::Time end = absl::Now() + length;
    while (absl::Now() < end) {
      absl::SleepFor(absl::Milliseconds(100 + random_.Below(600)));
      InjectFault();
    }
    StopFaults();
    CheckRecovery();
    CheckConfiguration();
    is_stopping_ = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    int kept_answers = 0;
    for (const auto& caller : pipelining_callers_) {
      caller->Stop();
      kept_answers += caller->answer_count();
    }
    CheckRuns();
    CheckAccounts();
    CheckPipelinedRequests();
    CheckLeavingServers();
    CheckPauses();
    CheckLimits();
    CheckLogs();
    std::cout << "requests=" << sent_requests_.size()
              << " pipelined=" << kept_answers
              << " leaving_checks=" << leaving_checks_
              << " pause_checks=" << pause_checks_
              << " limit_checks=" << limit_checks_ << " faults=" << fault_count_
              << " violations=" << violations_ << "\n";
    return violations_ == 0 ? 0 : 1;
  }

 private:
  static std::string Name(int i) { return absl::StrCat("instance-", i); }

  void Print(const std::string& text) {
    std::cout << absl::ToDoubleSeconds(absl::Now() - start_time_) << " " << text
              << std::endl;
  }

  void CheckGuarantee(bool is_met, const std::string& guarantee) {
    if (!is_met) {
      std::lock_guard<std::mutex> lock(mutex_);
      ++violations_;
      Print(absl::StrCat("VIOLATED: ", guarantee));
    }
  }

  void AddBackend() {
    ++last_backend_id_;
    const std::string server = absl::StrCat("server-", last_backend_id_);
    fleet_.platform().AddBackend(server, "s",
                                 last_backend_id_ % 2 == 0 ? "a-1" : "a-2",
                                 absl::Milliseconds(5 + random_.Below(40)));
    live_servers_.push_back(server);
  }

  /// Sends requests until the test stops and checks each answer.
  void SendRequests(int caller) {
    base::Random random(1000 + caller);
    for (int i = 0; !is_stopping_; ++i) {
      const std::string id = absl::StrCat("id-", caller, "-", i);
      const bool is_booking = random.Below(2) == 0;
      const int instance = static_cast<int>(random.Below(instances_));
      const AccountOracle::Caller identity = AccountOracle::CallerOf(i);
      SentRequest sent;
      sent.is_booking = is_booking;
      sent.instance = instance;
      sent.sent_at = absl::Now();
      const CallerAnswer answer =
          Call(fleet_.caller_port(Name(instance)), is_booking ? "POST" : "GET",
               is_booking ? "/book/x" : "/read/x",
               {absl::StrCat("X-Request-Id: ", id), "X-Deadline-Ms: 1500",
                absl::StrCat("Cookie: X-Affinity-Key=", random.Below(20)),
                has_accounts_ ? identity.header : "X-Other: 1"},
               is_booking ? absl::StrCat("card=", id) : "");
      if (answer.status == 200) {
        CheckGuarantee(answer.is_signed,
                       absl::StrCat(id, " has the server's signature"));
        CheckGuarantee(
            absl::StrContains(answer.body, absl::StrCat(" ran ", id, " ")),
            absl::StrCat(id, " received its own answer: ", answer.body));
      }
      CheckGuarantee(answer.status != 404,
                     absl::StrCat(id, " is not answered with 404"));
      if (has_accounts_) {
        const std::string finding =
            account_oracle_.OnAnswer(id, identity, answer.status);
        CheckGuarantee(finding.empty(), finding);
      }
      sent.answered_at = absl::Now();
      sent.status = answer.status;
      sent.server = answer.body.substr(0, answer.body.find(' '));
      sent.is_server_leaving = answer.is_server_leaving;
      std::lock_guard<std::mutex> lock(mutex_);
      sent_requests_[id] = sent;
    }
  }

  void InjectFault() {
    ++fault_count_;
    const int instance = static_cast<int>(random_.Below(instances_));
    ChildProcess& process = fleet_.process(Name(instance));
    const absl::Time fault_begin = absl::Now();
    const uint64_t fault = random_.Below(fault_kinds_);
    if (fault <= 2) {
      disturbances_.Add(Name(instance), fault_begin);
    }
    switch (fault) {
      case 0:
        Print(absl::StrCat("kill ", instance));
        process.Signal(SIGKILL);
        process.Wait();
        fleet_.Restart(Name(instance));
        break;
      case 1:
        Print(absl::StrCat("graceful shutdown ", instance));
        process.Signal(SIGCONT);
        process.Signal(SIGTERM);
        CheckGuarantee(process.Wait() == 0, "a graceful shutdown exits with 0");
        fleet_.Restart(Name(instance));
        break;
      case 2:
        Print(absl::StrCat("suspend ", instance));
        process.Signal(SIGSTOP);
        absl::SleepFor(absl::Milliseconds(200 + random_.Below(2500)));
        process.Signal(SIGCONT);
        break;
      case 3:
        Print("reload settings");
        process.Signal(SIGHUP);
        break;
      case 4:
      case 5: {
        const StoreMode modes[] = {StoreMode::kUp, StoreMode::kRefusing,
                                   StoreMode::kSilent,
                                   StoreMode::kDropsWriteAnswers};
        const size_t mode = random_.Below(4);
        Print(absl::StrCat("store mode ", mode));
        fleet_.platform().SetStoreMode(modes[mode]);
        break;
      }
      case 6: {
        const ProxyMode modes[] = {ProxyMode::kPass, ProxyMode::kDelay,
                                   ProxyMode::kSilent, ProxyMode::kDropReplies};
        const size_t mode = random_.Below(4);
        Print(absl::StrCat("store connections mode ", mode));
        store_proxy_.SetMode(modes[mode]);
        break;
      }
      case 7:
        Print("store connections reset");
        store_proxy_.Reset();
        break;
      case 8:
        Print("store history compacted");
        fleet_.platform().CompactHistory();
        break;
      case 9:
        Print("new configuration");
        fleet_.PutConfig(++version_);
        break;
      case 10:
        ReplaceBackend();
        break;
      case 11:
      case 12:
        InjectBackendConnectionFault();
        break;
      case 14:
        AnnounceLeaving();
        break;
      case 15:
        RequestPause();
        break;
      case 16:
        StopUnderLoad(instance);
        break;
      case 17:
        NameLimit();
        break;
      case 18:
        RestoreStore();
        break;
      default: {
        const std::string& server =
            live_servers_[random_.Below(live_servers_.size())];
        const int dropped_answer_period = static_cast<int>(random_.Below(6));
        Print(absl::StrCat(
            server, " drops each nth answer, n=", dropped_answer_period));
        fleet_.platform().DropEachNthAnswer(server, dropped_answer_period);
      }
    }
  }

  void InjectBackendConnectionFault() {
    const size_t index = random_.Below(backend_proxies_.size());
    const ProxyMode modes[] = {ProxyMode::kPass, ProxyMode::kDelay,
                               ProxyMode::kSilent, ProxyMode::kDropReplies};
    const size_t mode = random_.Below(5);
    Print(absl::StrCat("connections of backend ", index + 1, " mode ", mode));
    const std::string server = absl::StrCat("server-", index + 1);
    disturbances_.Add(server, absl::Now());
    if (mode != 0 && mode != 4) {
      cut_servers_.insert(server);
    }
    if (mode == 4) {
      backend_proxies_[index]->Reset();
    } else {
      backend_proxies_[index]->SetMode(modes[mode]);
    }
  }

  /// A server announces its leaving only in its answers, and another one takes
  /// its place.
  void AnnounceLeaving() {
    const size_t index = random_.Below(live_servers_.size());
    const std::string server = live_servers_[index];
    live_servers_.erase(live_servers_.begin() + index);
    AddBackend();
    Print(absl::StrCat(server, " announces its leaving"));
    fleet_.platform().AnnounceLeaving(server);
  }

  /// A server refuses requests for a moment and asks for a longer pause.
  void RequestPause() {
    const std::string server =
        live_servers_[random_.Below(live_servers_.size())];
    const double pause_s = 1 + 0.1 * static_cast<double>(random_.Below(30));
    Print(absl::StrCat(server, " asks for a pause of ", pause_s, " s"));
    fleet_.platform().SetFull(server, true, absl::StrCat(pause_s));
    absl::SleepFor(absl::Milliseconds(300));
    fleet_.platform().SetFull(server, false);
  }

  /// A server names a limit in its answers, or no longer does.
  void NameLimit() {
    const std::string server =
        live_servers_[random_.Below(live_servers_.size())];
    if (limited_servers_.erase(server) > 0) {
      Print(absl::StrCat(server, " names no limit"));
      fleet_.platform().SetRequestLimit(server, "");
      return;
    }
    const double per_s = 0.5 * static_cast<double>(1 + random_.Below(16));
    Print(absl::StrCat(server, " names a limit of ", per_s, " per second"));
    limited_servers_.insert(server);
    fleet_.platform().SetRequestLimit(server, absl::StrCat(per_s));
  }

  /// The store goes back to a copy that is some seconds old. The operators and
  /// the servers write again what they wrote since.
  void RestoreStore() {
    Print("store restored from a copy");
    fleet_.platform().SaveStore();
    fleet_.PutConfig(++version_);
    ReplaceBackend();
    absl::SleepFor(absl::Milliseconds(500 + random_.Below(2500)));
    fleet_.platform().RestoreStore();
    absl::SleepFor(absl::Milliseconds(random_.Below(500)));
    fleet_.platform().WriteServerEntriesAgain();
    fleet_.PutConfig(version_);
  }

  /// A planned stop, with further signals on the way.
  void StopUnderLoad(int instance) {
    Print(absl::StrCat("graceful shutdown with further signals ", instance));
    disturbances_.Add(Name(instance), absl::Now());
    ChildProcess& process = fleet_.process(Name(instance));
    process.Signal(SIGCONT);
    process.Signal(SIGHUP);
    process.Signal(SIGTERM);
    absl::SleepFor(absl::Milliseconds(random_.Below(800)));
    process.Signal(random_.Below(2) == 0 ? SIGTERM : SIGHUP);
    CheckGuarantee(process.Wait() == 0, "a graceful shutdown exits with 0");
    disturbances_.Add(Name(instance), absl::Now());
    fleet_.Restart(Name(instance));
  }

  void ReplaceBackend() {
    const size_t index = random_.Below(live_servers_.size());
    const std::string server = live_servers_[index];
    live_servers_.erase(live_servers_.begin() + index);
    AddBackend();
    if (random_.Below(2) == 0) {
      Print(absl::StrCat(server, " drains"));
      fleet_.platform().Drain(server);
      return;
    }
    Print(absl::StrCat(server, " crashes"));
    fleet_.platform().Crash(server);
    fleet_.platform().Delete(absl::StrCat("servers/", server));
  }

  void StopFaults() {
    Print("end of fault injection");
    fleet_.platform().SetStoreMode(StoreMode::kUp);
    store_proxy_.SetMode(ProxyMode::kPass);
    for (const auto& proxy : backend_proxies_) {
      proxy->SetMode(ProxyMode::kPass);
    }
    for (const std::string& server : live_servers_) {
      fleet_.platform().DropEachNthAnswer(server, 0);
    }
  }

  void CheckRecovery() {
    for (int i = 0; i < instances_; ++i) {
      const int port = fleet_.caller_port(Name(i));
      int successes = 0;
      const bool has_recovered = WaitFor(
          [&] {
            const std::string id =
                absl::StrCat("id-last-", i, "-", ++last_probe_id_);
            const CallerAnswer answer =
                Call(port, "GET", "/read/x",
                     {absl::StrCat("X-Request-Id: ", id),
                      AccountOracle::HeaderOf("plain")});
            successes = answer.status == 200 ? successes + 1 : 0;
            return successes >= kRequiredSuccesses;
          },
          kMaxRecoveryTime);
      CheckGuarantee(has_recovered,
                     absl::StrCat(Name(i), " recovers after the faults"));
    }
  }

  void CheckConfiguration() {
    version_ = std::max(version_, kFirstVersionWithLaterRoute) + 1;
    fleet_.PutConfig(version_);
    const absl::Time end = absl::Now() + kMaxConfigDelay;
    for (int i = 0; i < instances_; ++i) {
      const std::string marker =
          absl::StrCat("config: in force version=", version_, " ");
      const bool is_in_force = WaitFor(
          [&] { return absl::StrContains(fleet_.Log(Name(i)), marker); },
          std::max(absl::ZeroDuration(), end - absl::Now()));
      CheckGuarantee(is_in_force,
                     absl::StrCat(Name(i), " applies the new configuration"));
    }
  }

  /// A request behind an answer with "Connection: close" counts as not read,
  /// and is sent again by its caller.
  void CheckPipelinedRequests() {
    const auto executed = fleet_.platform().executed_requests();
    for (const auto& caller : pipelining_callers_) {
      CheckGuarantee(caller->misplaced_answer_count() == 0,
                     "answers arrive in the order of the requests");
      for (const std::string& id : caller->ids_behind_close()) {
        CheckGuarantee(executed.count(id) == 0,
                       absl::StrCat(id, " behind a closing answer never runs"));
      }
    }
  }

  /// \returns whether the instance was restarted or suspended in this time.
  bool WasDisturbed(int instance, absl::Time begin, absl::Time end) const {
    return disturbances_.Any(Name(instance), begin, end);
  }

  void CheckLeavingServers() {
    using Sender = std::pair<int, std::string>;  // Instance and server.
    std::map<Sender, absl::Time> announced_at;
    for (const auto& [id, sent] : sent_requests_) {
      if (sent.status != 200 || !sent.is_server_leaving) {
        continue;
      }
      const auto known = announced_at.emplace(
          Sender(sent.instance, sent.server), sent.answered_at);
      absl::Time& first = known.first->second;
      first = std::min(first, sent.answered_at);
    }
    for (const BackendArrival& arrival : fleet_.platform().arrivals()) {
      const auto sent = sent_requests_.find(arrival.id);
      if (sent == sent_requests_.end()) {
        continue;
      }
      const int instance = sent->second.instance;
      const auto announced =
          announced_at.find(Sender(instance, arrival.server));
      if (announced == announced_at.end()) {
        continue;
      }
      ++leaving_checks_;
      const bool is_late =
          sent->second.sent_at > announced->second + kMaxDrainTime;
      CheckGuarantee(
          !is_late || WasDisturbed(instance, announced->second, arrival.at),
          absl::StrCat(arrival.id, " is not sent to ", arrival.server,
                       ", which has announced its leaving"));
    }
  }

  /// \returns the instance that received the request; nullopt if unknown.
  std::optional<int> InstanceOf(const std::string& id) const {
    if (const auto sent = sent_requests_.find(id);
        sent != sent_requests_.end()) {
      return sent->second.instance;
    }
    const std::vector<std::string> parts = absl::StrSplit(id, '-');
    int instance = 0;
    const bool is_pipelined = parts.size() == 3 && parts[0] == kPipelinedName &&
                              absl::SimpleAtoi(parts[1], &instance);
    return is_pipelined ? std::make_optional(instance) : std::nullopt;
  }

  void CheckPauses() {
    const std::vector<BackendArrival> arrivals = fleet_.platform().arrivals();
    for (size_t i = 0; i < arrivals.size(); ++i) {
      const BackendArrival& refused = arrivals[i];
      const std::optional<int> instance = InstanceOf(refused.id);
      const bool is_cut = cut_servers_.count(refused.server) > 0;
      if (refused.requested_pause == absl::ZeroDuration() || is_cut ||
          !instance) {
        continue;
      }
      ++pause_checks_;
      CheckPause(*instance, refused,
                 absl::MakeConstSpan(arrivals).subspan(i + 1));
    }
  }

  /// \param later the arrivals after the refusal.
  void CheckPause(int instance,
                  const BackendArrival& refused,
                  absl::Span<const BackendArrival> later) {
    const absl::Time begin = refused.at + kPauseDelay;
    const absl::Time end = refused.at + refused.requested_pause;
    if (WasDisturbed(instance, refused.at - kMaxDrainTime, end) ||
        disturbances_.Any(refused.server, refused.at - kMaxDrainTime, end)) {
      return;
    }
    int count = 0;
    for (const BackendArrival& arrival : later) {
      if (arrival.at > end) {
        break;
      }
      const bool is_counted = arrival.server == refused.server &&
                              arrival.at > begin &&
                              InstanceOf(arrival.id) == instance;
      count += is_counted ? 1 : 0;
    }
    CheckGuarantee(
        count <= kMaxRequestsInPause,
        absl::StrCat(count, " requests of ", Name(instance), " reach ",
                     refused.server, " in the pause after ", refused.id));
  }

  /// Checks the requests of the instances that have passed on an answer with a
  /// limit, and were not disturbed since.
  void CheckLimits() {
    std::map<std::string, ServerLimitOracle> oracles;
    for (const BackendArrival& arrival : fleet_.platform().arrivals()) {
      const std::optional<int> instance = InstanceOf(arrival.id);
      const auto sent = sent_requests_.find(arrival.id);
      if (!instance || cut_servers_.count(arrival.server) > 0) {
        continue;
      }
      ServerLimitOracle& oracle = oracles[arrival.server];
      const bool is_excused = WasDisturbed(
          *instance, arrival.at - ServerLimitOracle::kWindow, arrival.at);
      const std::string finding =
          is_excused ? "" : oracle.OnArrival(*instance, arrival);
      CheckGuarantee(finding.empty(), finding);
      const bool is_told =
          sent != sent_requests_.end() && sent->second.status == 200;
      if (is_told && arrival.request_limit) {
        oracle.OnTold(*instance, sent->second.answered_at);
      }
    }
    for (const auto& [server, oracle] : oracles) {
      limit_checks_ += oracle.check_count();
    }
  }

  void CheckLogs() {
    for (const std::string& finding : fleet_.LogFindings()) {
      CheckGuarantee(false, finding);
    }
  }

  void CheckAccounts() {
    for (const std::string& finding :
         account_oracle_.CheckArrivals(fleet_.platform().arrivals())) {
      CheckGuarantee(false, finding);
    }
    for (int i = 0; i < instances_; ++i) {
      CheckGuarantee(
          !absl::StrContains(fleet_.Log(Name(i)), AccountOracle::kKeyMark),
          absl::StrCat("the log of ", Name(i), " contains no key"));
    }
  }

  void CheckRuns() {
    for (const auto& [id, executed_request] :
         fleet_.platform().executed_requests()) {
      const auto found = sent_requests_.find(id);
      if (found == sent_requests_.end() || !found->second.is_booking) {
        continue;
      }
      CheckGuarantee(executed_request.runs <= 1,
                     absl::StrCat(id, " runs at most once"));
      CheckGuarantee(executed_request.body == absl::StrCat("card=", id),
                     absl::StrCat(id, " has its own body"));
      const int status = found->second.status;
      CheckGuarantee(
          status != 503 && status != 429 && status != 408,
          absl::StrCat(id, " is not reported as rejected if it ran"));
    }
  }

  base::Random random_;
  int instances_;
  uint64_t fault_kinds_;
  std::vector<std::unique_ptr<LoopbackProxy>> backend_proxies_;
  GatewayFleet fleet_;
  LoopbackProxy store_proxy_;
  absl::Time start_time_;
  std::vector<std::string> live_servers_;
  int last_backend_id_ = 0;
  int last_probe_id_ = 0;
  int version_ = 1;
  int fault_count_ = 0;
  int leaving_checks_ = 0;
  int pause_checks_ = 0;
  int limit_checks_ = 0;
  bool has_accounts_ = absl::GetFlag(FLAGS_accounts);
  AccountOracle account_oracle_;
  std::vector<std::unique_ptr<PipeliningCaller>> pipelining_callers_;
  Disturbances disturbances_;
  /// Servers whose connections were silent or delayed at some time.
  std::set<std::string> cut_servers_;
  std::set<std::string> limited_servers_;  ///< Servers that name a limit.
  std::atomic<bool> is_stopping_{false};
  std::mutex mutex_;
  std::map<std::string, SentRequest> sent_requests_;
  int violations_ = 0;
};

}  // namespace
}  // namespace baobabwall::test

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const uint64_t seed = absl::GetFlag(FLAGS_seed);
  std::cout << "seed=" << seed << "\n";
  baobabwall::test::Soak soak(seed, absl::GetFlag(FLAGS_instances),
                              absl::GetFlag(FLAGS_fault_kinds));
  return soak.Run(absl::Seconds(absl::GetFlag(FLAGS_seconds)));
}
