#include "gateway/src/region_plan.h"

#include <algorithm>
#include <cmath>

namespace baobabwall::gateway {
namespace internal {

using Loads = std::map<std::string, RegionLoad, std::less<>>;

double PlannedOf(const RegionLoad& load) {
  return load.capacity * RegionPlan::kPlannedUse;
}

/// \returns work that does not fit into its own region.
double OverflowOf(const RegionLoad& load) {
  return std::max(0.0, load.demand - PlannedOf(load));
}

double SpareOf(const RegionLoad& load) {
  return std::max(0.0, PlannedOf(load) - load.demand);
}

}  // namespace internal

RegionPlan::Shares RegionPlan::Target(const internal::Loads& loads,
                                      absl::string_view own) {
  Shares shares;
  double overflow = 0;
  double spare = 0;
  for (const auto& [region, load] : loads) {
    overflow += internal::OverflowOf(load);
    spare += internal::SpareOf(load);
  }
  const auto self = loads.find(own);
  if (self == loads.end() || self->second.demand <= 0) {
    shares[std::string(own)] = 1;
    return shares;
  }
  // What fits nowhere stays: its servers refuse it without a long way.
  const double carried = overflow > spare ? spare / overflow : 1;
  const double moved =
      internal::OverflowOf(self->second) * carried / self->second.demand;
  shares[std::string(own)] = 1 - moved;
  for (const auto& [region, load] : loads) {
    if (region != own && spare > 0) {
      shares[region] = moved * internal::SpareOf(load) / spare;
    }
  }
  return shares;
}

void RegionPlan::Update(const internal::Loads& loads) {
  const auto target = Target(loads, own_);
  if (shares_.empty()) {
    shares_ = target;
    return;
  }
  Shares next;
  double total = 0;
  for (const auto& [region, load] : loads) {
    const auto wanted = target.find(region);
    const double goal = wanted == target.end() ? 0 : wanted->second;
    const double present = Share(region);
    const double share = std::clamp(goal, present - kStep, present + kStep);
    next[region] = share;
    total += share;
  }
  for (auto& [region, share] : next) {
    share = total > 0 ? share / total : 0;
  }
  shares_ = std::move(next);
}

bool RegionPlan::TakeNotable() {
  const bool is_notable =
      std::any_of(shares_.begin(), shares_.end(), [this](const auto& share) {
        const auto noted = noted_.find(share.first);
        const double before = noted == noted_.end() ? 0 : noted->second;
        return std::abs(share.second - before) >= kNotable;
      });
  if (is_notable) {
    noted_ = shares_;
  }
  return is_notable;
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
  double point = static_cast<double>(hash >> 11) * 0x1.0p-53 * total;
  if (is_allowed(own_)) {
    point -= Share(own_);
    if (point < 0 || total <= 0) {
      return own_;
    }
  }
  const std::string* last = &own_;
  for (const auto& [region, share] : shares_) {
    if (region == own_ || !is_allowed(region) || share <= 0) {
      continue;
    }
    last = &region;
    point -= share;
    if (point < 0) {
      break;
    }
  }
  return *last;
}

}  // namespace baobabwall::gateway
