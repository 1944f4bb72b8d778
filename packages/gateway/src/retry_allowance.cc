#include "gateway/src/retry_allowance.h"

namespace baobabwall::gateway {

RetryAllowance::Counts& RetryAllowance::CountsOf(absl::string_view service) {
  const auto known = counts_by_service_.find(service);
  if (known != counts_by_service_.end()) {
    return known->second;
  }
  return counts_by_service_.emplace(std::string(service), Counts(bound_.window))
      .first->second;
}

void RetryAllowance::OnRequest(absl::string_view service, absl::Time now) {
  CountsOf(service).requests.Add(now, 1);
}

bool RetryAllowance::TryRetry(absl::string_view service, absl::Time now) {
  Counts& counts = CountsOf(service);
  const double earned_retries = bound_.ratio * counts.requests.Sum(now);
  const double fixed_retries = bound_.extra / instance_count_;
  const auto limit =
      static_cast<int64_t>(kUsedBudgetRatio * (earned_retries + fixed_retries));
  return counts.retries.TryAdd(now, 1, limit);
}

}  // namespace baobabwall::gateway
