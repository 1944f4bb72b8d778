#ifndef BASE_SRC_SLIDING_WINDOW_H_
#define BASE_SRC_SLIDING_WINDOW_H_

#include <cstdint>
#include <deque>

#include "absl/time/time.h"

namespace baobabwall::base {

/// \brief Sum of amounts over a sliding time window.
///
/// Amounts are grouped into time slices. Each slice lasts 1/64 of the window. A
/// slice expires when its end has left the window, so the sum is never too low.
/// A limit that is checked against the sum therefore holds for every window
/// position.
class SlidingWindow {
 public:
  /// \param length duration of the window; must be positive.
  explicit SlidingWindow(absl::Duration length);

  /// \param now current time. A value before the latest time of an earlier call
  /// is replaced by that latest time.
  void Add(absl::Time now, int64_t amount);
  /// \returns the sum of the amounts that have not expired.
  int64_t Sum(absl::Time now);

  /// \brief Adds the amount unless the sum would exceed the limit.
  /// \returns true if the amount was added.
  bool TryAdd(absl::Time now, int64_t amount, int64_t limit);

  absl::Duration length() const { return length_; }

 private:
  struct Slice {
    absl::Time end;
    int64_t amount;
  };

  void Expire(absl::Time now);

  absl::Duration length_;
  absl::Duration slice_length_;
  std::deque<Slice> slices_;
  int64_t sum_ = 0;
  absl::Time max_observed_time_ = absl::InfinitePast();
};

}  // namespace baobabwall::base

#endif  // BASE_SRC_SLIDING_WINDOW_H_
