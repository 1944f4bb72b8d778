#ifndef CONTROL_SRC_PEER_MESSAGE_H_
#define CONTROL_SRC_PEER_MESSAGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "control/src/identity.h"

/// \brief One-way messages between instances.
///
/// A message may be lost, delayed, duplicated or reordered.
namespace baobabwall::control {

enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

/// \brief State of one member. If two updates differ, the update with the
/// higher incarnation wins, then the higher refutation, then the later
/// MemberState in the order of the enumeration.
struct MemberUpdate {
  Identity identity;
  MemberState state = MemberState::kAlive;
  /// Counter that the member itself increments to refute a suspicion within one
  /// incarnation.
  int64_t refutation = 0;
};

/// \brief State of the sender, included in each probe and each answer.
struct Heartbeat {
  /// Applied configuration revision, or -1 while the sender has no
  /// configuration.
  int64_t config_revision = -1;
  /// Newest allotment epoch that the sender has acknowledged.
  int64_t allotment_epoch = 0;
  /// Utilisation by service.
  std::map<std::string, double, std::less<>> utilisation;
};

struct Ping {
  uint64_t sequence = 0;
  /// Name of the intended receiver, or empty if only the address is known. An
  /// instance with another name at a reused address does not answer.
  std::string target;
  bool wants_members = false;  ///< True if the sender requests a MemberList.
  Heartbeat heartbeat;
  /// The first update describes the sender itself.
  std::vector<MemberUpdate> updates;
};

struct Ack {
  uint64_t sequence = 0;
  Heartbeat heartbeat;
  /// The first update describes the sender itself.
  std::vector<MemberUpdate> updates;
};

/// \brief Requests that the receiver probes another member on behalf of the
/// sender.
struct PingRequest {
  uint64_t sequence = 0;
  Identity target;
  /// The first update describes the sender itself.
  std::vector<MemberUpdate> updates;
};

/// \brief All live members known to the sender; sent to a new member and after
/// a partition.
struct MemberList {
  /// The first update describes the sender itself.
  std::vector<MemberUpdate> updates;
};

/// \brief Consecutive log entries, starting at index `first`.
struct PushEntries {
  int64_t first = 0;
  std::vector<std::string> entries;
};

struct PullEntries {
  int64_t from = 0;  ///< Index of the first entry missing at the sender.
};

/// \brief Requests the next part of a snapshot.
struct PullSnapshot {
  int64_t revision = 0;  ///< Revision of the snapshot, or 0 for the current
                         ///< revision of the receiver.
  std::string after;  ///< Cursor of the previous part, or empty to request the
                      ///< first part.
};

/// \brief Part of a snapshot, for a member whose missing entries are no longer
/// in memory.
struct SnapshotPart {
  int64_t revision = 0;
  std::string after;  ///< Cursor of the previous part.
  std::string next;   ///< Cursor to pass in the request for the next part.
  bool is_last = false;
  std::string data;
};

/// \brief Reports the applied revision and epoch of the sender to a reader of
/// the zone.
///
/// The report is sent after each change of revision or epoch and repeated every
/// few seconds, because a message may be lost.
struct AppliedReport {
  Heartbeat heartbeat;
};

/// \brief An instance that has not reported the newest revision of its zone.
struct OutdatedInstance {
  std::string name;
  int64_t revision = -1;  ///< Newest revision that the instance reported.
  /// Time at which a revision newer than `revision` was first known.
  absl::Time since;
};

/// Maximum number of instances listed in a ZoneStatus. Without this limit, the
/// reports of a large zone would grow to tens of kilobytes while a change is
/// being distributed.
inline constexpr int kMaxBehindNamed = 8;

/// \brief Configuration revisions that the instances of one zone have applied.
struct ZoneStatus {
  std::string zone;
  int64_t lowest_revision = 0;
  int instance_count = 0;
  int behind_count = 0;
  /// The first kMaxBehindNamed instances that have not reported the newest
  /// revision.
  std::vector<OutdatedInstance> behind;
  absl::Time since;  ///< Time at which the zone reached lowest_revision.
  /// Time at which a reader of the zone created the status.
  absl::Time reported;
};

struct ZoneStatusReport {
  std::vector<ZoneStatus> zones;
};

/// \brief A request fingerprint that must not reach a backend server.
struct QuarantineUpdate {
  uint64_t fingerprint = 0;
  absl::Time until;
};

/// \brief The newest allotment table, sent by a reader of the zone.
struct AllotmentUpdate {
  std::string key;       ///< Store key of the table.
  int64_t revision = 0;  ///< Store revision of the last write of the table.
  std::string value;
};

using PeerPayload = std::variant<Ping,
                                 Ack,
                                 PingRequest,
                                 MemberList,
                                 PushEntries,
                                 PullEntries,
                                 PullSnapshot,
                                 SnapshotPart,
                                 AppliedReport,
                                 ZoneStatusReport,
                                 QuarantineUpdate,
                                 AllotmentUpdate>;

struct PeerMessage {
  Identity sender;
  PeerPayload payload;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_PEER_MESSAGE_H_
