#ifndef STEER_SRC_RETRY_BUDGET_H_
#define STEER_SRC_RETRY_BUDGET_H_

#include "absl/time/time.h"

namespace baobabwall::steer {

/// \brief Token bucket that limits retries to a fraction of the first attempts.
///
/// In any period of time, the number of retries is at most kMaxTokens +
/// tokens_per_first_attempt x first attempts + kMinTokensPerSecond x seconds.
class RetryBudget {
 public:
  /// Maximum number of tokens. Allows an immediate retry of all requests in
  /// flight at one failed backend server (at most 5 slots in the present
  /// deployments).
  static constexpr double kMaxTokens = 10;

  /// Number of tokens added per second even if there is no traffic, so that a
  /// service with few requests can retry.
  static constexpr double kMinTokensPerSecond = 1;

  /// \brief Adds tokens for the first attempt of a request.
  /// \param tokens_per_first_attempt tokens to add.
  void OnFirstAttempt(double tokens_per_first_attempt);

  /// \brief Takes a token for a retry.
  /// \param now current time; a clock that was set back adds no tokens.
  /// \returns false if no token is left.
  bool TryTake(absl::Time now);

 private:
  double tokens_ = kMaxTokens;
  absl::Time last_refill_ = absl::InfinitePast();
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_RETRY_BUDGET_H_
