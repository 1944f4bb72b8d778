#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "ctl/ctl.h"
#include "nlohmann/json.hpp"

namespace baobabwall::ctl {
namespace {

using Json = nlohmann::json;
using trompeloeil::_;

class MockClient : public ApiClient {
 public:
  MAKE_MOCK4(Call,
             bool(absl::string_view,
                  absl::string_view,
                  absl::string_view,
                  transport::HttpAnswer*),
             override);
};

struct Run {
  ExitStatus status;
  std::string out;
  std::string err;
};

Run RunWith(ApiClient* client,
            std::vector<std::string> words,
            const Options& options = Options(),
            const std::string& input = "") {
  std::stringstream in(input);
  std::stringstream out;
  std::stringstream err;
  const ExitStatus status = RunCommand(words, options, client, &in, &out, &err);
  return {status, out.str(), err.str()};
}

// Answers one call to a path with a given status and body.
#define EXPECT_CALL_TO(client, method, target, code, text) \
  REQUIRE_CALL(client, Call(method, target, _, _))         \
      .SIDE_EFFECT(_4->status = (code))                    \
      .SIDE_EFFECT(_4->body = (text))                      \
      .RETURN(true)

class ResourceFile {
 public:
  explicit ResourceFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("baobabwall_ctl_test_" + std::to_string(getpid()) + ".json")) {
    std::ofstream(path_) << text;
  }
  ~ResourceFile() { std::filesystem::remove(path_); }

  Options options() const {
    Options options;
    options.file = path_.string();
    return options;
  }

 private:
  std::filesystem::path path_;
};

constexpr char kTwoRegions[] =
    R"([{"kind": "Region", "name": "amba", "spec": {"declaredRate": 5}},
        {"kind": "Region", "name": "cuyo", "spec": {"declaredRate": 6}}])";
constexpr char kOneInForce[] =
    R"({"revision": 7, "items": [{"kind": "Region", "name": "amba",
        "resourceVersion": 3, "spec": {"declaredRate": 4}}]})";

constexpr char kGatewayLog[] =
    "1.0 one I20261204 10:00:01.0 9 a.cc:1] config: in force version=6 "
    "routes=3 revision=10\n"
    "2.0 one I20261204 10:00:02.0 9 a.cc:1] config: in force version=7 "
    "routes=4 revision=12\n"
    "text of a library\n"
    "2.5 one I20261204 10:00:02.5 9 a.cc:2] backend: paused server=i-1 "
    "service=s ms=500\n"
    "2.6 one I20261204 10:00:02.6 9 a.cc:2] backend: paused server=i-9 "
    "service=s ms=500\n"
    "3.0 one I20261204 10:00:03.0 9 a.cc:3] route: ended request=id-1 route=r "
    "service=s object=5be1 config=7 state=12 status=503 reason=no-connection "
    "ms=260 retry_after_ms=150 "
    "attempts=i-1:load=1/5:age_ms=-:expected_ms=90:result=no-connection:"
    "status=0:ms=250:no_retry=-\n";

// Guards against an on-call engineer who cannot find the cause of a failure
// from a request id.
TEST_CASE("trace tells a request's story from the logs") {
  MockClient client;
  const Run run = RunWith(&client, {"trace", "id-1"}, Options(), kGatewayLog);
  CHECK(run.status == kExitOk);
  for (const char* part :
       {"request id-1", "configuration 7, state 12", "status 503 after 260 ms",
        "no backend server could be reached", "return after 150 ms",
        "i-1             1/5", "config: in force version=7",
        "backend: paused server=i-1"}) {
    INFO(part);
    CHECK(run.out.find(part) != std::string::npos);
  }
  // Log lines that no longer apply or that concern other servers would be
  // misleading.
  CHECK(run.out.find("version=6") == std::string::npos);
  CHECK(run.out.find("i-9") == std::string::npos);
}

// Guards against scripts that cannot distinguish an unknown request from a
// served one.
TEST_CASE("trace fails for a request that no line names") {
  MockClient client;
  const Run run = RunWith(&client, {"trace", "id-2"}, Options(), kGatewayLog);
  CHECK(run.status == kExitFailed);
  CHECK(run.err.find("id-2") != std::string::npos);
  Options json;
  json.is_json = true;
  const Run found = RunWith(&client, {"trace", "id-1"}, json, kGatewayLog);
  const Json stories = Json::parse(found.out);
  REQUIRE(stories.size() == 1);
  CHECK(stories[0]["fields"]["reason"] == "no-connection");
  CHECK(stories[0]["knownBefore"].size() == 2);
}

// Guards against an apply command that overwrites changes that it has not read.
TEST_CASE("apply sends what differs with the versions that it compared") {
  MockClient client;
  const ResourceFile file(kTwoRegions);
  EXPECT_CALL_TO(client, "GET", "/v1/resources", 200, kOneInForce);
  Json sent;
  REQUIRE_CALL(client, Call("POST", "/v1/batch", _, _))
      .LR_SIDE_EFFECT(sent = Json::parse(_3))
      .SIDE_EFFECT(_4->status = 200)
      .SIDE_EFFECT(_4->body = R"({"revision": 8})")
      .RETURN(true);
  const Run run = RunWith(&client, {"apply"}, file.options());
  CHECK(run.status == kExitOk);
  CHECK(run.out == "2 to change, 0 unchanged\naccepted revision=8\n");
  CHECK(sent["changes"][0]["basedOn"] == 3);
  CHECK(sent["changes"][1]["basedOn"] == 0);
  CHECK_FALSE(sent["operationId"].get<std::string>().empty());
}

// Guards against a diff command that changes a resource or omits a field.
TEST_CASE("diff prints fields and changes nothing") {
  MockClient client;
  const ResourceFile file(kTwoRegions);
  EXPECT_CALL_TO(client, "GET", "/v1/resources", 200, kOneInForce);
  const Run run = RunWith(&client, {"diff"}, file.options());
  CHECK(run.status == kExitFailed);
  CHECK(run.out ==
        "changed Region/amba\n  - declaredRate: 4\n  + declaredRate: 5\n"
        "new Region/cuyo\n  + declaredRate: 6\n");
}

// Guards against applying invalid files, and against reporting only the first
// problem.
TEST_CASE("files are refused with all findings before any call") {
  MockClient client;
  const ResourceFile file(
      R"([{"kind": "Regio", "name": "a", "spec": {}}, 7,
          {"kind": "Region", "name": "b", "spec": {"declaredRat": 1}}])");
  const Run run = RunWith(&client, {"apply"}, file.options());
  CHECK(run.status == kExitUsage);
  CHECK(std::count(run.err.begin(), run.err.end(), '\n') == 4);
  CHECK(run.err.find("[2]: Region/b.spec.declaredRat") != std::string::npos);
}

// Guards against an exit status that scripts would misinterpret.
TEST_CASE("exit statuses tell what happened") {
  MockClient client;
  SECTION("nothing answers") {
    REQUIRE_CALL(client, Call("GET", "/v1/status", _, _)).RETURN(false);
    CHECK(RunWith(&client, {"status"}).status == kExitUnreachable);
  }
  SECTION("conflict") {
    EXPECT_CALL_TO(client, "POST", "/v1/batch", 409,
                   R"({"resource": "Shift/s", "resourceVersion": 9,
                       "newer": {"spec": {}}})");
    const Run run = RunWith(&client, {"shift", "s", "amba", "cuyo", "10"});
    CHECK(run.status == kExitConflict);
    CHECK(run.err.find("Shift/s: has version 9 by now") == 0);
  }
  SECTION("findings") {
    EXPECT_CALL_TO(client, "POST", "/v1/batch", 400,
                   R"({"findings": [{"place": "p", "what": "is wrong",
                                     "remedy": "this"}]})");
    const Run run = RunWith(&client, {"drain", "zone", "x"});
    CHECK(run.status == kExitUsage);
    CHECK(run.err == "p: is wrong (this)\n");
  }
  SECTION("store") {
    EXPECT_CALL_TO(client, "POST", "/v1/batch", 503,
                   R"({"reason": "the store does not answer"})");
    CHECK(RunWith(&client, {"undrain", "zone", "x"}).status ==
          kExitUnreachable);
  }
  SECTION("words") {
    CHECK(RunWith(&client, {}).status == kExitUsage);
    CHECK(RunWith(&client, {"statu"}).err ==
          "no such command: statu, did you mean status\n");
    CHECK(RunWith(&client, {"describe", "Zone"}).status == kExitUsage);
    CHECK(RunWith(&client, {"shift", "s", "a", "b", "101"}).status ==
          kExitUsage);
    CHECK(RunWith(&client, {"help", "drain"}).status == kExitOk);
    CHECK(RunWith(&client, {"completion", "bash"}).out.find("complete -F") !=
          std::string::npos);
  }
}

// Guards against deleting a version that the operator has not read.
TEST_CASE("delete and drain name what they change") {
  MockClient client;
  Json sent;
  EXPECT_CALL_TO(client, "GET", "/v1/resources/Zone/amba-a", 200,
                 R"({"kind": "Zone", "name": "amba-a", "resourceVersion": 4})");
  REQUIRE_CALL(client, Call("POST", "/v1/batch", _, _))
      .TIMES(2)
      .LR_SIDE_EFFECT(sent.push_back(Json::parse(_3)["changes"][0]))
      .SIDE_EFFECT(_4->status = 200)
      .SIDE_EFFECT(_4->body = R"({"revision": 8})")
      .RETURN(true);
  CHECK(RunWith(&client, {"delete", "Zone", "amba-a"}).status == kExitOk);
  CHECK(RunWith(&client, {"drain", "backendServer", "d-01"}).status == kExitOk);
  CHECK(sent[0]["spec"].is_null());
  CHECK(sent[0]["basedOn"] == 4);
  CHECK(sent[1]["name"] == "backendserver-d-01");
  CHECK(sent[1]["spec"]["target"] == "backendServer");
}

// Guards against a watch command that requests the same changes twice or skips
// changes.
TEST_CASE("watch goes on from the last revision") {
  MockClient client;
  trompeloeil::sequence order;
  Options options;
  options.since = 5;
  options.count = 2;
  EXPECT_CALL_TO(client, "GET", "/v1/watch?since=5", 200,
                 R"({"revision": 6, "events": [{"type": "delete", "kind":
                     "Zone", "name": "z", "resourceVersion": 6}]})")
      .IN_SEQUENCE(order);
  EXPECT_CALL_TO(client, "GET", "/v1/watch?since=6", 200,
                 R"({"revision": 6, "events": []})")
      .IN_SEQUENCE(order);
  CHECK(RunWith(&client, {"watch"}, options).out == "6 delete Zone/z\n");
}

// Guards against tables that omit a column of the answer.
TEST_CASE("reads print tables") {
  MockClient client;
  EXPECT_CALL_TO(client, "GET", "/v1/resources/Region/a", 200,
                 R"({"kind": "Region", "name": "a", "resourceVersion": 2,
                     "spec": {"declaredRate": 1}, "status":
                     {"inForceEverywhere": false, "zonesNotReported": ["y"],
                      "zones": [{"zone": "z", "inForce": true, "revision": 2,
                        "since": "t", "notReported": ["i"]}]}})");
  CHECK(RunWith(&client, {"describe", "Region", "a"}).out ==
        "Region/a version=2\n  declaredRate: 1\nin force everywhere: no\n"
        "ZONE  IN FORCE  REVISION  SINCE  NOT REPORTED\n"
        "z     yes       2         t      [\"i\"]\n"
        "zones not reported: [\"y\"]\n");
  EXPECT_CALL_TO(client, "GET", "/v1/explain?service=s&client=%3A%3A1", 200,
                 R"({"lookup": [{"instance": "i", "address": "a", "port": 1,
                                 "zone": "z", "rule": "home zone"}]})");
  CHECK(RunWith(&client, {"lookup", "s", "::1"}).out ==
        "INSTANCE  ADDRESS  PORT  ZONE  RULE\n"
        "i         a        1     z     home zone\n");
}

// Guards against misinterpreted addresses.
TEST_CASE("addresses are read in full") {
  const auto endpoints = ParseEndpoints("127.0.0.1:7,[::1]:8,10.0.0.1", 9);
  REQUIRE(endpoints);
  CHECK(endpoints->at(1).address == "::1");
  CHECK(endpoints->at(1).port == 8);
  CHECK(endpoints->at(2).port == 9);
  for (const char* wrong : {"", "localhost:1", "10.0.0.1", "10.0.0.1:x",
                            "10.0.0.1:70000", "[::1", "10.0.0.1:1,"}) {
    CAPTURE(wrong);
    CHECK_FALSE(ParseEndpoints(wrong, 0));
  }
}

}  // namespace
}  // namespace baobabwall::ctl
