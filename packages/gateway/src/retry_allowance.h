#ifndef GATEWAY_SRC_RETRY_ALLOWANCE_H_
#define GATEWAY_SRC_RETRY_ALLOWANCE_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/base.h"

namespace baobabwall::gateway {

/// \brief Bound on the retries of the whole fleet for each service.
struct RetryBudgetBound {
  double ratio = 0.2;  ///< Retries per request.
  double extra = 50;   ///< Retries beyond that.
  absl::Duration window = absl::Seconds(10);
};

/// \brief This instance's part of the fleet's retry budget.
///
/// The sum over all instances stays within the bound without any message: each
/// earns by its own requests, and divides the fixed part by the number of
/// instances.
class RetryAllowance {
 public:
  /// Part of the bound that is used; the rest covers windows that are cut
  /// differently and processes that restart and forget.
  static constexpr double kUsedPart = 0.75;

  void SetBound(const RetryBudgetBound& bound) { bound_ = bound; }

  /// \param count instances that share the fixed part.
  void SetInstances(int count) { instances_ = count < 1 ? 1 : count; }

  void OnRequest(absl::string_view service, absl::Time now);

  /// \returns false, with nothing taken, if the allowance is used up.
  bool TryRetry(absl::string_view service, absl::Time now);

 private:
  struct Counts {
    explicit Counts(absl::Duration window)
        : requests(window), retries(window) {}
    base::SlidingWindow requests;
    base::SlidingWindow retries;
  };

  Counts& Of(absl::string_view service);

  RetryBudgetBound bound_;
  int instances_ = 1;
  absl::flat_hash_map<std::string, Counts> counts_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_RETRY_ALLOWANCE_H_
