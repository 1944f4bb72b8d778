#ifndef STEER_SRC_RULES_H_
#define STEER_SRC_RULES_H_

namespace baobabwall::steer {

/// \brief Switches of the rules that decide how a request is handled. All rules
/// are enabled in production. A test can disable each rule to show that the
/// oracle detects the missing rule.
struct Rules {
  bool remember_keys = true;       ///< Run at most one request per key.
  bool bind_keys_to_owner = true;  ///< Only the key's owner runs the request.
  bool check_relay_target = true;  ///< Refuse relays to another incarnation.
  bool refuse_duplicate_relays = true;  ///< Refuse duplicate relays.
  /// Refuse expired keys after the clock was set back.
  bool track_last_evicted_expiry = true;
  /// If the request with a key has run, report its outcome even in a refusal.
  bool look_up_key_before_refusing = true;
  bool pass_on_relayed_outcome = true;  ///< Forward X-Request-Outcome.
  /// Report the outcome "unknown" if the result of an attempt was lost.
  bool report_unknown_after_lost_attempt = true;
  /// Never retry a non-idempotent request after a byte was sent.
  bool no_retry_after_first_byte = true;
  /// Only the first instance retries a request.
  bool no_retry_at_relay_target = true;
  /// Start no attempt after the deadline.
  bool no_start_after_deadline = true;
  bool retry_budget = true;  ///< Apply the retry budgets.
  /// Limit the attempts per request, including refused attempts.
  bool limit_attempts = true;
  bool drop_late_answers = true;  ///< Drop late and duplicate answers.
  bool quarantine = true;         ///< Refuse quarantined requests.
  /// Run requests that are suspected of crashing servers one at a time.
  bool one_suspect_in_flight = true;
  /// Finish the request that has an idempotency key even if its caller has
  /// disconnected.
  bool finish_run_after_disconnect = true;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_RULES_H_
