#ifndef GATEWAY_SRC_ZONE_MAP_H_
#define GATEWAY_SRC_ZONE_MAP_H_

#include <map>
#include <set>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace baobabwall::gateway {

/// \brief Maps zones to regions, and estimates the round-trip time from this
/// instance to each zone.
class ZoneMap {
 public:
  /// Round-trip times assumed until the first measurement.
  static constexpr absl::Duration kSameZoneRoundTrip = absl::Milliseconds(1);
  static constexpr absl::Duration kSameRegionRoundTrip = absl::Milliseconds(8);
  static constexpr absl::Duration kOtherRegionRoundTrip =
      absl::Milliseconds(70);
  /// Weight of a measured round-trip time that is above the estimate. A shorter
  /// round-trip time replaces the estimate immediately, because queueing only
  /// ever adds delay.
  static constexpr double kWeightOfSampleAboveEstimate = 0.05;

  /// \brief A zone as seen from this instance.
  struct Zone {
    std::string region;  ///< Empty if the zone is not in the settings.
    absl::Duration round_trip;
    bool is_round_trip_measured = false;
  };

  /// \param regions region of each zone, by zone name.
  /// \param own_zone zone of this instance.
  ZoneMap(std::map<std::string, std::string, std::less<>> regions,
          std::string own_zone);

  /// \returns the zone with this name, which is added if it is unknown. The
  /// reference stays valid.
  const Zone& Find(absl::string_view zone) { return FindOrAdd(zone); }

  const std::string& own_zone() const { return own_zone_; }
  const std::string& own_region() const { return own_region_; }

  /// \returns the names of all regions.
  std::set<std::string> Regions() const;

  /// \returns the region of the zone; an empty string if the zone is unknown.
  absl::string_view RegionOf(absl::string_view zone) const;

  absl::Duration RoundTrip(absl::string_view zone) const;

  void RecordRoundTrip(absl::string_view zone, absl::Duration measured);

 private:
  Zone& FindOrAdd(absl::string_view zone);
  absl::Duration AssumedRoundTrip(absl::string_view zone,
                                  absl::string_view region) const;

  std::string own_zone_;
  std::string own_region_;
  std::map<std::string, Zone, std::less<>> zones_;  ///< By name.
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_ZONE_MAP_H_
