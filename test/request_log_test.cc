#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "edge/edge.h"

namespace baobabwall::edge {
namespace {

constexpr char kHead[] = "I20261204 10:47:36.123456 12 request_log.cc:9] ";

// Guards against a caller that writes fields, or lines, of its own into the log
// by the id of its request, or fills the log with it.
TEST_CASE("a caller's id can't change the line of its request") {
  gateway::CallerRequest request;
  request.caller_id = absl::StrCat("x status=200\nroute: ended request=y ",
                                   std::string(9000, 'z'));
  gateway::RequestRecord record;
  record.request = &request;
  record.status = 503;
  record.reason = "full";
  const std::string line = RequestLog::Line(record, 7);
  CHECK(line.find('\n') == std::string::npos);
  CHECK(line.size() < 400);
  const auto read = base::ParseLogLine(absl::StrCat(kHead, line));
  REQUIRE(read);
  CHECK(read->event == "route: ended");
  CHECK(read->Field("status") == "503");
  CHECK(read->Field("state") == "7");
}

// Guards against a line that does not tell how an attempt ended, or why there
// was no other.
TEST_CASE("the line of a request tells each attempt") {
  gateway::CallerRequest request;
  request.caller_id = "id-1.a_b";
  gateway::RequestRecord record;
  record.request = &request;
  gateway::AttemptRecord& lost = record.attempts.emplace_back();
  lost.server = "i-1";
  lost.load = 4;
  lost.slots = 5;
  lost.took = absl::Milliseconds(20);
  gateway::AttemptRecord& broken = record.attempts.emplace_back();
  broken.server = "i-2";
  broken.load_age = absl::Milliseconds(30);
  broken.result = gateway::AttemptResult::kBroken;
  broken.no_retry = gateway::NoRetry::kBudget;
  const auto read =
      base::ParseLogLine(absl::StrCat(kHead, RequestLog::Line(record, 7)));
  REQUIRE(read);
  CHECK(read->Field("request") == "id-1.a_b");
  CHECK(
      read->Field("attempts") ==
      "i-1:load=4/5:age_ms=-:expected_ms=0:result=given-up:status=0:ms=20:"
      "no_retry=-,i-2:load=0/0:age_ms=30:expected_ms=0:result=broken:status=0:"
      "ms=0:no_retry=budget");
}

}  // namespace
}  // namespace baobabwall::edge
