#include "gateway/src/retry_allowance.h"

namespace baobabwall::gateway {

RetryAllowance::Counts& RetryAllowance::Of(absl::string_view service) {
  const auto known = counts_.find(service);
  if (known != counts_.end()) {
    return known->second;
  }
  return counts_.emplace(std::string(service), Counts(bound_.window))
      .first->second;
}

void RetryAllowance::OnRequest(absl::string_view service, absl::Time now) {
  Of(service).requests.Add(now, 1);
}

bool RetryAllowance::TryRetry(absl::string_view service, absl::Time now) {
  Counts& counts = Of(service);
  const double earned = bound_.ratio * counts.requests.Sum(now);
  const double fixed = bound_.extra / instances_;
  const auto limit = static_cast<int64_t>(kUsedPart * (earned + fixed));
  return counts.retries.TryAdd(now, 1, limit);
}

}  // namespace baobabwall::gateway
