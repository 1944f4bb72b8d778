#include "steer/src/backend_health.h"

#include <algorithm>
#include <utility>

namespace baobabwall::steer {
namespace internal {

/// Number of consecutive failed requests that end a slow start. The threshold
/// is lower than for healthy servers because a slow start receives few
/// requests.
constexpr int kSlowStartRequestFailures = 2;
constexpr int kRecoveryProbeSuccesses = 2;
constexpr int kRecoveryRequestSuccesses = 3;
constexpr int kMinServerErrorStatus = 500;
constexpr double kProbeJitter = 0.1;

chart::Vocabulary HealthVocabulary() {
  return {{"unmeasured", "healthy", "slow_start", "unhealthy", "widening",
           "leaving"},
          {"good", "good_cold", "bad", "recovered", "warm", "silent", "widened",
           "leave", "return"},
          {"start_ramp", "start_widening", "add_failure", "forget"}};
}

enum class OutcomeType { kSuccess, kFailure, kNeutral };

/// Classifies the outcome of an attempt. A refusal counts as neutral because
/// load shedding is correct behaviour. An oversized answer and a cancellation
/// give no information about the health of the server.
OutcomeType ClassifyOutcome(const Observation& observation) {
  switch (observation.result) {
    case AttemptResult::kCompleted:
      return observation.status < kMinServerErrorStatus ? OutcomeType::kSuccess
                                                        : OutcomeType::kFailure;
    case AttemptResult::kRefused:
    case AttemptResult::kOversized:
    case AttemptResult::kCancelled:
      return OutcomeType::kNeutral;
    case AttemptResult::kConnectFailed:
    case AttemptResult::kBroken:
    case AttemptResult::kTimedOut:
    case AttemptResult::kTruncated:
      break;
  }
  return OutcomeType::kFailure;
}

bool HasAnswer(AttemptResult result) {
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
  base::Findings chart_findings;
  auto chart = chart::StateChart::Parse(
      file_, text_, internal::HealthVocabulary(), &chart_findings);
  if (findings != nullptr) {
    findings->Append(chart_findings);
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
    const bool is_declared =
        found != declared.end() && found->second.zone == zone;
    server = is_declared ? std::next(server) : servers_.erase(server);
  }
  for (const auto& [name, declaration] : declared) {
    if (declaration.zone != zone) {
      continue;
    }
    first_server_added_ = std::min(first_server_added_, now);
    auto [server, is_new] = servers_.try_emplace(name);
    server->second.service = declaration.service;
    if (!is_new) {
      continue;
    }
    server->second.machine = std::make_unique<chart::StateMachine>(chart_);
    server->second.is_cold = now - first_server_added_ > kMeasurementTimeout;
    server->second.state_start = now;
    server->second.next_probe = now;
    has_changes_ = true;
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

void BackendHealth::HandleEvent(Server* server,
                                absl::string_view event,
                                absl::Time now) {
  const std::string previous_state = server->machine->state();
  const double ramp = Ramp(*server, now);
  for (const std::string& action : server->machine->Handle(event)) {
    if (action == "start_widening") {
      server->widening_start_ramp = previous_state == "unhealthy" ? 0 : ramp;
    } else if (action == "add_failure") {
      ++server->failure_count;
      server->recovery_time =
          rules_.doubles_recovery_time
              ? std::min(kMaxRecoveryTime,
                         kInitialRecoveryTime *
                             (1 << std::min(server->failure_count - 1, 10)))
              : kInitialRecoveryTime;
    } else if (action == "forget") {
      server->is_cold = true;
      server->last_measurement = absl::InfinitePast();
    }
    // The action start_ramp needs no code, because the ramp starts when the
    // state changes.
  }
  if (server->machine->state() == previous_state) {
    return;
  }
  server->state_start = now;
  server->probe_failures = server->probe_successes = 0;
  server->request_failures = server->request_successes = 0;
  server->recent_failures = server->recent_outcomes = 0;
  has_changes_ = true;
}

void BackendHealth::OnProbe(absl::string_view name,
                            const HealthProbe& probe,
                            absl::Time now) {
  Server* server = Find(name);
  if (server == nullptr) {
    return;
  }
  server->last_measurement = std::max(server->last_measurement, now);
  const bool is_good = probe.is_answered && probe.is_ready;
  server->probe_successes = is_good ? server->probe_successes + 1 : 0;
  server->probe_failures = is_good ? 0 : server->probe_failures + 1;
  if (probe.is_answered) {
    server->last_answer = std::max(server->last_answer, now);
    server->reported_load = probe.reported_load;
    server->last_report = now - probe.report_age;
    server->is_probed_server_leaving = probe.is_leaving;
  }
  server->live_probes =
      is_good && !probe.is_leaving ? server->live_probes + 1 : 0;
  UpdateLeaving(server, now);
  UpdateHealth(server, now);
}

void BackendHealth::OnListEntry(absl::string_view name,
                                bool is_leaving,
                                absl::Time now) {
  Server* server = Find(name);
  if (server == nullptr) {
    return;
  }
  server->is_listed_leaving = is_leaving;
  UpdateLeaving(server, now);
  if (!rules_.confirms_return && !is_leaving) {
    HandleEvent(server, "return", now);
  }
}

void BackendHealth::UpdateLeaving(Server* server, absl::Time now) {
  if (server->is_listed_leaving || server->is_probed_server_leaving) {
    HandleEvent(server, "leave", now);
    return;
  }
  // The server list lags, and a probe can report a wrong state once. A leaving
  // server therefore returns only after several consecutive probes, and only if
  // no other source reports it as leaving.
  if (server->live_probes >= kProbesToConfirmReturn) {
    HandleEvent(server, "return", now);
  }
}

void BackendHealth::OnObservation(const Observation& observation) {
  Server* server = Find(observation.backend_server);
  if (server == nullptr) {
    return;
  }
  const absl::Time now = observation.at;
  if (internal::HasAnswer(observation.result)) {
    server->last_answer = std::max(server->last_answer, now);
  }
  const internal::OutcomeType outcome = internal::ClassifyOutcome(observation);
  // Requests that began before the last change of state are ignored.
  if (outcome == internal::OutcomeType::kNeutral ||
      now - observation.latency < server->state_start) {
    return;
  }
  server->last_measurement = std::max(server->last_measurement, now);
  if (now - server->counts_halved_at > kRequestOutcomeLifetime) {
    server->recent_failures /= 2;
    server->recent_outcomes /= 2;
    server->counts_halved_at = now;
  }
  ++server->recent_outcomes;
  if (outcome == internal::OutcomeType::kSuccess) {
    server->last_request_success = std::max(server->last_request_success, now);
    server->request_failures = 0;
    ++server->request_successes;
  } else {
    ++server->recent_failures;
    ++server->request_failures;
    server->request_successes = 0;
  }
  UpdateHealth(server, now);
}

void BackendHealth::UpdateHealth(Server* server, absl::Time now) {
  const std::string& state = server->machine->state();
  const int request_failure_threshold =
      state == "slow_start" ? internal::kSlowStartRequestFailures
                            : kUnhealthyRequestFailures;
  const bool are_requests_failing =
      rules_.prefers_request_outcomes &&
      (server->request_failures >= request_failure_threshold ||
       (server->recent_outcomes >= kMinOutcomesForFailureRatio &&
        server->recent_failures * 100 >=
            server->recent_outcomes * kUnhealthyFailurePercent));
  const bool are_requests_succeeding =
      rules_.prefers_request_outcomes && !are_requests_failing &&
      now - server->last_request_success <= kRequestOutcomeLifetime;
  if (are_requests_failing ||
      (server->probe_failures >= kUnhealthyProbeFailures &&
       !are_requests_succeeding)) {
    HandleEvent(server, "bad", now);
    return;
  }
  if (server->probe_successes > 0 || server->request_successes > 0) {
    HandleEvent(server, server->is_cold ? "good_cold" : "good", now);
  }
  const absl::Duration elapsed = now - server->state_start;
  if (state == "unhealthy" && elapsed >= server->recovery_time) {
    // A server that answers its probes but reports that it is not ready is
    // retried after kMaxRecoveryTime, because its report may be wrong.
    const bool is_answering = elapsed >= kMaxRecoveryTime &&
                              now - server->last_answer <= 3 * kProbeInterval;
    if (server->probe_successes >= internal::kRecoveryProbeSuccesses ||
        server->request_successes >= internal::kRecoveryRequestSuccesses ||
        is_answering) {
      HandleEvent(server, "recovered", now);
    }
  }
}

bool BackendHealth::OnTick(absl::Time now) {
  for (auto& [name, server] : servers_) {
    const std::string& state = server.machine->state();
    const absl::Duration elapsed = now - server.state_start;
    if (state == "slow_start" && elapsed >= kSlowStartTime &&
        now - server.last_answer <= kSlowStartTime) {
      server.is_cold = false;
      HandleEvent(&server, "warm", now);
    }
    if (state == "widening" && elapsed >= kWideningTime) {
      server.is_cold = false;
      HandleEvent(&server, "widened", now);
    }
    if (state == "healthy" && elapsed >= kFailureResetTime) {
      server.failure_count = 0;
      server.recovery_time = kInitialRecoveryTime;
    }
    if (rules_.widens_unmeasured &&
        now - std::max(server.last_measurement, server.state_start) >=
            kMeasurementTimeout) {
      HandleEvent(&server, "silent", now);
    }
    if (state == "unhealthy") {
      UpdateHealth(&server, now);
    }
    if (Ramp(server, now) < 1 && now >= next_ramp_publish_) {
      has_changes_ = true;
      next_ramp_publish_ = now + kMinRampPublishInterval;
    }
  }
  return std::exchange(has_changes_, false);
}

std::vector<std::string> BackendHealth::DueProbes(absl::Time now) {
  std::vector<std::string> due;
  for (auto& [name, server] : servers_) {
    if (now < server.next_probe) {
      continue;
    }
    due.push_back(name);
    // Jitter prevents the instances of a zone from probing at the same time.
    server.next_probe =
        now + kProbeInterval *
                  (1 + internal::kProbeJitter * (2 * random_.Unit() - 1));
  }
  return due;
}

double BackendHealth::Ramp(const Server& server, absl::Time now) const {
  const std::string& state = server.machine->state();
  const absl::Duration elapsed = now - server.state_start;
  if (state == "slow_start") {
    return std::min(
        1.0, kInitialRamp + (1 - kInitialRamp) *
                                absl::FDivDuration(elapsed, kSlowStartTime));
  }
  if (state == "widening") {
    return std::min(1.0, server.widening_start_ramp +
                             (1 - server.widening_start_ramp) *
                                 absl::FDivDuration(elapsed, kWideningTime));
  }
  if (state == "unmeasured" && server.is_cold) {
    // If a cold server has no measurement yet, its slot share grows as if the
    // measurements had stopped when the server was declared.
    return std::clamp(
        absl::FDivDuration(elapsed - kMeasurementTimeout, kWideningTime),
        kInitialRamp, 1.0);
  }
  return 1;
}

HealthStatus BackendHealth::Health(const Server& server) const {
  const std::string& state = server.machine->state();
  if (state == "healthy") {
    return HealthStatus::kHealthy;
  }
  if (state == "slow_start") {
    return HealthStatus::kSlowStart;
  }
  return state == "unhealthy" ? HealthStatus::kUnhealthy
                              : HealthStatus::kUnmeasured;
}

void BackendHealth::Apply(std::vector<BackendView>* views,
                          absl::Time now) const {
  struct ServerCounts {
    int total = 0;
    int unhealthy = 0;
  };
  std::map<std::string, ServerCounts> counts;
  for (const auto& [name, server] : servers_) {
    if (server.machine->state() == "leaving") {
      continue;
    }
    ServerCounts& service_counts = counts[server.service];
    ++service_counts.total;
    service_counts.unhealthy += server.machine->state() == "unhealthy" ? 1 : 0;
  }
  for (BackendView& view : *views) {
    const auto found = servers_.find(view.name);
    if (found == servers_.end()) {
      continue;
    }
    const Server& server = found->second;
    view.health = Health(server);
    view.ramp = Ramp(server, now);
    view.is_leaving = view.is_leaving || server.machine->state() == "leaving";
    view.reported_load = server.reported_load;
    view.reported_at = server.last_report;
    const ServerCounts& service_counts = counts[view.service];
    if (rules_.has_panic_threshold && view.health == HealthStatus::kUnhealthy &&
        service_counts.unhealthy * 2 > service_counts.total &&
        now - server.last_answer <= kRecentAnswerTime) {
      view.health = HealthStatus::kUnmeasured;
      view.ramp = 1;
    }
  }
}

}  // namespace baobabwall::steer
