#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "steer/steer.h"

namespace baobabwall::steer {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1000);

/// \brief Simulates the instances of one zone. A request for the path /kill
/// crashes the backend server that runs it: the tests end each of its attempts
/// as broken.
class ZoneSimulation {
 public:
  explicit ZoneSimulation(int instances) : quarantined_(instances) {
    base::Findings findings;
    configuration_ = model::Configuration::Empty()->Apply(
        {"t",
         {{{model::Kind::kRegion, "amba"}, R"({"declaredRate": 9})", {}},
          {{model::Kind::kZone, "amba-a"}, R"({"region": "amba"})", {}},
          {{model::Kind::kService, "s"},
           R"({"tenant": "t", "class": "interactive"})",
           {}}}},
        1, &findings);
    for (int i = 0; i < instances; ++i) {
      engines_.push_back(Engine::Builder().Seed(i + 1).Build());
      Publish(i);
    }
  }

  // Sends a request to an instance and returns the attempts that start.
  std::vector<StartAttempt> Send(int instance, const std::string& path) {
    RequestArrival arrival;
    arrival.id = ++last_id_;
    arrival.service = "s";
    arrival.method = "GET";
    arrival.path = path;
    arrival.deadline = now + absl::Seconds(2);
    return StartedAttempts(engines_[instance]->OnArrival(arrival, now));
  }

  std::vector<StartAttempt> End(int instance,
                                const StartAttempt& start,
                                AttemptResult result) {
    AttemptEnd end;
    end.request = start.request;
    end.attempt = start.attempt;
    end.result = result;
    end.status = 200;
    return StartedAttempts(engines_[instance]->OnAttemptEnd(end, now));
  }

  // Breaks the given attempts and all retries until no attempt starts. Returns
  // the number of broken attempts.
  int BreakAll(int instance, std::vector<StartAttempt> open_attempts) {
    int crashes = 0;
    while (!open_attempts.empty()) {
      const StartAttempt start = open_attempts.back();
      open_attempts.pop_back();
      ++crashes;
      for (const auto& next : End(instance, start, AttemptResult::kBroken)) {
        open_attempts.push_back(next);
      }
    }
    return crashes;
  }

  // Delivers the quarantine notices of all instances to all instances.
  void ExchangeNotices() {
    std::map<uint64_t, absl::Time> all;
    for (auto& engine : engines_) {
      for (const auto& notice : engine->TakeQuarantineNotices()) {
        all[notice.fingerprint] = notice.until;
      }
    }
    for (size_t i = 0; i < engines_.size(); ++i) {
      quarantined_[i].insert(all.begin(), all.end());
      Publish(i);
    }
  }

  absl::Time now = kStart;

 private:
  void Publish(size_t instance) {
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->configuration = configuration_;
    snapshot->self = {absl::StrCat("i", instance), 1};
    snapshot->is_ready = true;
    for (int i = 0; i < 8; ++i) {
      BackendView backend;
      backend.name = absl::StrCat("r", i);
      backend.service = "s";
      backend.slot_share = 5;
      backend.health = HealthStatus::kHealthy;
      snapshot->backends.push_back(backend);
    }
    snapshot->quarantined = quarantined_[instance];
    engines_[instance]->Publish(snapshot, now);
  }

  static std::vector<StartAttempt> StartedAttempts(const Actions& actions) {
    std::vector<StartAttempt> starts;
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        starts.push_back(*start);
      }
    }
    return starts;
  }

  std::shared_ptr<const model::Configuration> configuration_;
  std::vector<std::map<uint64_t, absl::Time>> quarantined_;
  std::vector<std::unique_ptr<Engine>> engines_;
  RequestId last_id_ = 0;
};

// Checks that one request crashes at most two backend servers per instance, and
// no backend server of an instance that has received the quarantine notice.
TEST_CASE("a request crashes at most two backend servers per instance") {
  ZoneSimulation zone(3);
  int crashes = 0;
  for (int round = 0; round < 20; ++round) {
    crashes += zone.BreakAll(0, zone.Send(0, "/kill"));
    zone.now += absl::Seconds(1);
  }
  CHECK(crashes == 2);
  SECTION("the notice arrives before the caller tries another instance") {
    zone.ExchangeNotices();
    for (int instance = 0; instance < 3; ++instance) {
      CHECK(zone.Send(instance, "/kill").empty());
    }
    zone.now += absl::Minutes(11);
    CHECK(zone.Send(1, "/kill").size() == 1);
  }
  SECTION("the notice is lost") {
    for (int round = 0; round < 20; ++round) {
      crashes += zone.BreakAll(1, zone.Send(1, "/kill"));
      crashes += zone.BreakAll(2, zone.Send(2, "/kill"));
    }
    CHECK(crashes == 2 * 3);
  }
}

// Checks that c copies in flight at the first crash lead to at most c + 1
// crashes.
TEST_CASE("each copy in flight at the first crash adds at most one crash") {
  ZoneSimulation zone(1);
  std::vector<StartAttempt> open_attempts;
  for (int copy = 0; copy < 4; ++copy) {
    open_attempts.push_back(zone.Send(0, "/kill").at(0));
  }
  int crashes = zone.BreakAll(0, open_attempts);
  for (int round = 0; round < 20; ++round) {
    crashes += zone.BreakAll(0, zone.Send(0, "/kill"));
  }
  CHECK(crashes == 4 + 1);
}

// Guards against a quarantine of requests that were in flight at the crashed
// server but did not cause the crash. Each such request runs alone at a
// separate server, and stops being a suspect after one complete answer.
TEST_CASE("a request in flight at a crash is a suspect only temporarily") {
  ZoneSimulation zone(1);
  std::vector<StartAttempt> unrelated_attempts;
  for (const char* path : {"/a", "/b", "/c"}) {
    unrelated_attempts.push_back(zone.Send(0, path).at(0));
  }
  const auto crashing_attempts = zone.Send(0, "/kill");
  // The connections of all four requests break; each request is retried at a
  // separate server.
  std::set<std::string> servers;
  std::vector<StartAttempt> retries;
  for (const StartAttempt& start : unrelated_attempts) {
    for (const auto& next : zone.End(0, start, AttemptResult::kBroken)) {
      CHECK(servers.insert(next.target.name).second);
      retries.push_back(next);
    }
  }
  REQUIRE(retries.size() == 3);
  const auto second =
      zone.End(0, crashing_attempts.at(0), AttemptResult::kBroken);
  REQUIRE(second.size() == 1);
  CHECK(servers.insert(second[0].target.name).second);
  // A second copy of /a waits for the first copy.
  CHECK(zone.Send(0, "/a").empty());
  const auto next = zone.End(0, retries[0], AttemptResult::kCompleted);
  CHECK(next.size() == 1);
  CHECK(zone.Send(0, "/a").size() == 1);
  CHECK(zone.BreakAll(0, second) == 1);
  CHECK(zone.Send(0, "/kill").empty());
  CHECK(zone.Send(0, "/a").size() == 1);
}

}  // namespace
}  // namespace baobabwall::steer
