#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "ctl/ctl.h"
#include "daemon/daemon.h"
#include "daemon/src/change_history.h"
#include "free_port.h"
#include "nlohmann/json.hpp"
#include "rapidcheck.h"

namespace baobabwall::daemon {
namespace {

using Json = nlohmann::json;

/// A store that does not answer calls during a simulated outage.
class StoreWithOutage : public transport::StoreClient {
 public:
  void Start(control::StoreCall call, Done done) override {
    if (is_out) {
      control::StoreAnswer lost;
      lost.id = call.id;
      done(lost);
      return;
    }
    store_.Start(std::move(call), std::move(done));
  }

  std::atomic<bool> is_out{false};

 private:
  transport::EmbeddedStore store_;
};

control::Identity MakeIdentity() {
  control::Identity identity;
  identity.id = {"amba-a-1", 5};
  identity.zone = "amba-a";
  identity.region = "amba";
  identity.address = "127.0.0.1";
  identity.caller_port = 1;
  return identity;
}

ControlLoop::Hooks NoHooks() {
  ControlLoop::Hooks hooks;
  hooks.read_list = [] {};
  hooks.send_peer = [](const auto&) {};
  hooks.probe = [](const auto&) {};
  hooks.shutdown_ready = [] {};
  return hooks;
}

struct Answer {
  int status = 0;
  Json body;
};

/// One instance with its port for operators.
class Fixture {
 public:
  Fixture()
      : traffic_(steer::Engine::Builder().Build()),
        control_(MakeIdentity(), 1, &store, &traffic_, NoHooks()),
        service_(&control_, "secret"),
        port_(test::FreePort()),
        pool_(1),
        server_(transport::HttpServer::Builder()
                    .Address("127.0.0.1", port_)
                    .Handle("/v1/", [&](auto* e) { service_.Handle(e); })
                    .Start()) {
    control_.Start();
  }

  Answer Call(absl::string_view method,
              absl::string_view target,
              const Json& body = Json(),
              std::vector<transport::Header> headers = {},
              absl::string_view token = "secret") {
    headers.emplace_back("Authorization", absl::StrCat("Bearer ", token));
    transport::HttpAnswer answer;
    REQUIRE(transport::Fetch(&pool_, "127.0.0.1", port_, method, target,
                             headers, body.is_null() ? "" : body.dump(),
                             absl::Seconds(40), &answer));
    return {answer.status, Json::parse(answer.body)};
  }

  Answer Put(const std::string& region, int rate, Json extra = Json::object()) {
    extra["spec"] = {{"declaredRate", rate}};
    return Call("PUT", "/v1/resources/Region/" + region, extra);
  }

  StoreWithOutage store;

 private:
  Traffic traffic_;
  ControlLoop control_;
  OperatorService service_;
  int port_;
  transport::ConnectionPool pool_;
  std::unique_ptr<transport::HttpServer> server_;
};

// Guards against a lost update, and against a conflict answer that omits the
// newer resource.
TEST_CASE("a write based on an older version gets the newer resource") {
  Fixture fixture;
  REQUIRE(fixture.Put("amba", 1, {{"basedOn", 0}}).status == 200);
  REQUIRE(fixture.Put("amba", 2, {{"basedOn", 1}}).status == 200);
  const Answer late = fixture.Put("amba", 3, {{"basedOn", 1}});
  CHECK(late.status == 409);
  CHECK(late.body["newer"]["spec"]["declaredRate"] == 2);
  CHECK(late.body["resourceVersion"] == 2);
  const Answer removal = fixture.Call("DELETE", "/v1/resources/Region/amba",
                                      Json(), {{"If-Match", "\"1\""}});
  CHECK(removal.status == 409);
  Answer read = fixture.Call("GET", "/v1/resources/Region/amba");
  CHECK(read.body["spec"]["declaredRate"] == 2);
  // The instance is the reader of its own zone, so it sends its reports to
  // itself, once a second.
  for (int i = 0; i < 200 && read.body["status"]["inForceEverywhere"] == false;
       ++i) {
    absl::SleepFor(absl::Milliseconds(50));
    read = fixture.Call("GET", "/v1/resources/Region/amba");
  }
  CHECK(read.body["status"]["inForceEverywhere"] == true);
  CHECK(read.body["status"]["zones"][0]["revision"] == 2);
  CHECK(read.body["status"]["zones"][0]["since"].is_string());
  CHECK(fixture
            .Call("DELETE", "/v1/resources/Region/amba", Json(),
                  {{"If-Match", "\"2\""}})
            .status == 200);
  CHECK(fixture.Call("GET", "/v1/resources/Region").body["items"].empty());
}

// Guards against a second write when an operator resends a write whose answer
// was lost.
TEST_CASE("an operation that is sent again gives the first result") {
  Fixture fixture;
  const Json operation = {{"basedOn", 0}, {"operationId", "op-1"}};
  REQUIRE(fixture.Put("amba", 1, operation).status == 200);
  REQUIRE(fixture.Put("amba", 2).body["revision"] == 2);
  const Answer again = fixture.Put("amba", 1, operation);
  CHECK(again.status == 200);
  CHECK(again.body["revision"] == 1);
  const Answer read = fixture.Call("GET", "/v1/resources/Region/amba");
  CHECK(read.body["spec"]["declaredRate"] == 2);
}

// Guards against reporting only the first problem of a refused write, and
// against a crash of the process on a path that is not valid UTF-8.
TEST_CASE("wrong input is refused with all findings") {
  Fixture fixture;
  const Answer batch = fixture.Call(
      "POST", "/v1/batch",
      {{"operationId", "a"},
       {"changes",
        {{{"kind", "Region"}, {"name", "B"}, {"spec", {{"declaredRat", 1}}}},
         {{"kind", "Zone"}, {"name", "z"}, {"spec", {{"region", 7}}}}}}});
  CHECK(batch.status == 400);
  CHECK(batch.body["findings"].size() == 4);
  CHECK(
      fixture.Call("POST", "/v1/batch", {{"changes", Json::array()}}).status ==
      400);
  CHECK(fixture.Put("amba", 1, {{"basedOn", "x"}}).status == 400);
  CHECK(fixture.Call("GET", "/v1/resources/Region/%ff").status == 404);
  const Answer kind = fixture.Call("GET", "/v1/resources/Regio");
  CHECK(kind.body["reason"] == "no such kind, did you mean Region");
  const Answer explain =
      fixture.Call("GET", "/v1/explain?service=none&client=here");
  CHECK(explain.status == 400);
  CHECK(explain.body["findings"].size() == 2);
}

// Guards against access with a part of the token, with an extended token or
// without a token.
TEST_CASE("only the whole token opens the operators' port") {
  Fixture fixture;
  CHECK(fixture.Call("GET", "/v1/resources").status == 200);
  for (const std::string token :
       {"", "secre", "secrets", "SECRET", "secretsecret"}) {
    CAPTURE(token);
    CHECK(fixture.Call("GET", "/v1/resources", Json(), {}, token).status ==
          401);
  }
  CHECK_FALSE(transport::Token("").IsEqual(""));
  CHECK_FALSE(
      transport::Token(std::string(300, 'a')).IsEqual(std::string(300, 'a')));
}

// Guards against a write that is lost or only partly accepted during a store
// outage.
TEST_CASE("a write during a store outage is refused and can be sent again") {
  Fixture fixture;
  const Json operation = {{"operationId", "op-1"}};
  REQUIRE(fixture.Put("cuyo", 1).status == 200);
  fixture.store.is_out = true;
  const Answer refused = fixture.Put("amba", 1, operation);
  CHECK(refused.status == 503);
  CHECK(refused.body["accepted"] == "no");
  CHECK(fixture.Call("GET", "/v1/resources/Region").body["items"].size() == 1);
  fixture.store.is_out = false;
  CHECK(fixture.Put("amba", 1, operation).body["revision"] == 2);
}

// Guards against an explanation that names a wrong location or rule.
TEST_CASE("explain tells home zone, candidates and rule") {
  Fixture fixture;
  const auto resource = [](const char* kind, const char* name, Json spec) {
    return Json{{"kind", kind}, {"name", name}, {"spec", std::move(spec)}};
  };
  const Json changes = {
      resource("Region", "amba", {{"declaredRate", 9}}),
      resource("Region", "cuyo", {{"declaredRate", 9}}),
      resource("Zone", "amba-a", {{"region", "amba"}}),
      resource("Zone", "cuyo-a", {{"region", "cuyo"}}),
      resource("Service", "boliches",
               {{"tenant", "cantaloma"}, {"class", "interactive"}}),
      resource("BackendServer", "b1",
               {{"service", "boliches"},
                {"zone", "amba-a"},
                {"address", "127.0.0.1"},
                {"port", 9},
                {"slots", 3}}),
      // A drain that leaves no server would be refused for lack of headroom.
      resource("BackendServer", "b2",
               {{"service", "boliches"},
                {"zone", "amba-a"},
                {"address", "127.0.0.1"},
                {"port", 10},
                {"slots", 3}}),
      resource("ClientBlocks", "c",
               {{"blocks", {{"cuyo-a", {"10.1.0.0/16"}}}}})};
  REQUIRE(fixture
              .Call("POST", "/v1/batch",
                    {{"operationId", "a"}, {"changes", changes}})
              .status == 200);
  // Slots are allotted and drains are decided shortly after a change is in
  // force.
  const auto explain_until = [&](const auto& is_reached) {
    Answer answer;
    for (int i = 0; i < 600; ++i) {
      answer =
          fixture.Call("GET", "/v1/explain?service=boliches&client=10.9.0.1");
      if (is_reached(answer.body["candidates"][0])) {
        break;
      }
      absl::SleepFor(absl::Milliseconds(50));
    }
    return answer;
  };
  const Answer home = explain_until(
      [](const Json& candidate) { return candidate["share"] == 3; });
  CHECK(home.body["home"]["zone"] == "amba-a");
  CHECK(home.body["lookup"][0]["rule"] == "home zone");
  CHECK(home.body["candidates"][0]["share"] == 3);
  CHECK(home.body["decision"] ==
        "own zone: the least used of the free backend servers");
  const Answer moved = fixture.Call(
      "GET", "/v1/explain?service=boliches&client=10.1.0.1&method=POST");
  CHECK(moved.body["home"]["region"] == "cuyo");
  CHECK(moved.body["idempotent"] == false);
  CHECK(std::string(moved.body["decision"]).find("as moved traffic") !=
        std::string::npos);
  REQUIRE(
      fixture
          .Call("PUT", "/v1/resources/Drain/d",
                {{"spec", {{"target", "backendServer"}, {"targetName", "b1"}}}})
          .status == 200);
  const Answer drained = explain_until([](const Json& candidate) {
    return candidate["excluded"] == "it is leaving or drained";
  });
  CHECK(drained.body["candidates"][0]["excluded"] ==
        "it is leaving or drained");
  CHECK(drained.body["candidates"][1]["excluded"] == "");
  CHECK(drained.body["decision"] ==
        "own zone: the least used of the free backend servers");
}

// Guards against missing changes or deletions in a watch, and against a version
// check that accepts an outdated write. The oracle is a map from name to rate
// and version.
TEST_CASE("writes and watches agree with a map") {
  Fixture fixture;
  CHECK(rc::check("resource API", [&] {
    std::map<std::string, std::pair<int, int64_t>> oracle;
    const Answer left = fixture.Call("GET", "/v1/resources");
    for (const Json& item : left.body["items"]) {
      const std::string name = item["name"];
      fixture.Call("DELETE", "/v1/resources/Region/" + name);
    }
    const int64_t base = fixture.Call("GET", "/v1/resources").body["revision"];
    std::vector<std::map<std::string, int>> states = {{}};
    const int steps = *rc::gen::inRange(1, 12);
    for (int i = 0; i < steps; ++i) {
      const auto name = *rc::gen::element<std::string>("a", "b", "c");
      const auto present = oracle.find(name);
      const int64_t version =
          present == oracle.end() ? 0 : present->second.second;
      // Uses only versions that a read can have returned; the next test case
      // covers other versions.
      const int64_t based_on = *rc::gen::elementOf(std::vector<int64_t>{
          version, version, std::max<int64_t>(version - 1, 0), 0});
      const bool is_delete = *rc::gen::inRange(0, 3) == 0;
      const Answer answer =
          is_delete
              ? fixture.Call("DELETE", "/v1/resources/Region/" + name, Json(),
                             {{"If-Match", absl::StrCat(based_on)}})
              : fixture.Put(name, i, {{"basedOn", based_on}});
      if (based_on != version) {
        RC_ASSERT(answer.status == 409);
        RC_ASSERT(answer.body["resourceVersion"] == version);
        continue;
      }
      if (is_delete && version == 0) {
        RC_ASSERT(answer.status == 400);
        continue;
      }
      RC_ASSERT(answer.status == 200);
      std::map<std::string, int> state = states.back();
      if (is_delete) {
        oracle.erase(name);
        state.erase(name);
      } else {
        oracle[name] = {i, answer.body["revision"]};
        state[name] = i;
      }
      states.push_back(state);
      RC_ASSERT(answer.body["revision"] ==
                base + static_cast<int64_t>(states.size()) - 1);
    }
    const auto since = *rc::gen::inRange<size_t>(0, states.size());
    if (since + 1 == states.size()) {
      return;  // A watch from the newest revision waits.
    }
    const Answer watch = fixture.Call(
        "GET",
        absl::StrCat("/v1/watch?since=", base + static_cast<int64_t>(since)));
    RC_ASSERT(watch.body["revision"] ==
              base + static_cast<int64_t>(states.size()) - 1);
    std::map<std::string, int> state = states[since];
    for (const Json& event : watch.body["events"]) {
      if (event["type"] == "delete") {
        RC_ASSERT(state.erase(event["name"]) == 1U);
      } else {
        state[event["name"]] = event["spec"]["declaredRate"];
      }
    }
    RC_ASSERT(state == states.back());
  }));
}

// Guards against reporting a conflict from stale data: the store may have a
// version above the newest known revision, so the instance continues to read
// and finally refuses without reporting a current version.
TEST_CASE("a version above the newest revision is refused, not a conflict") {
  Fixture fixture;
  const Answer ahead = fixture.Put("amba", 1, {{"basedOn", 7}});
  CHECK(ahead.status == 503);
  CHECK(ahead.body["accepted"] == "no");
  CHECK(fixture.Call("GET", "/v1/resources/Region").body["items"].empty());
}

// Guards against a watch that skips discarded history entries without an error.
TEST_CASE("a history tells that it has a gap") {
  ChangeHistory history;
  const std::vector<std::string> entries = {
      model::EncodeBatch({"a", {{{model::Kind::kRegion, "x"}, {}, {}}}})};
  history.Add(1, entries);
  CHECK(history.Above(0)->size() == 1);
  history.Add(5, entries);
  CHECK_FALSE(history.Above(1));
  CHECK(history.Above(4)->size() == 1);
  CHECK(history.Above(9)->empty());
  history.Add(9, {});
  CHECK_FALSE(history.Above(5));
}

}  // namespace
}  // namespace baobabwall::daemon
