#include "daemon/src/change_history.h"

#include <algorithm>

namespace baobabwall::daemon {
namespace internal {

// A watcher that is further behind must read all resources again. The limit
// covers about a third of a day at 2,900 changes a day.
constexpr size_t kMaxEntries = 1024;
// A chunk of client blocks has up to 1 MB, and the memory limit of the process
// is 64 MB.
constexpr size_t kMaxEntryBytes = 4 * 1024 * 1024;
constexpr size_t kMaxRevisionStepsPerZone = 1024;

}  // namespace internal

void ChangeHistory::Add(int64_t revision,
                        absl::Span<const std::string> entries) {
  if (revision <= revision_) {
    return;
  }
  int64_t index = revision - static_cast<int64_t>(entries.size());
  if (index != revision_) {
    entries_.clear();
    total_entry_bytes_ = 0;
  }
  for (const std::string& entry : entries) {
    base::Findings findings;
    std::optional<model::ChangeBatch> batch =
        model::DecodeBatch(entry, &findings);
    // An entry that cannot be decoded changed no resource, so the history
    // stores an empty batch for it.
    entries_.push_back(std::make_shared<AppliedEntry>(
        AppliedEntry{++index, entry.size(),
                     batch ? *std::move(batch) : model::ChangeBatch()}));
    total_entry_bytes_ += entry.size();
  }
  revision_ = revision;
  while (
      entries_.size() > internal::kMaxEntries ||
      (entries_.size() > 1 && total_entry_bytes_ > internal::kMaxEntryBytes)) {
    total_entry_bytes_ -= entries_.front()->encoded_bytes;
    entries_.pop_front();
  }
}

std::optional<std::vector<std::shared_ptr<const AppliedEntry>>>
ChangeHistory::EntriesAbove(int64_t revision) const {
  using Entries = std::vector<std::shared_ptr<const AppliedEntry>>;
  if (revision >= revision_) {
    return Entries();
  }
  if (entries_.empty() || entries_.front()->revision > revision + 1) {
    return std::nullopt;
  }
  const auto first = std::find_if(
      entries_.begin(), entries_.end(),
      [&](const auto& entry) { return entry->revision > revision; });
  return Entries(first, entries_.end());
}

void ChangeHistory::UpdateZones(absl::Span<const control::ZoneStatus> zones) {
  for (const control::ZoneStatus& status : zones) {
    ZoneProgress& zone = zones_[status.zone];
    zone.status = status;
    // The lowest revision of a zone decreases when a new instance joins the
    // zone.
    while (!zone.revision_steps.empty() &&
           zone.revision_steps.back().first > status.lowest_revision) {
      zone.revision_steps.pop_back();
    }
    if (zone.revision_steps.empty() ||
        zone.revision_steps.back().first < status.lowest_revision) {
      zone.revision_steps.emplace_back(status.lowest_revision, status.since);
    }
    if (zone.revision_steps.size() > internal::kMaxRevisionStepsPerZone) {
      zone.revision_steps.pop_front();
      zone.has_all_revision_steps = false;
    }
  }
}

std::vector<control::ZoneStatus> ChangeHistory::zones() const {
  std::vector<control::ZoneStatus> statuses;
  for (const auto& [name, zone] : zones_) {
    statuses.push_back(zone.status);
  }
  return statuses;
}

std::optional<absl::Time> ChangeHistory::InForceSince(absl::string_view name,
                                                      int64_t revision) const {
  const auto zone = zones_.find(name);
  if (zone == zones_.end()) {
    return std::nullopt;
  }
  const auto& revision_steps = zone->second.revision_steps;
  const auto step = std::find_if(
      revision_steps.begin(), revision_steps.end(),
      [&](const auto& candidate) { return candidate.first >= revision; });
  const bool is_evicted =
      step == revision_steps.begin() && !zone->second.has_all_revision_steps;
  if (step == revision_steps.end() || is_evicted) {
    return std::nullopt;
  }
  return step->second;
}

}  // namespace baobabwall::daemon
