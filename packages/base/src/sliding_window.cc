#include "base/src/sliding_window.h"

#include <algorithm>

namespace baobabwall::base {
namespace internal {

constexpr int kSliceCountPerWindow = 64;

}  // namespace internal

SlidingWindow::SlidingWindow(absl::Duration length)
    : length_(length), slice_length_(length / internal::kSliceCountPerWindow) {}

void SlidingWindow::Expire(absl::Time now) {
  max_observed_time_ = std::max(max_observed_time_, now);
  while (!slices_.empty() &&
         slices_.front().end + length_ < max_observed_time_) {
    sum_ -= slices_.front().amount;
    slices_.pop_front();
  }
}

void SlidingWindow::Add(absl::Time now, int64_t amount) {
  Expire(now);
  sum_ += amount;
  const absl::Duration since_epoch = max_observed_time_ - absl::UnixEpoch();
  const absl::Time slice_end = absl::UnixEpoch() +
                               absl::Floor(since_epoch, slice_length_) +
                               slice_length_;
  if (!slices_.empty() && slices_.back().end == slice_end) {
    slices_.back().amount += amount;
    return;
  }
  slices_.push_back({slice_end, amount});
}

int64_t SlidingWindow::Sum(absl::Time now) {
  Expire(now);
  return sum_;
}

bool SlidingWindow::TryAdd(absl::Time now, int64_t amount, int64_t limit) {
  if (Sum(now) + amount > limit) {
    return false;
  }
  Add(now, amount);
  return true;
}

}  // namespace baobabwall::base
