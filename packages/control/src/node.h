#ifndef CONTROL_SRC_NODE_H_
#define CONTROL_SRC_NODE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "control/src/action.h"
#include "control/src/allotments.h"
#include "control/src/config_log.h"
#include "control/src/distribution.h"
#include "control/src/event.h"
#include "control/src/freshness.h"
#include "control/src/identity.h"
#include "control/src/membership.h"
#include "control/src/pause_detector.h"
#include "control/src/snapshot_store.h"
#include "control/src/store_reader.h"
#include "control/src/zone_status.h"

namespace baobabwall::control {

/// Interval between two Tick events.
inline constexpr absl::Duration kTickInterval = absl::Milliseconds(100);

/// \brief Control plane of one instance.
///
/// Handle() takes an event with its time and returns the resulting actions. A
/// node is used by a single thread. The components keep their own state; this
/// class dispatches events to the components and builds the snapshot for the
/// traffic threads.
class Node {
 public:
  class Builder {
   public:
    /// \param identity name, location and addresses of this instance.
    explicit Builder(Identity identity) : identity_(std::move(identity)) {}

    /// \param seed seed of the random number generators.
    Builder& Seed(uint64_t seed);
    /// \param peers instances to contact at the start, in addition to the
    /// platform's list; their names may be empty.
    Builder& Peers(std::vector<Identity> peers);
    /// \param policy interval and retention of the snapshots in the store.
    Builder& Snapshots(SnapshotPolicy policy);
    std::unique_ptr<Node> Build();

   private:
    Identity identity_;
    uint64_t seed_ = 0;
    std::vector<Identity> peers_;
    SnapshotPolicy snapshot_policy_;
  };

  /// \sa Builder
  Node(Identity identity,
       uint64_t seed,
       std::vector<Identity> peers = {},
       SnapshotPolicy policy = {});

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  Actions Handle(const Event& event, absl::Time now);

  const model::Configuration& configuration() const {
    return *config_log_.configuration();
  }
  const Identity& identity() const { return identity_; }
  const Membership& membership() const { return membership_; }
  const Allotments& allotments() const { return *allotments_; }
  /// \returns false until the configuration was read from the store or received
  /// from a peer.
  bool is_ready() const { return config_log_.is_initialized(); }
  /// \returns true if this instance reads the log in the store.
  bool is_reader() const { return store_reader_.is_reader(); }
  /// \returns the last known status of each zone.
  std::vector<ZoneStatus> zone_statuses() const {
    return zone_status_tracker_.statuses();
  }

  /// \returns the encoded log entries from index `first` on, or an empty span
  /// if the entry at `first` is not in memory.
  absl::Span<const std::string> EntriesFrom(int64_t first) const {
    return config_log_.EntriesFrom(first);
  }

 private:
  void OnEvent(const Tick& event, absl::Time now, Actions* actions);
  void OnEvent(const StoreAnswer& event, absl::Time now, Actions* actions);
  void OnEvent(const PeerMessage& event, absl::Time now, Actions* actions);
  void OnEvent(const WriteRequested& event, absl::Time now, Actions* actions);
  void OnEvent(const ListRead& event, absl::Time now, Actions* actions);
  void OnEvent(const TrafficReported& event, absl::Time now, Actions* actions);
  void OnEvent(const ProbeEnded& event, absl::Time now, Actions* actions);
  void OnEvent(const ShutdownRequested& event,
               absl::Time now,
               Actions* actions);

  void UpdateAllotments(absl::Time now, Actions* actions);
  ServiceUse ObservedServiceUse() const;
  void OnPause(absl::Time now, Actions* actions);
  void CheckFreshness(absl::Time now, Actions* actions);
  bool IsSnapshotWriter() const;
  Heartbeat OwnHeartbeat() const;
  void Publish(absl::Time now, Actions* actions);
  void FillInstances(steer::Snapshot* snapshot) const;
  void FillBackends(steer::Snapshot* snapshot, absl::Time now) const;
  void Quarantine(uint64_t fingerprint, absl::Time until);

  Identity identity_;
  StoreCallId last_store_call_id_ = 0;
  base::Random random_;
  PauseDetector pause_detector_;
  Membership membership_;
  ConfigLog config_log_;
  StoreReader store_reader_;
  SnapshotStore snapshot_store_;
  Distribution distribution_;
  ZoneStatusTracker zone_status_tracker_;
  Freshness freshness_;
  std::shared_ptr<const steer::Snapshot> published_snapshot_;
  std::map<std::string, double, std::less<>> mean_utilisation_;
  std::unique_ptr<Allotments> allotments_;
  std::unique_ptr<steer::BackendHealth> backend_health_;
  std::shared_ptr<const steer::LookupIndex> lookup_index_;
  /// End of the quarantine, by request fingerprint.
  std::map<uint64_t, absl::Time> quarantine_ends_;
  absl::Time next_members_update_at_ = absl::InfinitePast();
  int64_t published_revision_ = -1;
  bool is_publish_pending_ = true;
  absl::Time lookup_caches_expire_at_;
  bool is_shutdown_reported_ = false;
  bool is_snapshot_writer_ = false;
  absl::Time next_snapshot_writer_check_at_ = absl::InfinitePast();
  absl::Time next_list_read_at_ = absl::InfinitePast();
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_NODE_H_
