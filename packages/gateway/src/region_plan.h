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
  double demand = 0;    ///< Work of its callers: requests/s x time of work.
  double capacity = 0;  ///< Slots of its usable backend servers.
};

/// \brief In which region the requests of one region's callers for one service
/// run.
///
/// Callers' own region comes first, as far as its servers carry them; the rest
/// goes where room is left. Objects keep their region while the shares stay,
/// and only those at the edge of a share move when it changes, so that servers
/// keep what they remember. Shares move slowly: sudden moves would find servers
/// that remember nothing.
class RegionPlan {
 public:
  /// Parts of the requests by region, 0 to 1.
  using Shares = std::map<std::string, double, std::less<>>;

  /// Part of the capacity that is planned; the rest absorbs fluctuation.
  static constexpr double kPlannedUse = 0.9;
  /// Largest change of a share at one update.
  static constexpr double kStep = 0.025;
  /// Change of a share that is worth a line of the log.
  static constexpr double kNotable = 0.1;

  explicit RegionPlan(std::string own) : own_(std::move(own)) {}

  /// \param loads of all regions, by name.
  void Update(const std::map<std::string, RegionLoad, std::less<>>& loads);

  /// \param hash of the object.
  /// \param allowed names of regions; empty: all.
  /// \returns a region for the object; the own one if nothing is known.
  const std::string& RegionOf(uint64_t hash,
                              absl::Span<const std::string> allowed) const;

  /// \returns part of the requests that are to run in a region, 0 to 1.
  double Share(absl::string_view region) const;

  const Shares& shares() const { return shares_; }

  /// \returns whether a share has changed by kNotable since it last did so.
  bool TakeNotable();

  /// \returns the shares that fit the loads, without regard to present ones.
  static Shares Target(
      const std::map<std::string, RegionLoad, std::less<>>& loads,
      absl::string_view own);

 private:
  std::string own_;
  /// Shares by region; the own one is first in the order of hashes.
  Shares shares_;
  Shares noted_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_REGION_PLAN_H_
