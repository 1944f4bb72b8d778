#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "mutate.h"
#include "platform/platform.h"
#include "transport/transport.h"

namespace baobabwall::platform {
namespace {

using control::StoreStatus;
using edge::HttpResponse;
using nlohmann::json;

constexpr char kConfigJson[] = R"({"version":7,"base_version":5,
  "services":[{"name":"rooms","health_check_path":"/health",
    "max_connections":330,"protocol":"h1","warmup_s":3.0,"cold_per_s":7.9}],
  "limits":{"max_header_bytes":1000,"max_body_bytes":2000,
    "header_timeout_ms":3000,"idle_timeout_ms":15000},
  "virtual_hosts":[{"host":"h.example","paths":[
    {"name":"r1","prefix":"/a/","route_type":"non_idempotent",
     "timeout_ms":2000,"target_latency_ms":500,"priority":1,"service":"rooms",
     "max_attempts":2,"session_affinity":true,"allowed_regions":["amba"]},
    {"name":"r2","prefix":"/b/","route_type":"download","timeout_ms":1500,
     "priority":2,"traffic_split":[{"service":"rooms","weight":90},
       {"service":"other","weight":10}],"max_attempts":3},
    {"name":"r3","prefix":"/c/","route_type":5,"timeout_ms":1}]}]})";

constexpr char kServerJson[] = R"({"service":"rooms","address":"10.1.0.9:8080",
  "zone":"amba-palermo","version":"v1","capacity_slots":5,"state":"ready",
  "warmup_left_ms":2000,"sequence":4,"born":1780000000000})";

control::StoreKeyValue MakeItem(const std::string& key,
                                const std::string& value) {
  control::StoreKeyValue item;
  item.key = key;
  item.value = value;
  item.revision = 3;
  return item;
}

HttpResponse MakeAnswer(int status, const std::string& body) {
  HttpResponse answer(edge::http::int_to_status(status), 11);
  answer.body() = body;
  return answer;
}

// Guards against misinterpreted fields, and against one unreadable route that
// invalidates the other routes.
TEST_CASE("a configuration is decoded into the gateway's types") {
  const auto change = DecodeStateChange(MakeItem("op/config", kConfigJson));
  REQUIRE(change.has_value());
  const auto& config = *std::get<gateway::ConfigWritten>(*change).config;
  CHECK(config.version() == 7);
  CHECK(config.route_count() == 2);
  CHECK(config.limits().body_bytes == 2000);
  CHECK(config.limits().idle_timeout == absl::Seconds(15));
  const gateway::Route* booking = config.FindRoute("h.example", "/a/x");
  REQUIRE(booking != nullptr);
  CHECK_FALSE(booking->is_idempotent);
  CHECK(booking->timeout == absl::Seconds(2));
  CHECK(booking->latency_objective == absl::Milliseconds(500));
  CHECK(booking->has_affinity);
  CHECK(booking->allowed_regions == std::vector<std::string>{"amba"});
  const gateway::Route* download = config.FindRoute("h.example", "/b/x");
  REQUIRE(download != nullptr);
  CHECK(download->is_idempotent);
  CHECK(download->is_bulk);
  CHECK(download->services.size() == 2);
  CHECK(download->services[1].weight == 10);
  REQUIRE(config.FindService("rooms") != nullptr);
  CHECK(config.FindService("rooms")->cold_rate_per_s == Approx(7.9));
}

// Guards against malformed registry entries that add a server or crash the
// decoder.
TEST_CASE("a registry entry adds a server only if all its fields are valid") {
  const auto change = DecodeStateChange(MakeItem("servers/i-1", kServerJson));
  REQUIRE(change.has_value());
  const auto& server = std::get<gateway::BackendWritten>(*change).server;
  CHECK(server.id == "i-1");
  CHECK(server.endpoint.port == 8080);
  CHECK(server.slots == 5);
  CHECK(server.incarnation == 1780000000000);
  CHECK(server.cold_until > transport::SteadyNow() + absl::Seconds(1));
  for (const char* field :
       {"service", "address", "zone", "capacity_slots", "state"}) {
    json entry = json::parse(kServerJson);
    entry.erase(field);
    const auto missing =
        DecodeStateChange(MakeItem("servers/i-1", entry.dump()));
    CHECK(std::holds_alternative<gateway::BackendRemoved>(*missing));
    entry[field] = json::array({1});
    const auto other = DecodeStateChange(MakeItem("servers/i-1", entry.dump()));
    CHECK(std::holds_alternative<gateway::BackendRemoved>(*other));
  }
  json entry = json::parse(kServerJson);
  entry["state"] = "resting";
  CHECK(std::holds_alternative<gateway::BackendRemoved>(
      *DecodeStateChange(MakeItem("servers/i-1", entry.dump()))));
}

// Guards against an entry of another writer that is taken for a server, for
// example with the start time of a far future, beside which the server's own
// entry counts as old.
TEST_CASE("a registry entry with an impossible value names no server") {
  const auto is_server = [](const std::string& id, const std::string& value) {
    const auto change = DecodeStateChange(MakeItem("servers/" + id, value));
    REQUIRE(change.has_value());
    return std::holds_alternative<gateway::BackendWritten>(*change);
  };
  const auto with = [](const std::string& field, const std::string& value) {
    json entry = json::parse(kServerJson);
    entry.erase(field);
    std::string text = entry.dump();
    text.pop_back();
    return absl::StrCat(text, ",\"", field, "\":", value, "}");
  };
  REQUIRE(is_server("i-1", kServerJson));
  CHECK(is_server("i-1", with("born", "1780000000000.0")));
  const std::string very_deep =
      absl::StrCat(std::string(400'000, '['), std::string(400'000, ']'));
  const std::map<std::string, std::vector<std::string>> impossible_values = {
      {"capacity_slots",
       {"0", "-1", "1e300", "-1e300", "1e999", "4294967301", "true", "2.5",
        "18446744073709551621", "1000000000", very_deep}},
      {"born",
       {"1e300", "1e999", "18446744073709551615", "9223372036854775807", "-1",
        "1.5", "true", "\"1780000000000\"", very_deep}},
      {"warmup_left_ms", {"1e300", "1e999", "true", "\"1\"", very_deep}},
      {"address",
       {"\"10.1.0.9:65536\"", "\"10.1.0.9:99999999999999999999\"",
        "\"10.1.0.9:0\"", "\"10.1.0.9:-1\"", "\"10.1.0.9\"", "\":80\"",
        "\"10.1.0.999:80\"", "\"server.example:80\"", "7", very_deep}},
      {"zone", {"\"\"", "\"a b\"", "\"a\\r\\nX: y\"", "7", very_deep}},
      {"service", {"\"\"", "\"a\\nb\"", "7", very_deep}},
  };
  for (const auto& [field, values] : impossible_values) {
    for (const std::string& value : values) {
      CAPTURE(field, value.substr(0, 40));
      CHECK_FALSE(is_server("i-1", with(field, value)));
    }
  }
  CHECK_FALSE(is_server("i-1", very_deep));
  CHECK(is_server("i-1", with("version", very_deep)));
  CHECK_FALSE(is_server("i-1\r\nX-Injected: 1", kServerJson));
  CHECK_FALSE(is_server("", kServerJson));
}

// Guards against crashes of the decoder on arbitrary bytes under any key.
TEST_CASE("malformed values do not crash the decoder") {
  CHECK(rc::check([](uint16_t position, uint8_t value, bool is_config) {
    std::string text = is_config ? kConfigJson : kServerJson;
    text[position % text.size()] = static_cast<char>(value);
    DecodeStateChange(MakeItem(is_config ? "op/config" : "servers/i-1", text));
  }));
  CHECK(rc::check([](const std::string& bytes) {
    for (const char* key : {"op/config", "servers/x", "op/evacuate/z",
                            "baobabwall/instances/x", "baobabwall/crashes/x"}) {
      DecodeStateChange(MakeItem(key, bytes));
    }
    DecodeStoreAnswer(control::StoreGet{}, MakeAnswer(200, bytes));
  }));
}

TEST_CASE("a zone is evacuated while its evacuation key exists") {
  control::StoreKeyValue item = MakeItem("op/evacuate/amba-palermo", "{}");
  auto change = std::get<gateway::EvacuationChanged>(*DecodeStateChange(item));
  CHECK(change.zone == "amba-palermo");
  CHECK(change.is_evacuated);
  item.is_deleted = true;
  change = std::get<gateway::EvacuationChanged>(*DecodeStateChange(item));
  CHECK_FALSE(change.is_evacuated);
}

// Guards against requests that the store rejects, and against keys without
// percent-encoding.
TEST_CASE("calls are encoded in the format of the store") {
  control::StoreRange range;
  range.prefix = "a b/";
  range.after = "a b/c&d";
  CHECK(EncodeStoreRequest(range).target() ==
        "/baobabwall/kv-range?prefix=a%20b/&after=a%20b/c%26d");
  range.allow_stale = true;
  CHECK(EncodeStoreRequest(range).target() ==
        "/baobabwall/kv-range?prefix=a%20b/&after=a%20b/c%26d&stale_ok=1");
  const control::StoreWatch watch = {"", 41, absl::Seconds(20)};
  CHECK(EncodeStoreRequest(watch).target() ==
        "/baobabwall/kv-watch?prefix=&after=41&wait_ms=20000");
  control::StoreCompareAndSwap put;
  put.key = "k";
  put.value = "node-1";
  put.lease = 9;
  const auto request = EncodeStoreRequest(put);
  CHECK(request.target() == "/baobabwall/kv-txn");
  const json body = json::parse(request.body());
  CHECK(body["expect"][0]["rev"] == 0);
  CHECK(body["puts"][0]["value"] == absl::Base64Escape("node-1"));
  CHECK(body["puts"][0]["lease"] == 9);
  CHECK(EncodeStoreRequest(control::StoreLeaseEnd{7}).method() ==
        edge::http::verb::delete_);
}

// Guards against confusing a rejected call with a lost answer, or a lost answer
// with a valid one.
TEST_CASE("answers of the store are decoded to the correct status") {
  const auto status = [](int code, const std::string& body) {
    return DecodeStoreAnswer(control::StoreRange{}, MakeAnswer(code, body))
        .status;
  };
  CHECK(status(200, R"({"items":[],"more_pages":false,"current_rev":5})") ==
        StoreStatus::kOk);
  CHECK(status(410, "") == StoreStatus::kHistoryGone);
  CHECK(status(412, R"({"items":[]})") == StoreStatus::kConflict);
  CHECK(status(404, "") == StoreStatus::kNotFound);
  CHECK(status(429, "") == StoreStatus::kRefused);
  CHECK(status(503, "") == StoreStatus::kRefused);
  CHECK(status(500, "") == StoreStatus::kUnknown);
  CHECK(status(200, "cut") == StoreStatus::kUnknown);
  CHECK(status(200, R"({"items":[{"key":5}]})") == StoreStatus::kUnknown);
  const auto events = DecodeStoreAnswer(
      control::StoreWatch{},
      MakeAnswer(200, R"({"events":[{"key":"a","value":"bm9kZS0x","rev":412,)"
                      R"("created_rev":412,"lease":7},)"
                      R"({"key":"b","rev":413,"deleted":true}],)"
                      R"("current_rev":413})"));
  REQUIRE(events.key_values.size() == 2);
  CHECK(events.key_values[0].value == "node-1");
  CHECK(events.key_values[1].is_deleted);
  CHECK(events.revision == 413);
}

// Guards against a restore of the store that is not noticed because the answer
// is not the one to a read.
TEST_CASE("the era of the store is read from all of its answers") {
  for (const int status : {200, 404, 410, 412, 429, 503}) {
    HttpResponse answer = MakeAnswer(status, "{}");
    const auto era = [&answer] {
      return DecodeStoreAnswer(control::StoreLeaseKeepAlive{1}, answer).era;
    };
    CHECK_FALSE(era().has_value());
    answer.set("Store-Era", "12");
    CHECK(era() == 12);
    for (const char* invalid : {"", "0", "-3", "x", "1.5"}) {
      CAPTURE(invalid);
      answer.set("Store-Era", invalid);
      CHECK_FALSE(era().has_value());
    }
  }
}

// Guards against notices of a server that are missed or misread: a pause
// without end would exclude the server forever.
TEST_CASE("the notices of a server are read from its answers") {
  HttpResponse answer = MakeAnswer(200, "");
  CHECK_FALSE(ReadAnswer(answer).is_leaving);
  CHECK_FALSE(ReadAnswer(answer).requested_pause.has_value());
  answer.set("Server-Leaving", "1");
  answer.set("Retry-After", "3");
  CHECK(ReadAnswer(answer).is_leaving);
  CHECK_FALSE(ReadAnswer(answer).requested_pause.has_value());
  const auto pause = [](const std::string& retry_after) {
    HttpResponse refusal = MakeAnswer(503, "");
    refusal.set("Retry-After", retry_after);
    return ReadAnswer(refusal).requested_pause;
  };
  CHECK(pause("3") == absl::Seconds(3));
  CHECK(pause("0.25") == absl::Milliseconds(250));
  CHECK(pause("1e300") == absl::Hours(1));
  CHECK(pause("inf") == absl::Hours(1));
  for (const char* invalid :
       {"", "0", "-1", "nan", "soon", "3 s", "Fri, 05 Dec 2026 04:00:00 GMT"}) {
    CAPTURE(invalid);
    CHECK_FALSE(pause(invalid).has_value());
  }
  for (const char* invalid : {"", "0", "no", "11"}) {
    answer.set("Server-Leaving", invalid);
    CHECK_FALSE(ReadAnswer(answer).is_leaving);
  }
}

// Guards against a limit that is missed, and against an unreadable one that is
// taken for no limit or for a limit of 0.
TEST_CASE("the request limit of a server is read from its answers") {
  HttpResponse answer = MakeAnswer(200, "");
  CHECK(ReadAnswer(answer).limit.is_known);
  CHECK_FALSE(ReadAnswer(answer).limit.per_s.has_value());
  for (const auto& [text, per_s] : std::map<std::string, double>{
           {"0", 0}, {"12", 12}, {"0.25", 0.25}, {" 7.5 ", 7.5}}) {
    CAPTURE(text);
    answer.set("Server-Limit", text);
    CHECK(ReadAnswer(answer).limit.is_known);
    CHECK(ReadAnswer(answer).limit.per_s == per_s);
  }
  for (const char* invalid : {"", "-1", "nan", "inf", "1e999", "3/s", "few"}) {
    CAPTURE(invalid);
    answer.set("Server-Limit", invalid);
    CHECK_FALSE(ReadAnswer(answer).limit.is_known);
    CHECK_FALSE(ReadAnswer(answer).limit.per_s.has_value());
  }
}

// Guards against a load report that is dropped because of its fourth figure, or
// whose fourth figure makes a server look extremely fast or slow.
TEST_CASE("the fourth figure of a load report is optional and bounded") {
  const auto load = [](const std::string& header) {
    HttpResponse answer = MakeAnswer(200, "");
    answer.set("X-Server-Load", header);
    return ReadAnswer(answer).load;
  };
  REQUIRE(load("3,1,4").has_value());
  CHECK_FALSE(load("3,1,4")->work_factor.has_value());
  CHECK_FALSE(load("3,1,4")->is_partly_malformed);
  REQUIRE(load("3,1,4,250").has_value());
  CHECK(load("3,1,4,250")->work_factor == Approx(2.5));
  CHECK(load("3,1,4, 100")->work_factor == Approx(1));
  CHECK_FALSE(load("3,1,4,250")->is_partly_malformed);
  for (const char* invalid : {"", "0", "-1", "-250", "1e300", "10001", "inf",
                              "nan", "slow", "250%"}) {
    CAPTURE(invalid);
    const auto partial = load(absl::StrCat("3,1,4,", invalid));
    REQUIRE(partial.has_value());
    CHECK(partial->running == 3);
    CHECK(partial->waiting == 1);
    CHECK(partial->slots == 4);
    CHECK_FALSE(partial->work_factor.has_value());
    CHECK(partial->is_partly_malformed);
  }
  for (const char* extra : {"250,7", "250,", "250,,,,,,,,"}) {
    CAPTURE(extra);
    const auto partial = load(absl::StrCat("3,1,4,", extra));
    REQUIRE(partial.has_value());
    CHECK(partial->work_factor == Approx(2.5));
    CHECK(partial->is_partly_malformed);
  }
  for (const char* invalid : {"", "3,1", "3,1,x", "3,1,x,250"}) {
    CHECK_FALSE(load(invalid).has_value());
  }
}

// Guards against forwarding hop-by-hop headers, and against forwarding the
// caller's deadline without subtracting the elapsed time.
TEST_CASE("a request is forwarded with the remaining time") {
  edge::HttpRequest request(edge::http::verb::get, "/a/x?y=1", 11);
  request.set("Host", "h.example:80");
  request.set("X-Request-Id", "id-1");
  request.set("X-Deadline-Ms", "2500");
  request.set("Cookie", "a=b; X-Affinity-Key=17");
  request.set("Connection", "keep-alive, X-Hop");
  request.set("X-Hop", "1");
  const gateway::CallerRequest decoded = ReadRequest(request);
  CHECK(decoded.host == "h.example");
  CHECK(decoded.path == "/a/x");
  CHECK(decoded.time_left == absl::Milliseconds(2500));
  CHECK(decoded.object != 0);
  const auto forwarded =
      ForwardRequest(request, {"i-1", absl::Milliseconds(1234), {}});
  CHECK(forwarded["X-Deadline-Ms"] == "1234");
  CHECK(forwarded["X-Expect-Instance"] == "i-1");
  CHECK(forwarded["X-Request-Id"] == "id-1");
  CHECK(forwarded.find("X-Hop") == forwarded.end());
  CHECK(forwarded.target() == "/a/x?y=1");
}

TEST_CASE(
    "lookups and readiness checks are distinguished from other requests") {
  const auto caller_place =
      ReadLookup("/baobabwall/resolve?name=h&region=amba&zone=amba-palermo");
  REQUIRE(caller_place.has_value());
  CHECK(caller_place->zone == "amba-palermo");
  CHECK(caller_place->region == "amba");
  CHECK_FALSE(ReadLookup("/other?zone=x").has_value());
  CHECK(IsReadinessCheck("/baobabwall/readiness"));
  CHECK_FALSE(IsReadinessCheck("/"));
  const auto answer = MakeLookupAnswer({{"10.1.0.15", 8641}}, absl::Seconds(2));
  const json body = json::parse(answer.body());
  CHECK(body["addresses"][0] == "10.1.0.15:8641");
  CHECK(body["ttl_s"] == 2.0);
  CHECK(MakeLookupAnswer({}, absl::Seconds(2)).result_int() == 503);
  const auto refusal = MakeRefusal(503, absl::Milliseconds(250), "id-1");
  CHECK(refusal["Retry-After"] == "0.250");
}

}  // namespace
}  // namespace baobabwall::platform
