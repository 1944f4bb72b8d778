#include "gateway/src/region_plan.h"

#include <algorithm>
#include <cmath>

namespace baobabwall::gateway {
namespace internal {

using Loads = std::map<std::string, RegionLoad, std::less<>>;

double PlannedCapacity(const RegionLoad& load) {
  return load.capacity * RegionPlan::kPlannedCapacityRatio;
}

/// \returns the part of a region's demand that exceeds the planned capacity of
/// that region.
double Overflow(const RegionLoad& load) {
  return std::max(0.0, load.demand - PlannedCapacity(load));
}

double SpareCapacity(const RegionLoad& load) {
  return std::max(0.0, PlannedCapacity(load) - load.demand);
}

}  // namespace internal

RegionPlan::Shares RegionPlan::TargetShares(const internal::Loads& loads,
                                            absl::string_view own_region) {
  Shares shares;
  double overflow = 0;
  double spare = 0;
  for (const auto& [region, load] : loads) {
    overflow += internal::Overflow(load);
    spare += internal::SpareCapacity(load);
  }
  const auto own_load = loads.find(own_region);
  if (own_load == loads.end() || own_load->second.demand <= 0) {
    shares[std::string(own_region)] = 1;
    return shares;
  }
  // Overflow beyond the spare capacity of all regions stays in its own region,
  // so that requests are refused without a long round trip.
  const double placed_ratio = overflow > spare ? spare / overflow : 1;
  const double moved_share = internal::Overflow(own_load->second) *
                             placed_ratio / own_load->second.demand;
  shares[std::string(own_region)] = 1 - moved_share;
  for (const auto& [region, load] : loads) {
    if (region != own_region && spare > 0) {
      shares[region] = moved_share * internal::SpareCapacity(load) / spare;
    }
  }
  return shares;
}

void RegionPlan::Update(const internal::Loads& loads) {
  const auto target = TargetShares(loads, own_region_);
  if (shares_.empty()) {
    shares_ = target;
    return;
  }
  Shares next;
  double total = 0;
  for (const auto& [region, load] : loads) {
    const auto found_target = target.find(region);
    const double target_share =
        found_target == target.end() ? 0 : found_target->second;
    const double current_share = Share(region);
    const double share = std::clamp(target_share, current_share - kMaxShareStep,
                                    current_share + kMaxShareStep);
    next[region] = share;
    total += share;
  }
  for (auto& [region, share] : next) {
    share = total > 0 ? share / total : 0;
  }
  shares_ = std::move(next);
}

bool RegionPlan::TakeSignificantChange() {
  const bool is_significant =
      std::any_of(shares_.begin(), shares_.end(), [this](const auto& share) {
        const auto last_logged = last_logged_shares_.find(share.first);
        const double previous =
            last_logged == last_logged_shares_.end() ? 0 : last_logged->second;
        return std::abs(share.second - previous) >= kMinLoggedShareChange;
      });
  if (is_significant) {
    last_logged_shares_ = shares_;
  }
  return is_significant;
}

double RegionPlan::Share(absl::string_view region) const {
  const auto found = shares_.find(region);
  return found == shares_.end() ? 0 : found->second;
}

const std::string& RegionPlan::RegionOf(
    uint64_t hash,
    absl::Span<const std::string> allowed) const {
  const auto is_allowed = [&](const std::string& region) {
    return allowed.empty() ||
           std::find(allowed.begin(), allowed.end(), region) != allowed.end();
  };
  double total = 0;
  for (const auto& [region, share] : shares_) {
    total += is_allowed(region) ? share : 0;
  }
  double position = static_cast<double>(hash >> 11) * 0x1.0p-53 * total;
  if (is_allowed(own_region_)) {
    position -= Share(own_region_);
    if (position < 0 || total <= 0) {
      return own_region_;
    }
  }
  const std::string* last = &own_region_;
  for (const auto& [region, share] : shares_) {
    if (region == own_region_ || !is_allowed(region) || share <= 0) {
      continue;
    }
    last = &region;
    position -= share;
    if (position < 0) {
      break;
    }
  }
  return *last;
}

}  // namespace baobabwall::gateway
