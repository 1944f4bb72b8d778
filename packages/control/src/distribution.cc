#include "control/src/distribution.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include "control/src/reader_rank.h"

namespace baobabwall::control {
namespace internal {

// A batch that is larger than this size is not pushed, because a member may
// receive the same push from several members. Instead, each receiver pulls the
// batch once.
constexpr size_t kMaxPushBytes = 64 * 1024;
constexpr size_t kMaxPullBytes = 512 * 1024;
constexpr absl::Duration kPullTimeout = absl::Milliseconds(1500);
// Maximum number of snapshots kept for receivers that are still fetching parts.
constexpr size_t kMaxCachedSnapshots = 2;
constexpr absl::Duration kCachedSnapshotLifetime = absl::Seconds(30);

std::vector<std::string> TakeLeadingEntries(
    absl::Span<const std::string> entries,
    size_t max_bytes) {
  std::vector<std::string> leading_entries;
  size_t bytes = 0;
  for (const std::string& entry : entries) {
    bytes += entry.size();
    if (bytes > max_bytes && !leading_entries.empty()) {
      break;
    }
    leading_entries.push_back(entry);
  }
  return leading_entries;
}

}  // namespace internal

Distribution::Distribution(Identity self,
                           ConfigLog* log,
                           const Membership* membership)
    : self_(std::move(self)), log_(log), membership_(membership) {}

void Distribution::Push(EntrySource source,
                        int64_t first,
                        absl::Time /*now*/,
                        Actions* actions) {
  const absl::Span<const std::string> entries = log_->EntriesFrom(first);
  size_t bytes = 0;
  for (const std::string& entry : entries) {
    bytes += entry.size();
  }
  if (entries.empty() || bytes > internal::kMaxPushBytes) {
    return;
  }
  const std::vector<std::string>& ranked_names =
      membership_->RankedInZone(self_.zone);
  const size_t own_rank =
      std::find(ranked_names.begin(), ranked_names.end(), self_.id.name) -
      ranked_names.begin();
  std::set<std::string> target_names;
  const size_t end_rank = std::min(
      ranked_names.size(), kMaxPushTargetsPerMember * (own_rank + 1) + 1);
  for (size_t i = kMaxPushTargetsPerMember * own_rank + 1; i < end_rank; ++i) {
    target_names.insert(ranked_names[i]);
  }
  if (source != EntrySource::kPeer) {
    target_names.insert(
        ranked_names.begin(),
        ranked_names.begin() + std::min(ranked_names.size(), kReadersPerZone));
  }
  if (source == EntrySource::kOwnWrite) {
    // The readers of other zones may have no connection to the store, so the
    // new entry is also pushed to the best-ranked member of each zone.
    std::set<std::string> zones;
    for (const auto& [name, member] : membership_->members()) {
      if (member.is_live() && member.identity.zone != self_.zone) {
        zones.insert(member.identity.zone);
      }
    }
    for (const std::string& zone : zones) {
      target_names.insert(membership_->RankedInZone(zone).front());
    }
  }
  for (const std::string& name : target_names) {
    const Member* member = membership_->Find(name);
    if (member != nullptr) {
      actions->push_back(
          SendPeer{member->identity,
                   PushEntries{first, {entries.begin(), entries.end()}}});
    }
  }
}

void Distribution::OnHeartbeat(const Identity& sender,
                               const Heartbeat& heartbeat,
                               absl::Time now,
                               Actions* actions) {
  log_->RecordReportedRevision(heartbeat.config_revision);
  if (heartbeat.config_revision <= log_->revision()) {
    return;
  }
  if (pull_ && now - pull_->last_sent < internal::kPullTimeout) {
    return;
  }
  pull_ = Pull{sender, heartbeat.config_revision, now, std::nullopt, 0, ""};
  SendPull(now, actions);
}

void Distribution::SendPull(absl::Time now, Actions* actions) {
  pull_->last_sent = now;
  actions->push_back(
      SendPeer{pull_->source, PullEntries{log_->revision() + 1}});
}

void Distribution::ContinuePull(absl::Time now, Actions* actions) {
  if (log_->revision() >= pull_->target_revision) {
    pull_.reset();
    return;
  }
  pull_->assembler.reset();
  SendPull(now, actions);
}

void Distribution::OnMessage(const PeerMessage& message,
                             absl::Time now,
                             Actions* actions) {
  if (const auto* push = std::get_if<PushEntries>(&message.payload)) {
    OnPayload(message.sender, *push, now, actions);
  } else if (const auto* pull = std::get_if<PullEntries>(&message.payload)) {
    OnPayload(message.sender, *pull, now, actions);
  } else if (const auto* next = std::get_if<PullSnapshot>(&message.payload)) {
    OnPayload(message.sender, *next, now, actions);
  } else if (const auto* part = std::get_if<SnapshotPart>(&message.payload)) {
    OnPayload(message.sender, *part, now, actions);
  }
}

void Distribution::OnPayload(const Identity& sender,
                             const PushEntries& push,
                             absl::Time now,
                             Actions* actions) {
  const int64_t last =
      push.first + static_cast<int64_t>(push.entries.size()) - 1;
  log_->ApplyAndNotify(EntrySource::kPeer, push.first, push.entries, now,
                       actions);
  if (pull_ && pull_->source.id.name == sender.id.name && !pull_->assembler) {
    ContinuePull(now, actions);
  } else if (last > log_->revision()) {
    Heartbeat heartbeat;
    heartbeat.config_revision = last;
    OnHeartbeat(sender, heartbeat, now, actions);
  }
}

void Distribution::OnPayload(const Identity& sender,
                             const PullEntries& pull,
                             absl::Time now,
                             Actions* actions) {
  if (pull.from > log_->revision()) {
    return;
  }
  const absl::Span<const std::string> entries = log_->EntriesFrom(pull.from);
  if (entries.empty()) {
    SendSnapshotPart(sender, 0, "", now, actions);
    return;
  }
  actions->push_back(SendPeer{
      sender, PushEntries{pull.from, internal::TakeLeadingEntries(
                                         entries, internal::kMaxPullBytes)}});
}

void Distribution::OnPayload(const Identity& sender,
                             const PullSnapshot& pull,
                             absl::Time now,
                             Actions* actions) {
  SendSnapshotPart(sender, pull.revision, pull.after, now, actions);
}

void Distribution::SendSnapshotPart(const Identity& to,
                                    int64_t revision,
                                    const std::string& after,
                                    absl::Time now,
                                    Actions* actions) {
  auto found = cached_snapshots_.find(revision);
  std::string cursor = after;
  if (found == cached_snapshots_.end()) {
    // The requested snapshot is not cached, so the receiver restarts with a
    // snapshot of the current revision.
    if (cached_snapshots_.size() >= internal::kMaxCachedSnapshots) {
      const auto oldest =
          std::min_element(cached_snapshots_.begin(), cached_snapshots_.end(),
                           [](const auto& a, const auto& b) {
                             return a.second.last_used < b.second.last_used;
                           });
      cached_snapshots_.erase(oldest);
    }
    cursor.clear();
    found =
        cached_snapshots_
            .emplace(log_->revision(), CachedSnapshot{log_->snapshot(), now})
            .first;
  }
  found->second.last_used = now;
  EncodedPart encoded = EncodePart(found->second.snapshot, cursor);
  SnapshotPart part;
  part.revision = found->first;
  part.after = cursor;
  part.next = std::move(encoded.next);
  part.is_last = encoded.is_last;
  part.data = std::move(encoded.data);
  actions->push_back(SendPeer{to, std::move(part)});
}

void Distribution::OnPayload(const Identity& sender,
                             const SnapshotPart& part,
                             absl::Time now,
                             Actions* actions) {
  if (!pull_ || pull_->source.id.name != sender.id.name ||
      part.revision <= log_->revision()) {
    return;
  }
  if (part.after.empty() &&
      (!pull_->assembler || part.revision != pull_->snapshot_revision)) {
    pull_->assembler.emplace();
    pull_->snapshot_revision = part.revision;
    pull_->cursor.clear();
  } else if (!pull_->assembler || part.revision != pull_->snapshot_revision ||
             part.after != pull_->cursor) {
    return;  // The part is a duplicate or belongs to an abandoned snapshot.
  }
  if (!pull_->assembler->Add(part.data)) {
    pull_.reset();
    return;
  }
  pull_->cursor = part.next;
  if (part.is_last) {
    ConfigSnapshot snapshot =
        pull_->assembler->Finish(pull_->snapshot_revision);
    pull_->assembler.reset();
    log_->Install(std::move(snapshot), now, actions);
    ContinuePull(now, actions);
    return;
  }
  pull_->last_sent = now;
  actions->push_back(SendPeer{sender, PullSnapshot{part.revision, part.next}});
}

void Distribution::OnTick(absl::Time now) {
  if (pull_ && now - pull_->last_sent >= internal::kPullTimeout) {
    // The next heartbeat that reports a higher revision starts a new pull.
    pull_.reset();
  }
  for (auto it = cached_snapshots_.begin(); it != cached_snapshots_.end();) {
    const bool is_expired =
        now - it->second.last_used > internal::kCachedSnapshotLifetime;
    it = is_expired ? cached_snapshots_.erase(it) : std::next(it);
  }
}

}  // namespace baobabwall::control
