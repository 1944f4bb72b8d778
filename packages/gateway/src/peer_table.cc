#include "gateway/src/peer_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace baobabwall::gateway {

void PeerTable::SetRecords(const std::vector<InstanceRecord>& records,
                           absl::Time now) {
  std::map<std::string, const InstanceRecord*> newest;
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
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    // The lease of a record may expire while the store is unreachable, so an
    // instance whose heartbeats still arrive is kept.
    const bool is_kept =
        newest.count(peer->first) > 0 || !IsTimedOut(peer->second, now);
    if (!is_kept && peer->second.was_live) {
      removed_changes_.push_back(
          MakeChange(peer->first, peer->second, false, now));
    }
    peer = is_kept ? std::next(peer) : peers_.erase(peer);
  }
  for (const auto& [name, record] : newest) {
    Peer& peer = peers_[name];
    if (peer.record.incarnation < record->incarnation) {
      const bool was_live = peer.was_live;
      peer = Peer{};
      peer.was_live = was_live;
      peer.announced_at = now;
    }
    peer.record = *record;
  }
}

bool PeerTable::OnHeartbeat(const Heartbeat& heartbeat, absl::Time now) {
  const auto found = peers_.find(heartbeat.instance);
  if (found == peers_.end()) {
    return false;
  }
  Peer& peer = found->second;
  const bool is_stale =
      heartbeat.incarnation < peer.record.incarnation ||
      (heartbeat.incarnation == peer.last_heartbeat.incarnation &&
       heartbeat.sequence <= peer.last_heartbeat.sequence);
  if (is_stale) {
    return false;
  }
  peer.last_heartbeat = heartbeat;
  peer.last_heartbeat_received_at = now;
  return true;
}

bool PeerTable::ExpectsHeartbeats(const Peer& peer) const {
  return IsFullMesh() || peer.record.zone == own_zone_ ||
         peer.last_heartbeat.is_active;
}

std::set<std::string> PeerTable::ZonesWithHeartbeats(absl::Time now) const {
  std::set<std::string> zones;
  for (const auto& [name, peer] : peers_) {
    if (!IsTimedOut(peer, now)) {
      zones.insert(peer.record.zone);
    }
  }
  return zones;
}

bool PeerTable::IsLive(const Peer& peer,
                       const std::set<std::string>& zones_with_heartbeats,
                       absl::Time now) const {
  const bool has_heartbeat =
      peer.last_heartbeat_received_at != absl::InfinitePast();
  if (has_heartbeat &&
      (!peer.last_heartbeat.is_ready || peer.last_heartbeat.is_leaving)) {
    return false;
  }
  if (!ExpectsHeartbeats(peer)) {
    return zones_with_heartbeats.count(peer.record.zone) > 0;
  }
  if (!has_heartbeat) {
    return now - peer.announced_at <
           std::max(kMinFirstHeartbeatTimeout, HeartbeatTimeout());
  }
  return !IsTimedOut(peer, now);
}

PeerTable::Change PeerTable::MakeChange(const std::string& name,
                                        const Peer& peer,
                                        bool is_live,
                                        absl::Time now) {
  Change change;
  change.instance = name;
  change.is_live = is_live;
  if (peer.last_heartbeat_received_at != absl::InfinitePast()) {
    change.silence = now - peer.last_heartbeat_received_at;
  }
  change.is_leaving = peer.last_heartbeat.is_leaving;
  return change;
}

std::vector<PeerTable::Change> PeerTable::TakeChanges(absl::Time now) {
  std::vector<Change> changes = std::exchange(removed_changes_, {});
  const std::set<std::string> zones_with_heartbeats = ZonesWithHeartbeats(now);
  for (auto& [name, peer] : peers_) {
    const bool is_live = IsLive(peer, zones_with_heartbeats, now);
    if (is_live != std::exchange(peer.was_live, is_live)) {
      changes.push_back(MakeChange(name, peer, is_live, now));
    }
  }
  return changes;
}

std::vector<InstanceRecord> PeerTable::Live(absl::Time now) const {
  const std::set<std::string> zones_with_heartbeats = ZonesWithHeartbeats(now);
  std::vector<InstanceRecord> live;
  for (const auto& [name, peer] : peers_) {
    if (IsLive(peer, zones_with_heartbeats, now)) {
      live.push_back(peer.record);
    }
  }
  return live;
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
  for (const auto& [name, peer] : peers_) {
    if (peer.last_heartbeat.is_active) {
      ++(peer.record.region == own_region_ ? same_region : other_regions);
    }
  }
  return {std::max(kMinActiveInterval, kActiveIntervalPerPeer * same_region),
          std::max(kMinRemoteActiveInterval,
                   kActiveIntervalPerPeer * other_regions)};
}

std::vector<Endpoint> PeerTable::DueHeartbeats(const Heartbeat& heartbeat,
                                               absl::Time now) {
  const State state = {heartbeat.is_ready, heartbeat.is_leaving,
                       heartbeat.is_active};
  if (!(state == last_sent_state_)) {
    last_sent_state_ = state;
    send_to_all_until_ = now + HeartbeatTimeout();
  }
  const bool sends_to_all =
      IsFullMesh() || state.is_active || now < send_to_all_until_;
  const absl::Duration idle = IdleInterval();
  const auto [same_region, other_regions] = ActiveIntervals();
  std::vector<Endpoint> due;
  for (auto& [name, peer] : peers_) {
    const bool is_new = peer.last_heartbeat_sent_at == absl::InfinitePast();
    if (!sends_to_all && !is_new && peer.record.zone != own_zone_) {
      continue;
    }
    absl::Duration interval = idle;
    if (state.is_active &&
        (peer.last_heartbeat.is_active || peer.last_heartbeat.sequence == 0)) {
      interval =
          peer.record.region == own_region_ ? same_region : other_regions;
    }
    if (now - peer.last_heartbeat_sent_at < interval) {
      continue;
    }
    peer.last_heartbeat_sent_at = now;
    due.push_back({peer.record.callers.address, peer.record.peer_port});
  }
  return due;
}

std::map<std::string, absl::flat_hash_map<uint32_t, double>> PeerTable::Demand(
    absl::Time now) const {
  std::map<std::string, absl::flat_hash_map<uint32_t, double>> demand;
  for (const auto& [name, peer] : peers_) {
    if (IsTimedOut(peer, now)) {
      continue;
    }
    for (const auto& [service, milli_slots] : peer.last_heartbeat.demand) {
      demand[peer.record.region][service] += milli_slots / 1000.0;
    }
  }
  return demand;
}

int64_t PeerTable::NewestRevision(absl::Time now) const {
  int64_t newest = 0;
  for (const auto& [name, peer] : peers_) {
    if (!IsTimedOut(peer, now)) {
      newest = std::max(newest, peer.last_heartbeat.state_revision);
    }
  }
  return newest;
}

absl::flat_hash_map<uint32_t, int> PeerTable::Loads(absl::Time now) const {
  absl::flat_hash_map<uint32_t, int> loads;
  for (const auto& [name, peer] : peers_) {
    if (now - peer.last_heartbeat_received_at > kMaxLoadAge) {
      continue;
    }
    for (const auto& [server, in_flight] : peer.last_heartbeat.loads) {
      loads[server] += in_flight;
    }
  }
  return loads;
}

}  // namespace baobabwall::gateway
