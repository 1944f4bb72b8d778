#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "steer_fixture.h"

namespace baobabwall::steer {
namespace {

/// \brief Test fixture with the servers s1 to s4 of one service and a clock.
class HealthFixture {
 public:
  explicit HealthFixture(HealthRules rules = {}) {
    base::Findings findings;
    health_ = BackendHealth::Builder().Rules(rules).Build(&findings);
    REQUIRE(findings.ToString() == "");
    Declare(4);
  }

  void Declare(int count) {
    std::vector<model::Change> changes = {
        steer::Declare(model::Kind::kRegion, "amba", R"({"declaredRate":9})"),
        steer::Declare(model::Kind::kZone, "amba-a", R"({"region":"amba"})"),
        steer::Declare(model::Kind::kService, "reservas",
                       R"({"tenant":"c","class":"transactional"})")};
    for (int i = 1; i <= count; ++i) {
      changes.push_back(steer::Declare(
          model::Kind::kBackendServer, "s" + std::to_string(i),
          R"({"service":"reservas","zone":"amba-a","address":"127.0.0.1",)"
          R"("port":9000,"slots":10})"));
    }
    base::Findings findings;
    const auto configuration =
        model::Configuration::Empty()->Apply({"t", changes}, 1, &findings);
    REQUIRE(configuration != nullptr);
    health_->SetServers(*configuration, "amba-a", now);
  }

  void Probe(const std::string& server,
             bool is_ready,
             bool is_answered = true) {
    HealthProbe probe;
    probe.is_answered = is_answered;
    probe.is_ready = is_ready;
    health_->OnProbe(server, probe, now);
  }

  void Request(const std::string& server, AttemptResult result, int status) {
    health_->OnObservation({server, result, status, absl::ZeroDuration(), now});
  }

  /// \brief Advances the clock by seconds, with one probe of each server per
  /// second. s2 to s4 report that they are ready.
  /// \param count number of seconds.
  /// \param is_s1_ready whether s1 reports that it is ready.
  /// \param requests number of requests to s1 per second.
  /// \param status HTTP status of the answers of s1.
  void RunSeconds(int count,
                  bool is_s1_ready,
                  int requests = 0,
                  int status = 200) {
    for (int i = 0; i < count; ++i) {
      now += absl::Seconds(1);
      for (const char* server : {"s2", "s3", "s4"}) {
        Probe(server, true);
      }
      Probe("s1", is_s1_ready);
      for (int request = 0; request < requests; ++request) {
        if (View("s1").health != HealthStatus::kUnhealthy) {
          Request("s1", AttemptResult::kCompleted, status);
        }
      }
      health_->OnTick(now);
    }
  }

  BackendView View(const std::string& server) const {
    BackendView view;
    view.name = server;
    view.service = "reservas";
    std::vector<BackendView> views = {view};
    health_->Apply(&views, now);
    return views[0];
  }

  BackendHealth* operator->() { return health_.get(); }

  absl::Time now = kTestStart;

 private:
  std::unique_ptr<BackendHealth> health_;
};

// Guards against a difference between the chart file and the embedded chart.
TEST_CASE("a health chart with unknown names is rejected with all findings") {
  std::ifstream file("charts/backend_health.chart");
  std::stringstream text;
  text << file.rdbuf();
  CHECK(text.str() == kBackendHealthChartText);
  base::Findings findings;
  CHECK(BackendHealth::Builder()
            .Chart("x",
                   "[chart]\nname=x\ninitial=healthy\n"
                   "[state healthy]\nbda = healthy / add\n")
            .Build(&findings) == nullptr);
  CHECK(findings.items().size() == 2);
}

// Guards against a server that answers probes but fails every request.
TEST_CASE("failed requests override successful probes") {
  for (const bool is_rule_enabled : {true, false}) {
    HealthRules rules;
    rules.prefers_request_outcomes = is_rule_enabled;
    HealthFixture fixture(rules);
    fixture.RunSeconds(3, true, 2, 500);
    CHECK((fixture.View("s1").health == HealthStatus::kUnhealthy) ==
          is_rule_enabled);
    CHECK(fixture.View("s2").health == HealthStatus::kHealthy);
  }
}

// Guards against ejecting a server that serves requests but fails its probes.
TEST_CASE("successful requests override failed probes") {
  for (const bool is_rule_enabled : {true, false}) {
    HealthRules rules;
    rules.prefers_request_outcomes = is_rule_enabled;
    HealthFixture fixture(rules);
    fixture.RunSeconds(20, false, 1, 200);
    CHECK((fixture.View("s1").health == HealthStatus::kHealthy) ==
          is_rule_enabled);
  }
  HealthFixture idle_fixture;
  idle_fixture.RunSeconds(2, true);
  idle_fixture.RunSeconds(3, false);
  CHECK(idle_fixture.View("s1").health == HealthStatus::kUnhealthy);
}

// Guards against counting an explicit refusal as a failure: a server that sheds
// load would be ejected, and the other servers would receive its load.
TEST_CASE("load shedding does not count as a failure") {
  HealthFixture fixture;
  fixture.RunSeconds(1, true);
  for (int i = 0; i < 50; ++i) {
    fixture.Request("s1", AttemptResult::kRefused, 503);
  }
  CHECK(fixture.View("s1").health == HealthStatus::kHealthy);
}

/// \returns number of seconds, out of 600, in which requests are sent to a
/// server that fails all requests but answers its probes.
int SecondsInUse(const HealthRules& rules) {
  HealthFixture fixture(rules);
  int in_use = 0;
  for (int i = 0; i < 600; ++i) {
    fixture.RunSeconds(1, true, 1, 500);
    in_use += fixture.View("s1").health != HealthStatus::kUnhealthy ? 1 : 0;
  }
  return in_use;
}

// Guards against sending requests to a flapping server every few seconds.
TEST_CASE("each failure doubles the recovery time up to a minute") {
  HealthRules disabled_rule;
  disabled_rule.doubles_recovery_time = false;
  // The recovery times are 2, 4, 8, 16 and 32 s, then one minute each: at most
  // 15 slow starts of 2 s.
  CHECK(SecondsInUse(HealthRules()) <=
        30 + BackendHealth::kUnhealthyRequestFailures);
  CHECK(SecondsInUse(disabled_rule) > 100);
}

// Guards against full load on a server that has just recovered or started.
TEST_CASE("recovered and new servers begin with a slow start") {
  HealthFixture fixture;
  fixture.RunSeconds(1, true);
  CHECK(fixture.View("s1").ramp == 1);
  fixture.RunSeconds(3, false);
  fixture.RunSeconds(3, true);
  CHECK(fixture.View("s1").health == HealthStatus::kSlowStart);
  CHECK(fixture.View("s1").ramp < 0.3);
  fixture.RunSeconds(11, true);
  CHECK(fixture.View("s1").health == HealthStatus::kHealthy);
  fixture.RunSeconds(20, true);
  fixture.Declare(5);
  CHECK(fixture.View("s5").ramp == BackendHealth::kInitialRamp);
  fixture.Probe("s5", true);
  CHECK(fixture.View("s5").health == HealthStatus::kSlowStart);
}

// Guards against ejecting servers, or keeping servers ejected, because all
// measurements stopped.
TEST_CASE("without measurements the health is kept, then the share grows") {
  for (const bool is_rule_enabled : {true, false}) {
    HealthRules rules;
    rules.widens_unmeasured = is_rule_enabled;
    HealthFixture fixture(rules);
    fixture.RunSeconds(2, true);
    fixture.RunSeconds(4, false);
    REQUIRE(fixture.View("s1").health == HealthStatus::kUnhealthy);
    const absl::Time last_measurement = fixture.now;
    const auto advance_to = [&](int seconds) {
      while (fixture.now < last_measurement + absl::Seconds(seconds)) {
        fixture.now += absl::Seconds(1);
        fixture->OnTick(fixture.now);
      }
      return fixture.View("s1");
    };
    CHECK(advance_to(29).health == HealthStatus::kUnhealthy);
    CHECK(fixture.View("s2").ramp == 1);
    const BackendView half_widened = advance_to(60);
    CHECK((half_widened.health == HealthStatus::kUnmeasured) ==
          is_rule_enabled);
    const BackendView fully_widened = advance_to(91);
    CHECK((fully_widened.health == HealthStatus::kUnmeasured) ==
          is_rule_enabled);
    if (is_rule_enabled) {
      CHECK(half_widened.ramp == Approx(0.5).margin(0.05));
      CHECK(fully_widened.ramp == 1);
    }
    CHECK(fixture.View("s2").health != HealthStatus::kUnhealthy);
  }
}

// Guards against a probe fault that ejects most servers at once, and against
// sending requests to servers that do not answer.
TEST_CASE("above the panic threshold, unhealthy servers that answer are used") {
  for (const bool is_rule_enabled : {true, false}) {
    HealthRules rules;
    rules.has_panic_threshold = is_rule_enabled;
    HealthFixture fixture(rules);
    fixture.RunSeconds(1, true);
    for (int i = 0; i < 12; ++i) {
      fixture.now += absl::Seconds(1);
      fixture.Probe("s1", false);
      fixture.Probe("s2", false);
      fixture.Probe("s3", false, false);
      fixture.Probe("s4", true);
    }
    CHECK((fixture.View("s1").health != HealthStatus::kUnhealthy) ==
          is_rule_enabled);
    CHECK(fixture.View("s3").health == HealthStatus::kUnhealthy);
    fixture.Probe("s4", true);
    fixture.RunSeconds(1, true);
    // s1 to s3 recover, so the panic threshold no longer applies.
    fixture.RunSeconds(9, true);
    CHECK(fixture.View("s1").health != HealthStatus::kUnhealthy);
  }
}

// Guards against sending requests to a leaving server because an outdated
// source still reports the server as live.
TEST_CASE("a server is leaving until no source reports it as leaving") {
  for (const bool is_rule_enabled : {true, false}) {
    HealthRules rules;
    rules.confirms_return = is_rule_enabled;
    HealthFixture fixture(rules);
    fixture.RunSeconds(1, true);
    HealthProbe leaving;
    leaving.is_answered = leaving.is_leaving = true;
    fixture->OnProbe("s1", leaving, fixture.now);
    CHECK(fixture.View("s1").is_leaving);
    // The server list is outdated.
    fixture->OnListEntry("s1", false, fixture.now);
    CHECK(fixture.View("s1").is_leaving == is_rule_enabled);
  }
  HealthFixture fixture;
  fixture.RunSeconds(1, true);
  fixture->OnListEntry("s1", true, fixture.now);
  // The probes of s1 do not report that it is leaving.
  fixture.RunSeconds(5, true);
  CHECK(fixture.View("s1").is_leaving);
  fixture->OnListEntry("s1", false, fixture.now);
  fixture.RunSeconds(1, true);
  CHECK_FALSE(fixture.View("s1").is_leaving);
  fixture.RunSeconds(1, true);
  CHECK(fixture.View("s1").health == HealthStatus::kSlowStart);
}

// Guards against a new snapshot for each event during a slow start, and against
// a ramp that is never published.
TEST_CASE("a ramp is published twice a second") {
  HealthFixture fixture;
  fixture.RunSeconds(2, true);
  fixture.RunSeconds(3, false);
  fixture.RunSeconds(3, true);
  REQUIRE(fixture.View("s1").health == HealthStatus::kSlowStart);
  int published = 0;
  for (int i = 0; i < 500; ++i) {
    fixture.now += absl::Milliseconds(10);
    published += fixture->OnTick(fixture.now) ? 1 : 0;
  }
  CHECK(published >= 9);
  CHECK(published <= 11);
}

// Guards against too frequent probes and against servers that are never probed.
TEST_CASE("each server is probed once a second") {
  HealthFixture fixture;
  int probes = 0;
  for (int i = 0; i < 1'000; ++i) {
    fixture.now += absl::Milliseconds(100);
    probes += static_cast<int>(fixture->DueProbes(fixture.now).size());
  }
  CHECK(probes >= 4 * 85);
  CHECK(probes <= 4 * 115);
}

}  // namespace
}  // namespace baobabwall::steer
