#include "gateway/src/zone_map.h"

#include <utility>

namespace baobabwall::gateway {

ZoneMap::ZoneMap(std::map<std::string, std::string, std::less<>> regions,
                 std::string own_zone)
    : regions_(std::move(regions)), own_zone_(std::move(own_zone)) {
  own_region_ = std::string(RegionOf(own_zone_));
}

absl::string_view ZoneMap::RegionOf(absl::string_view zone) const {
  const auto found = regions_.find(zone);
  return found == regions_.end() ? absl::string_view() : found->second;
}

absl::Duration ZoneMap::RoundTrip(absl::string_view zone) const {
  const auto found = measured_round_trips_.find(zone);
  if (found != measured_round_trips_.end()) {
    return found->second;
  }
  if (zone == own_zone_) {
    return kSameZoneRoundTrip;
  }
  const absl::string_view region = RegionOf(zone);
  return !region.empty() && region == own_region_ ? kSameRegionRoundTrip
                                                  : kOtherRegionRoundTrip;
}

void ZoneMap::RecordRoundTrip(absl::string_view zone, absl::Duration measured) {
  const auto found = measured_round_trips_.find(zone);
  if (found == measured_round_trips_.end()) {
    measured_round_trips_.emplace(zone, measured);
    return;
  }
  absl::Duration& round_trip = found->second;
  round_trip = measured < round_trip
                   ? measured
                   : round_trip * (1 - kWeightOfSampleAboveEstimate) +
                         measured * kWeightOfSampleAboveEstimate;
}

}  // namespace baobabwall::gateway
