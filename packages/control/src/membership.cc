#include "control/src/membership.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include "control/src/reader_rank.h"

namespace baobabwall::control {
namespace internal {

constexpr absl::Duration kProbeInterval = absl::Seconds(1);
// A round trip between regions takes 80 ms. The timeout is longer than a round
// trip, so that one lost packet does not make the probe fail.
constexpr absl::Duration kDirectProbeTimeout = absl::Milliseconds(400);
constexpr absl::Duration kProbeTimeout = absl::Seconds(1);
constexpr absl::Duration kReprobeInterval = absl::Milliseconds(500);
constexpr absl::Duration kSuspicionTimeout = absl::Seconds(3);
// Timeout of a suspicion that was received by gossip and never resolved because
// the suspecting instance failed. Gossip among 800 members takes 10 s.
constexpr absl::Duration kRemoteSuspicionTimeout = absl::Seconds(20);
constexpr absl::Duration kDeadMemberRetention = absl::Seconds(60);
constexpr absl::Duration kContactInterval = absl::Seconds(5);
constexpr size_t kIndirectProbeHelpers = 2;
constexpr size_t kIndirectProbeHelpersForSuspect = 3;
// Number of messages that include the same update, for each doubling of the
// member count.
constexpr int kSendsPerDoubling = 3;
constexpr int kProbesPerBurst = 3;

const std::vector<MemberUpdate>* FindUpdates(const PeerPayload& payload) {
  if (const auto* ping = std::get_if<Ping>(&payload)) {
    return &ping->updates;
  }
  if (const auto* ack = std::get_if<Ack>(&payload)) {
    return &ack->updates;
  }
  if (const auto* request = std::get_if<PingRequest>(&payload)) {
    return &request->updates;
  }
  if (const auto* list = std::get_if<MemberList>(&payload)) {
    return &list->updates;
  }
  return nullptr;
}

/// Precedence of updates about the same incarnation; the greater pair wins.
std::pair<int64_t, MemberState> Precedence(int64_t refutation,
                                           MemberState state) {
  return {refutation, state};
}

}  // namespace internal

Membership::Membership(Identity self,
                       std::vector<Identity> initial_contacts,
                       uint64_t seed)
    : self_(std::move(self)),
      initial_contacts_(std::move(initial_contacts)),
      random_(seed) {}

const Member* Membership::Find(absl::string_view name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

bool Membership::IsLive(absl::string_view name) const {
  const Member* member = Find(name);
  return member != nullptr && member->is_live();
}

std::vector<const Member*> Membership::LiveInZone(
    absl::string_view zone) const {
  std::vector<const Member*> live_members;
  for (const auto& [name, member] : members_) {
    if (member.is_live() && member.identity.zone == zone) {
      live_members.push_back(&member);
    }
  }
  return live_members;
}

const std::vector<std::string>& Membership::RankedInZone(
    absl::string_view zone) const {
  const auto cached = ranked_names_by_zone_.find(zone);
  if (cached != ranked_names_by_zone_.end()) {
    return cached->second;
  }
  std::vector<std::string> preferred;
  std::vector<std::string> fallback;
  if (self_.zone == zone) {
    (is_leaving() ? fallback : preferred).push_back(self_.id.name);
  }
  for (const Member* member : LiveInZone(zone)) {
    (member->state == MemberState::kAlive ? preferred : fallback)
        .push_back(member->identity.id.name);
  }
  SortByReaderRank(zone, &preferred);
  SortByReaderRank(zone, &fallback);
  preferred.insert(preferred.end(), fallback.begin(), fallback.end());
  return ranked_names_by_zone_[std::string(zone)] = std::move(preferred);
}

bool Membership::is_alone() const {
  for (const ListedInstance& listed : platform_list_.instances) {
    if (listed.identity.id.name != self_.id.name) {
      return false;
    }
  }
  return live_count() == 0;
}

size_t Membership::live_count() const {
  return std::count_if(members_.begin(), members_.end(),
                       [](const auto& item) { return item.second.is_live(); });
}

void Membership::MarkChanged() {
  has_changed_ = true;
  ranked_names_by_zone_.clear();
}

bool Membership::TakeChange() {
  return std::exchange(has_changed_, false);
}

MemberUpdate Membership::MakeSelfUpdate() const {
  return {self_, state_, refutation_};
}

int Membership::MaxSendsPerUpdate() const {
  int doublings = 1;
  for (size_t count = members_.size() + 1; count > 1; count /= 2) {
    ++doublings;
  }
  return internal::kSendsPerDoubling * doublings;
}

void Membership::QueueUpdate(const MemberUpdate& update) {
  pending_updates_[update.identity.id.name] = {update, 0};
}

std::vector<MemberUpdate> Membership::UpdatesFor(absl::string_view receiver,
                                                 absl::string_view subject) {
  std::vector<MemberUpdate> updates = {MakeSelfUpdate()};
  // A suspected member must receive the suspicion in order to refute it.
  for (absl::string_view name : {receiver, subject}) {
    const Member* member = Find(name);
    if (member != nullptr &&
        (member->state == MemberState::kSuspect ||
         member->state == MemberState::kDead || name == subject)) {
      updates.push_back({member->identity, member->state, member->refutation});
    }
  }
  std::vector<PendingUpdate*> candidates;
  for (auto& [name, pending] : pending_updates_) {
    if (name != receiver) {
      candidates.push_back(&pending);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const PendingUpdate* a, const PendingUpdate* b) {
                     return a->send_count < b->send_count;
                   });
  const int max_sends = MaxSendsPerUpdate();
  for (PendingUpdate* pending : candidates) {
    if (updates.size() >= kMaxUpdates) {
      break;
    }
    updates.push_back(pending->update);
    ++pending->send_count;
  }
  for (auto it = pending_updates_.begin(); it != pending_updates_.end();) {
    it = it->second.send_count >= max_sends ? pending_updates_.erase(it)
                                            : std::next(it);
  }
  return updates;
}

void Membership::SetState(Member* member, MemberState state, absl::Time now) {
  has_non_alive_members_ =
      has_non_alive_members_ || state != MemberState::kAlive;
  if (member->state != state) {
    member->state = state;
    member->state_since = now;
    MarkChanged();
  }
  if (state == MemberState::kAlive || state == MemberState::kDead) {
    member->is_suspected_locally = false;
  }
}

void Membership::Merge(const MemberUpdate& update, absl::Time now) {
  const steer::InstanceId& id = update.identity.id;
  if (id.name.empty()) {
    return;
  }
  if (id.name == self_.id.name) {
    const bool is_false_report = update.state == MemberState::kSuspect ||
                                 update.state == MemberState::kDead;
    if (id.incarnation == self_.id.incarnation && is_false_report &&
        update.refutation >= refutation_) {
      refutation_ = update.refutation + 1;
      QueueUpdate(MakeSelfUpdate());
    }
    return;
  }
  const auto found = members_.find(id.name);
  if (found == members_.end()) {
    if (update.state == MemberState::kDead) {
      return;  // An unknown member that is already dead is not added.
    }
    Member member;
    member.identity = update.identity;
    member.state = update.state;
    member.refutation = update.refutation;
    member.state_since = now;
    members_[id.name] = std::move(member);
    has_non_alive_members_ =
        has_non_alive_members_ || update.state != MemberState::kAlive;
    MarkChanged();
    QueueUpdate(update);
    return;
  }
  Member& member = found->second;
  if (id.incarnation < member.identity.id.incarnation) {
    return;
  }
  if (id.incarnation > member.identity.id.incarnation) {
    member = Member();
    member.identity = update.identity;
    member.state_since = now;
    MarkChanged();
  } else if (internal::Precedence(update.refutation, update.state) <=
             internal::Precedence(member.refutation, member.state)) {
    // Another member sent the same update, so this instance counts the received
    // copy towards the send limit.
    const auto pending = pending_updates_.find(id.name);
    if (pending != pending_updates_.end() &&
        update.state == pending->second.update.state &&
        update.refutation == pending->second.update.refutation) {
      ++pending->second.send_count;
    }
    return;
  }
  member.refutation = update.refutation;
  SetState(&member, update.state, now);
  QueueUpdate(update);
}

void Membership::MergeUpdates(const PeerMessage& message,
                              const std::vector<MemberUpdate>& updates,
                              bool is_sender_verified,
                              absl::Time now) {
  const std::string& sender = message.sender.id.name;
  size_t first_index = 0;
  if (!updates.empty() && updates[0].identity.id.name == sender) {
    first_index = 1;
    // The update of a sender about itself is accepted only if the sender is a
    // live member or has answered a probe.
    if (is_sender_verified || IsLive(sender)) {
      Merge(updates[0], now);
    }
  }
  const Member* member = Find(sender);
  const bool is_sender_trusted =
      member != nullptr && (member->state == MemberState::kAlive ||
                            member->state == MemberState::kLeaving);
  for (size_t i = first_index; i < updates.size(); ++i) {
    // Updates about this instance are always merged, because this instance may
    // have to refute a suspicion.
    if (is_sender_trusted || updates[i].identity.id.name == self_.id.name) {
      Merge(updates[i], now);
    }
  }
}

void Membership::RecordHeartbeat(const Identity& sender,
                                 const Heartbeat& heartbeat,
                                 absl::Time now) {
  const auto found = members_.find(sender.id.name);
  if (found == members_.end() ||
      found->second.identity.id.incarnation != sender.id.incarnation) {
    return;
  }
  // Revisions and epochs never decrease, so the maximum is kept when an older
  // heartbeat arrives late.
  Heartbeat& known = found->second.heartbeat;
  const int64_t revision =
      std::max(known.config_revision, heartbeat.config_revision);
  const int64_t epoch =
      std::max(known.allotment_epoch, heartbeat.allotment_epoch);
  if (known.utilisation != heartbeat.utilisation) {
    has_changed_ = true;
  }
  known = heartbeat;
  known.config_revision = revision;
  known.allotment_epoch = epoch;
  found->second.last_heartbeat_at = now;
}

bool Membership::OnMessage(const PeerMessage& message,
                           absl::Time now,
                           Actions* actions) {
  if (message.sender.id.name == self_.id.name) {
    return false;
  }
  if (const auto* ping = std::get_if<Ping>(&message.payload)) {
    OnPayload(message, *ping, now, actions);
  } else if (const auto* ack = std::get_if<Ack>(&message.payload)) {
    return OnPayload(message, *ack, now, actions);
  } else if (const auto* request = std::get_if<PingRequest>(&message.payload)) {
    OnPayload(message, *request, now, actions);
  } else if (const auto* list = std::get_if<MemberList>(&message.payload)) {
    OnPayload(message, *list, now);
  } else if (const auto* applied =
                 std::get_if<AppliedReport>(&message.payload)) {
    RecordHeartbeat(message.sender, applied->heartbeat, now);
  }
  return false;
}

void Membership::OnPayload(const PeerMessage& message,
                           const Ping& ping,
                           absl::Time now,
                           Actions* actions) {
  if (!ping.target.empty() && ping.target != self_.id.name) {
    return;
  }
  MergeUpdates(message, ping.updates, false, now);
  RecordHeartbeat(message.sender, ping.heartbeat, now);
  Ack ack;
  ack.sequence = ping.sequence;
  ack.heartbeat = heartbeat_;
  ack.updates = UpdatesFor(message.sender.id.name);
  actions->push_back(SendPeer{message.sender, std::move(ack)});
  if (ping.wants_members) {
    SendMemberList(message.sender, actions);
  }
  if (!IsLive(message.sender.id.name)) {
    SendPing(message.sender, true, now, actions);
  }
}

bool Membership::OnPayload(const PeerMessage& message,
                           const Ack& ack,
                           absl::Time now,
                           Actions* actions) {
  const auto relayed = relayed_probes_.find(ack.sequence);
  if (relayed != relayed_probes_.end()) {
    if (relayed->second.target == message.sender.id.name) {
      MergeUpdates(message, ack.updates, false, now);
      Ack forwarded_ack;
      forwarded_ack.sequence = relayed->second.sequence;
      forwarded_ack.heartbeat = heartbeat_;
      forwarded_ack.updates =
          UpdatesFor(relayed->second.requester.id.name, relayed->second.target);
      actions->push_back(
          SendPeer{relayed->second.requester, std::move(forwarded_ack)});
      relayed_probes_.erase(relayed);
    }
    RecordHeartbeat(message.sender, ack.heartbeat, now);
    return false;
  }
  const auto probe = probes_.find(ack.sequence);
  const bool is_own_probe = probe != probes_.end();
  const bool is_direct =
      is_own_probe && (probe->second.target.id.name.empty() ||
                       probe->second.target.id.name == message.sender.id.name);
  MergeUpdates(message, ack.updates, is_direct, now);
  RecordHeartbeat(message.sender, ack.heartbeat, now);
  if (!is_own_probe) {
    return false;
  }
  const bool is_contact = probe->second.is_contact;
  probes_.erase(probe);
  if (is_direct && is_contact) {
    // After a network partition heals, each side must receive the members of
    // the other side.
    SendMemberList(message.sender, actions);
  }
  return is_direct && ack.sequence > sequence_at_pause_;
}

void Membership::OnPayload(const PeerMessage& message,
                           const PingRequest& request,
                           absl::Time now,
                           Actions* actions) {
  MergeUpdates(message, request.updates, false, now);
  const uint64_t sequence = ++last_sequence_;
  relayed_probes_[sequence] = {message.sender, request.sequence,
                               request.target.id.name, now};
  Ping ping;
  ping.sequence = sequence;
  ping.target = request.target.id.name;
  ping.heartbeat = heartbeat_;
  ping.updates = UpdatesFor(request.target.id.name);
  actions->push_back(SendPeer{request.target, std::move(ping)});
}

void Membership::OnPayload(const PeerMessage& message,
                           const MemberList& list,
                           absl::Time now) {
  if (!IsLive(message.sender.id.name)) {
    return;
  }
  const bool is_initial_list = std::exchange(wants_members_, false);
  MergeUpdates(message, list.updates, false, now);
  if (is_initial_list) {
    // The other members already know the members of this list, so forwarding
    // these updates is unnecessary.
    for (const MemberUpdate& update : list.updates) {
      pending_updates_.erase(update.identity.id.name);
    }
  }
}

void Membership::SendMemberList(const Identity& to, Actions* actions) {
  MemberList list;
  list.updates.push_back(MakeSelfUpdate());
  for (const auto& [name, member] : members_) {
    if (member.is_live() && name != to.id.name) {
      list.updates.push_back(
          {member.identity, member.state, member.refutation});
    }
  }
  actions->push_back(SendPeer{to, std::move(list)});
}

void Membership::SendPing(const Identity& target,
                          bool is_contact,
                          absl::Time now,
                          Actions* actions) {
  Ping ping;
  ping.sequence = ++last_sequence_;
  ping.target = target.id.name;
  ping.wants_members = is_contact || wants_members_;
  ping.heartbeat = heartbeat_;
  ping.updates = UpdatesFor(target.id.name);
  probes_[ping.sequence] = {target, now, false, is_contact};
  actions->push_back(SendPeer{target, std::move(ping)});
}

void Membership::RequestIndirectProbes(uint64_t sequence,
                                       const Probe& probe,
                                       Actions* actions) {
  const Member* target = Find(probe.target.id.name);
  const bool is_suspect =
      target != nullptr && target->state != MemberState::kAlive;
  const size_t helper_count = is_suspect
                                  ? internal::kIndirectProbeHelpersForSuspect
                                  : internal::kIndirectProbeHelpers;
  std::vector<const Member*> candidates;
  for (const auto& [name, member] : members_) {
    if (member.state == MemberState::kAlive && name != probe.target.id.name) {
      candidates.push_back(&member);
    }
  }
  // Helpers in different zones are preferred, because a zone without a link to
  // this zone may be reachable through a third zone.
  std::set<absl::string_view> zones;
  std::vector<const Member*> helpers;
  std::vector<const Member*> covered_zone_helpers;
  while (!candidates.empty() && helpers.size() < helper_count) {
    const size_t candidate_index = random_.Below(candidates.size());
    const Member* helper = candidates[candidate_index];
    candidates[candidate_index] = candidates.back();
    candidates.pop_back();
    (zones.insert(helper->identity.zone).second ? helpers
                                                : covered_zone_helpers)
        .push_back(helper);
  }
  while (helpers.size() < helper_count && !covered_zone_helpers.empty()) {
    helpers.push_back(covered_zone_helpers.back());
    covered_zone_helpers.pop_back();
  }
  for (const Member* helper : helpers) {
    PingRequest request;
    request.sequence = sequence;
    request.target = probe.target;
    request.updates =
        UpdatesFor(helper->identity.id.name, probe.target.id.name);
    actions->push_back(SendPeer{helper->identity, std::move(request)});
  }
}

void Membership::ExpireProbes(absl::Time now, Actions* actions) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    const absl::Duration age = now - probe.started_at;
    if (!probe.is_contact && !probe.is_indirect &&
        age >= internal::kDirectProbeTimeout) {
      probe.is_indirect = true;
      RequestIndirectProbes(it->first, probe, actions);
    }
    if (age < internal::kProbeTimeout) {
      ++it;
      continue;
    }
    const auto found = members_.find(probe.target.id.name);
    const bool is_failure = !probe.is_contact && found != members_.end() &&
                            found->second.is_live() &&
                            !found->second.is_suspected_locally &&
                            found->second.identity.id == probe.target.id;
    it = probes_.erase(it);
    if (!is_failure) {
      continue;
    }
    Member& member = found->second;
    member.is_suspected_locally = true;
    has_non_alive_members_ = true;
    member.next_probe_at = now;
    if (member.state == MemberState::kAlive) {
      SetState(&member, MemberState::kSuspect, now);
      QueueUpdate({member.identity, member.state, member.refutation});
    }
    member.state_since = now;
  }
  for (auto it = relayed_probes_.begin(); it != relayed_probes_.end();) {
    const bool is_expired =
        now - it->second.started_at > internal::kProbeTimeout;
    it = is_expired ? relayed_probes_.erase(it) : std::next(it);
  }
}

void Membership::CheckSuspicions(absl::Time now, Actions* actions) {
  if (!has_non_alive_members_) {
    return;
  }
  has_non_alive_members_ = false;
  for (auto& [name, member] : members_) {
    const bool is_non_alive =
        member.state != MemberState::kAlive || member.is_suspected_locally;
    has_non_alive_members_ = has_non_alive_members_ || is_non_alive;
    if (!member.is_live() || !is_non_alive) {
      continue;
    }
    if (member.is_suspected_locally &&
        member.last_heartbeat_at > member.state_since &&
        member.state == MemberState::kLeaving) {
      member.is_suspected_locally = false;
      continue;
    }
    const absl::Duration age = now - member.state_since;
    const bool is_expired =
        (member.is_suspected_locally && age > internal::kSuspicionTimeout) ||
        (member.state == MemberState::kSuspect &&
         age > internal::kRemoteSuspicionTimeout);
    if (is_expired) {
      SetState(&member, MemberState::kDead, now);
      QueueUpdate({member.identity, member.state, member.refutation});
      continue;
    }
    if (member.is_suspected_locally && now >= member.next_probe_at) {
      member.next_probe_at = now + internal::kReprobeInterval;
      SendPing(member.identity, false, now, actions);
    }
  }
}

void Membership::RemoveDeadMembers(absl::Time now) {
  if (!has_non_alive_members_) {
    return;
  }
  for (auto it = members_.begin(); it != members_.end();) {
    const bool is_expired =
        !it->second.is_live() &&
        now - it->second.state_since > internal::kDeadMemberRetention;
    if (is_expired) {
      pending_updates_.erase(it->first);
      MarkChanged();
    }
    it = is_expired ? members_.erase(it) : std::next(it);
  }
}

void Membership::ProbeNextMember(absl::Time now, Actions* actions) {
  for (bool is_round_refilled = false;;) {
    if (probe_round_.empty()) {
      if (is_round_refilled) {
        return;
      }
      is_round_refilled = true;
      for (const auto& [name, member] : members_) {
        probe_round_.push_back(name);
      }
      for (size_t i = probe_round_.size(); i > 1; --i) {
        std::swap(probe_round_[i - 1], probe_round_[random_.Below(i)]);
      }
      continue;
    }
    const std::string name = std::move(probe_round_.back());
    probe_round_.pop_back();
    const Member* member = Find(name);
    if (member == nullptr || !member->is_live() ||
        member->is_suspected_locally) {
      continue;
    }
    SendPing(member->identity, false, now, actions);
    return;
  }
}

void Membership::ProbeContact(absl::Time now, Actions* actions) {
  std::set<std::pair<std::string, int>> live_addresses;
  for (const auto& [name, member] : members_) {
    if (member.is_live()) {
      live_addresses.emplace(member.identity.address,
                             member.identity.peer_port);
    }
  }
  std::vector<const Identity*> contacts;
  auto add_contact = [&](const Identity& identity) {
    const bool is_self = identity.id.name == self_.id.name ||
                         (identity.address == self_.address &&
                          identity.peer_port == self_.peer_port);
    if (!is_self && !IsLive(identity.id.name) &&
        live_addresses.count({identity.address, identity.peer_port}) == 0) {
      contacts.push_back(&identity);
    }
  };
  for (const Identity& contact : initial_contacts_) {
    add_contact(contact);
  }
  for (const ListedInstance& listed : platform_list_.instances) {
    add_contact(listed.identity);
  }
  for (const auto& [name, member] : members_) {
    add_contact(member.identity);
  }
  if (!contacts.empty()) {
    SendPing(*contacts[random_.Below(contacts.size())], true, now, actions);
  }
}

void Membership::ProbeSeveralMembers(absl::Time now, Actions* actions) {
  for (int i = 0; i < internal::kProbesPerBurst; ++i) {
    ProbeNextMember(now, actions);
  }
  ProbeContact(now, actions);
}

void Membership::OnTick(absl::Time now, Actions* actions) {
  if (!is_first_tick_done_) {
    is_first_tick_done_ = true;
    next_probe_at_ = now + internal::kProbeInterval * random_.Unit();
    next_contact_at_ = next_probe_at_;
  }
  ExpireProbes(now, actions);
  CheckSuspicions(now, actions);
  RemoveDeadMembers(now);
  if (now >= next_probe_at_) {
    next_probe_at_ += internal::kProbeInterval;
    ProbeNextMember(now, actions);
  }
  if (now >= next_contact_at_) {
    // Contacts are probed more often while no live member is known.
    next_contact_at_ = now + (live_count() == 0 ? internal::kProbeInterval
                                                : internal::kContactInterval);
    ProbeContact(now, actions);
  }
}

void Membership::OnList(InstanceList list) {
  platform_list_ = std::move(list);
  MarkChanged();
}

void Membership::OnPause(absl::Time now) {
  probes_.clear();
  relayed_probes_.clear();
  sequence_at_pause_ = last_sequence_;
  next_probe_at_ = now;
  next_contact_at_ = now;
  for (auto& [name, member] : members_) {
    member.state_since = now;
    member.is_suspected_locally = false;
    if (member.state == MemberState::kSuspect) {
      SetState(&member, MemberState::kAlive, now);
    }
  }
  for (auto it = pending_updates_.begin(); it != pending_updates_.end();) {
    const bool is_stale = it->first != self_.id.name;
    it = is_stale ? pending_updates_.erase(it) : std::next(it);
  }
}

void Membership::AnnounceLeaving(absl::Time now, Actions* actions) {
  state_ = MemberState::kLeaving;
  ++refutation_;
  QueueUpdate(MakeSelfUpdate());
  MarkChanged();
  ProbeSeveralMembers(now, actions);
}

}  // namespace baobabwall::control
