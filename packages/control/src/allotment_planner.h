#ifndef CONTROL_SRC_ALLOTMENT_PLANNER_H_
#define CONTROL_SRC_ALLOTMENT_PLANNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "control/src/allotment_table.h"

namespace baobabwall::control {

/// \brief How the planner treats a holder.
enum class HolderStatus {
  kEligible,  ///< The holder can receive shares.
  /// The holder keeps its targets but does not receive more, for example
  /// because no heartbeat arrives although the holder may be alive. Its shares
  /// cannot be given to other holders before it has expired.
  kFrozen,
  kLeaving,  ///< The targets of the holder are lowered to 0.
};

struct PlanHolder {
  HolderStatus status = HolderStatus::kEligible;
  /// Fraction of the holder's slots in use for each service, 0 to 1, as last
  /// received.
  std::map<std::string, double, std::less<>> utilisation;
};

/// \brief A total that the planner divides among holders.
struct PlanTotal {
  int64_t total = 0;  ///< Number of units to divide in this table.
  /// The total that the configuration declares for all zones.
  int64_t declared_total = 0;
  std::string service;  ///< Slots of one service are balanced together.
  /// Desired share of each holder; if empty, the total is divided evenly.
  std::map<std::string, int64_t, std::less<>> quotas;
};

/// \brief All inputs of a plan except the current table.
struct PlanInput {
  std::map<std::string, PlanHolder, std::less<>> holders;
  std::map<std::string, PlanTotal, std::less<>> totals;
  int64_t config_revision = 0;
  int64_t split_epoch = 0;
  /// Move slots from idle holders to busy holders.
  bool rebalance_by_load = false;
  /// Write the table even if the only change is a lowered reservation.
  bool write_on_release = false;
  /// \brief Returns whether the holder's use of the key is within the target.
  std::function<bool(absl::string_view holder,
                     absl::string_view key,
                     const AllotmentShare& share)>
      is_acknowledged;
  /// \brief Returns whether the holder has expired and its use of the key has
  /// ended.
  std::function<bool(absl::string_view holder, absl::string_view key)>
      is_expired;
};

struct AllotmentPlan {
  AllotmentTable table;
  /// The table differs enough from the current one to be written.
  bool is_write_needed = false;
  /// A holder's reserved amount exceeds its target.
  bool has_pending_release = false;
};

/// \brief Switches of the safety rules of the planner. Tests disable single
/// rules to prove that the test oracle detects the missing rule.
struct PlannerRules {
  bool grow_after_acknowledgement = true;
  bool grow_within_total = true;
  bool scale_lowered_totals = true;
};

/// \brief Computes the next table from the current one with as few changes as
/// possible. Lowered targets take effect first; other targets grow after the
/// lowered targets have been acknowledged.
AllotmentPlan PlanAllotments(const AllotmentTable& current,
                             const PlanInput& input,
                             const PlannerRules& rules = {});

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_ALLOTMENT_PLANNER_H_
