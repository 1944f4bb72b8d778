#include "gateway/src/steering.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

#include "absl/cleanup/cleanup.h"

namespace baobabwall::gateway {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

/// Fixture with one instance, four servers, an idempotent and a non-idempotent
/// route.
class Fixture {
 public:
  Fixture()
      : zones({{"a-1", "a"}}, "a-1"),
        steering(
            &zones,
            "self",
            1,
            {[this](const RequestRecord& record) {
               statuses[record.request->id] = record.status;
               last_record = record;
             },
             [this](uint64_t fingerprint) { crashing.insert(fingerprint); },
             [this](const BackendServer& server, absl::Duration pause) {
               paused[server.id] = pause;
             },
             [this](const BackendServer& server) { paused.erase(server.id); },
             [this](const BackendServer& server) {
               leaving.push_back(server.id);
             },
             [this](const BackendServer& server, absl::Duration pause) {
               requested_pauses[server.id] = pause;
             },
             [this](const BackendServer& server, std::optional<double> per_s) {
               limits[server.id] = per_s;
             },
             {}}) {
    RoutingConfig::Builder builder;
    builder.Version(1).AddService({"s", "/health", 330, absl::Seconds(3), 8});
    for (const bool is_idempotent : {true, false}) {
      Route route;
      route.name = is_idempotent ? "read" : "book";
      route.prefix = is_idempotent ? "/read/" : "/book/";
      route.is_idempotent = is_idempotent;
      route.timeout = absl::Seconds(1);
      route.latency_objective = absl::Milliseconds(300);
      route.max_attempts = 2;
      route.services = {{"s", 1}};
      builder.AddRoute("h", route);
    }
    steering.SetConfig(builder.Build());
    InstanceRecord self;
    self.name = "self";
    self.zone = "a-1";
    self.region = "a";
    steering.SetInstances({self}, {self}, kStart);
    PublishServers(4);
  }

  void PublishServers(int count, int64_t incarnation = 1) {
    BackendSet set;
    for (int i = 0; i < count; ++i) {
      BackendServer server;
      server.id = "server-" + std::to_string(i);
      server.service = "s";
      server.zone = "a-1";
      server.slots = 5;
      server.incarnation = incarnation;
      set.Add(server);
    }
    steering.SetBackends(set);
  }

  SteeringActions Send(absl::string_view path, RequestId id) {
    CallerRequest request;
    request.id = id;
    request.host = "h";
    request.path = std::string(path);
    request.fingerprint = 77;
    request.time_left = absl::Seconds(2);
    request.arrival = now;
    return steering.OnRequest(request, now);
  }

  SteeringActions EndAttempt(AttemptId attempt,
                             AttemptResult result,
                             int status) {
    AttemptEnd end;
    end.attempt = attempt;
    end.result = result;
    end.status = status;
    return steering.OnAttemptEnd(end, now);
  }

  /// Sends a request and ends its attempt with the server's notice.
  /// \returns the server of the attempt; empty if the request was refused.
  std::string SendWithNotice(RequestId id, const AttemptEnd& notice) {
    const auto actions = Send("/book/1", id);
    const StartAttempt* start = Find<StartAttempt>(actions);
    if (start == nullptr) {
      return "";
    }
    AttemptEnd end = notice;
    end.attempt = start->attempt;
    const std::string server = start->server;
    steering.OnAttemptEnd(end, now);
    return server;
  }

  /// \returns the servers of the next 40 requests, which are answered.
  std::set<std::string> ServersOfNextRequests() {
    std::set<std::string> servers;
    for (int i = 0; i < 40; ++i) {
      servers.insert(SendWithNotice(last_id++, Answered()));
      now += absl::Milliseconds(5);
    }
    return servers;
  }

  static AttemptEnd Answered() {
    AttemptEnd end;
    end.result = AttemptResult::kCompleted;
    end.status = 200;
    return end;
  }
  static AttemptEnd Leaving() {
    AttemptEnd end = Answered();
    end.is_server_leaving = true;
    return end;
  }
  static AttemptEnd Pausing(absl::Duration pause) {
    AttemptEnd end;
    end.result = AttemptResult::kRefused;
    end.status = 503;
    end.requested_pause = pause;
    return end;
  }

  /// Sends requests until a request is assigned to the server, and reports a
  /// failed connection for that request.
  void FailConnection(const std::string& server) {
    std::vector<AttemptId> open_attempts;
    const auto complete_others = absl::MakeCleanup([&] {
      for (const AttemptId attempt : open_attempts) {
        EndAttempt(attempt, AttemptResult::kCompleted, 200);
      }
    });
    for (RequestId id = 1000; id < 1100; ++id) {
      CallerRequest request;
      request.id = id;
      request.host = "h";
      request.path = "/read/probe";
      request.time_left = absl::Seconds(2);
      request.arrival = now;
      const auto actions = steering.OnRequest(request, now);
      const auto* start = Find<StartAttempt>(actions);
      if (start == nullptr) {
        continue;
      }
      if (start->server == server) {
        EndAttempt(start->attempt, AttemptResult::kConnectFailed, 0);
        return;
      }
      open_attempts.push_back(start->attempt);
    }
    FAIL("no request goes to " << server);
  }

  template <typename Action>
  static const Action* Find(const SteeringActions& actions) {
    for (const SteeringAction& action : actions) {
      if (const auto* found = std::get_if<Action>(&action)) {
        return found;
      }
    }
    return nullptr;
  }

  absl::Time now = kStart;
  std::map<RequestId, int> statuses;
  RequestRecord last_record;
  std::set<uint64_t> crashing;
  std::map<std::string, absl::Duration> paused;  ///< Pause by server id.
  std::vector<std::string> leaving;
  std::map<std::string, absl::Duration> requested_pauses;
  std::map<std::string, std::optional<double>> limits;
  RequestId last_id = 5000;
  ZoneMap zones;
  Steering steering;
};

using Outcome = std::pair<AttemptResult, int>;

// Guards against a booking that runs twice, or is reported as not run although
// it may have run.
TEST_CASE("a non-idempotent request is never retried after a lost answer") {
  for (const auto& [result, status] : {Outcome{AttemptResult::kBroken, 0},
                                       Outcome{AttemptResult::kTruncated, 0},
                                       Outcome{AttemptResult::kTimedOut, 0}}) {
    Fixture f;
    const auto start = f.Send("/book/1", 1);
    REQUIRE(Fixture::Find<StartAttempt>(start) != nullptr);
    const auto end = f.EndAttempt(Fixture::Find<StartAttempt>(start)->attempt,
                                  result, status);
    CHECK(Fixture::Find<StartAttempt>(end) == nullptr);
    REQUIRE(Fixture::Find<Refuse>(end) != nullptr);
    CHECK(Fixture::Find<Refuse>(end)->status == 502);
  }
}

// Guards against refusing a request that another server can still run.
TEST_CASE("a request that was not run is sent to another server") {
  Fixture f;
  const auto first = f.Send("/book/1", 1);
  const StartAttempt* start = Fixture::Find<StartAttempt>(first);
  REQUIRE(start != nullptr);
  const auto second =
      f.EndAttempt(start->attempt, AttemptResult::kRefused, 503);
  const StartAttempt* retry = Fixture::Find<StartAttempt>(second);
  REQUIRE(retry != nullptr);
  CHECK(retry->server != start->server);
  const auto third = f.EndAttempt(retry->attempt, AttemptResult::kRefused, 503);
  const Refuse* refuse = Fixture::Find<Refuse>(third);
  REQUIRE(refuse != nullptr);
  CHECK(refuse->status == 503);
  CHECK(refuse->retry_after.has_value());
}

// Guards against new requests to a server that has announced in an answer that
// it leaves, and against excluding its next incarnation.
TEST_CASE("a leaving server gets no new requests until it starts again") {
  Fixture f;
  f.PublishServers(2);
  const std::string server = f.SendWithNotice(1, Fixture::Leaving());
  CHECK(f.leaving == std::vector<std::string>{server});
  CHECK(f.ServersOfNextRequests().count(server) == 0);
  SECTION("its entry is written again") {
    f.PublishServers(2);
    CHECK(f.ServersOfNextRequests().count(server) == 0);
  }
  SECTION("its entry lapses and comes back") {
    f.PublishServers(0);
    f.PublishServers(2);
    CHECK(f.ServersOfNextRequests().count(server) == 0);
  }
  SECTION("it starts again") {
    f.PublishServers(2, 2);
    f.now += absl::Seconds(30);
    CHECK(f.ServersOfNextRequests().count(server) == 1);
  }
  SECTION("it starts again while its entry is missing") {
    f.PublishServers(0);
    f.PublishServers(2, 2);
    f.now += absl::Seconds(30);
    CHECK(f.ServersOfNextRequests().count(server) == 1);
  }
  CHECK(f.leaving.size() == 1);
}

// Guards against an answer of another server at a reused address that stops the
// requests to the server that was meant.
TEST_CASE("the notice of another server at the address is ignored") {
  Fixture f;
  f.PublishServers(1);
  AttemptEnd end = Fixture::Leaving();
  end.result = AttemptResult::kRefused;
  end.is_other_server = true;
  end.requested_pause = absl::Seconds(60);
  const std::string server = f.SendWithNotice(1, end);
  f.now += ServerLoad::kMaxPause + absl::Seconds(4);
  CHECK(f.ServersOfNextRequests().count(server) == 1);
  CHECK(f.leaving.empty());
}

// Guards against requests to a server within the pause that it asked for, and
// against a later, shorter pause that ends an earlier one.
TEST_CASE("a server that asked for a pause gets no requests until its end") {
  Fixture f;
  f.PublishServers(1);
  const std::string server =
      f.SendWithNotice(1, Fixture::Pausing(absl::Seconds(8)));
  REQUIRE(f.requested_pauses.count(server) == 1);
  CHECK(f.requested_pauses[server] >= absl::Seconds(8));
  CHECK(f.requested_pauses[server] <=
        absl::Seconds(8) + Steering::kMaxPauseSpread);
  const absl::Time end = f.now + absl::Seconds(8);
  for (RequestId id = 2; f.now < end; ++id) {
    const auto actions = f.Send("/book/1", id);
    CHECK(Fixture::Find<StartAttempt>(actions) == nullptr);
    const Refuse* refuse = Fixture::Find<Refuse>(actions);
    REQUIRE(refuse != nullptr);
    CHECK(refuse->status == 503);
    CHECK(refuse->reason == "pause-requested");
    REQUIRE(refuse->retry_after.has_value());
    CHECK(*refuse->retry_after >= end - f.now);
    f.now += absl::Milliseconds(50);
  }
  f.now += Steering::kMaxPauseSpread;
  CHECK(f.ServersOfNextRequests().count(server) == 1);
}

TEST_CASE("a shorter pause does not end a longer one") {
  Fixture f;
  f.PublishServers(1);
  const auto first = f.Send("/book/1", 1);
  const auto second = f.Send("/book/2", 2);
  AttemptEnd end = Fixture::Pausing(absl::Seconds(8));
  end.attempt = Fixture::Find<StartAttempt>(first)->attempt;
  f.steering.OnAttemptEnd(end, f.now);
  end = Fixture::Pausing(absl::Milliseconds(200));
  end.attempt = Fixture::Find<StartAttempt>(second)->attempt;
  f.steering.OnAttemptEnd(end, f.now);
  f.now += absl::Seconds(7);
  CHECK(f.ServersOfNextRequests() == std::set<std::string>{""});
}

// Guards against requests beyond the limit that a server names, and against a
// request that waits for it although all servers have named one.
TEST_CASE("requests beyond the limits of all servers are refused at once") {
  Fixture f;
  f.PublishServers(1);
  f.now += ServerLimits::kStartDelay;
  AttemptEnd end = Fixture::Answered();
  end.limit = {true, 2.0};
  const std::string server = f.SendWithNotice(1, end);
  REQUIRE(f.limits.count(server) == 1);
  CHECK(f.limits[server] == 2.0);
  int sent = 0;
  const absl::Time window_end = f.now + ServerLimits::kWindow;
  for (RequestId id = 2; f.now < window_end; ++id) {
    const auto actions = f.Send("/book/1", id);
    if (const auto* start = Fixture::Find<StartAttempt>(actions)) {
      ++sent;
      end.attempt = start->attempt;
      f.steering.OnAttemptEnd(end, f.now);
    } else {
      const Refuse* refuse = Fixture::Find<Refuse>(actions);
      REQUIRE(refuse != nullptr);
      CHECK(refuse->status == 503);
      CHECK(refuse->reason == "server-limit");
      CHECK(refuse->retry_after > absl::ZeroDuration());
    }
    f.now += absl::Milliseconds(20);
  }
  // The first token accrues after half a second.
  CHECK(sent >= 2 * 4 - 1);
  CHECK(sent <= 1.5 * 2 * 4 + 5);
  // An answer without a limit ends it.
  f.now += absl::Seconds(1);
  end.limit = {true, std::nullopt};
  f.SendWithNotice(9000, end);
  CHECK_FALSE(f.limits[server].has_value());
  CHECK(f.ServersOfNextRequests() == std::set<std::string>{server});
}

// Guards against requests that are cut at the end of a planned stop, and
// against an instance that refuses short requests long before it.
TEST_CASE("requests that may outlast the process are refused when it stops") {
  Fixture f;
  // The route's timeout is 1 s.
  const absl::Time stop = f.now + absl::Milliseconds(1500);
  f.steering.SetStopTime(stop);
  const auto is_accepted = [&f](const char* path, RequestId id) {
    const auto actions = f.Send(path, id);
    if (Fixture::Find<StartAttempt>(actions) != nullptr) {
      return true;
    }
    const Refuse* refuse = Fixture::Find<Refuse>(actions);
    REQUIRE(refuse != nullptr);
    CHECK(refuse->status == 503);
    CHECK(refuse->reason == "stopping");
    CHECK(refuse->retry_after == absl::ZeroDuration());
    return false;
  };
  CHECK(is_accepted("/book/1", 1));
  CHECK(is_accepted("/read/1", 2));
  f.now = stop - absl::Milliseconds(900);
  CHECK_FALSE(is_accepted("/book/1", 3));
  CHECK(is_accepted("/read/1", 4));
  f.now = stop - absl::Milliseconds(20);
  CHECK_FALSE(is_accepted("/read/1", 5));
}

// Guards against a log that does not show why a request was not retried.
TEST_CASE("the record of a request shows how each attempt was decided") {
  Fixture f;
  auto actions = f.Send("/read/1", 1);
  f.now += absl::Milliseconds(20);
  actions = f.EndAttempt(Fixture::Find<StartAttempt>(actions)->attempt,
                         AttemptResult::kRefused, 503);
  f.now += absl::Milliseconds(30);
  f.EndAttempt(Fixture::Find<StartAttempt>(actions)->attempt,
               AttemptResult::kBroken, 0);
  REQUIRE(f.last_record.attempts.size() == 2);
  const AttemptRecord& first = f.last_record.attempts[0];
  CHECK(first.result == AttemptResult::kRefused);
  CHECK(first.status == 503);
  CHECK(first.slots == 5);
  CHECK(first.load_age == std::nullopt);
  CHECK(first.took == absl::Milliseconds(20));
  CHECK(first.no_retry == NoRetry::kNotApplicable);
  CHECK(f.last_record.attempts[1].no_retry == NoRetry::kAttempts);
  actions = f.Send("/book/1", 2);
  f.EndAttempt(Fixture::Find<StartAttempt>(actions)->attempt,
               AttemptResult::kBroken, 0);
  CHECK(f.last_record.attempts.back().no_retry == NoRetry::kMayHaveRun);
  actions = f.Send("/book/1", 3);
  f.now += absl::Seconds(1);
  f.steering.OnTick(f.now);
  CHECK(f.last_record.attempts.back().result == std::nullopt);
  CHECK(f.last_record.attempts.back().took == absl::Seconds(1));
}

// Guards against a backend server that gets no more requests without a log
// line.
TEST_CASE("an unreachable server and its recovery are reported") {
  Fixture f;
  f.PublishServers(1);
  auto actions = f.Send("/read/1", 1);
  const StartAttempt* start = Fixture::Find<StartAttempt>(actions);
  const std::string server = start->server;
  actions = f.EndAttempt(start->attempt, AttemptResult::kConnectFailed, 0);
  REQUIRE(f.paused.count(server) == 1);
  CHECK(f.paused[server] == ServerLoad::kInitialPause);
  f.now += ServerLoad::kInitialPause;
  for (RequestId id = 2; id < 30 && f.paused.count(server) == 1; ++id) {
    f.now += absl::Milliseconds(200);
    actions = f.Send("/read/1", id);
    start = Fixture::Find<StartAttempt>(actions);
    if (start != nullptr) {
      f.EndAttempt(start->attempt, AttemptResult::kCompleted, 200);
    }
  }
  CHECK(f.paused.empty());
}

// Guards against status 404 for a path while this instance has not yet read the
// configuration.
TEST_CASE("an instance without a configuration refuses with 503") {
  ZoneMap zones({{"a-1", "a"}}, "a-1");
  Steering steering(&zones, "self", 1, {});
  CallerRequest request;
  request.id = 1;
  request.arrival = kStart;
  const auto actions = steering.OnRequest(request, kStart);
  REQUIRE(Fixture::Find<Refuse>(actions) != nullptr);
  CHECK(Fixture::Find<Refuse>(actions)->status == 503);
}

// Guards against callers that wait longer than the timeout of the route.
TEST_CASE("a request is answered at the timeout of its route") {
  Fixture f;
  const auto start = f.Send("/book/1", 1);
  f.now += absl::Milliseconds(990);
  CHECK(f.steering.OnTick(f.now).empty());
  f.now += absl::Milliseconds(10);
  const auto end = f.steering.OnTick(f.now);
  REQUIRE(Fixture::Find<Refuse>(end) != nullptr);
  CHECK(Fixture::Find<Refuse>(end)->status == 504);
  CHECK(Fixture::Find<AbortAttempt>(end) != nullptr);
}

// Guards against work that continues after its caller has disconnected, and
// against a booking that is aborted while it is partly executed.
TEST_CASE("only idempotent requests are aborted when the caller disconnects") {
  Fixture f;
  f.Send("/read/1", 1);
  CHECK(Fixture::Find<AbortAttempt>(
            f.steering.OnCallerDisconnected(1, f.now)) != nullptr);
  f.Send("/book/1", 2);
  CHECK(f.steering.OnCallerDisconnected(2, f.now).empty());
  CHECK(f.steering.in_flight() == 1);
}

// Guards against a request that crashes one server after another.
TEST_CASE("a request that crashes servers is blocked and reported") {
  Fixture f;
  int starts = 0;
  for (RequestId id = 1; id <= 12; ++id) {
    f.now += absl::Milliseconds(100);
    auto actions = f.Send("/read/poison", id);
    while (const auto* start = Fixture::Find<StartAttempt>(actions)) {
      ++starts;
      const AttemptId attempt = start->attempt;
      const std::string server = start->server;
      actions = f.EndAttempt(attempt, AttemptResult::kBroken, 0);
      // Another request fails to connect to the crashed server.
      const auto probe = f.Send("/read/poison", 1000 + starts);
      if (const auto* other = Fixture::Find<StartAttempt>(probe)) {
        f.EndAttempt(other->attempt, AttemptResult::kConnectFailed, 0);
      }
    }
  }
  CHECK(f.crashing.count(77) == 1);
  CHECK(starts <= 6);
}

// Guards against refusing a valid request for minutes because the servers that
// ran its copies failed together, as in the failure of a zone.
TEST_CASE("servers that fail together do not cause a crash report") {
  Fixture f;
  f.PublishServers(2);
  const auto first = f.Send("/read/1", 1);
  const auto second = f.Send("/read/1", 2);
  const StartAttempt* first_start = Fixture::Find<StartAttempt>(first);
  const StartAttempt* second_start = Fixture::Find<StartAttempt>(second);
  REQUIRE(first_start->server != second_start->server);
  f.now += absl::Milliseconds(50);
  const auto third =
      f.EndAttempt(first_start->attempt, AttemptResult::kBroken, 0);
  const auto fourth =
      f.EndAttempt(second_start->attempt, AttemptResult::kBroken, 0);
  // Each request is retried on the server of the other request, which has
  // failed as well.
  for (const auto* actions : {&third, &fourth}) {
    const StartAttempt* next = Fixture::Find<StartAttempt>(*actions);
    REQUIRE(next != nullptr);
    f.EndAttempt(next->attempt, AttemptResult::kConnectFailed, 0);
  }
  CHECK(f.paused.size() == 2);
  CHECK(f.crashing.empty());
}

// Guards against refusing a valid request because a server failed while running
// the request, although the request has since completed.
TEST_CASE("a completed request is no longer suspected of crashing servers") {
  Fixture f;
  RequestId last = 0;
  for (int i = 0; i < 3; ++i) {
    f.now += absl::Seconds(1);
    const auto begin = f.Send("/book/1", ++last);
    const StartAttempt* start = Fixture::Find<StartAttempt>(begin);
    REQUIRE(start != nullptr);
    f.EndAttempt(start->attempt, AttemptResult::kBroken, 0);
    f.FailConnection(start->server);
    const auto repeated = f.Send("/book/1", ++last);
    const StartAttempt* retry = Fixture::Find<StartAttempt>(repeated);
    REQUIRE(retry != nullptr);
    f.EndAttempt(retry->attempt, AttemptResult::kCompleted, 200);
  }
  CHECK(f.crashing.empty());
}

// Guards against a second crash report that replaces the first one.
TEST_CASE("all requests reported by other instances are refused") {
  Fixture f;
  f.steering.SetCrashReports({77, 78}, f.now);
  const auto actions = f.Send("/read/poison", 1);
  CHECK(Fixture::Find<StartAttempt>(actions) == nullptr);
  REQUIRE(Fixture::Find<Refuse>(actions) != nullptr);
  CHECK(Fixture::Find<Refuse>(actions)->status == 503);
  f.steering.SetCrashReports({}, f.now);
  CHECK(Fixture::Find<StartAttempt>(f.Send("/read/poison", 2)) != nullptr);
}

/// Results that the randomized test chooses for an attempt.
constexpr AttemptResult kResults[] = {
    AttemptResult::kCompleted, AttemptResult::kRefused, AttemptResult::kBroken,
    AttemptResult::kConnectFailed, AttemptResult::kTruncated};

// Guards against requests that are answered twice or never, non-idempotent
// requests that may run twice, a false "not run" answer, and wrong counts of
// requests in flight.
TEST_CASE("requests are answered once and run at most as often as allowed") {
  CHECK(rc::check([](const std::vector<uint8_t>& steps) {
    Fixture f;
    struct RequestState {
      bool is_idempotent = false;
      int possible_runs = 0;
      int answers = 0;
      bool is_caller_disconnected = false;
    };
    std::map<RequestId, RequestState> request_states;
    std::map<AttemptId, RequestId> open_attempts;
    RequestId last = 0;
    const auto perform = [&](const SteeringActions& actions) {
      for (const SteeringAction& action : actions) {
        if (const auto* start = std::get_if<StartAttempt>(&action)) {
          open_attempts[start->attempt] = start->request;
          RC_ASSERT(start->time_left <= absl::Seconds(1));
        } else if (const auto* abort = std::get_if<AbortAttempt>(&action)) {
          ++request_states[abort->request].possible_runs;
          open_attempts.erase(abort->attempt);
        } else if (const auto* answer = std::get_if<DeliverAnswer>(&action)) {
          ++request_states[answer->request].answers;
        } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
          RequestState& request = request_states[refuse->request];
          ++request.answers;
          if (refuse->status == 503) {
            RC_ASSERT(request.possible_runs == 0);
          }
        }
      }
    };
    for (const uint8_t step : steps) {
      f.now += absl::Milliseconds(step % 64);
      if (step % 4 == 0 || open_attempts.empty()) {
        request_states[++last].is_idempotent = step % 8 == 0;
        perform(f.Send(step % 8 == 0 ? "/read/1" : "/book/1", last));
      } else if (step % 4 == 1) {
        perform(f.steering.OnTick(f.now));
      } else if (step % 16 == 2) {
        const RequestId id = open_attempts.begin()->second;
        request_states[id].is_caller_disconnected = true;
        perform(f.steering.OnCallerDisconnected(id, f.now));
      } else {
        const auto [attempt, id] = *open_attempts.begin();
        open_attempts.erase(attempt);
        const AttemptResult result = kResults[step % std::size(kResults)];
        const bool may_have_run = result != AttemptResult::kRefused &&
                                  result != AttemptResult::kConnectFailed;
        request_states[id].possible_runs += may_have_run ? 1 : 0;
        perform(f.EndAttempt(attempt, result,
                             result == AttemptResult::kCompleted ? 200 : 503));
      }
      for (const auto& [id, request] : request_states) {
        RC_ASSERT(request.answers <= 1);
        RC_ASSERT(request.is_idempotent || request.possible_runs <= 1);
      }
    }
    f.now += absl::Seconds(2);
    perform(f.steering.OnTick(f.now));
    RC_ASSERT(f.steering.in_flight() == 0);
    RC_ASSERT(f.steering.balancer().OwnLoads().empty());
    for (const auto& [id, request] : request_states) {
      RC_ASSERT(request.answers == 1 || request.is_caller_disconnected);
    }
  }));
}

}  // namespace
}  // namespace baobabwall::gateway
