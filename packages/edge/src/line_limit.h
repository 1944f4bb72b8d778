#ifndef EDGE_SRC_LINE_LIMIT_H_
#define EDGE_SRC_LINE_LIMIT_H_

#include <cstdint>
#include <utility>

#include "absl/time/time.h"

namespace baobabwall::edge {

/// \brief Limits the number of lines that are logged per second and counts the
/// suppressed lines.
class LineLimit {
 public:
  explicit LineLimit(int64_t max_lines_per_s)
      : max_lines_per_s_(max_lines_per_s) {}

  /// \returns false if the line must not be logged.
  bool Admit(absl::Time now) {
    if (now - window_start_ >= absl::Seconds(1)) {
      window_start_ = now;
      lines_in_window_ = 0;
    }
    if (lines_in_window_ >= max_lines_per_s_) {
      ++suppressed_;
      ++suppressed_total_;
      return false;
    }
    ++lines_in_window_;
    return true;
  }

  /// \returns the number of lines that were suppressed since the last call.
  int64_t TakeSuppressedCount() { return std::exchange(suppressed_, 0); }

  int64_t suppressed_total() const { return suppressed_total_; }

 private:
  int64_t max_lines_per_s_;
  int64_t lines_in_window_ = 0;
  int64_t suppressed_ = 0;
  int64_t suppressed_total_ = 0;
  absl::Time window_start_ = absl::InfinitePast();
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_LINE_LIMIT_H_
