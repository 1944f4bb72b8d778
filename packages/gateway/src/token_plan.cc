#include "gateway/src/token_plan.h"

#include <algorithm>

namespace baobabwall::gateway {

TokenPlan::TokenPlan(absl::Span<const TokenHolding> holdings) {
  double total_rate = 0;
  double total_tokens = 0;
  for (const TokenHolding& holding : holdings) {
    total_rate += holding.rate_per_s;
    total_tokens += holding.tokens;
  }
  const double mean_rate = total_rate / static_cast<double>(holdings.size());
  const double total_weight = total_rate * (1 + kIdleWeight);
  for (const TokenHolding& holding : holdings) {
    const double weight = holding.rate_per_s + mean_rate * kIdleWeight;
    const double wanted =
        total_rate <= 0
            ? holding.tokens
            : std::min(holding.capacity, total_tokens * weight / total_weight);
    const double balance = holding.tokens - wanted;
    balances_.push_back(balance);
    total_surplus_ += std::max(0.0, balance);
    total_deficit_ += std::max(0.0, -balance);
  }
}

double TokenPlan::Grant(size_t giver, size_t receiver) const {
  const double surplus = balances_[giver];
  const double deficit = -balances_[receiver];
  if (surplus <= 0 || deficit <= 0) {
    return 0;
  }
  const double grant =
      surplus * deficit / std::max(total_surplus_, total_deficit_);
  return grant < kMinGrant ? 0 : grant;
}

}  // namespace baobabwall::gateway
