#ifndef GATEWAY_SRC_TOKEN_PLAN_H_
#define GATEWAY_SRC_TOKEN_PLAN_H_

#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "base/base.h"

namespace baobabwall::gateway {

/// \brief Tokens of an account at one instance, and the demand there.
struct TokenHolding {
  double rate_per_s = 0;  ///< Arrival rate of the account's requests.
  double tokens = 0;
  double capacity = 0;     ///< Maximum number of tokens that can be held.
  bool is_holder = false;  ///< Whether requests are expected here.
};

/// \brief Tokens that instances give to each other so that the tokens of an
/// account follow the demand.
///
/// All instances compute the plan from the same reports, so that together they
/// give a receiver about what it lacks. A different view of the holdings only
/// leads to a worse distribution, because an instance gives what it holds.
class TokenPlan {
 public:
  /// Time for which the tokens of an instance should suffice, until others have
  /// learned of its requests and their tokens have arrived.
  static constexpr absl::Duration kReactionTime = absl::Milliseconds(500);
  /// Tokens beyond the needed number that an instance keeps, and gets if it
  /// lacks tokens, so that tokens do not move with each request.
  static constexpr double kReserve = 0.5;
  /// Smallest number of tokens that is given, which bounds the messages. A
  /// smaller grant is replaced by this one with a probability such that the
  /// mean is the same: many givers with a small surplus each could otherwise
  /// give nothing to an instance that lacks a token.
  static constexpr double kMinGrant = 0.25;

  /// \param holdings must exist as long as the plan.
  explicit TokenPlan(absl::Span<const TokenHolding> holdings);

  /// \returns the number of tokens that the giver should give to the receiver.
  double Grant(size_t giver, size_t receiver, base::Random* random) const;

 private:
  /// \returns the tokens that an instance needs: a whole one, since less admits
  /// no request, and one for each request within the reaction time.
  static double Needed(const TokenHolding& holding);

  absl::Span<const TokenHolding> holdings_;
  std::vector<double> balances_;  ///< Tokens beyond the wanted number.
  double total_surplus_ = 0;
  double total_deficit_ = 0;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_TOKEN_PLAN_H_
