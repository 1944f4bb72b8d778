#include "steer/src/retry_budget.h"

#include <algorithm>

namespace baobabwall::steer {

void RetryBudget::OnFirstAttempt(double tokens_per_first_attempt) {
  tokens_ = std::min(kMaxTokens, tokens_ + tokens_per_first_attempt);
}

bool RetryBudget::TryTake(absl::Time now) {
  if (last_refill_ != absl::InfinitePast() && now > last_refill_) {
    tokens_ = std::min(kMaxTokens,
                       tokens_ + kMinTokensPerSecond *
                                     absl::ToDoubleSeconds(now - last_refill_));
  }
  last_refill_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace baobabwall::steer
