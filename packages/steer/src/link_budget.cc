#include "steer/src/link_budget.h"

#include <algorithm>

namespace baobabwall::steer {

double TokenBucket::CapacityBytes() const {
  return rate_bytes_per_s_ * absl::ToDoubleSeconds(kBurstTime);
}

void TokenBucket::Refill(absl::Time now) {
  if (now <= last_refill_) {
    return;
  }
  if (last_refill_ == absl::InfinitePast()) {
    level_bytes_ = CapacityBytes();
  } else {
    level_bytes_ =
        std::min(CapacityBytes(),
                 level_bytes_ + rate_bytes_per_s_ *
                                    absl::ToDoubleSeconds(now - last_refill_));
  }
  last_refill_ = now;
}

void TokenBucket::SetRate(int64_t bytes_per_s, absl::Time now) {
  if (last_refill_ == absl::InfinitePast()) {
    rate_bytes_per_s_ = static_cast<double>(bytes_per_s);
  }
  Refill(now);
  rate_bytes_per_s_ = static_cast<double>(bytes_per_s);
  level_bytes_ = std::min(level_bytes_, CapacityBytes());
}

bool TokenBucket::HasBytes(int64_t bytes, absl::Time now) {
  Refill(now);
  return rate_bytes_per_s_ > 0 && (level_bytes_ >= static_cast<double>(bytes) ||
                                   level_bytes_ >= CapacityBytes());
}

void TokenBucket::TakeBytes(int64_t bytes, absl::Time now) {
  Refill(now);
  level_bytes_ =
      std::min(CapacityBytes(), level_bytes_ - static_cast<double>(bytes));
}

double TokenBucket::UsedFraction(absl::Time now) {
  Refill(now);
  return rate_bytes_per_s_ <= 0
             ? 1
             : std::clamp(1 - level_bytes_ / CapacityBytes(), 0.0, 1.0);
}

void LinkBudget::SetRate(int64_t bytes_per_s, absl::Time now) {
  all_.SetRate(bytes_per_s, now);
  bulk_.SetRate(bytes_per_s / 2, now);
}

bool LinkBudget::TryTake(int64_t bytes, bool is_bulk, absl::Time now) {
  const bool uses_bulk = is_bulk && limits_bulk_to_half_;
  // A bulk transfer needs bytes in both buckets: the bucket of the whole share
  // and the bucket of the half for bulk transfers.
  if (!all_.HasBytes(bytes, now) ||
      (uses_bulk && !bulk_.HasBytes(bytes, now))) {
    return false;
  }
  AdjustBytes(bytes, is_bulk, now);
  return true;
}

void LinkBudget::AdjustBytes(int64_t bytes, bool is_bulk, absl::Time now) {
  all_.TakeBytes(bytes, now);
  if (is_bulk) {
    bulk_.TakeBytes(bytes, now);
  }
}

}  // namespace baobabwall::steer
