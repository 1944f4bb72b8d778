#include "gateway/src/zone_map.h"

#include <utility>

namespace baobabwall::gateway {

ZoneMap::ZoneMap(std::map<std::string, std::string, std::less<>> regions,
                 std::string own_zone)
    : own_zone_(std::move(own_zone)) {
  const auto own = regions.find(own_zone_);
  own_region_ = own == regions.end() ? "" : own->second;
  for (auto& [name, region] : regions) {
    const absl::Duration round_trip = AssumedRoundTrip(name, region);
    zones_.emplace(name, Zone{std::move(region), round_trip, false});
  }
}

absl::Duration ZoneMap::AssumedRoundTrip(absl::string_view zone,
                                         absl::string_view region) const {
  if (zone == own_zone_) {
    return kSameZoneRoundTrip;
  }
  return !region.empty() && region == own_region_ ? kSameRegionRoundTrip
                                                  : kOtherRegionRoundTrip;
}

ZoneMap::Zone& ZoneMap::FindOrAdd(absl::string_view zone) {
  const auto found = zones_.find(zone);
  if (found != zones_.end()) {
    return found->second;
  }
  const absl::Duration round_trip = AssumedRoundTrip(zone, "");
  return zones_.emplace(std::string(zone), Zone{"", round_trip, false})
      .first->second;
}

std::set<std::string> ZoneMap::Regions() const {
  std::set<std::string> regions;
  for (const auto& [name, zone] : zones_) {
    regions.insert(zone.region);
  }
  regions.erase("");
  return regions;
}

absl::string_view ZoneMap::RegionOf(absl::string_view zone) const {
  const auto found = zones_.find(zone);
  return found == zones_.end() ? absl::string_view() : found->second.region;
}

absl::Duration ZoneMap::RoundTrip(absl::string_view zone) const {
  const auto found = zones_.find(zone);
  return found == zones_.end() ? AssumedRoundTrip(zone, "")
                               : found->second.round_trip;
}

void ZoneMap::RecordRoundTrip(absl::string_view zone, absl::Duration measured) {
  Zone& known = FindOrAdd(zone);
  if (!known.is_round_trip_measured || measured < known.round_trip) {
    known.is_round_trip_measured = true;
    known.round_trip = measured;
    return;
  }
  known.round_trip = known.round_trip * (1 - kWeightOfSampleAboveEstimate) +
                     measured * kWeightOfSampleAboveEstimate;
}

}  // namespace baobabwall::gateway
