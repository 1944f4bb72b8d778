#include <signal.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "gateway_fleet.h"

namespace baobabwall::test {
namespace {

/// Grace period of GatewayFleet.
constexpr absl::Duration kGrace = absl::Seconds(4);
constexpr int kRequestsInGrace = 8;

/// One instance that is stopped while bookings and reads arrive in turn, spread
/// over the whole grace period.
class StopFixture {
 public:
  /// \param work work time of the requests.
  StopFixture(const std::string& name,
              absl::Duration work,
              const ConfigLimits& limits)
      : fleet(name) {
    fleet.PutConfig(1, limits);
    for (const char* server : {"i-1", "i-2"}) {
      fleet.platform().AddBackend(server, "s", "a-1", work);
    }
    fleet.Start("one", "a-1");
    REQUIRE(fleet.WaitReady("one"));
    // The instance learns how long the work takes.
    for (int i = 0; i < 2; ++i) {
      REQUIRE(Send(absl::StrCat("read-first-", i)).status == 200);
    }
  }

  static std::string Id(int i) {
    return absl::StrCat(i % 2 == 0 ? "book-" : "read-", "late-", i);
  }

  CallerAnswer Send(const std::string& id) {
    const bool is_booking = absl::StartsWith(id, "book");
    return Call(fleet.caller_port("one"), is_booking ? "POST" : "GET",
                is_booking ? "/book/x" : "/read/x",
                {absl::StrCat("X-Request-Id: ", id), "X-Deadline-Ms: 7000"});
  }

  /// \returns the answers to the requests that arrive during the stop.
  std::vector<CallerAnswer> Stop() {
    fleet.process("one").Signal(SIGTERM);
    const absl::Time stop = absl::Now();
    std::vector<std::thread> callers;
    std::vector<CallerAnswer> answers(kRequestsInGrace);
    for (int i = 0; i < kRequestsInGrace; ++i) {
      callers.emplace_back([&, i] {
        absl::SleepFor(stop + kGrace * i / kRequestsInGrace - absl::Now());
        answers[i] = Send(Id(i));
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    CHECK(fleet.process("one").Wait() == 0);
    return answers;
  }

  GatewayFleet fleet;
};

// Guards against requests that are passed on late in a planned stop and cut at
// its end without an answer, among them some that must not be repeated.
TEST_CASE("a request that a stop would cut is refused before it runs") {
  ConfigLimits limits;
  limits.route_timeout_ms = 6000;
  StopFixture fixture("late-stop", absl::Milliseconds(2800), limits);
  const std::vector<CallerAnswer> answers = fixture.Stop();
  const auto executed = fixture.fleet.platform().executed_requests();
  for (int i = 0; i < kRequestsInGrace; ++i) {
    CAPTURE(i, answers[i].status);
    if (executed.count(StopFixture::Id(i)) > 0) {
      CHECK(answers[i].status == 200);
    }
  }
  // Nothing shows that the first booking ends in time.
  CHECK(answers[0].status == 503);
}

// Guards against an instance that refuses requests although they would end well
// within the grace period: callers may know no other instance yet.
TEST_CASE("short requests are served in the first half of a stop") {
  StopFixture fixture("short-stop", absl::Milliseconds(50), {});
  const std::vector<CallerAnswer> answers = fixture.Stop();
  for (int i = 0; i < kRequestsInGrace / 2; ++i) {
    CAPTURE(i);
    CHECK(answers[i].status == 200);
  }
}

}  // namespace
}  // namespace baobabwall::test
