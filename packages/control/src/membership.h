#ifndef CONTROL_SRC_MEMBERSHIP_H_
#define CONTROL_SRC_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/base.h"
#include "control/src/action.h"
#include "control/src/identity.h"
#include "control/src/peer_message.h"

namespace baobabwall::control {

/// Maximum number of member updates in one message, including the update about
/// the sender.
inline constexpr size_t kMaxUpdates = 8;

/// \brief State of another instance as known to this instance.
struct Member {
  Identity identity;  ///< Identity including the current incarnation.
  MemberState state = MemberState::kAlive;
  int64_t refutation = 0;
  absl::Time state_since;
  Heartbeat heartbeat;  ///< Merged heartbeats received from the member itself.
  /// Time of the last heartbeat.
  absl::Time last_heartbeat_at = absl::InfinitePast();

  /// True if a probe that this instance sent to the member failed. Only an
  /// instance whose own probe failed may declare the member dead.
  bool is_suspected_locally = false;
  absl::Time next_probe_at = absl::InfinitePast();

  /// \returns true unless the member was declared dead.
  bool is_live() const { return state != MemberState::kDead; }
};

/// \brief Membership list of the instances, maintained by probes and
/// gossip.
///
/// The class implements the SWIM protocol with three additions against
/// flapping. First, only instances whose own probe failed run the suspicion
/// timeout, and these instances repeat the probe through helpers in different
/// zones. Slow gossip therefore cannot cause the removal of a member that has
/// refuted the suspicion. Second, updates from a sender that is suspected or
/// unknown are ignored. Third, a sender is added only after a successful round
/// trip, so a link that fails in one direction does not repeatedly add and
/// remove the sender.
class Membership {
 public:
  /// \param self identity of this instance, including its incarnation.
  /// \param initial_contacts instances to contact at the start; their names may
  /// be empty.
  /// \param seed seed of the random choices.
  Membership(Identity self,
             std::vector<Identity> initial_contacts,
             uint64_t seed);

  /// \returns all other instances by name, including dead instances until their
  /// removal.
  const std::map<std::string, Member, std::less<>>& members() const {
    return members_;
  }

  /// \returns nullptr if the name is unknown.
  const Member* Find(absl::string_view name) const;

  /// \returns the live members of a zone, excluding this instance.
  std::vector<const Member*> LiveInZone(absl::string_view zone) const;

  /// \returns the names of the live members of a zone in reader rank order,
  /// including this instance if it belongs to the zone. Suspected and leaving
  /// members come last. The reference is valid until the membership changes.
  const std::vector<std::string>& RankedInZone(absl::string_view zone) const;

  /// \returns the most recently read instance list of the platform, which may
  /// be out of date.
  const InstanceList& list() const { return platform_list_; }

  /// \returns true if no other instance is known from the protocol or from the
  /// platform's list.
  bool is_alone() const;

  bool is_leaving() const { return state_ == MemberState::kLeaving; }
  size_t live_count() const;

  /// \brief Sets the heartbeat that the next messages of this instance contain.
  void SetHeartbeat(Heartbeat heartbeat) { heartbeat_ = std::move(heartbeat); }
  const Heartbeat& heartbeat() const { return heartbeat_; }

  void OnTick(absl::Time now, Actions* actions);
  void OnList(InstanceList list);
  /// \returns true if the message answers a probe that this instance sent after
  /// the last pause.
  bool OnMessage(const PeerMessage& message, absl::Time now, Actions* actions);

  /// \brief Discards suspicions and probes that started before a pause of the
  /// process.
  void OnPause(absl::Time now);

  /// \brief Probes several members at once, so that the first answer can
  /// confirm the configuration revision.
  void ProbeSeveralMembers(absl::Time now, Actions* actions);

  /// \brief Announces to other members that this instance is leaving.
  void AnnounceLeaving(absl::Time now, Actions* actions);

  /// \returns true if the membership changed since the previous call of
  /// TakeChange().
  bool TakeChange();

  /// \returns the total size of all tables that grow with the number of
  /// instances, for tests.
  size_t entry_count() const {
    return members_.size() + pending_updates_.size() + probes_.size() +
           relayed_probes_.size();
  }

 private:
  struct Probe {
    Identity target;
    absl::Time started_at;
    bool is_indirect = false;
    /// The target was not a live member when the probe was sent.
    bool is_contact = false;
  };
  struct RelayedProbe {
    Identity requester;
    uint64_t sequence = 0;
    std::string target;
    absl::Time started_at;
  };
  struct PendingUpdate {
    MemberUpdate update;
    int send_count = 0;
  };

  void OnPayload(const PeerMessage& message,
                 const Ping& ping,
                 absl::Time now,
                 Actions* actions);
  bool OnPayload(const PeerMessage& message,
                 const Ack& ack,
                 absl::Time now,
                 Actions* actions);
  void OnPayload(const PeerMessage& message,
                 const PingRequest& request,
                 absl::Time now,
                 Actions* actions);
  void OnPayload(const PeerMessage& message,
                 const MemberList& list,
                 absl::Time now);

  MemberUpdate MakeSelfUpdate() const;
  std::vector<MemberUpdate> UpdatesFor(absl::string_view receiver,
                                       absl::string_view subject = {});
  void SendPing(const Identity& target,
                bool is_contact,
                absl::Time now,
                Actions* actions);
  void SendMemberList(const Identity& to, Actions* actions);
  void RequestIndirectProbes(uint64_t sequence,
                             const Probe& probe,
                             Actions* actions);
  void ExpireProbes(absl::Time now, Actions* actions);
  void ProbeNextMember(absl::Time now, Actions* actions);
  void ProbeContact(absl::Time now, Actions* actions);
  void CheckSuspicions(absl::Time now, Actions* actions);
  void RemoveDeadMembers(absl::Time now);

  void Merge(const MemberUpdate& update, absl::Time now);
  void MergeUpdates(const PeerMessage& message,
                    const std::vector<MemberUpdate>& updates,
                    bool is_sender_verified,
                    absl::Time now);
  void MarkChanged();
  void SetState(Member* member, MemberState state, absl::Time now);
  void QueueUpdate(const MemberUpdate& update);
  void RecordHeartbeat(const Identity& sender,
                       const Heartbeat& heartbeat,
                       absl::Time now);
  bool IsLive(absl::string_view name) const;
  int MaxSendsPerUpdate() const;

  Identity self_;
  std::vector<Identity> initial_contacts_;
  base::Random random_;
  InstanceList platform_list_;
  Heartbeat heartbeat_;
  MemberState state_ = MemberState::kAlive;
  int64_t refutation_ = 0;

  std::map<std::string, Member, std::less<>> members_;
  std::map<std::string, PendingUpdate, std::less<>> pending_updates_;
  std::map<uint64_t, Probe> probes_;
  std::map<uint64_t, RelayedProbe> relayed_probes_;
  std::vector<std::string> probe_round_;  ///< Names of the members not yet
                                          ///< probed in the current round.
  uint64_t last_sequence_ = 0;
  uint64_t sequence_at_pause_ = 0;
  absl::Time next_probe_at_ = absl::InfinitePast();
  absl::Time next_contact_at_ = absl::InfinitePast();
  bool is_first_tick_done_ = false;
  bool wants_members_ = true;
  bool has_changed_ = false;
  /// False while all members are alive, so that a tick can skip the checks of
  /// suspected and dead members.
  bool has_non_alive_members_ = false;
  mutable std::map<std::string, std::vector<std::string>, std::less<>>
      ranked_names_by_zone_;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_MEMBERSHIP_H_
