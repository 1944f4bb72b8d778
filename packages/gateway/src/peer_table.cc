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
        newest.count(peer->first) > 0 || now - peer->second.heard < kSilence;
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

bool PeerTable::IsLive(const Peer& peer, absl::Time now) const {
  if (peer.heard == absl::InfinitePast()) {
    return now - peer.announced < kFirstHeartbeat;
  }
  return now - peer.heard < kSilence && peer.last.is_ready &&
         !peer.last.is_leaving;
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
  for (auto& [name, peer] : peers_) {
    const bool is_live = IsLive(peer, now);
    if (is_live != std::exchange(peer.was_live, is_live)) {
      changes.push_back(ChangeOf(name, peer, is_live, now));
    }
  }
  return changes;
}

std::vector<InstanceRecord> PeerTable::Live(absl::Time now) const {
  std::vector<InstanceRecord> live;
  for (const auto& [name, peer] : peers_) {
    if (IsLive(peer, now)) {
      live.push_back(peer.record);
    }
  }
  return live;
}

std::vector<Endpoint> PeerTable::DueHeartbeats(bool is_active, absl::Time now) {
  std::vector<Endpoint> due;
  for (auto& [name, peer] : peers_) {
    absl::Duration interval = kIdleInterval;
    if (is_active && (peer.last.is_active || peer.last.sequence == 0)) {
      interval =
          peer.record.region == own_region_ ? kActiveInterval : kRemoteInterval;
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
    if (now - peer.heard > kSilence) {
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
    if (now - peer.heard <= kSilence) {
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
