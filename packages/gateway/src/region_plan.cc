#include "gateway/src/region_plan.h"

#include <algorithm>
#include <cmath>

namespace baobabwall::gateway {
namespace internal {

/// Own shares are planned in multiples of this share, so that small changes of
/// the demand move no objects.
constexpr double kShareQuantum = 1.0 / 16;

/// Minimum change of a share that moves objects away from a region.
constexpr double kMinMovedShare = 0.02;

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

RegionPlan::Shares RegionPlan::TargetShares(const Loads& loads,
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

RegionPlan::Loads RegionPlan::WithPeakDemand(const Loads& loads,
                                             absl::Time now) {
  const bool is_first = updated_at_ == absl::InfinitePast();
  const double decay =
      is_first
          ? 0
          : std::exp(-absl::FDivDuration(now - updated_at_, kPeakDecayTime));
  updated_at_ = now;
  double capacity = 0;
  double cpu_share = 0;
  for (const auto& [region, load] : loads) {
    capacity += load.capacity;
    cpu_share += load.cpu_share;
  }
  Loads with_peaks = loads;
  for (auto& [region, load] : with_peaks) {
    double& peak = peak_demand_[region];
    if (is_first && cpu_share > 0) {
      peak = kInitialLoadRatio * capacity * load.cpu_share / cpu_share;
    }
    peak = std::max(load.demand, peak * (is_first ? 1 : decay));
    load.demand = peak;
  }
  return with_peaks;
}

bool RegionPlan::UsesRegionWithoutCapacity(const Loads& loads) const {
  return std::any_of(
      shares_.begin(), shares_.end(), [&loads](const auto& share) {
        const auto load = loads.find(share.first);
        return share.second > 0 &&
               (load == loads.end() || load->second.capacity <= 0);
      });
}

double RegionPlan::NextStep(const Shares& target, absl::Time now) {
  const auto own = target.find(own_region_);
  const double own_target = own == target.end() ? 0 : own->second;
  const double own_change = own_target - Share(own_region_);
  if (own_change < kMinReturnedShare) {
    can_return_since_ = absl::InfiniteFuture();
  } else {
    can_return_since_ = std::min(can_return_since_, now);
  }
  if (now - can_return_since_ >= kReturnDelay) {
    return kMaxReturnStep;
  }
  if (own_change >= internal::kMinMovedShare) {
    return 0;
  }
  const bool is_moved =
      std::any_of(target.begin(), target.end(), [this](const auto& share) {
        return std::abs(share.second - Share(share.first)) >=
               internal::kMinMovedShare;
      });
  return is_moved ? kMaxShareStep : 0;
}

void RegionPlan::MoveTowards(const Shares& target, double max_step) {
  Shares next;
  double total = 0;
  for (const auto& [region, current] : shares_) {
    next.emplace(region, 0);
  }
  for (const auto& [region, share] : target) {
    next[region] = share;
  }
  for (auto& [region, share] : next) {
    const double current = Share(region);
    share = std::clamp(share, current - max_step, current + max_step);
    total += share;
  }
  for (auto& [region, share] : next) {
    share = total > 0 ? share / total : 0;
  }
  shares_ = std::move(next);
}

void RegionPlan::Update(const Loads& loads, absl::Time now) {
  const Loads with_peaks = WithPeakDemand(loads, now);
  Shares target = TargetShares(with_peaks, own_region_);
  const double own_share = target[own_region_];
  const double planned_share =
      std::ceil(own_share / internal::kShareQuantum) * internal::kShareQuantum;
  if (own_share < 1) {
    for (auto& [region, share] : target) {
      share *= (1 - planned_share) / (1 - own_share);
    }
    target[own_region_] = planned_share;
  }
  if (shares_.empty() || UsesRegionWithoutCapacity(loads)) {
    shares_ = std::move(target);
    return;
  }
  MoveTowards(target, NextStep(target, now));
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
