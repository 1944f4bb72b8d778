#include <catch2/catch.hpp>
#include <string>

#include "gateway/gateway.h"

namespace baobabwall::gateway {
namespace {

constexpr double kSlowFactor = 2.5;

/// One instance and four servers of one service, which report their load.
class Fixture {
 public:
  Fixture()
      : zones({{"a-1", "a"}}, "a-1"),
        steering(&zones,
                 "self",
                 1,
                 {{}, {}, {}, {}, {}, {}, {}, [this](const BackendServer&) {
                    ++malformed_reports;
                  }}) {
    RoutingConfig::Builder builder;
    builder.Version(1).AddService({"s", "/health", 330, absl::Seconds(3), 8});
    route.name = "read";
    route.prefix = "/read/";
    route.is_idempotent = true;
    route.timeout = absl::Seconds(2);
    route.latency_objective = absl::Milliseconds(300);
    route.max_attempts = 2;
    route.services = {{"s", 1}};
    steering.SetConfig(builder.AddRoute("h", route).Build());
    InstanceRecord self;
    self.name = "self";
    self.zone = "a-1";
    self.region = "a";
    steering.SetInstances({self}, {self}, now);
    BackendSet set;
    for (int i = 0; i < 4; ++i) {
      BackendServer server;
      server.id = "server-" + std::to_string(i);
      server.service = "s";
      server.zone = "a-1";
      server.slots = 5;
      set.Add(server);
    }
    steering.SetBackends(set);
  }

  SteeringActions Send() {
    CallerRequest request;
    request.id = ++last_id;
    request.host = "h";
    request.path = "/read/1";
    request.fingerprint = last_id;
    request.time_left = absl::Seconds(3);
    request.arrival = now;
    return steering.OnRequest(request, now);
  }

  /// Sends a request, which is answered after the time with the load report.
  /// \returns the server.
  std::string Complete(const ReportedLoad& load, absl::Duration work) {
    const SteeringActions actions = Send();
    const auto& start = std::get<StartAttempt>(actions.at(0));
    now += work + ZoneMap::kSameZoneRoundTrip;
    AttemptEnd end;
    end.attempt = start.attempt;
    end.result = AttemptResult::kCompleted;
    end.status = 200;
    end.load = load;
    steering.OnAttemptEnd(end, now);
    return start.server;
  }

  WorkTime work_time() { return steering.balancer().WorkTimeOf("s", route); }

  static ReportedLoad Report(std::optional<double> work_factor) {
    ReportedLoad load{0, 0, 5};
    load.work_factor = work_factor;
    return load;
  }

  absl::Time now = absl::FromUnixSeconds(1'000'000);
  RequestId last_id = 0;
  int malformed_reports = 0;
  Route route;
  ZoneMap zones;
  Steering steering;
};

// Guards against requests that are sent to a server which has just reported
// that it is slow, and against a server that stays avoided after that moment.
TEST_CASE("pattern: a server is slow for some hundred milliseconds") {
  Fixture f;
  const absl::Duration work = f.work_time().warm;
  const std::string slow = f.Complete(Fixture::Report(kSlowFactor), work);
  CHECK(f.Complete(Fixture::Report(1), work) != slow);
  f.now += absl::Seconds(2);
  std::set<std::string> used;
  for (int i = 0; i < 4; ++i) {
    used.insert(std::get<StartAttempt>(f.Send().at(0)).server);
  }
  CHECK(used.count(slow) == 1);
}

// Guards against a slow moment that is taken for a run without the cached
// object, or for a lasting slowness of the server.
TEST_CASE("pattern: work times of servers that are slow from time to time") {
  Fixture steady;
  Fixture fluctuating;
  Fixture unreported;
  const absl::Duration work = steady.work_time().warm;
  for (int i = 0; i < 200; ++i) {
    const bool is_slow = i % 5 == 0;
    const double factor = is_slow ? kSlowFactor : 1;
    steady.Complete(Fixture::Report(1), work);
    fluctuating.Complete(Fixture::Report(factor), work * factor);
    unreported.Complete(Fixture::Report(std::nullopt), work * factor);
  }
  CHECK(fluctuating.work_time().warm == steady.work_time().warm);
  CHECK(fluctuating.work_time().cold == steady.work_time().cold);
  CHECK(unreported.work_time().cold != steady.work_time().cold);
}

// Guards against a work time that was measured before the machine became slow,
// and is taken for a much shorter one.
TEST_CASE("a reported speed does not correct a usual work time") {
  Fixture f;
  const absl::Duration work = f.work_time().warm;
  f.Complete(Fixture::Report(kSlowFactor), work);
  CHECK(f.work_time().warm == work);
}

// Guards against a repetition of a request that a slow server will answer.
TEST_CASE("an attempt at a slow server is repeated later") {
  for (const double factor : {1.0, kSlowFactor}) {
    Fixture f;
    for (int i = 0; i < 4; ++i) {
      const auto actions = f.Send();
      AttemptEnd end;
      end.attempt = std::get<StartAttempt>(actions.at(0)).attempt;
      end.result = AttemptResult::kCompleted;
      end.status = 200;
      end.load = Fixture::Report(factor);
      f.steering.OnAttemptEnd(end, f.now);
    }
    f.Send();
    const WorkTime work = f.work_time();
    f.now += (work.warm + work.cold) * Steering::kAnswerTimeoutFactor +
             absl::Milliseconds(50);
    CHECK(f.steering.OnTick(f.now).empty() == (factor > 1));
  }
}

// Guards against one log line for each answer of a server with a malformed
// report.
TEST_CASE("a malformed report is told once for each server") {
  Fixture f;
  ReportedLoad malformed{0, 0, 5};
  malformed.is_partly_malformed = true;
  std::set<std::string> servers;
  for (int i = 0; i < 20; ++i) {
    servers.insert(f.Complete(malformed, absl::Milliseconds(50)));
  }
  CHECK(f.malformed_reports == static_cast<int>(servers.size()));
}

}  // namespace
}  // namespace baobabwall::gateway
