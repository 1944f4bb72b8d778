#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "edge/edge.h"

namespace baobabwall::edge {
namespace {

constexpr char kLinePrefix[] =
    "I20261204 10:47:36.123456 12 request_log.cc:9] ";

// Guards against a caller that injects fields or lines into the log through its
// request id, or that fills the log with a long id.
TEST_CASE("a caller's request id cannot inject fields into the log line") {
  gateway::CallerRequest request;
  request.caller_id = absl::StrCat("x status=200\nroute: ended request=y ",
                                   std::string(9000, 'z'));
  gateway::RequestRecord record;
  record.request = &request;
  record.status = 503;
  record.reason = "full";
  const std::string line = RequestLog::FormatLine(record, 7);
  CHECK(line.find('\n') == std::string::npos);
  CHECK(line.size() < 400);
  const auto parsed = base::ParseLogLine(absl::StrCat(kLinePrefix, line));
  REQUIRE(parsed);
  CHECK(parsed->event == "route: ended");
  CHECK(parsed->Field("status") == "503");
  CHECK(parsed->Field("state") == "7");
}

// Guards against a log line without the result of an attempt or without the
// reason why there was no retry.
TEST_CASE("the log line of a request contains each attempt") {
  gateway::CallerRequest request;
  request.caller_id = "id-1.a_b";
  gateway::RequestRecord record;
  record.request = &request;
  gateway::AttemptRecord& abandoned = record.attempts.emplace_back();
  abandoned.server = "i-1";
  abandoned.load = 4;
  abandoned.slots = 5;
  abandoned.took = absl::Milliseconds(20);
  gateway::AttemptRecord& broken = record.attempts.emplace_back();
  broken.server = "i-2";
  broken.load_age = absl::Milliseconds(30);
  broken.result = gateway::AttemptResult::kBroken;
  broken.no_retry = gateway::NoRetry::kBudget;
  const auto parsed = base::ParseLogLine(
      absl::StrCat(kLinePrefix, RequestLog::FormatLine(record, 7)));
  REQUIRE(parsed);
  CHECK(parsed->Field("request") == "id-1.a_b");
  CHECK(
      parsed->Field("attempts") ==
      "i-1:load=4/5:age_ms=-:expected_ms=0:result=given-up:status=0:ms=20:"
      "no_retry=-,i-2:load=0/0:age_ms=30:expected_ms=0:result=broken:status=0:"
      "ms=0:no_retry=budget");
}

// Guards against a 429 whose line does not show how it was decided, and against
// fields that an account's name injects.
TEST_CASE("the log line of an account shows the state of its quota") {
  gateway::CallerRequest request;
  request.caller_id = "id-1";
  gateway::RequestRecord record;
  record.request = &request;
  CHECK(RequestLog::FormatLine(record, 7).find("account") == std::string::npos);
  record.account = "acme status=200";
  record.quota_tokens = 0.25;
  record.quota_report_age = absl::Milliseconds(420);
  record.status = 429;
  record.reason = "quota";
  record.config_version = 14;
  const auto parsed = base::ParseLogLine(
      absl::StrCat(kLinePrefix, RequestLog::FormatLine(record, 7)));
  REQUIRE(parsed);
  CHECK(parsed->Field("account") == "acme?status?200");
  CHECK(parsed->Field("quota_tokens") == "0.25");
  CHECK(parsed->Field("quota_report_age_ms") == "420");
  CHECK(parsed->Field("status") == "429");
  CHECK(parsed->Field("reason") == "quota");
  CHECK(parsed->Field("config") == "14");
}

}  // namespace
}  // namespace baobabwall::edge
