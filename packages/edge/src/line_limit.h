#ifndef EDGE_SRC_LINE_LIMIT_H_
#define EDGE_SRC_LINE_LIMIT_H_

#include <cstdint>
#include <utility>

#include "absl/time/time.h"

namespace baobabwall::edge {

/// \brief Bounds the lines of a log per second; counts what is left out.
class LineLimit {
 public:
  explicit LineLimit(int64_t lines_per_s) : lines_per_s_(lines_per_s) {}

  /// \returns false if the line is to be left out.
  bool Admit(absl::Time now) {
    if (now - second_ >= absl::Seconds(1)) {
      second_ = now;
      lines_ = 0;
    }
    if (lines_ >= lines_per_s_) {
      ++left_out_;
      ++left_out_total_;
      return false;
    }
    ++lines_;
    return true;
  }

  /// \returns lines left out since the last call.
  int64_t TakeLeftOut() { return std::exchange(left_out_, 0); }

  int64_t left_out_total() const { return left_out_total_; }

 private:
  int64_t lines_per_s_;
  int64_t lines_ = 0;
  int64_t left_out_ = 0;
  int64_t left_out_total_ = 0;
  absl::Time second_ = absl::InfinitePast();
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_LINE_LIMIT_H_
