#ifndef STEER_SRC_LINK_BUDGET_H_
#define STEER_SRC_LINK_BUDGET_H_

#include <cstdint>

#include "absl/time/time.h"

namespace baobabwall::steer {

/// \brief Token bucket for the bytes sent over a link; the level can become
/// negative (debt).
///
/// Over any time T, the bucket admits at most rate x (T + kBurstTime) plus one
/// transfer. A transfer that is larger than its estimate makes the level
/// negative; no transfer is admitted until the level is positive again.
class TokenBucket {
 public:
  /// Capacity of the bucket, stated as the time to fill the bucket at the full
  /// rate. If 5 instances share the narrowest link of section 1.2, each
  /// instance can send a page of a few hundred KB in 250 ms.
  static constexpr absl::Duration kBurstTime = absl::Milliseconds(250);

  /// \brief Sets the rate and limits the level to the new capacity.
  /// \param bytes_per_s new rate.
  void SetRate(int64_t bytes_per_s, absl::Time now);

  /// \returns true if the level is at least `bytes` or the bucket is full. A
  /// transfer larger than the capacity would otherwise never be admitted.
  bool HasBytes(int64_t bytes, absl::Time now);

  /// \brief Removes bytes from the bucket.
  /// \param bytes number of bytes; may exceed the level. A negative number
  /// returns bytes to the bucket.
  void TakeBytes(int64_t bytes, absl::Time now);

  /// \returns the used fraction of the capacity, from 0 to 1. The fraction is 1
  /// if the level is negative.
  double UsedFraction(absl::Time now);

 private:
  void Refill(absl::Time now);
  double CapacityBytes() const;

  double rate_bytes_per_s_ = 0;
  double level_bytes_ = 0;
  absl::Time last_refill_ = absl::InfinitePast();
};

/// \brief This instance's share of a link; bulk transfers get at most half of
/// the share.
class LinkBudget {
 public:
  /// \param limits_bulk_to_half if false, bulk transfers can use the whole
  /// share.
  explicit LinkBudget(bool limits_bulk_to_half)
      : limits_bulk_to_half_(limits_bulk_to_half) {}

  void SetRate(int64_t bytes_per_s, absl::Time now);

  /// \brief Takes bytes from the budget if available.
  /// \returns false, without a change, if the bytes are not available.
  bool TryTake(int64_t bytes, bool is_bulk, absl::Time now);

  double UsedFraction(absl::Time now) { return all_.UsedFraction(now); }

  /// \brief Adjusts the budget after a transfer whose size differs from the
  /// estimate.
  /// \param bytes sent bytes minus the estimate.
  void AdjustBytes(int64_t bytes, bool is_bulk, absl::Time now);

 private:
  bool limits_bulk_to_half_;
  TokenBucket all_;
  TokenBucket bulk_;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_LINK_BUDGET_H_
