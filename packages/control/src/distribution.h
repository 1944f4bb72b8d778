#ifndef CONTROL_SRC_DISTRIBUTION_H_
#define CONTROL_SRC_DISTRIBUTION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "control/src/action.h"
#include "control/src/config_log.h"
#include "control/src/identity.h"
#include "control/src/membership.h"
#include "control/src/peer_message.h"

namespace baobabwall::control {

/// Maximum number of tree children to which an instance pushes a new log entry.
inline constexpr size_t kMaxPushTargetsPerMember = 8;

/// \brief Replicates log entries between instances.
///
/// New entries are pushed along a tree of the zone members in reader rank
/// order; each member forwards the entries that it did not have before. When a
/// heartbeat reports a higher revision, the receiver pulls the missing entries,
/// or pulls a snapshot part by part if the sender of the heartbeat no longer
/// has these entries in memory.
class Distribution {
 public:
  Distribution(Identity self, ConfigLog* log, const Membership* membership);

  /// \brief Sends new entries to this instance's children in the distribution
  /// tree.
  /// \sa ConfigLog::RevisionHook
  void Push(EntrySource source,
            int64_t first,
            absl::Time now,
            Actions* actions);

  /// \brief Starts a pull from the sender if its heartbeat reports a higher
  /// revision.
  void OnHeartbeat(const Identity& sender,
                   const Heartbeat& heartbeat,
                   absl::Time now,
                   Actions* actions);

  void OnMessage(const PeerMessage& message, absl::Time now, Actions* actions);
  void OnTick(absl::Time now);

 private:
  struct Pull {
    Identity source;
    int64_t target_revision = 0;
    absl::Time last_sent;
    /// Set while the parts of a snapshot are being received.
    std::optional<SnapshotAssembler> assembler;
    int64_t snapshot_revision = 0;
    std::string cursor;
  };
  struct CachedSnapshot {
    ConfigSnapshot snapshot;
    absl::Time last_used;
  };

  void SendPull(absl::Time now, Actions* actions);
  void ContinuePull(absl::Time now, Actions* actions);
  void OnPayload(const Identity& sender,
                 const PushEntries& push,
                 absl::Time now,
                 Actions* actions);
  void OnPayload(const Identity& sender,
                 const PullEntries& pull,
                 absl::Time now,
                 Actions* actions);
  void OnPayload(const Identity& sender,
                 const PullSnapshot& pull,
                 absl::Time now,
                 Actions* actions);
  void OnPayload(const Identity& sender,
                 const SnapshotPart& part,
                 absl::Time now,
                 Actions* actions);
  void SendSnapshotPart(const Identity& to,
                        int64_t revision,
                        const std::string& after,
                        absl::Time now,
                        Actions* actions);

  Identity self_;
  ConfigLog* log_;
  const Membership* membership_;
  std::optional<Pull> pull_;
  /// Snapshots that are being sent to peers, by revision.
  std::map<int64_t, CachedSnapshot> cached_snapshots_;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_DISTRIBUTION_H_
