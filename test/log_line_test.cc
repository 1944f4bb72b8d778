#include <catch2/catch.hpp>

#include "base/base.h"

namespace baobabwall::base {
namespace {

constexpr char kLogLine[] =
    "12.345 edge-a-1 I20261204 10:47:36.123456 12 loop.cc:9] route: ended "
    "request=id-1 error=connection reset by peer attempts=i-1:load=4/5\n";

// Guards against tools that parse the log lines of a process incorrectly.
TEST_CASE(
    "ParseLogLine returns the source, time, event and fields of a log line") {
  const auto line = ParseLogLine(kLogLine);
  REQUIRE(line);
  CHECK(line->source == "edge-a-1");
  CHECK(line->time == "20261204 10:47:36.123456");
  CHECK(line->event == "route: ended");
  CHECK(line->Field("request") == "id-1");
  CHECK(line->Field("error") == "connection reset by peer");
  CHECK(line->Field("attempts") == "i-1:load=4/5");
  CHECK(line->Field("none").empty());
  CHECK(EventOfLogLine(kLogLine) == "route: ended");
}

// Guards against parsing other text on standard output as an event.
TEST_CASE("ParseLogLine rejects text that is not a log line") {
  for (const char* text :
       {"", "hello", "] ", "I20261204 10:47:36.1 12 loop.cc:9] no event",
        "I20261204 10:47:36.1 12 loop.cc:9] part: field=1",
        "X20261204 10:47:36.1 12 loop.cc:9] store: lost", "a] store: lost"}) {
    INFO(text);
    CHECK_FALSE(ParseLogLine(text));
  }
}

}  // namespace
}  // namespace baobabwall::base
