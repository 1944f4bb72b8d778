#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway.h"

namespace baobabwall::gateway {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

/// Fixture with one instance in region "a" and a server in each of the regions
/// "a" and "b". The keys of the accounts are "k-" and the account's name.
class Fixture {
 public:
  Fixture()
      : zones({{"a-1", "a"}, {"b-1", "b"}}, "a-1"),
        steering(&zones,
                 "self",
                 1,
                 {[this](const RequestRecord& record) { last_record = record; },
                  {},
                  {},
                  {},
                  {},
                  {},
                  {},
                  {}}) {
    RoutingConfig::Builder builder;
    builder.Version(4).AddService({"s", "/health", 330, absl::Seconds(3), 8});
    AddRoute("all", {}, &builder);
    AddRoute("only-a", {"a"}, &builder);
    AddAccount("plain", {}, std::nullopt, &builder);
    AddAccount("urgent", {}, 0, &builder);
    AddAccount("late", {}, 3, &builder);
    AddAccount("in-b", {"b"}, std::nullopt, &builder);
    AddAccount("in-c", {"c"}, std::nullopt, &builder);
    steering.SetConfig(builder.Build());
    InstanceRecord self;
    self.name = "self";
    self.zone = "a-1";
    self.region = "a";
    steering.SetInstances({self}, {self}, kStart);
    PublishServers({"a-1", "b-1"});
  }

  static void AddRoute(const std::string& name,
                       std::vector<std::string> allowed_regions,
                       RoutingConfig::Builder* builder) {
    Route route;
    route.name = name;
    route.prefix = "/" + name + "/";
    route.timeout = absl::Seconds(1);
    route.latency_objective = absl::Milliseconds(300);
    route.max_attempts = 3;
    route.priority = 1;
    route.allowed_regions = std::move(allowed_regions);
    route.services = {{"s", 1}};
    builder->AddRoute("h", route);
  }

  static void AddAccount(const std::string& name,
                         std::vector<std::string> allowed_regions,
                         std::optional<int> priority,
                         RoutingConfig::Builder* builder) {
    auto account = std::make_shared<ClientAccount>();
    account->name = name;
    account->allowed_regions = std::move(allowed_regions);
    account->priority = priority;
    const std::vector<std::string> api_keys = {"k-" + name};
    builder->AddAccount(std::move(account), api_keys);
  }

  void PublishServers(const std::vector<std::string>& zones_of_servers) {
    BackendSet set;
    for (const std::string& zone : zones_of_servers) {
      BackendServer server;
      server.id = "in-" + zone;
      server.service = "s";
      server.zone = zone;
      server.slots = 5;
      server.incarnation = 1;
      set.Add(server);
    }
    steering.SetBackends(set);
  }

  SteeringActions Send(const std::string& route, const std::string& key) {
    CallerRequest request;
    request.id = ++last_id;
    request.host = "h";
    request.path = "/" + route + "/x";
    request.time_left = absl::Seconds(2);
    request.arrival = now;
    Credentials credentials;
    if (!key.empty()) {
      credentials = {Credentials::State::kPresent, ApiKey(key)};
    }
    return steering.OnRequest(request, now, credentials);
  }

  template <typename Action>
  static std::optional<Action> Find(const SteeringActions& actions) {
    for (const SteeringAction& action : actions) {
      if (const auto* found = std::get_if<Action>(&action)) {
        return *found;
      }
    }
    return std::nullopt;
  }

  /// \returns the number of requests until one is refused.
  int CountUntilRefused(const std::string& key) {
    int count = 0;
    while (Find<StartAttempt>(Send("all", key))) {
      ++count;
    }
    return count;
  }

  absl::Time now = kStart;
  RequestId last_id = 0;
  RequestRecord last_record;
  ZoneMap zones;
  Steering steering;
};

// Guards against requests that run without a known key, and against log lines
// that do not show the reason.
TEST_CASE("a request without a known key does not reach a server") {
  Fixture f;
  struct Case {
    std::string key;
    ConfigFreshness freshness;
    int status;
    std::string reason;
  };
  const std::vector<Case> cases = {
      {"", ConfigFreshness::kCurrent, 401, "no-key"},
      {"k-other", ConfigFreshness::kCurrent, 401, "unknown-key"},
      {"k-other", ConfigFreshness::kMayBeOutdated, 503, "unknown-key"},
      {"", ConfigFreshness::kMayBeOutdated, 401, "no-key"}};
  for (const Case& c : cases) {
    f.steering.SetConfigFreshness(c.freshness);
    const auto actions = f.Send("all", c.key);
    CHECK_FALSE(Fixture::Find<StartAttempt>(actions));
    const auto refuse = Fixture::Find<Refuse>(actions);
    REQUIRE(refuse);
    CHECK(refuse->status == c.status);
    CHECK(refuse->retry_after.has_value() == (c.status == 503));
    CHECK(f.last_record.reason == c.reason);
    CHECK(f.last_record.config_version == 4);
  }
  const auto start = Fixture::Find<StartAttempt>(f.Send("all", "k-plain"));
  REQUIRE(start);
  CHECK(start->identity.is_checked);
  CHECK(start->identity.account == "plain");
}

// Guards against 401 from an instance that cannot judge any key.
TEST_CASE("without a configuration each request is answered with 503") {
  Fixture f;
  ZoneMap zones({{"a-1", "a"}}, "a-1");
  Steering steering(&zones, "self", 1, {});
  CallerRequest request;
  request.id = 1;
  request.host = "h";
  request.path = "/all/x";
  for (const auto state :
       {Credentials::State::kAbsent, Credentials::State::kMalformed,
        Credentials::State::kPresent}) {
    CHECK_FALSE(steering.CheckHead("h", "/all/x", {state, ApiKey("k")}));
    const auto refuse = Fixture::Find<Refuse>(
        steering.OnRequest(request, kStart, {state, ApiKey("k")}));
    REQUIRE(refuse);
    CHECK(refuse->status == 503);
    CHECK(refuse->retry_after.has_value());
  }
}

// Guards against a check of the head that differs from the check of the
// complete request.
TEST_CASE("the head is judged like the complete request") {
  Fixture f;
  for (const ConfigFreshness freshness :
       {ConfigFreshness::kCurrent, ConfigFreshness::kMayBeOutdated}) {
    f.steering.SetConfigFreshness(freshness);
    for (const char* const key : {"", "k-other", "k-plain"}) {
      Credentials credentials;
      if (*key != '\0') {
        credentials = {Credentials::State::kPresent, ApiKey(key)};
      }
      const auto head = f.steering.CheckHead("h", "/all/x", credentials);
      const auto whole = Fixture::Find<Refuse>(f.Send("all", key));
      REQUIRE(head.has_value() == whole.has_value());
      if (head) {
        CHECK(head->status == whole->status);
        CHECK(head->reason == whole->reason);
        CHECK(head->retry_after == whole->retry_after);
      }
    }
  }
}

// Guards against refusals of unread requests that no log line and no metric
// shows.
TEST_CASE("a refusal by the head is recorded") {
  Fixture f;
  CallerRequest request;
  request.caller_id = "id-1";
  request.host = "h";
  request.path = "/all/x";
  const auto refuse = f.steering.CheckHead(request.host, request.path, {});
  REQUIRE(refuse);
  f.steering.RecordHeadRefusal(request, *refuse, f.now);
  CHECK(f.last_record.status == 401);
  CHECK(f.last_record.reason == "no-key");
  CHECK(f.last_record.route == "all");
  CHECK(f.last_record.config_version == 4);
  CHECK(f.steering.in_flight() == 0);
}

// Guards against the priority of the route deciding for an account that has one
// of its own: the slots reserved for urgent requests would not be kept free.
TEST_CASE("the account's priority takes precedence over the route's") {
  const auto accepted_after = [](const std::string& first_key,
                                 const std::string& key) {
    Fixture f;
    REQUIRE(Fixture::Find<StartAttempt>(f.Send("all", first_key)));
    return f.CountUntilRefused(key);
  };
  const int at_equal_priority = accepted_after("k-plain", "k-plain");
  CHECK(accepted_after("k-late", "k-urgent") == at_equal_priority);
  CHECK(accepted_after("k-urgent", "k-late") < at_equal_priority);
  CHECK(accepted_after("k-urgent", "k-plain") < at_equal_priority);
  CHECK(accepted_after("k-plain", "k-late") < at_equal_priority);
  CHECK(accepted_after("k-late", "k-plain") == at_equal_priority);
}

// Guards against a request that runs in a region that its account does not
// allow, at its first or at a later attempt.
TEST_CASE("attempts stay in the regions of the account") {
  Fixture f;
  for (int i = 0; i < 5; ++i) {
    const auto start = Fixture::Find<StartAttempt>(f.Send("all", "k-in-b"));
    REQUIRE(start);
    CHECK(start->server == "in-b-1");
    AttemptEnd refused;
    refused.attempt = start->attempt;
    refused.result = AttemptResult::kRefused;
    refused.status = 503;
    const auto actions = f.steering.OnAttemptEnd(refused, f.now);
    CHECK_FALSE(Fixture::Find<StartAttempt>(actions));
    const auto refuse = Fixture::Find<Refuse>(actions);
    REQUIRE(refuse);
    CHECK(refuse->status == 503);
    f.now += absl::Seconds(5);
  }
}

// Guards against a request that runs anywhere because the regions of its route
// and its account have nothing in common, and against one that waits for a
// server of another region.
TEST_CASE("a request without an allowed region is refused at once") {
  Fixture f;
  const auto empty = Fixture::Find<Refuse>(f.Send("only-a", "k-in-b"));
  REQUIRE(empty);
  CHECK(empty->status == 503);
  CHECK(empty->retry_after == Steering::kNoConfigRetryAfter);
  CHECK(f.last_record.reason == "no-allowed-region");
  CHECK(f.last_record.account == "in-b");
  for (const char* const key : {"k-in-c", "k-in-b"}) {
    f.PublishServers({"a-1"});
    const auto no_server = Fixture::Find<Refuse>(f.Send("all", key));
    REQUIRE(no_server);
    CHECK(no_server->status == 503);
    REQUIRE(no_server->retry_after);
    CHECK(*no_server->retry_after > absl::ZeroDuration());
    CHECK(f.last_record.attempts.empty());
    CHECK(f.steering.in_flight() == 0);
  }
  CHECK(Fixture::Find<StartAttempt>(f.Send("all", "k-plain")));
}

// Guards against a request that is reported as not run and runs later: after
// 401, 429 or 503 no attempt may start.
TEST_CASE("a refused request never runs") {
  Fixture f;
  f.Send("all", "");
  f.Send("all", "k-other");
  f.Send("only-a", "k-in-b");
  CHECK(f.steering.in_flight() == 0);
  for (int i = 0; i < 100; ++i) {
    f.now += absl::Milliseconds(100);
    CHECK(f.steering.OnTick(f.now).empty());
  }
}

}  // namespace
}  // namespace baobabwall::gateway
