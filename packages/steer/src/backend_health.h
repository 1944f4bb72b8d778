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

/// Text of charts/backend_health.chart at the time of the build.
extern const char kBackendHealthChartText[];

/// \brief Result of a probe of a backend server.
struct HealthProbe {
  bool is_answered = false;
  bool is_ready = false;
  bool is_leaving = false;
  double reported_load = 0;   ///< Share of its slots in use, 0 to 1.
  absl::Duration report_age;  ///< Age of the load figure.
};

/// \brief Rules of the health verdict that a test can switch off.
struct HealthRules {
  bool passive_first = true;     ///< Requests count more than probes.
  bool damps_flapping = true;    ///< Failures in a row double the recovery.
  bool panics = true;            ///< Ignore health when most look unhealthy.
  bool widens = true;            ///< Widen when all measurements stop.
  bool trusts_no_return = true;  ///< One sign of leaving beats stale others.
};

/// \brief Judges backend servers from probes, request outcomes and reports.
///
/// The life cycle is charts/backend_health.chart. Measurements are turned into
/// its events here.
class BackendHealth {
 public:
  /// A server that just failed is tried again after this; doubled by each
  /// further failure, up to kMaxRecovery. Twice the probe interval, so that
  /// at least one new probe has been answered.
  static constexpr absl::Duration kRecovery = absl::Seconds(2);
  static constexpr absl::Duration kMaxRecovery = absl::Seconds(60);
  /// Failures are forgotten after it was healthy for this long.
  static constexpr absl::Duration kForgive = absl::Seconds(60);
  static constexpr absl::Duration kHold = absl::Seconds(30);
  static constexpr absl::Duration kWiden = absl::Seconds(60);
  static constexpr absl::Duration kRamp = absl::Seconds(10);
  /// Ramps are published at most this often: each snapshot costs the traffic
  /// side a rebuild of its tables.
  static constexpr absl::Duration kRampStep = absl::Milliseconds(500);
  /// Share at the start of the slow start.
  static constexpr double kRampStart = 0.1;
  static constexpr absl::Duration kProbeInterval = absl::Seconds(1);
  /// Requests that went well within this time outweigh failing probes.
  static constexpr absl::Duration kPassiveMemory = absl::Seconds(5);
  /// "Answered recently" for the panic threshold.
  static constexpr absl::Duration kAnswerMemory = absl::Seconds(10);
  static constexpr int kBadProbes = 3;
  /// One caller's broken requests rarely fail five times in a row while
  /// others do well.
  static constexpr int kBadRequests = 5;
  /// Least outcomes, and failures among them in percent, of a bad share.
  static constexpr int kBadShareOutcomes = 20;
  static constexpr int kBadSharePercent = 50;
  /// Probes in a row that deny leaving before a server counts as back.
  static constexpr int kReturnProbes = 3;

  class Builder {
   public:
    /// \brief Replaces the chart that was compiled in.
    Builder& Chart(absl::string_view file, absl::string_view text);
    Builder& Rules(HealthRules rules);
    Builder& Seed(uint64_t seed);
    /// \param findings receives every problem of the chart; may be nullptr.
    /// \returns nullptr if there was any.
    std::unique_ptr<BackendHealth> Build(base::Findings* findings) const;

   private:
    friend class BackendHealth;
    std::string file_ = "charts/backend_health.chart";
    std::string text_ = kBackendHealthChartText;
    HealthRules rules_;
    uint64_t seed_ = 1;
  };

  /// \brief Follows the configuration. Servers declared within kHold of the
  /// first one count as warm: this process is new and still reads the log, the
  /// servers are not.
  void SetServers(const model::Configuration& configuration,
                  absl::string_view zone,
                  absl::Time now);

  void OnProbe(absl::string_view server,
               const HealthProbe& probe,
               absl::Time now);
  void OnObservation(const Observation& observation);
  void OnListed(absl::string_view server, bool is_leaving, absl::Time now);

  /// \brief Lets time pass.
  /// \returns true if any verdict has changed since the last call.
  bool OnTick(absl::Time now);

  /// \returns servers that are due for a probe; each is named once an interval.
  std::vector<std::string> DueProbes(absl::Time now);

  /// \brief Puts verdict, ramp, sign of leaving and load into the views.
  void Apply(std::vector<BackendView>* views, absl::Time now) const;

  /// \returns state of the chart; empty for an unknown server.
  absl::string_view StateOf(absl::string_view server) const;

 private:
  struct Server {
    std::string service;
    std::unique_ptr<chart::StateMachine> machine;
    bool is_cold = false;
    bool is_listed_leaving = false;
    bool is_probed_leaving = false;
    int denied_leaving = 0;  ///< Probes in a row.
    int probe_failures = 0;  ///< In a row.
    int probe_successes = 0;
    int request_failures = 0;
    int request_successes = 0;
    int recent_failures = 0;  ///< Halved every kPassiveMemory.
    int recent_outcomes = 0;
    absl::Time halved = absl::InfinitePast();
    absl::Time request_success = absl::InfinitePast();
    absl::Time answered = absl::InfinitePast();
    absl::Time measured = absl::InfinitePast();
    absl::Time since = absl::InfinitePast();  ///< Of the present state.
    absl::Time probe_due = absl::InfinitePast();
    absl::Duration recovery = kRecovery;
    int failures = 0;  ///< Of the server, not forgiven yet.
    double widen_from = 0;
    double reported_load = 0;
    absl::Time reported = absl::InfinitePast();
  };

  BackendHealth(std::shared_ptr<const chart::StateChart> chart,
                const Builder& builder);

  Server* Find(absl::string_view server);
  void Fire(Server* server, absl::string_view event, absl::Time now);
  void Judge(Server* server, absl::Time now);
  void JudgeLeaving(Server* server, absl::Time now);
  double RampOf(const Server& server, absl::Time now) const;
  HealthVerdict VerdictOf(const Server& server) const;

  std::shared_ptr<const chart::StateChart> chart_;
  HealthRules rules_;
  base::Random random_;
  std::map<std::string, Server, std::less<>> servers_;
  absl::Time first_declared_ = absl::InfiniteFuture();
  absl::Time ramps_due_ = absl::InfinitePast();
  bool is_changed_ = false;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_BACKEND_HEALTH_H_
