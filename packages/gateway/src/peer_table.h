#ifndef GATEWAY_SRC_PEER_TABLE_H_
#define GATEWAY_SRC_PEER_TABLE_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/src/heartbeat.h"
#include "gateway/src/instance_record.h"

namespace baobabwall::gateway {

/// \brief The other instances: announced in the store, heard by heartbeats.
///
/// Heartbeats decide while they are due. In a fleet of up to kMeshSize all hear
/// each other. Beyond it an instance without requests is heard in its zone
/// only, where it would be named next; elsewhere its record in the store
/// counts, which ends with its lease, and only while anyone of its zone is
/// heard: a zone may fail as a whole. A change of its state is told to all.
class PeerTable {
 public:
  /// Time without a heartbeat until an instance counts as gone: several idle
  /// intervals, so that a lost datagram does not count. Grows with them.
  static constexpr absl::Duration kSilence = absl::Milliseconds(1600);
  /// Instances that all hear each other. Heartbeats between all grow with the
  /// square of the fleet; this many cost an instance some hundred a second.
  static constexpr size_t kMeshSize = 100;
  /// An instance that was announced may take this long until its first
  /// heartbeat.
  static constexpr absl::Duration kFirstHeartbeat = absl::Seconds(2);
  /// Older loads are not counted.
  static constexpr absl::Duration kLoadAge = absl::Milliseconds(1200);
  /// Shortest intervals between heartbeats: of instances with requests in the
  /// same region, in different ones, and of all others.
  static constexpr absl::Duration kActiveInterval = absl::Milliseconds(100);
  static constexpr absl::Duration kRemoteInterval = absl::Milliseconds(300);
  static constexpr absl::Duration kIdleInterval = absl::Milliseconds(500);
  /// Intervals grow with the number of receivers, so that an instance of a
  /// large fleet receives a bounded number of heartbeats a second.
  static constexpr absl::Duration kActivePerPeer = absl::Milliseconds(5);
  static constexpr absl::Duration kIdlePerPeer = absl::Milliseconds(4);
  /// The directory must not name an instance for long after its death.
  static constexpr absl::Duration kLongestIdleInterval =
      absl::Milliseconds(1500);

  PeerTable(std::string self, std::string own_zone, std::string own_region)
      : self_(std::move(self)),
        own_zone_(std::move(own_zone)),
        own_region_(std::move(own_region)) {}

  /// \brief Follows the records in the store.
  void SetRecords(const std::vector<InstanceRecord>& records, absl::Time now);

  /// \returns false if the message is older than one that was heard, or from
  /// an unknown instance.
  bool OnHeartbeat(const Heartbeat& heartbeat, absl::Time now);

  /// \returns instances that can be used, without this one.
  std::vector<InstanceRecord> Live(absl::Time now) const;

  /// \returns instances that this heartbeat is due to, and notes it as sent.
  std::vector<Endpoint> DueHeartbeats(const Heartbeat& heartbeat,
                                      absl::Time now);

  /// \returns requests in flight at other instances, by server.
  absl::flat_hash_map<uint32_t, int> Loads(absl::Time now) const;

  /// \returns demand of other instances' callers in slots, by region and by
  /// hash of the service.
  std::map<std::string, absl::flat_hash_map<uint32_t, double>> Demand(
      absl::Time now) const;

  /// \returns the newest revision of the store that another instance knows.
  int64_t NewestRevision(absl::Time now) const;

  /// \brief An instance that came into use or fell out of it.
  struct Change {
    std::string instance;
    bool is_live = false;
    absl::Duration silence;  ///< Since its last heartbeat; zero: none yet.
    bool is_leaving = false;
  };

  /// \returns the changes since the last call.
  std::vector<Change> TakeChanges(absl::Time now);

  size_t size() const { return peers_.size(); }
  /// \returns time without a heartbeat after which an instance counts as gone.
  absl::Duration Silence() const;

 private:
  struct Peer {
    InstanceRecord record;
    absl::Time announced;
    absl::Time heard = absl::InfinitePast();
    absl::Time sent = absl::InfinitePast();
    bool was_live = false;  ///< When changes were last taken.
    Heartbeat last;
  };

  /// What is told to all when it changes.
  struct State {
    bool is_ready = false;
    bool is_leaving = false;
    bool is_active = false;
    bool operator==(const State& other) const {
      return is_ready == other.is_ready && is_leaving == other.is_leaving &&
             is_active == other.is_active;
    }
  };

  bool IsMesh() const { return peers_.size() < kMeshSize; }
  /// \returns whether its heartbeats arrive while it lives.
  bool IsHeard(const Peer& peer) const;
  absl::Duration IdleInterval() const;
  /// \returns intervals to instances with requests in the own region, and in
  /// others.
  std::pair<absl::Duration, absl::Duration> ActiveIntervals() const;
  bool IsSilent(const Peer& peer, absl::Time now) const {
    return now - peer.heard >= Silence();
  }
  /// \returns zones of which an instance is heard.
  std::set<std::string> HeardZones(absl::Time now) const;
  bool IsLive(const Peer& peer,
              const std::set<std::string>& heard_zones,
              absl::Time now) const;
  static Change ChangeOf(const std::string& name,
                         const Peer& peer,
                         bool is_live,
                         absl::Time now);

  std::string self_;
  std::string own_zone_;
  std::string own_region_;
  State told_;                                    ///< Of this instance.
  absl::Time told_until_ = absl::InfinitePast();  ///< To all instances.
  std::map<std::string, Peer> peers_;             ///< By name.
  std::vector<Change> removed_;  ///< That were live, since the last call.
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_PEER_TABLE_H_
