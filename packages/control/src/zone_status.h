#ifndef CONTROL_SRC_ZONE_STATUS_H_
#define CONTROL_SRC_ZONE_STATUS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "control/src/action.h"
#include "control/src/identity.h"
#include "control/src/membership.h"
#include "control/src/peer_message.h"

namespace baobabwall::control {

/// \brief Tracks which configuration revision each zone has applied.
///
/// Each instance sends a report to the readers of its zone. The report contains
/// the revision that the instance has applied. A reader aggregates the reports
/// of its zone and exchanges the result with the readers of other zones. The
/// reply to a member's report contains the aggregated status of all zones.
class ZoneStatusTracker {
 public:
  ZoneStatusTracker(Identity self, const Membership* membership);

  /// \returns the last known status of each zone.
  std::vector<ZoneStatus> statuses() const;

  void OnMessage(const PeerMessage& message, absl::Time now, Actions* actions);
  void OnTick(bool is_reader, absl::Time now, Actions* actions);

 private:
  void Report(absl::Time now, Actions* actions);
  void AggregateOwnZone(absl::Time now);
  void Exchange(absl::Time now, Actions* actions);
  absl::Time BehindSince(int64_t revision) const;

  Identity self_;
  const Membership* membership_;
  bool is_reader_ = false;
  std::map<std::string, ZoneStatus> status_by_zone_;
  /// Incremented on each change, so that members receive only changed statuses.
  uint64_t content_version_ = 1;
  bool is_own_zone_changed_ = true;
  struct LastReply {
    uint64_t content_version = 0;
    absl::Time time = absl::InfinitePast();
  };
  std::map<std::string, LastReply> last_replies_;
  absl::Time next_exchange_time_ = absl::InfinitePast();
  absl::Time last_exchange_time_ = absl::InfinitePast();

  std::pair<int64_t, int64_t> last_reported_state_ = {-2, 0};
  absl::Time next_report_time_ = absl::InfinitePast();
  /// Time at which this instance applied each configuration revision.
  std::deque<std::pair<int64_t, absl::Time>> revision_times_;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_ZONE_STATUS_H_
