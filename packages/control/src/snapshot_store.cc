#include "control/src/snapshot_store.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_format.h"
#include "nlohmann/json.hpp"

namespace baobabwall::control {
namespace internal {

using Json = nlohmann::json;

constexpr absl::string_view kSnapshotPrefix = "config/snapshot/";
constexpr absl::string_view kHeadKey = "config/snapshot/head";
constexpr absl::Duration kHeadCheckInterval = absl::Seconds(30);
constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(500);
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(5);
// The range limit is low because the value of an entry or part may have up to 1
// MB.
constexpr int kMaxKeysPerListing = 16;

}  // namespace internal

SnapshotStore::SnapshotStore(ConfigLog* log,
                             SnapshotPolicy policy,
                             std::function<StoreCallId()> next_call_id,
                             uint64_t seed)
    : log_(log),
      policy_(policy),
      next_call_id_(std::move(next_call_id)),
      random_(seed),
      backoff_(internal::kInitialRetryDelay, internal::kMaxRetryDelay) {}

std::string SnapshotStore::PartKey(int64_t revision, int part) {
  return absl::StrFormat("%s%012d/%04d", internal::kSnapshotPrefix, revision,
                         part);
}

std::string SnapshotStore::EncodeHead() const {
  internal::Json list = internal::Json::array();
  for (const HeadEntry& entry : head_entries_) {
    list.push_back({{"revision", entry.revision},
                    {"parts", entry.part_count},
                    {"writtenMs", absl::ToUnixMillis(entry.written_at)}});
  }
  return internal::Json({{"snapshots", std::move(list)}}).dump();
}

void SnapshotStore::DecodeHead(const std::string& text) {
  head_entries_.clear();
  const internal::Json document =
      internal::Json::parse(text.begin(), text.end(), nullptr, false);
  if (!document.is_object() || !document.contains("snapshots")) {
    return;
  }
  for (const internal::Json& item : document["snapshots"]) {
    head_entries_.push_back(
        {item.value("revision", int64_t{0}), item.value("parts", 0),
         absl::FromUnixMillis(item.value("writtenMs", int64_t{0}))});
  }
}

void SnapshotStore::SendCall(Phase phase,
                             StoreRequest request,
                             Actions* actions) {
  phase_ = phase;
  pending_call_ = next_call_id_();
  actions->push_back(StoreCall{pending_call_, std::move(request)});
}

void SnapshotStore::AbortAndBackOff(absl::Time now) {
  phase_ = Phase::kIdle;
  assembler_.reset();
  pending_deletes_.clear();
  next_attempt_at_ = now + backoff_.Next(&random_);
}

void SnapshotStore::OnTick(bool is_writer, absl::Time now, Actions* actions) {
  if (pending_call_ != 0 || now < next_attempt_at_) {
    return;
  }
  if (phase_ == Phase::kDeleting) {
    // At most one key is deleted per tick, so that deletions do not delay other
    // writes to the store.
    if (pending_deletes_.empty()) {
      TrimHistory(now, actions);
      return;
    }
    StoreCompareAndSwap next = std::move(pending_deletes_.front());
    pending_deletes_.pop_front();
    SendCall(Phase::kDeleting, std::move(next), actions);
    return;
  }
  if (phase_ != Phase::kIdle) {
    return;
  }
  is_loading_ = log_->needs_snapshot();
  if (!is_loading_ &&
      (!is_writer || !log_->is_initialized() || now < next_check_at_)) {
    return;
  }
  next_check_at_ = now + internal::kHeadCheckInterval;
  SendCall(Phase::kReadingHead, StoreGet{std::string(internal::kHeadKey)},
           actions);
}

bool SnapshotStore::OnStoreAnswer(const StoreAnswer& answer,
                                  absl::Time now,
                                  Actions* actions) {
  if (pending_call_ == 0 || answer.id != pending_call_) {
    return false;
  }
  pending_call_ = 0;
  if (answer.status == StoreStatus::kUnknown) {
    AbortAndBackOff(now);
    return true;
  }
  backoff_.Reset();
  switch (phase_) {
    case Phase::kReadingHead:
      OnHeadRead(answer, now, actions);
      break;
    case Phase::kLoading:
      OnPartRead(answer, now, actions);
      break;
    case Phase::kWritingPart:
      // A conflict means that a part of the same revision already exists.
      cursor_ = next_cursor_;
      written_part_count_ = ++part_index_;
      if (is_last_part_) {
        are_parts_written_ = true;
        AddToHead(now, actions);
      } else {
        WritePart(actions);
      }
      break;
    case Phase::kWritingHead:
      phase_ = Phase::kIdle;
      snapshot_to_write_ = {};
      break;
    case Phase::kListing:
      OnKeysListed(answer, now, actions);
      break;
    case Phase::kDeleting:
    case Phase::kIdle:
      break;
  }
  return true;
}

void SnapshotStore::OnHeadRead(const StoreAnswer& answer,
                               absl::Time now,
                               Actions* actions) {
  head_entries_.clear();
  head_revision_ = 0;
  if (!answer.key_values.empty()) {
    head_revision_ = answer.key_values[0].revision;
    DecodeHead(answer.key_values[0].value);
  }
  const int64_t newest_revision =
      head_entries_.empty() ? 0 : head_entries_[0].revision;
  part_index_ = 0;
  if (is_loading_) {
    if (newest_revision <= log_->revision()) {
      AbortAndBackOff(now);  // The read of the head was stale.
      return;
    }
    assembler_.emplace();
    LoadPart(actions);
    return;
  }
  const bool is_write_interrupted =
      snapshot_to_write_.configuration != nullptr &&
      snapshot_to_write_.configuration->revision() > newest_revision;
  if (is_write_interrupted) {
    // The interrupted write is resumed, so that its parts do not remain in the
    // store without a head entry.
    part_index_ = written_part_count_;
    are_parts_written_ ? AddToHead(now, actions) : WritePart(actions);
    return;
  }
  snapshot_to_write_ = {};
  if (log_->revision() >= newest_revision + policy_.interval) {
    snapshot_to_write_ = log_->snapshot();
    cursor_.clear();
    are_parts_written_ = false;
    WritePart(actions);
    return;
  }
  TrimHistory(now, actions);
}

void SnapshotStore::LoadPart(Actions* actions) {
  SendCall(Phase::kLoading,
           StoreGet{PartKey(head_entries_[0].revision, part_index_)}, actions);
}

void SnapshotStore::OnPartRead(const StoreAnswer& answer,
                               absl::Time now,
                               Actions* actions) {
  if (answer.key_values.empty() ||
      !assembler_->Add(answer.key_values[0].value)) {
    AbortAndBackOff(now);
    return;
  }
  if (++part_index_ < head_entries_[0].part_count) {
    LoadPart(actions);
    return;
  }
  phase_ = Phase::kIdle;
  ConfigSnapshot snapshot = assembler_->Finish(head_entries_[0].revision);
  assembler_.reset();
  log_->Install(std::move(snapshot), now, actions);
  log_->ReadStore(now, actions);
}

void SnapshotStore::WritePart(Actions* actions) {
  EncodedPart part = EncodePart(snapshot_to_write_, cursor_);
  next_cursor_ = std::move(part.next);
  is_last_part_ = part.is_last;
  SendCall(
      Phase::kWritingPart,
      StoreCompareAndSwap{
          PartKey(snapshot_to_write_.configuration->revision(), part_index_), 0,
          std::move(part.data), false, 0},
      actions);
}

void SnapshotStore::AddToHead(absl::Time now, Actions* actions) {
  head_entries_.insert(
      head_entries_.begin(),
      {snapshot_to_write_.configuration->revision(), part_index_, now});
  WriteHead(actions);
}

void SnapshotStore::WriteHead(Actions* actions) {
  SendCall(Phase::kWritingHead,
           StoreCompareAndSwap{std::string(internal::kHeadKey), head_revision_,
                               EncodeHead(), false, 0},
           actions);
}

void SnapshotStore::TrimHistory(absl::Time now, Actions* actions) {
  // Among the snapshots that are older than the retention, the newest snapshot
  // covers all entries and snapshots that may be deleted.
  const auto covering_snapshot = std::find_if(
      head_entries_.begin(), head_entries_.end(), [&](const HeadEntry& entry) {
        return now - entry.written_at >= policy_.retention;
      });
  phase_ = Phase::kIdle;
  if (covering_snapshot == head_entries_.end()) {
    return;
  }
  if (covering_snapshot->revision > trimmed_revision_) {
    trimmed_revision_ = covering_snapshot->revision;
    is_listing_log_ = true;
    SendCall(
        Phase::kListing,
        StoreRange{std::string(kLogPrefix), "", internal::kMaxKeysPerListing},
        actions);
    return;
  }
  if (std::next(covering_snapshot) == head_entries_.end()) {
    return;
  }
  // The parts of the oldest snapshot are deleted before its entry is removed
  // from the head.
  is_listing_log_ = false;
  const std::string prefix = absl::StrFormat(
      "%s%012d/", internal::kSnapshotPrefix, head_entries_.back().revision);
  SendCall(Phase::kListing,
           StoreRange{prefix, prefix, internal::kMaxKeysPerListing}, actions);
}

void SnapshotStore::OnKeysListed(const StoreAnswer& answer,
                                 absl::Time /*now*/,
                                 Actions* actions) {
  for (const StoreKeyValue& key_value : answer.key_values) {
    if (is_listing_log_ &&
        LogIndex(key_value.key).value_or(INT64_MAX) > trimmed_revision_) {
      break;
    }
    pending_deletes_.push_back(
        {key_value.key, key_value.revision, std::string(), true, 0});
  }
  if (!pending_deletes_.empty()) {
    phase_ = Phase::kDeleting;
    // Resets the revision so that the log is listed again after the deletions.
    trimmed_revision_ = is_listing_log_ ? 0 : trimmed_revision_;
    return;
  }
  phase_ = Phase::kIdle;
  if (!is_listing_log_) {
    head_entries_.pop_back();
    WriteHead(actions);
  }
}

}  // namespace baobabwall::control
