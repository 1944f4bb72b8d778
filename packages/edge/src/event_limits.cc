#include "edge/src/event_limits.h"

#include "base/base.h"

namespace baobabwall::edge {

std::optional<int64_t> EventLimits::Admit(absl::string_view line,
                                          absl::Time now) {
  absl::string_view event = base::EventOfLogLine(line);
  if (by_event_.size() >= kMostEvents && !by_event_.contains(event)) {
    event = {};
  }
  LineLimit& limit = by_event_.try_emplace(event, lines_per_s_).first->second;
  if (!limit.Admit(now)) {
    return std::nullopt;
  }
  return limit.TakeLeftOut();
}

}  // namespace baobabwall::edge
