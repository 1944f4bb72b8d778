#ifndef GATEWAY_SRC_ZONE_MAP_H_
#define GATEWAY_SRC_ZONE_MAP_H_

#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace baobabwall::gateway {

/// \brief Which region each zone lies in, and how far zones are from this
/// instance.
class ZoneMap {
 public:
  /// Round trips assumed until one is measured.
  static constexpr absl::Duration kSameZone = absl::Milliseconds(1);
  static constexpr absl::Duration kSameRegion = absl::Milliseconds(8);
  static constexpr absl::Duration kOtherRegion = absl::Milliseconds(70);
  /// Weight of a longer round trip; a shorter one counts at once, since delay
  /// only ever adds to the distance.
  static constexpr double kLongerWeight = 0.05;

  /// \param regions region of each zone, by the zone's name.
  /// \param own_zone zone of this instance.
  ZoneMap(std::map<std::string, std::string, std::less<>> regions,
          std::string own_zone);

  const std::string& own_zone() const { return own_zone_; }
  const std::string& own_region() const { return own_region_; }

  /// \returns the empty text for an unknown zone.
  absl::string_view RegionOf(absl::string_view zone) const;

  absl::Duration RoundTrip(absl::string_view zone) const;

  void OnRoundTrip(absl::string_view zone, absl::Duration measured);

 private:
  std::map<std::string, std::string, std::less<>> regions_;
  std::string own_zone_;
  std::string own_region_;
  std::map<std::string, absl::Duration, std::less<>> measured_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_ZONE_MAP_H_
