#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "request_steps.h"

namespace baobabwall::steer {
namespace {

int NumberFromEnvironment(const char* name, int default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::atoi(text);
}

// Checks all rules of the request decisions under delay, loss, duplication,
// reordering, crashes, pauses, replacements and partitions, separately and
// combined. scripts/fuzz sets other seeds and more cases.
TEST_CASE("no sequence of faults violates a request rule") {
  const std::string violation = FindViolation(
      Rules(), kRequestChartText,
      static_cast<uint64_t>(NumberFromEnvironment("ORACLE_SEED", 7)),
      NumberFromEnvironment("ORACLE_CASES", 2000), true);
  INFO(violation);
  CHECK(violation.empty());
}

}  // namespace
}  // namespace baobabwall::steer
