#include "edge/src/event_limits.h"

#include "base/base.h"

namespace baobabwall::edge {

std::optional<int64_t> EventLimits::Admit(absl::string_view line,
                                          absl::Time now) {
  absl::string_view event = base::EventOfLogLine(line);
  if (limiter_by_event_.size() >= kMaxEvents &&
      !limiter_by_event_.contains(event)) {
    event = {};
  }
  LineLimit& limiter =
      limiter_by_event_.try_emplace(event, max_lines_per_s_).first->second;
  if (!limiter.Admit(now)) {
    return std::nullopt;
  }
  return limiter.TakeSuppressedCount();
}

}  // namespace baobabwall::edge
