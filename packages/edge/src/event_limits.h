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

/// \brief Bounds the lines that each event writes to the log per second.
class EventLimits {
 public:
  /// Further events share one limit: a library may write any text.
  static constexpr size_t kMostEvents = 100;

  explicit EventLimits(int64_t lines_per_s) : lines_per_s_(lines_per_s) {}

  /// \returns how many lines of the event were left out before this one;
  /// nullopt if this one is to be left out.
  std::optional<int64_t> Admit(absl::string_view line, absl::Time now);

 private:
  int64_t lines_per_s_;
  absl::flat_hash_map<std::string, LineLimit> by_event_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_EVENT_LIMITS_H_
