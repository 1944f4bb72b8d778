#include "control/src/config_log.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"

namespace baobabwall::control {
namespace internal {

// Entries kept in memory for peers with an older revision: about one day of
// changes.
constexpr size_t kMaxEntriesInMemory = 4096;
constexpr size_t kMaxEntryBytesInMemory = 4 * 1024 * 1024;
// The first range read is short because each entry may have up to 1 MB.
constexpr int kInitialRangeLimit = 16;
constexpr int kMaxRangeLimit = 256;
constexpr size_t kMaxSmallRangeBytes = 256 * 1024;
constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(500);
// A change must be applied on every instance within 6 s. The maximum retry
// delay is half of this time.
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(3);

}  // namespace internal

std::string LogKey(int64_t index) {
  return absl::StrFormat("%s%012d", kLogPrefix, index);
}

std::optional<int64_t> LogIndex(absl::string_view key) {
  int64_t index = 0;
  if (key.substr(0, kLogPrefix.size()) != kLogPrefix ||
      !absl::SimpleAtoi(key.substr(kLogPrefix.size()), &index)) {
    return std::nullopt;
  }
  return index;
}

ConfigLog::ConfigLog(std::function<StoreCallId()> next_call_id, uint64_t seed)
    : next_call_id_(std::move(next_call_id)),
      random_(seed),
      operations_(std::make_shared<OperationTable>()),
      range_limit_(internal::kInitialRangeLimit),
      read_backoff_(internal::kInitialRetryDelay, internal::kMaxRetryDelay),
      writer_(this, next_call_id_, seed + 1) {
  snapshot_ = {model::Configuration::Empty(), operations_};
}

absl::Span<const std::string> ConfigLog::EntriesFrom(int64_t first) const {
  const int64_t oldest_index =
      revision() - static_cast<int64_t>(entries_.size()) + 1;
  if (first < oldest_index || first > revision()) {
    return {};
  }
  return absl::MakeConstSpan(entries_).subspan(first - oldest_index);
}

bool ConfigLog::Apply(int64_t first, absl::Span<const std::string> entries) {
  const int64_t previous_revision = revision();
  int64_t index = first - 1;
  for (const std::string& entry : entries) {
    ++index;
    if (index <= revision()) {
      continue;
    }
    if (index > revision() + 1) {
      break;
    }
    base::Findings findings;
    const auto batch = model::DecodeBatch(entry, &findings);
    std::shared_ptr<const model::Configuration> next;
    if (batch) {
      next = configuration()->Apply(*batch, index, &findings);
      operations_->Add({batch->operation_id, index, base::StableHash(entry)});
    }
    if (next == nullptr) {
      // A writer validates an entry before creating it, so an invalid entry
      // comes from a writer of another software version. Applying an empty
      // batch keeps the log free of gaps.
      base::Findings ignored_findings;
      next = configuration()->Apply(model::ChangeBatch(), index,
                                    &ignored_findings);
    }
    snapshot_.configuration = std::move(next);
    entries_.push_back(entry);
    entry_bytes_ += entry.size();
  }
  DropOldEntries();
  UpdateIsInitialized();
  return revision() > previous_revision;
}

void ConfigLog::DropOldEntries() {
  if (entries_.size() <= 2 * internal::kMaxEntriesInMemory &&
      entry_bytes_ <= internal::kMaxEntryBytesInMemory) {
    return;
  }
  size_t dropped_count = 0;
  while (entries_.size() - dropped_count > internal::kMaxEntriesInMemory ||
         (entry_bytes_ > internal::kMaxEntryBytesInMemory &&
          entries_.size() - dropped_count > 1)) {
    entry_bytes_ -= entries_[dropped_count++].size();
  }
  entries_.erase(entries_.begin(),
                 entries_.begin() + static_cast<ptrdiff_t>(dropped_count));
}

void ConfigLog::UpdateIsInitialized() {
  if (newest_reported_revision_ >= 0 &&
      revision() >= newest_reported_revision_) {
    is_initialized_ = true;
  }
}

void ConfigLog::RecordReportedRevision(int64_t revision) {
  newest_reported_revision_ = std::max(newest_reported_revision_, revision);
  UpdateIsInitialized();
}

void ConfigLog::OnRevisionIncreased(EntrySource source,
                                    int64_t first,
                                    absl::Time now,
                                    Actions* actions) {
  needs_snapshot_ = false;
  if (revision_hook_) {
    revision_hook_(source, first, now, actions);
  }
  writer_.OnRevisionIncreased(now, actions);
}

bool ConfigLog::ApplyAndNotify(EntrySource source,
                               int64_t first,
                               absl::Span<const std::string> entries,
                               absl::Time now,
                               Actions* actions) {
  const int64_t previous_revision = revision();
  if (!Apply(first, entries)) {
    return false;
  }
  OnRevisionIncreased(source, previous_revision + 1, now, actions);
  return true;
}

bool ConfigLog::Install(ConfigSnapshot snapshot,
                        absl::Time now,
                        Actions* actions) {
  needs_snapshot_ = false;
  if (snapshot.configuration->revision() <= revision()) {
    return false;
  }
  // The existing operations are kept because a pending write may wait for one
  // of these operations.
  for (const std::string& id : snapshot.operations->order()) {
    operations_->Add(*snapshot.operations->Find(id));
  }
  snapshot_.configuration = std::move(snapshot.configuration);
  entries_.clear();
  entry_bytes_ = 0;
  UpdateIsInitialized();
  OnRevisionIncreased(EntrySource::kPeer, revision() + 1, now, actions);
  return true;
}

void ConfigLog::ReadStore(absl::Time now, Actions* actions) {
  if (pending_read_call_ != 0 || now < next_read_at_) {
    is_read_requested_ = true;
    return;
  }
  is_read_requested_ = false;
  pending_read_call_ = next_call_id_();
  pending_read_sent_ = now;
  actions->push_back(StoreCall{
      pending_read_call_, StoreRange{std::string(kLogPrefix),
                                     LogKey(revision() + 1), range_limit_}});
}

void ConfigLog::ReadStoreLater(absl::Time now, base::Random* random) {
  next_read_at_ =
      now + internal::kInitialRetryDelay * (0.5 + random->Unit() / 2);
  is_read_requested_ = true;
}

bool ConfigLog::ApplyKeyValues(absl::Span<const StoreKeyValue> key_values,
                               absl::Time now,
                               Actions* actions) {
  const int64_t previous_revision = revision();
  bool has_gap = false;
  for (const StoreKeyValue& key_value : key_values) {
    const auto index = LogIndex(key_value.key);
    // A deleted key belongs to an entry that a snapshot already covers.
    if (!index || key_value.is_deleted) {
      continue;
    }
    has_gap = has_gap || *index > revision() + 1;
    Apply(*index, absl::MakeConstSpan(&key_value.value, 1));
  }
  if (revision() > previous_revision) {
    OnRevisionIncreased(EntrySource::kStore, previous_revision + 1, now,
                        actions);
  }
  return has_gap;
}

void ConfigLog::OnReadAnswer(const StoreAnswer& answer,
                             absl::Time now,
                             Actions* actions) {
  pending_read_call_ = 0;
  if (answer.status != StoreStatus::kOk) {
    next_read_at_ = now + read_backoff_.Next(&random_);
    is_read_requested_ = true;
    return;
  }
  read_backoff_.Reset();
  if (ApplyKeyValues(answer.key_values, now, actions)) {
    needs_snapshot_ = true;
    return;
  }
  size_t bytes = 0;
  for (const StoreKeyValue& key_value : answer.key_values) {
    bytes += key_value.value.size();
  }
  const bool is_end_of_log =
      static_cast<int>(answer.key_values.size()) < range_limit_;
  range_limit_ = bytes < internal::kMaxSmallRangeBytes && !is_end_of_log
                     ? internal::kMaxRangeLimit
                     : internal::kInitialRangeLimit;
  if (!is_end_of_log) {
    ReadStore(now, actions);
    return;
  }
  is_initialized_ = true;
  last_full_read_sent_ = pending_read_sent_;
  store_revision_ = std::max(store_revision_, answer.revision);
  writer_.OnCaughtUp(now, actions);
}

void ConfigLog::OnWatchAnswer(const StoreAnswer& answer,
                              absl::Time now,
                              Actions* actions) {
  if (ApplyKeyValues(answer.key_values, now, actions)) {
    ReadStore(now, actions);
    return;
  }
  store_revision_ = std::max(store_revision_, answer.revision);
}

void ConfigLog::Write(const WriteRequested& request,
                      absl::Time now,
                      Actions* actions) {
  writer_.Write(request, now, actions);
}

bool ConfigLog::OnStoreAnswer(const StoreAnswer& answer,
                              absl::Time now,
                              Actions* actions) {
  if (answer.id == pending_read_call_ && pending_read_call_ != 0) {
    OnReadAnswer(answer, now, actions);
    return true;
  }
  return writer_.OnStoreAnswer(answer, now, actions);
}

void ConfigLog::OnTick(absl::Time now, Actions* actions) {
  if (is_read_requested_) {
    ReadStore(now, actions);
  }
  writer_.OnTick(now, actions);
}

}  // namespace baobabwall::control
