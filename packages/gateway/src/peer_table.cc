#include "gateway/src/peer_table.h"

#include <algorithm>
#include <utility>

#include "base/base.h"

namespace baobabwall::gateway {

PeerTable::PeerTable(std::string self,
                     std::string own_zone,
                     std::string own_region)
    : self_(std::move(self)),
      own_zone_(std::move(own_zone)),
      own_region_(std::move(own_region)) {}

size_t PeerTable::ZoneIndex(absl::string_view zone) {
  const auto known =
      std::find_if(zones_.begin(), zones_.end(),
                   [zone](const Zone& entry) { return entry.name == zone; });
  if (known != zones_.end()) {
    return static_cast<size_t>(known - zones_.begin());
  }
  zones_.push_back({std::string(zone)});
  return zones_.size() - 1;
}

void PeerTable::TakeKnownState(Peer* peer, absl::Time now) {
  peer->announced_at = now;
  const auto index = index_by_name_.find(peer->record.name);
  if (index == index_by_name_.end()) {
    return;
  }
  Peer& known = peers_[index->second];
  if (known.record.incarnation < peer->record.incarnation) {
    peer->was_live = known.was_live;
    return;
  }
  InstanceRecord record = std::move(peer->record);
  const size_t zone = peer->zone;
  *peer = std::move(known);
  peer->record = std::move(record);
  peer->zone = zone;
}

void PeerTable::SetRecords(absl::Span<const InstanceRecord> records,
                           absl::Time now) {
  std::map<absl::string_view, const InstanceRecord*> newest;
  for (const InstanceRecord& record : records) {
    if (record.name == self_) {
      continue;
    }
    const InstanceRecord*& newest_record = newest[record.name];
    if (newest_record == nullptr ||
        newest_record->incarnation < record.incarnation) {
      newest_record = &record;
    }
  }
  std::vector<Peer> kept;
  for (Peer& peer : peers_) {
    if (newest.count(peer.record.name) > 0) {
      continue;
    }
    // The lease of a record may expire while the store is unreachable, so an
    // instance whose heartbeats still arrive is kept.
    if (!IsTimedOut(peer, now)) {
      kept.push_back(peer);
    } else if (peer.was_live) {
      removed_changes_.push_back(MakeChange(peer, false, now));
    }
  }
  std::vector<Peer> peers;
  peers.reserve(newest.size() + kept.size());
  for (const auto& [name, record] : newest) {
    Peer& peer = peers.emplace_back();
    peer.record = *record;
    peer.rank = base::StableHash(name);
    peer.zone = ZoneIndex(record->zone);
    TakeKnownState(&peer, now);
  }
  peers.insert(peers.end(), std::make_move_iterator(kept.begin()),
               std::make_move_iterator(kept.end()));
  std::sort(peers.begin(), peers.end(), [](const Peer& a, const Peer& b) {
    return a.record.name < b.record.name;
  });
  peers_ = std::move(peers);
  index_by_name_.clear();
  for (size_t i = 0; i < peers_.size(); ++i) {
    index_by_name_.emplace(peers_[i].record.name, i);
  }
  next_idle_heartbeat_at_ = absl::InfinitePast();
}

bool PeerTable::OnHeartbeat(const Heartbeat& heartbeat, absl::Time now) {
  const auto found = index_by_name_.find(heartbeat.instance);
  if (found == index_by_name_.end()) {
    return false;
  }
  Peer& peer = peers_[found->second];
  const bool is_stale =
      heartbeat.incarnation < peer.record.incarnation ||
      (heartbeat.incarnation == peer.last_heartbeat.incarnation &&
       heartbeat.sequence <= peer.last_heartbeat.sequence);
  if (is_stale) {
    return false;
  }
  peer.last_heartbeat = heartbeat;
  peer.last_heartbeat_received_at = now;
  zones_[peer.zone].last_heartbeat_received_at = now;
  newest_position_ =
      std::max(newest_position_,
               StatePosition{heartbeat.state_era, heartbeat.state_revision});
  return true;
}

void PeerTable::OnPause(absl::Duration pause) {
  for (Peer& peer : peers_) {
    peer.announced_at += pause;
    peer.last_heartbeat_received_at += pause;
  }
  for (Zone& zone : zones_) {
    zone.last_heartbeat_received_at += pause;
  }
}

bool PeerTable::ExpectsHeartbeats(const Peer& peer) const {
  return IsFullMesh() || peer.record.zone == own_zone_ ||
         peer.last_heartbeat.is_active;
}

bool PeerTable::IsLive(const Peer& peer, absl::Time now) const {
  const bool has_heartbeat =
      peer.last_heartbeat_received_at != absl::InfinitePast();
  if (has_heartbeat &&
      (!peer.last_heartbeat.is_ready || peer.last_heartbeat.is_leaving)) {
    return false;
  }
  if (!ExpectsHeartbeats(peer)) {
    return !IsTimedOut(zones_[peer.zone].last_heartbeat_received_at, now);
  }
  if (!has_heartbeat) {
    return now - peer.announced_at <
           std::max(kMinFirstHeartbeatTimeout, HeartbeatTimeout());
  }
  return !IsTimedOut(peer, now);
}

PeerTable::Change PeerTable::MakeChange(const Peer& peer,
                                        bool is_live,
                                        absl::Time now) {
  Change change;
  change.instance = peer.record.name;
  change.is_live = is_live;
  if (peer.last_heartbeat_received_at != absl::InfinitePast()) {
    change.silence = now - peer.last_heartbeat_received_at;
  }
  change.is_leaving = peer.last_heartbeat.is_leaving;
  return change;
}

std::vector<PeerTable::Change> PeerTable::TakeChanges(absl::Time now) {
  std::vector<Change> changes = std::exchange(removed_changes_, {});
  for (Peer& peer : peers_) {
    const bool is_live = IsLive(peer, now);
    if (is_live != std::exchange(peer.was_live, is_live)) {
      changes.push_back(MakeChange(peer, is_live, now));
    }
  }
  return changes;
}

std::vector<InstanceRecord> PeerTable::Live(absl::Time now) const {
  std::vector<InstanceRecord> live;
  for (const Peer& peer : peers_) {
    if (IsLive(peer, now)) {
      live.push_back(peer.record);
    }
  }
  return live;
}

std::vector<InstanceRecord> PeerTable::Announced() const {
  std::vector<InstanceRecord> announced;
  for (const Peer& peer : peers_) {
    announced.push_back(peer.record);
  }
  return announced;
}

absl::Duration PeerTable::IdleInterval() const {
  return std::clamp(kIdleIntervalPerPeer * static_cast<int64_t>(peers_.size()),
                    kMinIdleInterval, kMaxIdleInterval);
}

absl::Duration PeerTable::HeartbeatTimeout() const {
  return kMinHeartbeatTimeout *
         absl::FDivDuration(IdleInterval(), kMinIdleInterval);
}

std::pair<absl::Duration, absl::Duration> PeerTable::ActiveIntervals() const {
  int64_t same_region = 0;
  int64_t other_regions = 0;
  for (const Peer& peer : peers_) {
    if (peer.last_heartbeat.is_active) {
      ++(peer.record.region == own_region_ ? same_region : other_regions);
    }
  }
  return {std::max(kMinActiveInterval, kActiveIntervalPerPeer * same_region),
          std::max(kMinRemoteActiveInterval,
                   kActiveIntervalPerPeer * other_regions)};
}

bool PeerTable::IsZoneRepresentative(absl::Time now) const {
  const uint64_t own_rank = base::StableHash(self_);
  int better = 0;
  for (const Peer& peer : peers_) {
    const bool is_better = peer.record.zone == own_zone_ &&
                           peer.rank > own_rank && IsLive(peer, now);
    better += is_better ? 1 : 0;
  }
  return better < kZoneRepresentatives;
}

std::vector<PeerTable::Receiver> PeerTable::DueHeartbeats(
    const Heartbeat& heartbeat,
    absl::Time now) {
  const State state = {heartbeat.is_ready, heartbeat.is_leaving,
                       heartbeat.is_active};
  if (!(state == last_sent_state_)) {
    last_sent_state_ = state;
    send_to_all_until_ = now + HeartbeatTimeout();
    next_idle_heartbeat_at_ = absl::InfinitePast();
  }
  std::vector<Receiver> due;
  if (!state.is_active && now < next_idle_heartbeat_at_) {
    return due;
  }
  const bool sends_to_all = IsFullMesh() || state.is_active ||
                            now < send_to_all_until_ ||
                            IsZoneRepresentative(now);
  const absl::Duration idle = IdleInterval();
  const auto [same_region, other_regions] = ActiveIntervals();
  next_idle_heartbeat_at_ = now + idle;
  for (Peer& peer : peers_) {
    const bool is_new = peer.last_heartbeat_sent_at == absl::InfinitePast();
    if (!sends_to_all && !is_new && peer.record.zone != own_zone_) {
      continue;
    }
    const bool uses_loads =
        peer.last_heartbeat.is_active || peer.last_heartbeat.sequence == 0;
    absl::Duration interval = idle;
    if (state.is_active && uses_loads) {
      interval =
          peer.record.region == own_region_ ? same_region : other_regions;
    }
    if (now - peer.last_heartbeat_sent_at >= interval) {
      peer.last_heartbeat_sent_at = now;
      due.push_back(
          {{peer.record.callers.address, peer.record.peer_port}, uses_loads});
    }
    next_idle_heartbeat_at_ =
        std::min(next_idle_heartbeat_at_, peer.last_heartbeat_sent_at + idle);
  }
  return due;
}

std::map<std::string, absl::flat_hash_map<uint32_t, double>> PeerTable::Demand(
    absl::Time now) const {
  std::map<std::string, absl::flat_hash_map<uint32_t, double>> demand;
  for (const Peer& peer : peers_) {
    if (peer.last_heartbeat.demand.empty() || IsTimedOut(peer, now)) {
      continue;
    }
    for (const auto& [service, milli_slots] : peer.last_heartbeat.demand) {
      demand[peer.record.region][service] += milli_slots / 1000.0;
    }
  }
  return demand;
}

absl::Span<const PlannedShare> PeerTable::LeaderShares(absl::Time now) const {
  for (const Peer& peer : peers_) {
    if (peer.record.name >= self_) {
      break;
    }
    const bool is_leader = peer.record.region == own_region_ &&
                           peer.last_heartbeat.is_active &&
                           !peer.last_heartbeat.planned_shares.empty() &&
                           now - peer.last_heartbeat_received_at <= kMaxLoadAge;
    if (is_leader) {
      return peer.last_heartbeat.planned_shares;
    }
  }
  return {};
}

absl::flat_hash_map<uint32_t, int> PeerTable::Loads(absl::Time now) const {
  absl::flat_hash_map<uint32_t, int> loads;
  for (const Peer& peer : peers_) {
    if (peer.last_heartbeat.loads.empty() ||
        now - peer.last_heartbeat_received_at > kMaxLoadAge) {
      continue;
    }
    for (const auto& [server, in_flight] : peer.last_heartbeat.loads) {
      loads[server] += in_flight;
    }
  }
  return loads;
}

}  // namespace baobabwall::gateway
