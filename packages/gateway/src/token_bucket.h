#ifndef GATEWAY_SRC_TOKEN_BUCKET_H_
#define GATEWAY_SRC_TOKEN_BUCKET_H_

#include <algorithm>

#include "absl/time/time.h"

namespace baobabwall::gateway {

/// \brief Token bucket whose rate and capacity may change. Starts empty,
/// because the tokens of an earlier process may have been used.
class TokenBucket {
 public:
  /// \brief Adds the tokens that have accrued since the last update, and
  /// applies the new rate and capacity.
  void Update(double rate_per_s, double capacity, absl::Time now) {
    if (updated_at_ != absl::InfinitePast() && now > updated_at_) {
      // The rate may have decreased at any moment since the last update.
      tokens_ += absl::ToDoubleSeconds(now - updated_at_) *
                 std::min(rate_per_s_, rate_per_s);
    }
    updated_at_ = std::max(updated_at_, now);
    rate_per_s_ = rate_per_s;
    capacity_ = capacity;
    tokens_ = std::clamp(tokens_, -capacity_, capacity_);
  }

  bool TryTake() {
    if (tokens_ < 1) {
      return false;
    }
    --tokens_;
    return true;
  }

  /// \brief Removes tokens even if there are none. The debt is bounded by the
  /// capacity.
  void Remove(double tokens) {
    tokens_ = std::max(tokens_ - tokens, -capacity_);
  }

  /// \brief Adds tokens up to the capacity.
  void Add(double tokens) { tokens_ = std::min(tokens_ + tokens, capacity_); }

  /// \returns the time until a token has accrued; infinite if none will.
  absl::Duration TimeUntilToken() const {
    if (tokens_ >= 1) {
      return absl::ZeroDuration();
    }
    return rate_per_s_ <= 0 ? absl::InfiniteDuration()
                            : absl::Seconds((1 - tokens_) / rate_per_s_);
  }

  double tokens() const { return tokens_; }
  double capacity() const { return capacity_; }

 private:
  double tokens_ = 0;
  double rate_per_s_ = 0;
  double capacity_ = 0;
  absl::Time updated_at_ = absl::InfinitePast();
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_TOKEN_BUCKET_H_
