#ifndef STEER_SRC_BACKEND_HEALTH_H_
#define STEER_SRC_BACKEND_HEALTH_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/base.h"
#include "chart/chart.h"
#include "model/model.h"
#include "steer/src/action.h"
#include "steer/src/snapshot.h"

namespace baobabwall::steer {

/// Text of charts/backend_health.chart, embedded when the project was built.
extern const char kBackendHealthChartText[];

/// \brief Result of a probe of a backend server.
struct HealthProbe {
  bool is_answered = false;
  bool is_ready = false;
  bool is_leaving = false;
  double reported_load = 0;   ///< Fraction of slots in use, 0 to 1.
  absl::Duration report_age;  ///< Age of `reported_load`.
};

/// \brief Switches of the rules of the health check; a test can disable each
/// rule.
struct HealthRules {
  bool prefers_request_outcomes = true;  ///< Request outcomes override probes.
  /// Each failure doubles the recovery time.
  bool doubles_recovery_time = true;
  /// Ignore health if most servers are unhealthy.
  bool has_panic_threshold = true;
  /// Raise the slot share when measurements stop.
  bool widens_unmeasured = true;
  /// A leaving server returns only after every source reports it as live.
  bool confirms_return = true;
};

/// \brief Tracks the health of backend servers from probes, request outcomes
/// and load reports.
///
/// charts/backend_health.chart defines the states of a server. This class
/// converts measurements to events of the chart.
class BackendHealth {
 public:
  /// Time until a failed server receives requests again. Each further failure
  /// doubles the time, up to kMaxRecoveryTime. The initial time is twice the
  /// probe interval, so that at least one new probe has been answered.
  static constexpr absl::Duration kInitialRecoveryTime = absl::Seconds(2);
  static constexpr absl::Duration kMaxRecoveryTime = absl::Seconds(60);
  /// The failure count is reset after the server has been healthy for this
  /// time.
  static constexpr absl::Duration kFailureResetTime = absl::Seconds(60);
  /// A server becomes unmeasured if no measurement arrives for this time.
  static constexpr absl::Duration kMeasurementTimeout = absl::Seconds(30);
  /// Duration over which the slot share of an unmeasured server grows to the
  /// full share.
  static constexpr absl::Duration kWideningTime = absl::Seconds(60);
  /// Duration of the slow start.
  static constexpr absl::Duration kSlowStartTime = absl::Seconds(10);
  /// Minimum time between two snapshots that change the ramp. The limit is
  /// needed because the traffic threads rebuild their tables for each snapshot.
  static constexpr absl::Duration kMinRampPublishInterval =
      absl::Milliseconds(500);
  /// Initial fraction of the slot share at the beginning of a slow start.
  static constexpr double kInitialRamp = 0.1;
  static constexpr absl::Duration kProbeInterval = absl::Seconds(1);
  /// After a successful request, failing probes are ignored for this time.
  static constexpr absl::Duration kRequestOutcomeLifetime = absl::Seconds(5);
  /// Above the panic threshold, an unhealthy server is used only if it has
  /// answered within this time.
  static constexpr absl::Duration kRecentAnswerTime = absl::Seconds(10);
  /// Number of consecutive failed probes that make a server unhealthy.
  static constexpr int kUnhealthyProbeFailures = 3;
  /// Number of consecutive failed requests that make a server unhealthy. The
  /// invalid requests of one caller rarely fail five times in a row while
  /// requests of other callers succeed.
  static constexpr int kUnhealthyRequestFailures = 5;
  /// A server also becomes unhealthy if at least this percentage of its recent
  /// request outcomes are failures. The rule applies only after a minimum
  /// number of outcomes.
  static constexpr int kMinOutcomesForFailureRatio = 20;
  static constexpr int kUnhealthyFailurePercent = 50;
  /// Number of consecutive probes without the leaving flag after which a
  /// leaving server counts as live again.
  static constexpr int kProbesToConfirmReturn = 3;

  class Builder {
   public:
    /// \brief Replaces the embedded chart.
    Builder& Chart(absl::string_view file, absl::string_view text);
    Builder& Rules(HealthRules rules);
    Builder& Seed(uint64_t seed);
    /// \param findings receives every error of the chart; may be nullptr.
    /// \returns nullptr if the chart has an error.
    std::unique_ptr<BackendHealth> Build(base::Findings* findings) const;

   private:
    friend class BackendHealth;
    std::string file_ = "charts/backend_health.chart";
    std::string text_ = kBackendHealthChartText;
    HealthRules rules_;
    uint64_t seed_ = 1;
  };

  /// \brief Adds and removes servers after a change of the configuration.
  ///
  /// Servers added within kMeasurementTimeout of the first server count as
  /// warm: this process has just started and still reads the configuration
  /// log, while the servers were already running.
  void SetServers(const model::Configuration& configuration,
                  absl::string_view zone,
                  absl::Time now);

  /// \brief Records the result of a probe.
  void OnProbe(absl::string_view server,
               const HealthProbe& probe,
               absl::Time now);
  /// \brief Records the outcome of an attempt.
  void OnObservation(const Observation& observation);
  /// \brief Records the leaving flag that the server list reports.
  void OnListEntry(absl::string_view server, bool is_leaving, absl::Time now);

  /// \brief Sends the time-dependent events, such as the end of the slow start,
  /// to the state machine of each server. \returns true if the health of any
  /// server has changed since the last call.
  bool OnTick(absl::Time now);

  /// \returns the servers that are due for a probe; each server is returned
  /// once per kProbeInterval.
  std::vector<std::string> DueProbes(absl::Time now);

  /// \brief Writes health, ramp, leaving flag and reported load to the views.
  void Apply(std::vector<BackendView>* views, absl::Time now) const;

  /// \returns the current chart state of a server; empty for an unknown server.
  absl::string_view StateOf(absl::string_view server) const;

 private:
  struct Server {
    std::string service;
    std::unique_ptr<chart::StateMachine> machine;
    bool is_cold = false;
    bool is_listed_leaving = false;
    bool is_probed_server_leaving = false;
    int live_probes = 0;     ///< Consecutive probes without the leaving flag.
    int probe_failures = 0;  ///< Consecutive failed probes.
    int probe_successes = 0;
    int request_failures = 0;
    int request_successes = 0;
    int recent_failures = 0;  ///< Halved every kRequestOutcomeLifetime.
    int recent_outcomes = 0;
    absl::Time counts_halved_at = absl::InfinitePast();
    absl::Time last_request_success = absl::InfinitePast();
    absl::Time last_answer = absl::InfinitePast();
    absl::Time last_measurement = absl::InfinitePast();
    absl::Time state_start = absl::InfinitePast();
    absl::Time next_probe = absl::InfinitePast();
    absl::Duration recovery_time = kInitialRecoveryTime;
    int failure_count = 0;  ///< Failures since the last reset.
    double widening_start_ramp = 0;
    double reported_load = 0;
    absl::Time last_report = absl::InfinitePast();
  };

  BackendHealth(std::shared_ptr<const chart::StateChart> chart,
                const Builder& builder);

  Server* Find(absl::string_view server);
  void HandleEvent(Server* server, absl::string_view event, absl::Time now);
  void UpdateHealth(Server* server, absl::Time now);
  void UpdateLeaving(Server* server, absl::Time now);
  double Ramp(const Server& server, absl::Time now) const;
  HealthStatus Health(const Server& server) const;

  std::shared_ptr<const chart::StateChart> chart_;
  HealthRules rules_;
  base::Random random_;
  std::map<std::string, Server, std::less<>> servers_;
  absl::Time first_server_added_ = absl::InfiniteFuture();
  absl::Time next_ramp_publish_ = absl::InfinitePast();
  bool has_changes_ = false;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_BACKEND_HEALTH_H_
