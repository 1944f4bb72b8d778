#include "steer/src/backend_health.h"

#include <algorithm>
#include <utility>

namespace baobabwall::steer {
namespace internal {

/// Failures in a row that end a slow start: a server on trial gets few
/// requests, so each counts more.
constexpr int kBadTrialRequests = 2;
constexpr int kGoodProbes = 2;
constexpr int kGoodRequests = 3;
constexpr int kFirstServerError = 500;
constexpr double kProbeJitter = 0.1;

chart::Vocabulary HealthVocabulary() {
  return {{"unmeasured", "healthy", "slow_start", "unhealthy", "widening",
           "leaving"},
          {"good", "good_cold", "bad", "recovered", "warm", "silent", "widened",
           "leave", "return"},
          {"start_ramp", "start_widening", "add_failure", "forget"}};
}

enum class Sign { kSuccess, kFailure, kNeutral };

/// A refusal is a server that sheds load as it should; an oversized answer and
/// a cancellation say nothing about the server.
Sign SignOf(const Observation& observation) {
  switch (observation.result) {
    case AttemptResult::kCompleted:
      return observation.status < kFirstServerError ? Sign::kSuccess
                                                    : Sign::kFailure;
    case AttemptResult::kRefused:
    case AttemptResult::kOversized:
    case AttemptResult::kCancelled:
      return Sign::kNeutral;
    case AttemptResult::kConnectFailed:
    case AttemptResult::kBroken:
    case AttemptResult::kTimedOut:
    case AttemptResult::kTruncated:
      break;
  }
  return Sign::kFailure;
}

bool IsAnswer(AttemptResult result) {
  return result == AttemptResult::kCompleted ||
         result == AttemptResult::kRefused ||
         result == AttemptResult::kOversized;
}

}  // namespace internal

BackendHealth::Builder& BackendHealth::Builder::Chart(absl::string_view file,
                                                      absl::string_view text) {
  file_ = std::string(file);
  text_ = std::string(text);
  return *this;
}

BackendHealth::Builder& BackendHealth::Builder::Rules(HealthRules rules) {
  rules_ = rules;
  return *this;
}

BackendHealth::Builder& BackendHealth::Builder::Seed(uint64_t seed) {
  seed_ = seed;
  return *this;
}

std::unique_ptr<BackendHealth> BackendHealth::Builder::Build(
    base::Findings* findings) const {
  base::Findings own;
  auto chart = chart::StateChart::Parse(file_, text_,
                                        internal::HealthVocabulary(), &own);
  if (findings != nullptr) {
    findings->Append(own);
  }
  if (chart == nullptr) {
    return nullptr;
  }
  return std::unique_ptr<BackendHealth>(
      new BackendHealth(std::move(chart), *this));
}

BackendHealth::BackendHealth(std::shared_ptr<const chart::StateChart> chart,
                             const Builder& builder)
    : chart_(std::move(chart)),
      rules_(builder.rules_),
      random_(builder.seed_) {}

void BackendHealth::SetServers(const model::Configuration& configuration,
                               absl::string_view zone,
                               absl::Time now) {
  const auto& declared = configuration.backend_servers();
  for (auto server = servers_.begin(); server != servers_.end();) {
    const auto found = declared.find(server->first);
    const bool is_kept = found != declared.end() && found->second.zone == zone;
    server = is_kept ? std::next(server) : servers_.erase(server);
  }
  for (const auto& [name, declaration] : declared) {
    if (declaration.zone != zone) {
      continue;
    }
    first_declared_ = std::min(first_declared_, now);
    auto [server, is_new] = servers_.try_emplace(name);
    server->second.service = declaration.service;
    if (!is_new) {
      continue;
    }
    server->second.machine = std::make_unique<chart::StateMachine>(chart_);
    server->second.is_cold = now - first_declared_ > kHold;
    server->second.since = now;
    server->second.probe_due = now;
    is_changed_ = true;
  }
}

BackendHealth::Server* BackendHealth::Find(absl::string_view server) {
  const auto found = servers_.find(server);
  return found == servers_.end() ? nullptr : &found->second;
}

absl::string_view BackendHealth::StateOf(absl::string_view server) const {
  const auto found = servers_.find(server);
  return found == servers_.end()
             ? absl::string_view()
             : absl::string_view(found->second.machine->state());
}

void BackendHealth::Fire(Server* server,
                         absl::string_view event,
                         absl::Time now) {
  const std::string before = server->machine->state();
  const double ramp = RampOf(*server, now);
  for (const std::string& action : server->machine->Handle(event)) {
    if (action == "start_widening") {
      server->widen_from = before == "unhealthy" ? 0 : ramp;
    } else if (action == "add_failure") {
      ++server->failures;
      server->recovery =
          rules_.damps_flapping
              ? std::min(kMaxRecovery,
                         kRecovery * (1 << std::min(server->failures - 1, 10)))
              : kRecovery;
    } else if (action == "forget") {
      server->is_cold = true;
      server->measured = absl::InfinitePast();
    }
    // start_ramp: the ramp counts from the change of state.
  }
  if (server->machine->state() == before) {
    return;
  }
  server->since = now;
  server->probe_failures = server->probe_successes = 0;
  server->request_failures = server->request_successes = 0;
  server->recent_failures = server->recent_outcomes = 0;
  is_changed_ = true;
}

void BackendHealth::OnProbe(absl::string_view name,
                            const HealthProbe& probe,
                            absl::Time now) {
  Server* server = Find(name);
  if (server == nullptr) {
    return;
  }
  server->measured = std::max(server->measured, now);
  const bool is_good = probe.is_answered && probe.is_ready;
  server->probe_successes = is_good ? server->probe_successes + 1 : 0;
  server->probe_failures = is_good ? 0 : server->probe_failures + 1;
  if (probe.is_answered) {
    server->answered = std::max(server->answered, now);
    server->reported_load = probe.reported_load;
    server->reported = now - probe.report_age;
    server->is_probed_leaving = probe.is_leaving;
  }
  server->denied_leaving =
      is_good && !probe.is_leaving ? server->denied_leaving + 1 : 0;
  JudgeLeaving(server, now);
  Judge(server, now);
}

void BackendHealth::OnListed(absl::string_view name,
                             bool is_leaving,
                             absl::Time now) {
  Server* server = Find(name);
  if (server == nullptr) {
    return;
  }
  server->is_listed_leaving = is_leaving;
  JudgeLeaving(server, now);
  if (!rules_.trusts_no_return && !is_leaving) {
    Fire(server, "return", now);
  }
}

void BackendHealth::JudgeLeaving(Server* server, absl::Time now) {
  if (server->is_listed_leaving || server->is_probed_leaving) {
    Fire(server, "leave", now);
    return;
  }
  // The list lags and an endpoint may mislead once, so being back takes
  // several answers of the server itself, without another sign.
  if (server->denied_leaving >= kReturnProbes) {
    Fire(server, "return", now);
  }
}

void BackendHealth::OnObservation(const Observation& observation) {
  Server* server = Find(observation.backend_server);
  if (server == nullptr) {
    return;
  }
  const absl::Time now = observation.at;
  if (internal::IsAnswer(observation.result)) {
    server->answered = std::max(server->answered, now);
  }
  const internal::Sign sign = internal::SignOf(observation);
  // A request that began in an earlier state says nothing about this one.
  if (sign == internal::Sign::kNeutral ||
      now - observation.latency < server->since) {
    return;
  }
  server->measured = std::max(server->measured, now);
  if (now - server->halved > kPassiveMemory) {
    server->recent_failures /= 2;
    server->recent_outcomes /= 2;
    server->halved = now;
  }
  ++server->recent_outcomes;
  if (sign == internal::Sign::kSuccess) {
    server->request_success = std::max(server->request_success, now);
    server->request_failures = 0;
    ++server->request_successes;
  } else {
    ++server->recent_failures;
    ++server->request_failures;
    server->request_successes = 0;
  }
  Judge(server, now);
}

void BackendHealth::Judge(Server* server, absl::Time now) {
  const std::string& state = server->machine->state();
  const int request_bound =
      state == "slow_start" ? internal::kBadTrialRequests : kBadRequests;
  const bool do_requests_fail =
      rules_.passive_first &&
      (server->request_failures >= request_bound ||
       (server->recent_outcomes >= kBadShareOutcomes &&
        server->recent_failures * 100 >=
            server->recent_outcomes * kBadSharePercent));
  const bool do_requests_succeed =
      rules_.passive_first && !do_requests_fail &&
      now - server->request_success <= kPassiveMemory;
  if (do_requests_fail ||
      (server->probe_failures >= kBadProbes && !do_requests_succeed)) {
    Fire(server, "bad", now);
    return;
  }
  if (server->probe_successes > 0 || server->request_successes > 0) {
    Fire(server, server->is_cold ? "good_cold" : "good", now);
  }
  const absl::Duration elapsed = now - server->since;
  if (state == "unhealthy" && elapsed >= server->recovery) {
    // A server that answers but says that it is not ready is tried too, after
    // the longest time: its endpoint may mislead.
    const bool is_alive =
        elapsed >= kMaxRecovery && now - server->answered <= 3 * kProbeInterval;
    if (server->probe_successes >= internal::kGoodProbes ||
        server->request_successes >= internal::kGoodRequests || is_alive) {
      Fire(server, "recovered", now);
    }
  }
}

bool BackendHealth::OnTick(absl::Time now) {
  for (auto& [name, server] : servers_) {
    const std::string& state = server.machine->state();
    const absl::Duration elapsed = now - server.since;
    if (state == "slow_start" && elapsed >= kRamp &&
        now - server.answered <= kRamp) {
      server.is_cold = false;
      Fire(&server, "warm", now);
    }
    if (state == "widening" && elapsed >= kWiden) {
      server.is_cold = false;
      Fire(&server, "widened", now);
    }
    if (state == "healthy" && elapsed >= kForgive) {
      server.failures = 0;
      server.recovery = kRecovery;
    }
    if (rules_.widens &&
        now - std::max(server.measured, server.since) >= kHold) {
      Fire(&server, "silent", now);
    }
    if (state == "unhealthy") {
      Judge(&server, now);
    }
    if (RampOf(server, now) < 1 && now >= ramps_due_) {
      is_changed_ = true;
      ramps_due_ = now + kRampStep;
    }
  }
  return std::exchange(is_changed_, false);
}

std::vector<std::string> BackendHealth::DueProbes(absl::Time now) {
  std::vector<std::string> due;
  for (auto& [name, server] : servers_) {
    if (now < server.probe_due) {
      continue;
    }
    due.push_back(name);
    // Jitter, so that the instances of a zone do not probe in step.
    server.probe_due =
        now + kProbeInterval *
                  (1 + internal::kProbeJitter * (2 * random_.Unit() - 1));
  }
  return due;
}

double BackendHealth::RampOf(const Server& server, absl::Time now) const {
  const std::string& state = server.machine->state();
  const absl::Duration elapsed = now - server.since;
  if (state == "slow_start") {
    return std::min(1.0, kRampStart + (1 - kRampStart) *
                                          absl::FDivDuration(elapsed, kRamp));
  }
  if (state == "widening") {
    return std::min(
        1.0, server.widen_from +
                 (1 - server.widen_from) * absl::FDivDuration(elapsed, kWiden));
  }
  if (state == "unmeasured" && server.is_cold) {
    // Never measured: as if it had been silent since it was declared.
    return std::clamp(absl::FDivDuration(elapsed - kHold, kWiden), kRampStart,
                      1.0);
  }
  return 1;
}

HealthVerdict BackendHealth::VerdictOf(const Server& server) const {
  const std::string& state = server.machine->state();
  if (state == "healthy") {
    return HealthVerdict::kHealthy;
  }
  if (state == "slow_start") {
    return HealthVerdict::kSlowStart;
  }
  return state == "unhealthy" ? HealthVerdict::kUnhealthy
                              : HealthVerdict::kUnmeasured;
}

void BackendHealth::Apply(std::vector<BackendView>* views,
                          absl::Time now) const {
  struct Count {
    int all = 0;
    int unhealthy = 0;
  };
  std::map<std::string, Count> counts;
  for (const auto& [name, server] : servers_) {
    if (server.machine->state() == "leaving") {
      continue;
    }
    Count& count = counts[server.service];
    ++count.all;
    count.unhealthy += server.machine->state() == "unhealthy" ? 1 : 0;
  }
  for (BackendView& view : *views) {
    const auto found = servers_.find(view.name);
    if (found == servers_.end()) {
      continue;
    }
    const Server& server = found->second;
    view.health = VerdictOf(server);
    view.ramp = RampOf(server, now);
    view.is_leaving = view.is_leaving || server.machine->state() == "leaving";
    view.reported_load = server.reported_load;
    view.reported_at = server.reported;
    const Count& count = counts[view.service];
    if (rules_.panics && view.health == HealthVerdict::kUnhealthy &&
        count.unhealthy * 2 > count.all &&
        now - server.answered <= kAnswerMemory) {
      view.health = HealthVerdict::kUnmeasured;
      view.ramp = 1;
    }
  }
}

}  // namespace baobabwall::steer
