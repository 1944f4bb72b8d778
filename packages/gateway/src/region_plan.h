#ifndef GATEWAY_SRC_REGION_PLAN_H_
#define GATEWAY_SRC_REGION_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

namespace baobabwall::gateway {

/// \brief Demand and capacity of a service in one region, in slots.
struct RegionLoad {
  double demand = 0;    ///< Request rate of its callers times the work time.
  double capacity = 0;  ///< Slots of its usable backend servers.
  /// CPU shares of its instances. Until the demand is measured, it is assumed
  /// to be distributed like them.
  double cpu_share = 0;
};

/// \brief Distributes the requests from the callers of one region to one
/// service over the regions.
///
/// Requests stay in the callers' own region up to the capacity of that region;
/// the overflow goes to regions with spare capacity. An object keeps its region
/// while the shares are unchanged. When a share changes, only the objects at
/// the boundary of the share move, so that servers keep their cached objects.
///
/// A moved object costs a run on a server that has not cached it, which takes
/// longer than many round trips to another region. The plan therefore follows
/// the peaks of the demand, and requests return to the own region late and
/// slowly. Shares change in small steps, because a large change would send many
/// requests to servers that have not cached the objects.
class RegionPlan {
 public:
  /// Share of the requests by region, 0 to 1.
  using Shares = std::map<std::string, double, std::less<>>;
  using Loads = std::map<std::string, RegionLoad, std::less<>>;

  /// Fraction of the capacity that is used for planning; the rest absorbs load
  /// fluctuations.
  static constexpr double kPlannedCapacityRatio = 0.9;
  /// Demand of all regions that is assumed at the start, as a fraction of the
  /// capacity of all regions. While no server has cached any object, even a
  /// moderate load needs this many slots.
  static constexpr double kInitialLoadRatio = 0.5;
  /// Time constant with which a past peak of the demand is forgotten.
  static constexpr absl::Duration kPeakDecayTime = absl::Minutes(5);
  /// Maximum change of a share in one update.
  static constexpr double kMaxShareStep = 0.025;
  /// Maximum change of a share in one update when requests return to the own
  /// region.
  static constexpr double kMaxReturnStep = 0.005;
  /// Requests return if the own region can take this much more of the share
  /// for kReturnDelay.
  static constexpr double kMinReturnedShare = 0.15;
  static constexpr absl::Duration kReturnDelay = absl::Seconds(10);
  /// Minimum change of a share that is logged.
  static constexpr double kMinLoggedShareChange = 0.1;

  explicit RegionPlan(std::string own_region)
      : own_region_(std::move(own_region)) {}

  /// \param loads loads of all regions by region name.
  void Update(const Loads& loads, absl::Time now);

  /// \brief Replaces the shares by those of another instance of the region, so
  /// that all instances send an object to the same server.
  void Adopt(Shares shares) { shares_ = std::move(shares); }

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
  static Shares TargetShares(const Loads& loads, absl::string_view own_region);

 private:
  /// \returns the loads with the recent peak of each region's demand.
  Loads WithPeakDemand(const Loads& loads, absl::Time now);
  bool UsesRegionWithoutCapacity(const Loads& loads) const;
  /// \returns the step towards the target; 0 if the shares stay.
  double NextStep(const Shares& target, absl::Time now);
  void MoveTowards(const Shares& target, double max_step);

  std::string own_region_;
  /// Share by region. This instance's region is assigned the lowest part of the
  /// hash range.
  Shares shares_;
  Shares last_logged_shares_;  ///< Shares at the last significant change.
  std::map<std::string, double, std::less<>> peak_demand_;  ///< By region.
  absl::Time updated_at_ = absl::InfinitePast();
  /// Time since which the own region can take more requests.
  absl::Time can_return_since_ = absl::InfiniteFuture();
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_REGION_PLAN_H_
