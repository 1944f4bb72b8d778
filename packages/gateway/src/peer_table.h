#ifndef GATEWAY_SRC_PEER_TABLE_H_
#define GATEWAY_SRC_PEER_TABLE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "gateway/src/heartbeat.h"
#include "gateway/src/instance_record.h"
#include "gateway/src/state_position.h"

namespace baobabwall::gateway {

/// \brief Tracks which other instances are live, from their records in the
/// store and their heartbeats.
///
/// A heartbeat timeout overrides the record. In a fleet of up to
/// kMaxMeshInstances instances, all instances exchange heartbeats. In a larger
/// fleet, an instance without requests sends heartbeats only within its own
/// zone, because the callers of that zone are the first to use the instance. In
/// other zones, the instance counts as live if two conditions hold: its record
/// exists (the record ends with its lease), and heartbeats arrive from any
/// instance of its zone (a zone may fail as a whole). A few representatives of
/// each zone therefore send heartbeats to all zones even without requests. A
/// state change of an instance is sent to all instances.
class PeerTable {
 public:
  /// Time without a heartbeat after which an instance counts as failed, if
  /// heartbeats are sent at the minimum idle interval. The timeout spans
  /// several idle intervals, so that a lost datagram is tolerated. If the idle
  /// interval is longer, the timeout grows in proportion.
  static constexpr absl::Duration kMinHeartbeatTimeout =
      absl::Milliseconds(1600);
  /// Maximum number of instances that all exchange heartbeats. The number of
  /// heartbeats grows with the square of the fleet size; at this size an
  /// instance sends some hundred per second.
  static constexpr size_t kMaxMeshInstances = 100;
  /// Number of instances of a zone that send heartbeats to all zones even
  /// without requests. Several, because the others notice the failure of a
  /// representative only after a heartbeat timeout.
  static constexpr int kZoneRepresentatives = 3;
  /// Minimum time that an announced instance has for its first heartbeat.
  static constexpr absl::Duration kMinFirstHeartbeatTimeout = absl::Seconds(2);
  /// Maximum age of a heartbeat whose reported loads are used.
  static constexpr absl::Duration kMaxLoadAge = absl::Milliseconds(1200);
  /// Minimum intervals between heartbeats, in this order: between instances
  /// with requests in the same region, between instances with requests in
  /// different regions, and between all other instances.
  static constexpr absl::Duration kMinActiveInterval = absl::Milliseconds(100);
  static constexpr absl::Duration kMinRemoteActiveInterval =
      absl::Milliseconds(300);
  static constexpr absl::Duration kMinIdleInterval = absl::Milliseconds(500);
  /// Heartbeat interval per receiver. The interval grows with the number of
  /// receivers, so that an instance of a large fleet receives a bounded number
  /// of heartbeats per second.
  static constexpr absl::Duration kActiveIntervalPerPeer =
      absl::Milliseconds(5);
  static constexpr absl::Duration kIdleIntervalPerPeer = absl::Milliseconds(4);
  /// Maximum interval between heartbeats of idle instances. Limits the time for
  /// which the directory still returns a failed instance.
  static constexpr absl::Duration kMaxIdleInterval = absl::Milliseconds(1500);

  PeerTable(std::string self, std::string own_zone, std::string own_region);

  /// \brief Updates the set of peers from the records in the store.
  void SetRecords(absl::Span<const InstanceRecord> records, absl::Time now);

  /// \returns false if the heartbeat comes from an unknown instance or is not
  /// newer than the last heartbeat received from its instance.
  bool OnHeartbeat(const Heartbeat& heartbeat, absl::Time now);

  /// \brief Called when this process was suspended. The peers were not silent
  /// in this time; their heartbeats may still wait in the socket.
  void OnPause(absl::Duration pause);

  /// \returns the records of all live instances except this one.
  std::vector<InstanceRecord> Live(absl::Time now) const;

  /// \brief An instance to which a heartbeat is sent.
  struct Receiver {
    Endpoint endpoint;
    /// Whether the instance places requests, so that it uses the reported
    /// loads.
    bool uses_loads = false;
  };

  /// \returns the instances to which the heartbeat is due, and records it as
  /// sent.
  std::vector<Receiver> DueHeartbeats(const Heartbeat& heartbeat,
                                      absl::Time now);

  /// \returns the requests in flight of other instances, by hash of the server.
  absl::flat_hash_map<uint32_t, int> Loads(absl::Time now) const;

  /// \returns the demand of other instances' callers in slots, by region and by
  /// hash of the service.
  std::map<std::string, absl::flat_hash_map<uint32_t, double>> Demand(
      absl::Time now) const;

  /// \returns the region plans of the first instance of this region by name
  /// that has requests; empty if this instance is the first. All instances of a
  /// region follow the same plans, so that they send an object to the same
  /// server.
  absl::Span<const PlannedShare> LeaderShares(absl::Time now) const;

  /// \returns the newest position of the shared state that another instance has
  /// reported.
  StatePosition newest_position() const { return newest_position_; }

  /// \brief An instance that has become live or is no longer live.
  struct Change {
    std::string instance;
    bool is_live = false;
    /// Time since the last heartbeat; zero if none was received.
    absl::Duration silence;
    bool is_leaving = false;
  };

  /// \returns the changes since the last call.
  std::vector<Change> TakeChanges(absl::Time now);

  /// \returns the records of all instances except this one that are announced
  /// or heard of, live or not.
  std::vector<InstanceRecord> Announced() const;

  size_t size() const { return peers_.size(); }
  /// \returns the time without a heartbeat after which an instance counts as
  /// failed.
  absl::Duration HeartbeatTimeout() const;

 private:
  struct Peer {
    InstanceRecord record;
    uint64_t rank = 0;  ///< Rank among the representatives of its zone.
    size_t zone = 0;    ///< Index in zones_.
    absl::Time announced_at;
    absl::Time last_heartbeat_received_at = absl::InfinitePast();
    absl::Time last_heartbeat_sent_at = absl::InfinitePast();
    /// Whether the instance was live at the last TakeChanges().
    bool was_live = false;
    Heartbeat last_heartbeat;
  };

  struct Zone {
    std::string name;
    /// Time of the last heartbeat of any instance of the zone.
    absl::Time last_heartbeat_received_at = absl::InfinitePast();
  };

  /// The part of this instance's state that is sent to all instances when it
  /// changes.
  struct State {
    bool is_ready = false;
    bool is_leaving = false;
    bool is_active = false;
    bool operator==(const State& other) const {
      return is_ready == other.is_ready && is_leaving == other.is_leaving &&
             is_active == other.is_active;
    }
  };

  bool IsFullMesh() const { return peers_.size() < kMaxMeshInstances; }
  /// \returns whether a live peer is expected to send heartbeats to this
  /// instance.
  bool ExpectsHeartbeats(const Peer& peer) const;
  absl::Duration IdleInterval() const;
  /// \returns the intervals at which heartbeats are sent to instances that have
  /// requests: first for instances in this instance's region, second for
  /// instances in other regions.
  std::pair<absl::Duration, absl::Duration> ActiveIntervals() const;
  bool IsTimedOut(absl::Time last_heartbeat_received_at, absl::Time now) const {
    return now - last_heartbeat_received_at >= HeartbeatTimeout();
  }
  bool IsTimedOut(const Peer& peer, absl::Time now) const {
    return IsTimedOut(peer.last_heartbeat_received_at, now);
  }
  bool IsLive(const Peer& peer, absl::Time now) const;
  /// \returns whether this instance represents its zone in other zones.
  bool IsZoneRepresentative(absl::Time now) const;
  size_t ZoneIndex(absl::string_view zone);
  /// \brief Moves the known state of the peer with the record's name to the new
  /// peer; a restarted instance keeps only whether it was live.
  void TakeKnownState(Peer* peer, absl::Time now);
  static Change MakeChange(const Peer& peer, bool is_live, absl::Time now);

  std::string self_;
  std::string own_zone_;
  std::string own_region_;
  State last_sent_state_;  ///< Last state sent by this instance.
  /// Time until which heartbeats are sent to all.
  absl::Time send_to_all_until_ = absl::InfinitePast();
  std::vector<Peer> peers_;                                 ///< Sorted by name.
  absl::flat_hash_map<std::string, size_t> index_by_name_;  ///< In peers_.
  std::vector<Zone> zones_;
  StatePosition newest_position_;
  /// Time before which no heartbeat is due while this instance is idle.
  absl::Time next_idle_heartbeat_at_ = absl::InfinitePast();
  /// Instances that were live and have been removed since the last
  /// TakeChanges().
  std::vector<Change> removed_changes_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_PEER_TABLE_H_
