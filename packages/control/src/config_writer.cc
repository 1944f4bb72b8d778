#include "control/src/config_writer.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "control/src/config_log.h"

namespace baobabwall::control {
namespace internal {

constexpr absl::Duration kWriteTimeout = absl::Seconds(5);
constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(200);
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(3);
// The store accepts values up to 1 MB. This limit is lower, because a snapshot
// part must hold the longest spec of the batch and a record header.
constexpr size_t kMaxEntryBytes = 960'000;

}  // namespace internal

ConfigWriter::ConfigWriter(ConfigLog* log,
                           std::function<StoreCallId()> next_call_id,
                           uint64_t seed)
    : log_(log),
      next_call_id_(std::move(next_call_id)),
      random_(seed),
      backoff_(internal::kInitialRetryDelay, internal::kMaxRetryDelay) {}

StoreCallId ConfigWriter::SendCall(StoreRequest request, Actions* actions) {
  const StoreCallId id = next_call_id_();
  actions->push_back(StoreCall{id, std::move(request)});
  return id;
}

void ConfigWriter::Write(const WriteRequested& request,
                         absl::Time now,
                         Actions* actions) {
  PendingWrite write{request, model::EncodeBatch(request.batch),
                     now + internal::kWriteTimeout};
  WriteAnswered rejection;
  rejection.id = request.id;
  rejection.result = WriteAnswered::Result::kInvalid;
  if (request.batch.operation_id.empty()) {
    rejection.findings.Add("operationId", "is empty");
  }
  if (write.encoded_batch.size() > internal::kMaxEntryBytes) {
    rejection.findings.Add(
        "batch",
        absl::StrCat("takes ", write.encoded_batch.size(), " bytes, more than ",
                     internal::kMaxEntryBytes),
        "split it");
  }
  if (!rejection.findings.empty()) {
    actions->push_back(std::move(rejection));
    return;
  }
  pending_writes_.push_back(std::move(write));
  if (phase_ == Phase::kIdle) {
    CatchUp(now, actions);
  }
}

void ConfigWriter::CatchUp(absl::Time now, Actions* actions) {
  pending_call_ = 0;
  phase_ = Phase::kCatchingUp;
  log_->ReadStore(now, actions);
}

void ConfigWriter::OnCaughtUp(absl::Time now, Actions* actions) {
  if (phase_ == Phase::kCatchingUp) {
    ValidateAndSwap(now, actions);
  }
}

bool ConfigWriter::AnswerIfInLog(absl::Time now, Actions* actions) {
  const PendingWrite& write = pending_writes_.front();
  const Operation* operation =
      log_->operations().Find(write.request.batch.operation_id);
  if (operation == nullptr) {
    return false;
  }
  WriteAnswered answer;
  answer.id = write.request.id;
  if (operation->hash == base::StableHash(write.encoded_batch)) {
    answer.result = WriteAnswered::Result::kAccepted;
    answer.revision = operation->revision;
  } else {
    answer.result = WriteAnswered::Result::kInvalid;
    answer.findings.Add("operationId", "was used for another batch");
  }
  FinishWrite(std::move(answer), now, actions);
  return true;
}

void ConfigWriter::ValidateAndSwap(absl::Time now, Actions* actions) {
  if (AnswerIfInLog(now, actions)) {
    return;
  }
  const PendingWrite& write = pending_writes_.front();
  const model::ChangeBatch& batch = write.request.batch;
  bool is_behind = log_->revision() < log_->newest_reported_revision();
  for (const model::Change& change : batch.changes) {
    is_behind = is_behind || change.based_on.value_or(0) > log_->revision();
  }
  if (is_behind) {
    // The read of the store was stale, so the log is read again after a delay.
    log_->ReadStoreLater(now, &random_);
    return;
  }
  WriteAnswered rejection;
  rejection.id = write.request.id;
  const model::Configuration& configuration = *log_->configuration();
  if (const auto conflict = configuration.CheckVersions(batch)) {
    rejection.result = WriteAnswered::Result::kConflict;
    rejection.conflict = *conflict;
    FinishWrite(std::move(rejection), now, actions);
    return;
  }
  entry_index_ = log_->revision() + 1;
  if (configuration.Apply(batch, entry_index_, &rejection.findings) ==
      nullptr) {
    rejection.result = WriteAnswered::Result::kInvalid;
    FinishWrite(std::move(rejection), now, actions);
    return;
  }
  backoff_.Reset();
  SendSwap(actions);
}

void ConfigWriter::SendSwap(Actions* actions) {
  phase_ = Phase::kSwapping;
  pending_call_ = SendCall(
      StoreCompareAndSwap{LogKey(entry_index_), 0,
                          pending_writes_.front().encoded_batch, false, 0},
      actions);
}

void ConfigWriter::FinishWrite(WriteAnswered answer,
                               absl::Time now,
                               Actions* actions) {
  actions->push_back(std::move(answer));
  pending_writes_.pop_front();
  pending_call_ = 0;
  phase_ = Phase::kIdle;
  if (!pending_writes_.empty()) {
    CatchUp(now, actions);
  }
}

void ConfigWriter::OnLogEntry(const std::string& entry,
                              absl::Time now,
                              Actions* actions) {
  const bool is_own_entry = entry == pending_writes_.front().encoded_batch;
  if (log_->Apply(entry_index_, absl::MakeConstSpan(&entry, 1))) {
    // This call finishes the write, because the log now contains its operation
    // id.
    log_->OnRevisionIncreased(
        is_own_entry ? EntrySource::kOwnWrite : EntrySource::kStore,
        entry_index_, now, actions);
    return;
  }
  OnRevisionIncreased(now, actions);
}

void ConfigWriter::OnRevisionIncreased(absl::Time now, Actions* actions) {
  const bool is_swap_in_flight =
      phase_ == Phase::kSwapping || phase_ == Phase::kReadingBack;
  if (!is_swap_in_flight || log_->revision() < entry_index_) {
    return;
  }
  // The entry at the index of the compare-and-swap is known. Therefore the
  // compare-and-swap either created this entry or can no longer succeed.
  if (!AnswerIfInLog(now, actions)) {
    CatchUp(now, actions);
  }
}

void ConfigWriter::ScheduleRetry(absl::Time now) {
  pending_call_ = 0;
  phase_ = Phase::kReadingBack;
  next_retry_at_ = now + backoff_.Next(&random_);
}

bool ConfigWriter::OnStoreAnswer(const StoreAnswer& answer,
                                 absl::Time now,
                                 Actions* actions) {
  if (pending_call_ == 0 || answer.id != pending_call_) {
    return false;
  }
  pending_call_ = 0;
  const bool has_entry =
      !answer.key_values.empty() && !answer.key_values[0].is_deleted;
  if (answer.status == StoreStatus::kOk && phase_ == Phase::kSwapping) {
    const std::string entry = pending_writes_.front().encoded_batch;
    OnLogEntry(entry, now, actions);
  } else if (answer.status == StoreStatus::kUnknown &&
             phase_ == Phase::kSwapping) {
    phase_ = Phase::kReadingBack;
    pending_call_ = SendCall(StoreGet{LogKey(entry_index_)}, actions);
  } else if (answer.status == StoreStatus::kUnknown) {
    ScheduleRetry(now);
  } else if (has_entry) {
    OnLogEntry(answer.key_values[0].value, now, actions);
  } else if (answer.status == StoreStatus::kConflict) {
    // Another entry exists at this index, but the answer of the store did not
    // include the entry.
    ScheduleRetry(now);
  } else {
    SendSwap(actions);
  }
  return true;
}

void ConfigWriter::OnTick(absl::Time now, Actions* actions) {
  if (phase_ == Phase::kReadingBack && pending_call_ == 0 &&
      now >= next_retry_at_) {
    pending_call_ = SendCall(StoreGet{LogKey(entry_index_)}, actions);
  }
  const bool is_front_in_flight =
      phase_ == Phase::kSwapping || phase_ == Phase::kReadingBack;
  for (auto it = pending_writes_.begin() + (is_front_in_flight ? 1 : 0);
       it != pending_writes_.end();) {
    if (now <= it->deadline) {
      ++it;
      continue;
    }
    WriteAnswered rejection;
    rejection.id = it->request.id;
    rejection.result = WriteAnswered::Result::kUnavailable;
    actions->push_back(std::move(rejection));
    it = pending_writes_.erase(it);
  }
  if (pending_writes_.empty()) {
    phase_ = Phase::kIdle;
  }
}

}  // namespace baobabwall::control
