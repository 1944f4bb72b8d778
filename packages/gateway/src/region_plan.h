#ifndef GATEWAY_SRC_REGION_PLAN_H_
#define GATEWAY_SRC_REGION_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace baobabwall::gateway {

/// \brief Demand and capacity of a service in one region, in slots.
struct RegionLoad {
  double demand = 0;    ///< Request rate of its callers times the work time.
  double capacity = 0;  ///< Slots of its usable backend servers.
};

/// \brief Distributes the requests from the callers of one region to one
/// service over the regions.
///
/// Requests stay in the callers' own region up to the capacity of that region;
/// the overflow goes to regions with spare capacity. An object keeps its region
/// while the shares are unchanged. When a share changes, only the objects at
/// the boundary of the share move, so that servers keep their cached objects.
/// Shares change in small steps, because a large change would send many
/// requests to servers that have not cached the objects.
class RegionPlan {
 public:
  /// Share of the requests by region, 0 to 1.
  using Shares = std::map<std::string, double, std::less<>>;

  /// Fraction of the capacity that is used for planning; the rest absorbs load
  /// fluctuations.
  static constexpr double kPlannedCapacityRatio = 0.9;
  /// Maximum change of a share in one update.
  static constexpr double kMaxShareStep = 0.025;
  /// Minimum change of a share that is logged.
  static constexpr double kMinLoggedShareChange = 0.1;

  explicit RegionPlan(std::string own_region)
      : own_region_(std::move(own_region)) {}

  /// \param loads loads of all regions by region name.
  void Update(const std::map<std::string, RegionLoad, std::less<>>& loads);

  /// \param hash hash of the object.
  /// \param allowed names of the allowed regions; empty if all are allowed.
  /// \returns the region for the object; this instance's region if no load is
  /// known.
  const std::string& RegionOf(uint64_t hash,
                              absl::Span<const std::string> allowed) const;

  /// \returns the share of the requests assigned to the region, 0 to 1.
  double Share(absl::string_view region) const;

  const Shares& shares() const { return shares_; }

  /// \returns whether any share has changed by at least kMinLoggedShareChange
  /// since the last call that returned true.
  bool TakeSignificantChange();

  /// \returns the shares that match the loads, independent of the current
  /// shares.
  static Shares TargetShares(
      const std::map<std::string, RegionLoad, std::less<>>& loads,
      absl::string_view own_region);

 private:
  std::string own_region_;
  /// Share by region. This instance's region is assigned the lowest part of the
  /// hash range.
  Shares shares_;
  Shares last_logged_shares_;  ///< Shares at the last significant change.
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_REGION_PLAN_H_
