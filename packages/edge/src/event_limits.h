#ifndef EDGE_SRC_EVENT_LIMITS_H_
#define EDGE_SRC_EVENT_LIMITS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "edge/src/line_limit.h"

namespace baobabwall::edge {

/// \brief Limits the log lines per second of each event.
class EventLimits {
 public:
  /// Maximum number of events that have their own limit. All further events
  /// share one limit, because a library may log arbitrary text.
  static constexpr size_t kMaxEvents = 100;

  explicit EventLimits(int64_t max_lines_per_s)
      : max_lines_per_s_(max_lines_per_s) {}

  /// \returns the number of suppressed lines of the event before this line;
  /// nullopt if this line must not be logged.
  std::optional<int64_t> Admit(absl::string_view line, absl::Time now);

 private:
  int64_t max_lines_per_s_;
  absl::flat_hash_map<std::string, LineLimit> limiter_by_event_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_EVENT_LIMITS_H_
