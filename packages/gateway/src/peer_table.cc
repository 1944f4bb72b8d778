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
    const InstanceRecord*& known = newest[record.name];
    if (known == nullptr || known->incarnation < record.incarnation) {
      known = &record;
    }
  }
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    // A record may lapse while the store is away: who is heard stays.
    const bool stays =
        newest.count(peer->first) > 0 || !IsSilent(peer->second, now);
    if (!stays && peer->second.was_live) {
      removed_.push_back(ChangeOf(peer->first, peer->second, false, now));
    }
    peer = stays ? std::next(peer) : peers_.erase(peer);
  }
  for (const auto& [name, record] : newest) {
    Peer& peer = peers_[name];
    if (peer.record.incarnation < record->incarnation) {
      const bool was_live = peer.was_live;
      peer = Peer{};
      peer.was_live = was_live;
      peer.announced = now;
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
  const bool is_old = heartbeat.incarnation < peer.record.incarnation ||
                      (heartbeat.incarnation == peer.last.incarnation &&
                       heartbeat.sequence <= peer.last.sequence);
  if (is_old) {
    return false;
  }
  peer.last = heartbeat;
  peer.heard = now;
  return true;
}

bool PeerTable::IsHeard(const Peer& peer) const {
  return IsMesh() || peer.record.zone == own_zone_ || peer.last.is_active;
}

std::set<std::string> PeerTable::HeardZones(absl::Time now) const {
  std::set<std::string> zones;
  for (const auto& [name, peer] : peers_) {
    if (!IsSilent(peer, now)) {
      zones.insert(peer.record.zone);
    }
  }
  return zones;
}

bool PeerTable::IsLive(const Peer& peer,
                       const std::set<std::string>& heard_zones,
                       absl::Time now) const {
  const bool was_heard = peer.heard != absl::InfinitePast();
  if (was_heard && (!peer.last.is_ready || peer.last.is_leaving)) {
    return false;
  }
  if (!IsHeard(peer)) {
    return heard_zones.count(peer.record.zone) > 0;
  }
  if (!was_heard) {
    return now - peer.announced < std::max(kFirstHeartbeat, Silence());
  }
  return !IsSilent(peer, now);
}

PeerTable::Change PeerTable::ChangeOf(const std::string& name,
                                      const Peer& peer,
                                      bool is_live,
                                      absl::Time now) {
  Change change;
  change.instance = name;
  change.is_live = is_live;
  if (peer.heard != absl::InfinitePast()) {
    change.silence = now - peer.heard;
  }
  change.is_leaving = peer.last.is_leaving;
  return change;
}

std::vector<PeerTable::Change> PeerTable::TakeChanges(absl::Time now) {
  std::vector<Change> changes = std::exchange(removed_, {});
  const std::set<std::string> heard_zones = HeardZones(now);
  for (auto& [name, peer] : peers_) {
    const bool is_live = IsLive(peer, heard_zones, now);
    if (is_live != std::exchange(peer.was_live, is_live)) {
      changes.push_back(ChangeOf(name, peer, is_live, now));
    }
  }
  return changes;
}

std::vector<InstanceRecord> PeerTable::Live(absl::Time now) const {
  const std::set<std::string> heard_zones = HeardZones(now);
  std::vector<InstanceRecord> live;
  for (const auto& [name, peer] : peers_) {
    if (IsLive(peer, heard_zones, now)) {
      live.push_back(peer.record);
    }
  }
  return live;
}

absl::Duration PeerTable::IdleInterval() const {
  return std::clamp(kIdlePerPeer * static_cast<int64_t>(peers_.size()),
                    kIdleInterval, kLongestIdleInterval);
}

absl::Duration PeerTable::Silence() const {
  return kSilence * absl::FDivDuration(IdleInterval(), kIdleInterval);
}

std::pair<absl::Duration, absl::Duration> PeerTable::ActiveIntervals() const {
  int64_t near = 0;
  int64_t remote = 0;
  for (const auto& [name, peer] : peers_) {
    if (peer.last.is_active) {
      ++(peer.record.region == own_region_ ? near : remote);
    }
  }
  return {std::max(kActiveInterval, kActivePerPeer * near),
          std::max(kRemoteInterval, kActivePerPeer * remote)};
}

std::vector<Endpoint> PeerTable::DueHeartbeats(const Heartbeat& heartbeat,
                                               absl::Time now) {
  const State state = {heartbeat.is_ready, heartbeat.is_leaving,
                       heartbeat.is_active};
  if (!(state == told_)) {
    told_ = state;
    told_until_ = now + Silence();
  }
  const bool tells_all = IsMesh() || state.is_active || now < told_until_;
  const absl::Duration idle = IdleInterval();
  const auto [near, remote] = ActiveIntervals();
  std::vector<Endpoint> due;
  for (auto& [name, peer] : peers_) {
    const bool is_new = peer.sent == absl::InfinitePast();
    if (!tells_all && !is_new && peer.record.zone != own_zone_) {
      continue;
    }
    absl::Duration interval = idle;
    if (state.is_active && (peer.last.is_active || peer.last.sequence == 0)) {
      interval = peer.record.region == own_region_ ? near : remote;
    }
    if (now - peer.sent < interval) {
      continue;
    }
    peer.sent = now;
    due.push_back({peer.record.callers.address, peer.record.peer_port});
  }
  return due;
}

std::map<std::string, absl::flat_hash_map<uint32_t, double>> PeerTable::Demand(
    absl::Time now) const {
  std::map<std::string, absl::flat_hash_map<uint32_t, double>> demand;
  for (const auto& [name, peer] : peers_) {
    if (IsSilent(peer, now)) {
      continue;
    }
    for (const auto& [service, milli_slots] : peer.last.demand) {
      demand[peer.record.region][service] += milli_slots / 1000.0;
    }
  }
  return demand;
}

int64_t PeerTable::NewestRevision(absl::Time now) const {
  int64_t newest = 0;
  for (const auto& [name, peer] : peers_) {
    if (!IsSilent(peer, now)) {
      newest = std::max(newest, peer.last.state_revision);
    }
  }
  return newest;
}

absl::flat_hash_map<uint32_t, int> PeerTable::Loads(absl::Time now) const {
  absl::flat_hash_map<uint32_t, int> loads;
  for (const auto& [name, peer] : peers_) {
    if (now - peer.heard > kLoadAge) {
      continue;
    }
    for (const auto& [server, in_flight] : peer.last.loads) {
      loads[server] += in_flight;
    }
  }
  return loads;
}

}  // namespace baobabwall::gateway
