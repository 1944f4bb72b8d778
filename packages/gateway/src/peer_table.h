#ifndef GATEWAY_SRC_PEER_TABLE_H_
#define GATEWAY_SRC_PEER_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/src/heartbeat.h"
#include "gateway/src/instance_record.h"

namespace baobabwall::gateway {

/// \brief The other instances: announced in the store, heard by heartbeats.
///
/// Heartbeats decide while they arrive; the store's record alone counts for an
/// instance that was never heard, for instance across a partition.
class PeerTable {
 public:
  /// Heartbeats arrive several times within it, so that one lost datagram does
  /// not count.
  static constexpr absl::Duration kSilence = absl::Milliseconds(1600);
  /// An instance that was announced may take this long until its first
  /// heartbeat.
  static constexpr absl::Duration kFirstHeartbeat = absl::Seconds(2);
  /// Older loads are not counted.
  static constexpr absl::Duration kLoadAge = absl::Milliseconds(1200);
  static constexpr absl::Duration kActiveInterval = absl::Milliseconds(100);
  static constexpr absl::Duration kRemoteInterval = absl::Milliseconds(300);
  static constexpr absl::Duration kIdleInterval = absl::Milliseconds(500);

  PeerTable(std::string self, std::string own_region)
      : self_(std::move(self)), own_region_(std::move(own_region)) {}

  /// \brief Follows the records in the store.
  void SetRecords(const std::vector<InstanceRecord>& records, absl::Time now);

  /// \returns false if the message is older than one that was heard, or from
  /// an unknown instance.
  bool OnHeartbeat(const Heartbeat& heartbeat, absl::Time now);

  /// \returns instances that can be used, without this one.
  std::vector<InstanceRecord> Live(absl::Time now) const;

  /// \returns instances that a heartbeat is due to, and notes it as sent.
  /// \param is_active this instance has requests.
  std::vector<Endpoint> DueHeartbeats(bool is_active, absl::Time now);

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

 private:
  struct Peer {
    InstanceRecord record;
    absl::Time announced;
    absl::Time heard = absl::InfinitePast();
    absl::Time sent = absl::InfinitePast();
    bool was_live = false;  ///< When changes were last taken.
    Heartbeat last;
  };

  bool IsLive(const Peer& peer, absl::Time now) const;
  static Change ChangeOf(const std::string& name,
                         const Peer& peer,
                         bool is_live,
                         absl::Time now);

  std::string self_;
  std::string own_region_;
  std::map<std::string, Peer> peers_;  ///< By name.
  std::vector<Change> removed_;        ///< That were live, since the last call.
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_PEER_TABLE_H_
