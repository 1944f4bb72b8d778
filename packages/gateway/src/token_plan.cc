#include "gateway/src/token_plan.h"

#include <algorithm>

namespace baobabwall::gateway {

TokenPlan::TokenPlan(absl::Span<const TokenHolding> holdings)
    : holdings_(holdings) {
  double total_tokens = 0;
  double total_needed = 0;
  for (const TokenHolding& holding : holdings) {
    total_tokens += holding.tokens;
    total_needed += Needed(holding);
  }
  // If there are too few tokens, those of idle instances go to the others.
  const double scale =
      total_needed <= total_tokens ? 1 : total_tokens / total_needed;
  for (const TokenHolding& holding : holdings) {
    const double needed = Needed(holding) * scale;
    const double wanted = std::min(holding.capacity, needed + kReserve * scale);
    if (holding.tokens > wanted) {
      balances_.push_back(holding.tokens - wanted);
      total_surplus_ += balances_.back();
    } else if (holding.tokens < needed) {
      balances_.push_back(holding.tokens - wanted);
      total_deficit_ -= balances_.back();
    } else {
      balances_.push_back(0);
    }
  }
}

double TokenPlan::Needed(const TokenHolding& holding) {
  if (!holding.is_holder && holding.rate_per_s <= 0) {
    return 0;
  }
  return std::min(
      holding.capacity,
      1 + holding.rate_per_s * absl::ToDoubleSeconds(kReactionTime));
}

double TokenPlan::Grant(size_t giver,
                        size_t receiver,
                        base::Random* random) const {
  const double surplus = balances_[giver];
  const double deficit = -balances_[receiver];
  if (surplus <= 0 || deficit <= 0) {
    return 0;
  }
  const double grant =
      surplus * deficit / std::max(total_surplus_, total_deficit_);
  if (grant >= kMinGrant) {
    return grant;
  }
  const bool is_given = random->Unit() * kMinGrant < grant;
  return is_given ? std::min(kMinGrant, holdings_[giver].tokens) : 0;
}

}  // namespace baobabwall::gateway
