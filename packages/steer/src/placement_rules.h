#ifndef STEER_SRC_PLACEMENT_RULES_H_
#define STEER_SRC_PLACEMENT_RULES_H_

#include <cstdint>
#include <functional>

#include "absl/time/time.h"

namespace baobabwall::steer {

/// \brief State of a backend server with a free slot, as input of the score.
struct BackendLoad {
  int in_use = 0;
  int limit = 1;
  /// Sequence number of the placement that last chose the server.
  uint64_t last_chosen = 0;
  /// Recent mean latency; zero before the first answer.
  absl::Duration latency;
};

/// \brief Switches of the rules for placement and queues.
///
/// Production code uses the defaults. Tests disable one rule at a time to show
/// that the oracle detects the missing rule; the benchmark disables rules to
/// build its baselines.
struct PlacementRules {
  bool limits_slots = true;  ///< Limit requests in flight to the slot share.
  bool ramps_cold = true;    ///< Apply the slow start.
  bool adapts_limit = true;  ///< Apply the adaptive limit.
  /// Send no new request to a leaving server.
  bool skips_leaving_servers = true;
  bool caps_moved = true;     ///< Enforce Snapshot::moved_shares.
  bool budgets_links = true;  ///< Enforce Snapshot::link_shares.
  /// Limit bulk transfers to half of a link's bandwidth.
  bool limits_bulk_to_half = true;
  bool applies_shifts = true;  ///< Apply the Shift resources of operators.
  /// Change the zone only for a 20% better score.
  bool uses_hysteresis = true;
  bool randomises = true;  ///< Choose the better of two random instances.
  bool backs_off_after_refusal =
      true;  ///< Back off from an instance that refused.
  /// Serve queues by deficit round robin, not by arrival order.
  bool queues_fairly = true;
  /// Refuse requests that would miss their deadline.
  bool refuses_late = true;
  bool bounds_wait = true;  ///< Limit the expected wait.
  /// Maximum expected wait, as a multiple of the mean service time. If the load
  /// is twice the capacity, the value 0.8 keeps the p99 latency within 1.27
  /// times the p99 latency at half load; the value 1.2 keeps the p99 latency
  /// within 1.46 times (steer_bench). If the load equals the capacity, the
  /// value 0.4 refuses 3% more requests.
  double max_wait_ratio = 0.8;
  /// Second maximum of the expected wait: the round-trip time between regions
  /// in section 1.2. A longer wait takes more time than a relay to another
  /// region. For runs of 300 ms at a load equal to the capacity, this maximum
  /// lowers the p50 latency from 1.38 to 1.18 times the minimum.
  absl::Duration max_wait = absl::Milliseconds(70);
  bool relays_requests = true;  ///< Relay requests to other instances.
  /// Replaces the default score of backend servers if set; lower is better.
  std::function<double(const BackendLoad&)> backend_score;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_PLACEMENT_RULES_H_
