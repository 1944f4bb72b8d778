#ifndef GATEWAY_SRC_TOKEN_PLAN_H_
#define GATEWAY_SRC_TOKEN_PLAN_H_

#include <vector>

#include "absl/types/span.h"

namespace baobabwall::gateway {

/// \brief Tokens of an account at one instance, and the demand there.
struct TokenHolding {
  double rate_per_s = 0;  ///< Arrival rate of the account's requests.
  double tokens = 0;
  double capacity = 0;  ///< Maximum number of tokens that can be held.
};

/// \brief Tokens that instances give to each other so that the tokens of an
/// account follow the demand.
///
/// All instances compute the plan from the same reports, so that together they
/// give a receiver about what it lacks. A different view of the holdings only
/// leads to a worse distribution, because an instance gives what it holds.
class TokenPlan {
 public:
  /// Weight of an instance without requests, as a multiple of the mean request
  /// rate of all instances. The rate of a small account at one instance says
  /// little about its next request, so tokens are divided nearly equally.
  static constexpr double kIdleWeight = 2;
  /// Smallest number of tokens that is given, which bounds the messages.
  static constexpr double kMinGrant = 0.1;

  explicit TokenPlan(absl::Span<const TokenHolding> holdings);

  /// \returns the number of tokens that the giver should give to the receiver.
  double Grant(size_t giver, size_t receiver) const;

 private:
  std::vector<double> balances_;  ///< Tokens beyond the wanted number.
  double total_surplus_ = 0;
  double total_deficit_ = 0;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_TOKEN_PLAN_H_
