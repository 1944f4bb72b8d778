#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway_fleet.h"
#include "loopback_proxy.h"

namespace baobabwall::test {
namespace {

CallerAnswer Send(int port, const std::string& target, const std::string& id) {
  const bool is_booking = absl::StartsWith(target, "/book/");
  return Call(port, is_booking ? "POST" : "GET", target,
              {absl::StrCat("X-Request-Id: ", id), "X-Deadline-Ms: 2000"},
              is_booking ? "card=1" : "");
}

/// Two instances in one region and three backend servers.
class Fixture {
 public:
  explicit Fixture(const std::string& name) : fleet(name) {
    fleet.PutConfig(1);
    fleet.platform().AddBackend("i-1", "s", "a-1", absl::Milliseconds(20));
    fleet.platform().AddBackend("i-2", "s", "a-2", absl::Milliseconds(20));
    fleet.platform().AddBackend("i-3", "s", "b-1", absl::Milliseconds(20));
    fleet.Start("one", "a-1");
    fleet.Start("two", "a-2");
    REQUIRE(fleet.WaitReady("one"));
    REQUIRE(fleet.WaitReady("two"));
  }

  GatewayFleet fleet;
};

// Guards against failures between real processes: the store, the registry, the
// directory, requests, answers, the log and the metrics are tested together.
TEST_CASE("instances serve requests from lookup to metrics") {
  Fixture fixture("path");
  const auto lookup = [&](const std::string& zone) {
    return Call(fixture.fleet.lookup_port("one"), "GET",
                absl::StrCat(
                    "/baobabwall/resolve?name=h.example&region=a&zone=", zone))
        .body;
  };
  const std::string address_of_two =
      absl::StrCat(":", fixture.fleet.caller_port("two"));
  CHECK(WaitFor(
      [&] { return absl::StrContains(lookup("a-2"), address_of_two); }));
  for (int i = 0; i < 20; ++i) {
    const std::string id = absl::StrCat("id-", i);
    const CallerAnswer answer =
        Send(fixture.fleet.caller_port(i % 2 == 0 ? "one" : "two"),
             i % 4 < 2 ? "/read/x" : "/book/x", id);
    CHECK(answer.status == 200);
    CHECK(answer.is_signed);
    CHECK(absl::StrContains(answer.body, absl::StrCat(" ran ", id, " ")));
  }
  CHECK(Send(fixture.fleet.caller_port("one"), "/none/x", "id-none").status ==
        404);
  CHECK(WaitFor([&] {
    return absl::StrContains(fixture.fleet.Log("one"),
                             "route: ended request=id-0 ");
  }));
  const CallerAnswer metrics =
      Call(fixture.fleet.metrics_port("one"), "GET", "/metrics");
  CHECK(absl::StrContains(metrics.body, "baobabwall_request_seconds_bucket"));
}

// Guards against log lines that bypass the log writer: they were not bounded
// and went to standard error.
TEST_CASE("all log lines pass through the bounded writer") {
  GatewayFleet fleet("log-bound");
  fleet.PutConfig(1);
  fleet.platform().AddBackend("i-1", "s", "a-1", absl::Milliseconds(1));
  fleet.SetExtraSettings("[log]\nlines_per_s = 0\n");
  fleet.Start("one", "a-1");
  REQUIRE(fleet.WaitReady("one"));
  CHECK(Send(fleet.caller_port("one"), "/read/x", "id-1").status == 200);
  fleet.process("one").Signal(SIGTERM);
  CHECK(fleet.process("one").Wait() == 0);
  CHECK(fleet.Log("one").empty());
}

// Guards against a process that stops serving, or that cannot exit, because
// nobody reads its log.
TEST_CASE("a log pipe that nobody reads does not block the process") {
  int ends[2];
  REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
  REQUIRE(fcntl(ends[1], F_SETPIPE_SZ, 4096) >= 0);
  {
    GatewayFleet fleet("log-pipe");
    fleet.PutConfig(1);
    fleet.platform().AddBackend("i-1", "s", "a-1", absl::Milliseconds(1));
    fleet.SetStandardOutput(ends[1]);
    fleet.Start("one", "a-1");
    REQUIRE(fleet.WaitReady("one"));
    // Each request writes a line of about 300 bytes.
    for (int i = 0; i < 100; ++i) {
      CHECK(Send(fleet.caller_port("one"), "/read/x", absl::StrCat("id-", i))
                .status == 200);
    }
    CHECK(fleet.Log("one").empty());
    fleet.process("one").Signal(SIGTERM);
    CHECK(fleet.process("one").Wait() == 0);
  }
  close(ends[0]);
  close(ends[1]);
}

// Guards against configuration changes that take effect late or never.
TEST_CASE("a new route is served within the time limit") {
  Fixture fixture("config");
  CHECK(Send(fixture.fleet.caller_port("two"), "/later/x", "id-1").status ==
        404);
  fixture.fleet.PutConfig(10);
  CHECK(WaitFor(
      [&] {
        return Send(fixture.fleet.caller_port("two"), "/later/x", "id-2")
                   .status == 200;
      },
      absl::Seconds(2.5)));
}

// Guards against an entry of another writer that ends the processes that read
// it, that is used as a server, or that hides the other entries.
TEST_CASE("malformed entries of servers do not stop an instance") {
  GatewayFleet fleet("malformed-entries");
  fleet.PutConfig(1);
  fleet.platform().AddBackend("i-1", "s", "a-1", absl::Milliseconds(1));
  const auto put_malformed_entry = [&](const std::string& id,
                                       const std::string& address,
                                       const std::string& further_fields) {
    fleet.platform().Put(
        absl::StrCat("servers/", id),
        absl::StrCat(R"({"service":"s","zone":"a-1","state":"ready",)",
                     R"("address":")", address, "\",", further_fields, "}"));
  };
  const auto put_malformed_entries = [&](const std::string& suffix) {
    const std::string deep =
        absl::StrCat(std::string(300'000, '['), std::string(300'000, ']'));
    const std::string address = "127.0.0.1:1";
    put_malformed_entry("bad-slots" + suffix, address,
                        R"("capacity_slots":1e300)");
    put_malformed_entry("bad-deep" + suffix, address,
                        absl::StrCat(R"("capacity_slots":)", deep));
    put_malformed_entry("bad-port" + suffix, "127.0.0.1:70000",
                        R"("capacity_slots":5)");
    put_malformed_entry("i-2" + suffix, address,
                        R"("capacity_slots":5,"born":9223372036854775807)");
    fleet.platform().Put("servers/bad-bytes" + suffix, "\xff\x00[{");
  };
  put_malformed_entries("");
  fleet.Start("one", "a-1");
  REQUIRE(fleet.WaitReady("one"));
  put_malformed_entries("-later");
  // A valid entry replaces the malformed one of the same id.
  fleet.platform().AddBackend("i-2", "s", "a-1", absl::Milliseconds(1));
  CHECK(WaitFor([&] {
    return absl::StrContains(fleet.Log("one"),
                             "registry: server added server=i-2 ");
  }));
  int request_count = 0;
  CHECK(WaitFor([&] {
    const std::string id = absl::StrCat("id-", ++request_count);
    CHECK(Send(fleet.caller_port("one"), "/read/x", id).status == 200);
    return fleet.platform().run_count("i-2") > 0;
  }));
  CHECK_FALSE(absl::StrContains(fleet.Log("one"), "server added server=bad-"));
  CHECK_FALSE(absl::StrContains(fleet.Log("one"), "paused server=bad-"));
  CHECK(fleet.LogFindings().empty());
}

/// One instance and two backend servers.
class NoticeFixture {
 public:
  explicit NoticeFixture(const std::string& name) : fleet(name) {
    fleet.PutConfig(1);
    for (const char* server : {"i-1", "i-2"}) {
      fleet.platform().AddBackend(server, "s", "a-1", absl::Milliseconds(1));
    }
    fleet.Start("one", "a-1");
    REQUIRE(fleet.WaitReady("one"));
  }

  CallerAnswer SendNext() {
    return Send(fleet.caller_port("one"), "/book/x",
                absl::StrCat("id-", ++sent_requests));
  }

  /// Sends requests until one has reached the server since the call.
  void SendUntilArrival(const std::string& server) {
    const int previous = fleet.platform().arrival_count(server);
    REQUIRE(WaitFor([&] {
      SendNext();
      return fleet.platform().arrival_count(server) > previous;
    }));
  }

  GatewayFleet fleet;
  int sent_requests = 0;
};

// Guards against requests to a server that says in its answers that it leaves,
// while its entry in the store still says that it is ready.
TEST_CASE("a server that announces its leaving gets no new requests") {
  NoticeFixture fixture("leaving-notice");
  PlatformStandin& platform = fixture.fleet.platform();
  platform.AnnounceLeaving("i-1");
  fixture.SendUntilArrival("i-1");
  SECTION("the store answers") {}
  SECTION("the store is unreachable") {
    platform.SetStoreMode(StoreMode::kRefusing);
  }
  SECTION("the entry is removed and returns") {
    platform.Delete("servers/i-1");
    CHECK(WaitFor([&] {
      return absl::StrContains(fixture.fleet.Log("one"),
                               "registry: server removed server=i-1");
    }));
    platform.Put("servers/i-1",
                 R"({"service":"s","zone":"a-1","state":"ready","born":1,)"
                 R"("capacity_slots":5,"address":")" +
                     platform.BackendAddress("i-1") + "\"}");
    absl::SleepFor(absl::Seconds(2));
  }
  const int arrivals = platform.arrival_count("i-1");
  for (int i = 0; i < 30; ++i) {
    CHECK(fixture.SendNext().status == 200);
  }
  CHECK(platform.arrival_count("i-1") == arrivals);
  CHECK(absl::StrContains(fixture.fleet.Log("one"),
                          "backend: leaving server=i-1"));
  CHECK(fixture.fleet.LogFindings().empty());
}

// Guards against requests to a server that asked to be left alone for a time,
// and against waiting for it while another server is free.
TEST_CASE("a server that asks for a pause gets no requests until its end") {
  NoticeFixture fixture("wait-notice");
  PlatformStandin& platform = fixture.fleet.platform();
  platform.SetFull("i-1", true, "3.0");
  fixture.SendUntilArrival("i-1");
  const absl::Time end = absl::Now() + absl::Seconds(2.8);
  const int arrivals = platform.arrival_count("i-1");
  platform.SetFull("i-1", false);
  while (absl::Now() < end) {
    CHECK(fixture.SendNext().status == 200);
    absl::SleepFor(absl::Milliseconds(20));
  }
  CHECK(platform.arrival_count("i-1") == arrivals);
  // Without the other server, requests go to this one again.
  platform.SetFull("i-2", true);
  fixture.SendUntilArrival("i-1");
  CHECK(fixture.fleet.LogFindings().empty());
}

// Guards against a caller that waits although all servers have asked for a
// pause, and against an answer that does not say when they are back.
TEST_CASE("requests are rejected at once while all servers want a pause") {
  NoticeFixture fixture("all-wait");
  PlatformStandin& platform = fixture.fleet.platform();
  for (const char* server : {"i-1", "i-2"}) {
    platform.SetFull(server, true, "4");
  }
  // The refusal of one server may send the same request to the other one.
  REQUIRE(WaitFor([&] {
    fixture.SendNext();
    return platform.arrival_count("i-1") > 0 &&
           platform.arrival_count("i-2") > 0;
  }));
  const int arrivals =
      platform.arrival_count("i-1") + platform.arrival_count("i-2");
  for (int i = 0; i < 10; ++i) {
    const absl::Time sent = absl::Now();
    const CallerAnswer answer = fixture.SendNext();
    CHECK(answer.status == 503);
    CHECK(absl::Now() - sent < absl::Seconds(0.5));
    CHECK(answer.retry_after > absl::Seconds(2));
    CHECK(answer.retry_after <= absl::Seconds(5));
  }
  CHECK(platform.arrival_count("i-1") + platform.arrival_count("i-2") ==
        arrivals);
}

// Guards against connections to the store that are lost while they are idle or
// waiting: they were taken for an outage, after which a server whose entry was
// removed stayed in use.
TEST_CASE("lost connections to the store do not keep a removed server in use") {
  constexpr absl::Duration drain_limit = absl::Milliseconds(2500);
  GatewayFleet fleet("lost-connections");
  LoopbackProxy store(fleet.platform().store_port());
  fleet.SetStorePort(store.port());
  fleet.PutConfig(1);
  fleet.platform().AddBackend("i-1", "s", "a-1", absl::Milliseconds(1));
  fleet.platform().AddBackend("i-2", "s", "a-1", absl::Milliseconds(1));
  fleet.Start("one", "a-1");
  REQUIRE(fleet.WaitReady("one"));
  const auto send = [&](const std::string& name) {
    for (int i = 0; i < 30; ++i) {
      CHECK(Send(fleet.caller_port("one"), "/read/x",
                 absl::StrCat("id-", name, i))
                .status == 200);
    }
  };
  send("before");
  CHECK(fleet.platform().run_count("i-1") > 0);
  absl::SleepFor(absl::Seconds(1.5));
  SECTION("idle connections") {
    // The watch is answered, so that its connection is idle during the delay
    // before the next watch.
    fleet.PutConfig(2);
    absl::SleepFor(absl::Milliseconds(100));
  }
  SECTION("the connection of a watch that waits") {}
  store.Reset();
  fleet.platform().Delete("servers/i-1");
  absl::SleepFor(drain_limit);
  const int runs = fleet.platform().run_count("i-1");
  send("after");
  CHECK(fleet.platform().run_count("i-1") == runs);
  CHECK_FALSE(absl::StrContains(fleet.Log("one"), "store: lost"));
  CHECK(fleet.LogFindings().empty());
}

// Guards against an instance that stops serving, or that removes all backend
// servers, because the store is unreachable.
TEST_CASE("a store outage does not affect callers") {
  for (const StoreMode mode : {StoreMode::kRefusing, StoreMode::kSilent}) {
    Fixture fixture("outage");
    fixture.fleet.platform().SetStoreMode(mode);
    const absl::Time end = absl::Now() + absl::Seconds(5);
    int sent = 0;
    while (absl::Now() < end) {
      CHECK(Send(fixture.fleet.caller_port("one"), "/read/x",
                 absl::StrCat("id-", ++sent))
                .status == 200);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    fixture.fleet.platform().SetStoreMode(StoreMode::kUp);
    fixture.fleet.PutConfig(10);
    CHECK(WaitFor([&] {
      return Send(fixture.fleet.caller_port("one"), "/later/x", "id-last")
                 .status == 200;
    }));
  }
}

// Guards against rejecting requests shortly before the first read of the shared
// state completes.
TEST_CASE("requests are queued until the first read of the state completes") {
  GatewayFleet fleet("start");
  LoopbackProxy store(fleet.platform().store_port());
  store.SetMode(ProxyMode::kDelay);
  fleet.SetStorePort(store.port());
  fleet.PutConfig(1);
  fleet.platform().AddBackend("i-1", "s", "a-1", absl::Milliseconds(20));
  fleet.Start("one", "a-1");
  std::vector<int> statuses;
  const absl::Time end = absl::Now() + absl::Seconds(3);
  while (absl::Now() < end) {
    const int status = Send(fleet.caller_port("one"), "/read/x",
                            absl::StrCat("id-", statuses.size()))
                           .status;
    if (status != 0) {
      statuses.push_back(status);
    }
  }
  REQUIRE(!statuses.empty());
  CHECK(statuses.front() == 200);
  SECTION("queued requests are rejected if the first read takes too long") {
    store.SetMode(ProxyMode::kSilent);
    fleet.process("one").Signal(SIGKILL);
    fleet.process("one").Wait();
    fleet.Restart("one");
    CallerAnswer answer;
    CHECK(WaitFor([&] {
      answer = Send(fleet.caller_port("one"), "/read/x", "id-late");
      return answer.status != 0;
    }));
    CHECK(answer.status == 503);
    CHECK(answer.retry_after > absl::ZeroDuration());
  }
}

// Guards against sending new requests to a draining server, even if the store
// has compacted its history in the meantime.
TEST_CASE("a draining server receives no new requests") {
  Fixture fixture("drain");
  fixture.fleet.platform().CompactHistory();
  fixture.fleet.platform().Drain("i-1");
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  const int previous_runs = fixture.fleet.platform().run_count("i-1");
  for (int i = 0; i < 30; ++i) {
    CHECK(Send(fixture.fleet.caller_port("one"), "/read/x",
               absl::StrCat("id-", i))
              .status == 200);
  }
  CHECK(fixture.fleet.platform().run_count("i-1") == previous_runs);
}

// Guards against requests that fail during a graceful shutdown.
TEST_CASE("a graceful shutdown fails no request and exits with 0") {
  Fixture fixture("stop");
  std::atomic<bool> is_stopping{false};
  std::atomic<int> failed{0};
  std::atomic<int> served{0};
  std::vector<std::thread> callers;
  for (int c = 0; c < 6; ++c) {
    callers.emplace_back([&, c] {
      for (int i = 0; !is_stopping; ++i) {
        const CallerAnswer answer = Send(fixture.fleet.caller_port("one"),
                                         c % 2 == 0 ? "/read/x" : "/book/x",
                                         absl::StrCat("id-", c, "-", i));
        served += answer.status == 200 ? 1 : 0;
        failed += answer.status == 0 ? 1 : 0;
        if (answer.status != 200) {
          std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const int failed_before = failed;
  fixture.fleet.process("one").Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const int failed_during = failed;
  is_stopping = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(failed_before == 0);
  CHECK(failed_during == 0);
  CHECK(served > 0);
  CHECK(fixture.fleet.process("one").Wait() == 0);
  CHECK(absl::StrContains(fixture.fleet.Log("one"), "process: stopped"));
}

// Guards against callers without a reachable instance. Callers cache the answer
// to a lookup for up to three times its time to live.
TEST_CASE("a draining instance serves until callers have repeated the lookup") {
  Fixture fixture("leave");
  fixture.fleet.process("one").Signal(SIGTERM);
  const absl::Time signal_time = absl::Now();
  // Half of the grace period of 4 s, minus the time of one request.
  while (absl::Now() < signal_time + absl::Seconds(1.8)) {
    CHECK(Send(fixture.fleet.caller_port("one"), "/read/x", "id-1").status ==
          200);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  const std::string answer =
      Call(fixture.fleet.lookup_port("two"), "GET",
           "/baobabwall/resolve?name=h.example&region=a&zone=a-1")
          .body;
  CHECK(absl::StrContains(answer, "\"ttl_s\":1.0"));
  CHECK_FALSE(absl::StrContains(
      answer, absl::StrCat(":", fixture.fleet.caller_port("one"))));
}

/// Ten instances in one region, which is more than the number of instances that
/// read the store directly.
class LargeRegion {
 public:
  explicit LargeRegion(const std::string& name) : fleet(name) {
    fleet.PutConfig(1);
    fleet.platform().AddBackend("i-1", "s", "a-1", absl::Milliseconds(20));
    for (int i = 0; i < 10; ++i) {
      names.push_back(absl::StrCat("n", i));
      fleet.Start(names.back(), i % 2 == 0 ? "a-1" : "a-2");
    }
    for (const std::string& instance : names) {
      REQUIRE(fleet.WaitReady(instance));
    }
    REQUIRE(
        WaitFor([&] { return FollowedReaders().size() == names.size() - 2; }));
  }

  /// \returns the instance from which each follower reads the shared state.
  std::map<std::string, std::string> FollowedReaders() const {
    const std::string marker = "store: read from source=";
    std::map<std::string, std::string> reader_by_follower;
    for (const std::string& instance : names) {
      const std::string log = fleet.Log(instance);
      const size_t last = log.rfind(marker);
      if (last == std::string::npos) {
        continue;
      }
      const size_t begin = last + marker.size();
      const std::string source =
          log.substr(begin, log.find('\n', begin) - begin);
      if (source != "store") {
        reader_by_follower[instance] = source;
      }
    }
    return reader_by_follower;
  }

  /// \returns whether all instances except `excluded` serve a new route.
  bool AllServeNewRoute(const std::string& excluded) const {
    for (const std::string& instance : names) {
      if (instance == excluded) {
        continue;
      }
      const CallerAnswer answer =
          Send(fleet.caller_port(instance), "/later/x", "id-later");
      if (answer.status != 200) {
        return false;
      }
    }
    return true;
  }

  GatewayFleet fleet;
  std::vector<std::string> names;
};

// Guards against a large fleet in which each instance watches the store.
TEST_CASE("in a large region only a few instances watch the store") {
  LargeRegion fixture("large");
  const int previous_calls = fixture.fleet.platform().watch_calls();
  constexpr int changes = 6;
  for (int i = 0; i < changes; ++i) {
    fixture.fleet.platform().Put("op/other", absl::StrCat(i));
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
  }
  // Two instances watch the store; the factor of two allows for a change of
  // these instances.
  CHECK(fixture.fleet.platform().watch_calls() - previous_calls <=
        2 * 2 * changes);
  fixture.fleet.PutConfig(10);
  CHECK(WaitFor([&] { return fixture.AllServeNewRoute(""); },
                absl::Seconds(2.5)));
}

// Guards against followers that get no updates because the instance that they
// read from is suspended, killed or shut down.
TEST_CASE("followers replace a failed instance that read the store for them") {
  for (const int signal : {SIGSTOP, SIGKILL, SIGTERM}) {
    LargeRegion fixture("reader");
    const std::string reader = fixture.FollowedReaders().begin()->second;
    fixture.fleet.process(reader).Signal(signal);
    fixture.fleet.PutConfig(10);
    CHECK(WaitFor([&] { return fixture.AllServeNewRoute(reader); },
                  absl::Seconds(2.5)));
  }
}

// Guards against lookup answers that contain a dead instance.
TEST_CASE("lookups do not return a killed instance") {
  Fixture fixture("kill");
  const std::string address_of_two =
      absl::StrCat(":", fixture.fleet.caller_port("two"));
  const auto is_named = [&] {
    return absl::StrContains(
        Call(fixture.fleet.lookup_port("one"), "GET",
             "/baobabwall/resolve?name=h.example&region=a&zone=a-2")
            .body,
        address_of_two);
  };
  CHECK(WaitFor(is_named));
  fixture.fleet.process("two").Signal(SIGKILL);
  CHECK(WaitFor([&] { return !is_named(); }, absl::Seconds(3)));
  fixture.fleet.Restart("two");
  CHECK(fixture.fleet.WaitReady("two"));
  CHECK(WaitFor(is_named));
}

// Guards against a non-idempotent request that runs twice, or that is reported
// as not executed although it ran, while answers are lost and servers are full.
TEST_CASE("bookings run at most once and rejected bookings never run") {
  Fixture fixture("once");
  fixture.fleet.platform().DropEachNthAnswer("i-1", 3);
  fixture.fleet.platform().SetFull("i-2", true);
  std::map<std::string, int> statuses;
  for (int i = 0; i < 30; ++i) {
    const std::string id = absl::StrCat("id-", i);
    statuses[id] = Send(fixture.fleet.caller_port(i % 2 == 0 ? "one" : "two"),
                        "/book/x", id)
                       .status;
  }
  int served = 0;
  for (const auto& [id, executed_request] :
       fixture.fleet.platform().executed_requests()) {
    CHECK(executed_request.runs <= 1);
    CHECK(executed_request.body == "card=1");
    CHECK(statuses[id] != 503);
    CHECK(statuses[id] != 429);
    served += statuses[id] == 200 ? 1 : 0;
  }
  CHECK(served >= 15);
}

// Guards against log lines that operators or their tools cannot interpret.
TEST_CASE("the operations page documents each log line of a run") {
  Fixture fixture("lines");
  PlatformStandin& platform = fixture.fleet.platform();
  fixture.fleet.PutConfig(10);
  platform.Put("op/evacuate/a-2", "{}");
  platform.Put("servers/odd", "no entry");
  platform.AddBackend("i-4", "s", "b-1", absl::Milliseconds(20));
  platform.Drain("i-3");
  platform.Crash("i-1");
  for (int i = 0; i < 20; ++i) {
    Send(fixture.fleet.caller_port("one"), i % 2 == 0 ? "/read/x" : "/none/x",
         absl::StrCat("id-", i));
  }
  platform.Crash("i-4");
  Send(fixture.fleet.caller_port("one"), "/read/x", "id-last");
  platform.SetStoreMode(StoreMode::kRefusing);
  CHECK(WaitFor([&] {
    return absl::StrContains(fixture.fleet.Log("one"), "store: lost");
  }));
  platform.SetStoreMode(StoreMode::kUp);
  CHECK(WaitFor([&] {
    return absl::StrContains(fixture.fleet.Log("one"), "store: returned");
  }));
  fixture.fleet.process("two").Signal(SIGKILL);
  CHECK(WaitFor([&] {
    return absl::StrContains(fixture.fleet.Log("one"),
                             "peer: out of use instance=two");
  }));
  fixture.fleet.process("one").Signal(SIGHUP);
  fixture.fleet.process("one").Signal(SIGTERM);
  CHECK(fixture.fleet.process("one").Wait() == 0);
  const std::string log = fixture.fleet.Log("one");
  CHECK_THAT(fixture.fleet.LogFindings(),
             Catch::Equals(std::vector<std::string>()));
  for (const char* event :
       {"process: started", "process: signal number=1", "process: stopped",
        "config: in force", "registry: evacuation", "registry: server added",
        "registry: server draining", "registry: entry names no server",
        "backend: paused", "route: ended", "drain: leaving"}) {
    INFO(event);
    CHECK(absl::StrContains(log, event));
  }
}

// Guards against a process that crashes on invalid settings, which would remove
// servers from the store, and against reporting only the first problem.
TEST_CASE("all problems of invalid settings are reported together") {
  const std::string folder = std::filesystem::temp_directory_path().string();
  const std::string file = absl::StrCat(folder, "/bad-", getpid(), ".ini");
  std::ofstream(file) << "[instance]\nname = x\n[callers]\naddress = nowhere\n"
                      << "[caller]\nport = 1\n";
  const std::string log = absl::StrCat(folder, "/bad-", getpid(), ".log");
  std::filesystem::remove(log);
  ChildProcess process(
      {BAOBABWALLD, "--gateway", absl::StrCat("--settings=", file)}, log);
  CHECK(process.Wait() == 2);
  std::ifstream stream(log);
  std::stringstream text;
  text << stream.rdbuf();
  CHECK(absl::StrContains(text.str(), "[callers] address"));
  CHECK(absl::StrContains(text.str(), "[caller] port"));
  CHECK(absl::StrContains(text.str(), "store.address: is missing"));
}

}  // namespace
}  // namespace baobabwall::test
