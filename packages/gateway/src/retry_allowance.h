#ifndef GATEWAY_SRC_RETRY_ALLOWANCE_H_
#define GATEWAY_SRC_RETRY_ALLOWANCE_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/base.h"

namespace baobabwall::gateway {

/// \brief Limit on the retries of the whole fleet for each service.
struct RetryBudgetBound {
  double ratio = 0.2;  ///< Maximum number of retries per request.
  /// Additional retries per window, regardless of the requests.
  double extra = 50;
  absl::Duration window = absl::Seconds(10);
};

/// \brief This instance's share of the fleet's retry budget.
///
/// The sum over all instances stays within the limit without communication:
/// each instance is allowed retries in proportion to its own requests, and the
/// fixed part of the budget is divided by the number of instances.
class RetryAllowance {
 public:
  /// Fraction of the budget that this instance uses. The rest allows for
  /// windows that begin at different times, and for instances that restart and
  /// lose their counts.
  static constexpr double kUsedBudgetRatio = 0.75;

  void SetBound(const RetryBudgetBound& bound) { bound_ = bound; }

  /// \param count number of instances that share the fixed part of the budget.
  void SetInstances(int count) { instance_count_ = count < 1 ? 1 : count; }

  void OnRequest(absl::string_view service, absl::Time now);

  /// \returns whether the budget allows another retry, which is then counted.
  bool TryRetry(absl::string_view service, absl::Time now);

 private:
  struct Counts {
    explicit Counts(absl::Duration window)
        : requests(window), retries(window) {}
    base::SlidingWindow requests;
    base::SlidingWindow retries;
  };

  Counts& CountsOf(absl::string_view service);

  RetryBudgetBound bound_;
  int instance_count_ = 1;
  absl::flat_hash_map<std::string, Counts> counts_by_service_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_RETRY_ALLOWANCE_H_
