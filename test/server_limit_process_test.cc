#include <algorithm>
#include <atomic>
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

constexpr char kLimitedServer[] = "i-1";
/// Time after which the limit must be respected.
constexpr absl::Duration kSettlingTime = absl::Seconds(4);
constexpr absl::Duration kWindow = absl::Seconds(4);

/// Callers of several instances that send requests one after the other, each
/// on a thread of its own, until the object is destroyed.
class Callers {
 public:
  Callers(const GatewayFleet& fleet,
          const std::vector<std::string>& instances) {
    for (const std::string& instance : instances) {
      const int port = fleet.caller_port(instance);
      threads_.emplace_back([this, port, instance] {
        for (int i = 0; !is_stopped_; ++i) {
          const std::string id = absl::StrCat(instance, "-", i);
          served_ +=
              Call(port, "GET", absl::StrCat("/read/", i % 50),
                   {absl::StrCat("X-Request-Id: ", id), "X-Deadline-Ms: 2000"})
                  .status == 200;
          ++sent_;
          absl::SleepFor(absl::Milliseconds(20));
        }
      });
    }
  }
  ~Callers() { Stop(); }

  void Stop() {
    is_stopped_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  int sent() const { return sent_; }
  int served() const { return served_; }

 private:
  std::atomic<bool> is_stopped_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> served_{0};
  std::vector<std::thread> threads_;
};

/// Three instances in two regions, a server that names a limit, and one that
/// does not.
class LimitFixture {
 public:
  explicit LimitFixture(const std::string& name) : fleet(name) {
    fleet.PutConfig(1);
    for (const char* server : {kLimitedServer, "i-2"}) {
      fleet.platform().AddBackend(server, "s", "a-1", absl::Milliseconds(2));
    }
    fleet.Start("one", "a-1");
    fleet.Start("two", "a-2");
    fleet.Start("three", "b-1");
    for (const std::string& instance : instances) {
      REQUIRE(fleet.WaitReady(instance));
    }
  }

  /// \returns the largest number of requests that reached the limited server in
  /// a window that starts at the given time or later.
  int MaxArrivalsInWindow(absl::Time from) {
    std::vector<absl::Time> times;
    for (const BackendArrival& arrival : fleet.platform().arrivals()) {
      if (arrival.server == kLimitedServer && arrival.at >= from) {
        times.push_back(arrival.at);
      }
    }
    size_t max = 0;
    size_t begin = 0;
    for (size_t end = 0; end < times.size(); ++end) {
      while (times[end] - times[begin] >= kWindow) {
        ++begin;
      }
      max = std::max(max, end - begin + 1);
    }
    return static_cast<int>(max);
  }

  const std::vector<std::string> instances = {"one", "two", "three"};
  GatewayFleet fleet;
};

// Guards against a server in need that gets as many requests as before, or its
// limit from each instance: the limit holds for all instances together.
TEST_CASE("the instances together respect the request limit of a server") {
  LimitFixture fixture("server-limit");
  PlatformStandin& platform = fixture.fleet.platform();
  Callers callers(fixture.fleet, fixture.instances);
  const int limit = GENERATE(2, 6);
  platform.SetRequestLimit(kLimitedServer, absl::StrCat(limit));
  absl::SleepFor(kSettlingTime);
  const absl::Time settled = absl::Now();
  absl::SleepFor(kWindow + absl::Seconds(3));
  callers.Stop();
  CHECK(fixture.MaxArrivalsInWindow(settled) <= 1.5 * limit * 4 + 5);
  // The limit is used, and the other server takes the remaining requests.
  CHECK(fixture.MaxArrivalsInWindow(settled) >= limit);
  CHECK(callers.served() >= callers.sent() - 5);
  CHECK(fixture.fleet.LogFindings().empty());
}

// Guards against instances that keep to a limit that the server no longer
// names.
TEST_CASE("a server gets its share again when it no longer names a limit") {
  LimitFixture fixture("server-limit-end");
  PlatformStandin& platform = fixture.fleet.platform();
  Callers callers(fixture.fleet, fixture.instances);
  platform.SetRequestLimit(kLimitedServer, "2.5");
  absl::SleepFor(kSettlingTime);
  platform.SetRequestLimit(kLimitedServer, "");
  absl::SleepFor(absl::Seconds(4));
  const absl::Time recovered = absl::Now();
  absl::SleepFor(kWindow);
  callers.Stop();
  // Four times what the limit allowed.
  CHECK(fixture.MaxArrivalsInWindow(recovered) >= 4 * 2.5 * 4);
}

}  // namespace
}  // namespace baobabwall::test
