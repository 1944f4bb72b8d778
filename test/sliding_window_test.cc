#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <deque>

#include "base/base.h"

namespace baobabwall::base {
namespace {

// Guards against amounts that expire too early, which would admit more than the
// limit in some window.
TEST_CASE("the admitted sum stays within the limit in every window") {
  CHECK(rc::check("limit holds in every window", [] {
    const int64_t limit = *rc::gen::inRange<int64_t>(1, 50);
    SlidingWindow window(absl::Seconds(10));
    std::deque<absl::Time> admitted;
    absl::Time now = absl::UnixEpoch();
    for (int i = 0; i < 300; ++i) {
      now += absl::Milliseconds(*rc::gen::inRange(0, 700));
      if (!window.TryAdd(now, 1, limit)) {
        continue;
      }
      admitted.push_back(now);
      while (admitted.front() + window.length() < now) {
        admitted.pop_front();
      }
      RC_ASSERT(static_cast<int64_t>(admitted.size()) <= limit);
    }
  }));
}

// Guards against amounts that never expire.
TEST_CASE("amounts expire after the window length and one slice") {
  SlidingWindow window(absl::Seconds(64));
  const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
  CHECK(window.TryAdd(start, 5, 5));
  CHECK_FALSE(window.TryAdd(start + absl::Seconds(60), 1, 5));
  CHECK(window.TryAdd(start + absl::Seconds(66), 5, 5));
}

}  // namespace
}  // namespace baobabwall::base
