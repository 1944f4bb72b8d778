#include "gateway/src/state_reader.h"

#include <algorithm>
#include <utility>

namespace baobabwall::gateway {

StateReader::StateReader(std::string prefix, uint64_t seed, Hooks hooks)
    : prefix_(std::move(prefix)),
      random_(seed),
      hooks_(std::move(hooks)),
      backoff_(kInitialRetryDelay, kMaxRetryDelay) {}

std::optional<control::StoreRequest> StateReader::NextCall(absl::Time now) {
  if (!IsDue(now)) {
    return std::nullopt;
  }
  is_pending_ = true;
  if (state_ == State::kReading) {
    control::StoreRange range;
    range.prefix = prefix_;
    range.limit = kPageSize;
    range.after = read_keys_.empty() ? "" : read_keys_.back();
    return range;
  }
  control::StoreWatch watch;
  watch.prefix = prefix_;
  watch.after_revision = revision_;
  // After an outage the watch returns immediately, so that the current state is
  // read without waiting for a change.
  watch.timeout = is_store_unreachable_ ? absl::Milliseconds(1)
                                        : call_timing_.watch_timeout;
  return watch;
}

void StateReader::SetStoreUnreachable(bool is_unreachable) {
  if (is_unreachable == is_store_unreachable_) {
    return;
  }
  is_store_unreachable_ = is_unreachable;
  if (is_unreachable) {
    hooks_.on_store_unreachable();
  } else {
    hooks_.on_store_reachable();
  }
}

void StateReader::CancelCall(absl::Time now) {
  is_pending_ = false;
  next_call_at_ = now;
}

void StateReader::OnStoreRestored(absl::Time now) {
  is_restored_ = true;
  state_ = State::kReading;
  revision_ = 0;
  read_keys_.clear();
  CancelCall(now);
}

void StateReader::OnStoreReachability(bool is_reachable, absl::Time now) {
  if (is_reachable && is_store_unreachable_) {
    next_call_at_ = std::min(next_call_at_, now);
  }
  if (!is_reachable && !is_store_unreachable_) {
    is_pending_ = false;
    next_call_at_ = now + kUnreachableCallDelay;
    SetStoreUnreachable(true);
  }
}

void StateReader::OnAnswer(const control::StoreAnswer& answer, absl::Time now) {
  is_pending_ = false;
  if (answer.status == control::StoreStatus::kHistoryGone) {
    state_ = State::kReading;
    read_keys_.clear();
    next_call_at_ = now;
    return;
  }
  if (answer.status != control::StoreStatus::kOk) {
    next_call_at_ = now + backoff_.Next(&random_);
    SetStoreUnreachable(true);
    return;
  }
  backoff_.Reset();
  SetStoreUnreachable(false);
  if (state_ == State::kReading) {
    OnPage(answer, now);
  } else {
    OnWatchAnswer(answer, now);
  }
}

void StateReader::OnPage(const control::StoreAnswer& answer, absl::Time now) {
  if (read_keys_.empty()) {
    first_page_revision_ = answer.revision;
    hooks_.on_read_begin();
  }
  for (const control::StoreKeyValue& item : answer.key_values) {
    read_keys_.push_back(item.key);
    hooks_.on_change(item, true);
  }
  next_call_at_ = now;
  if (answer.has_more && !answer.key_values.empty()) {
    return;
  }
  // The pages of a read are not a consistent snapshot. The watch therefore
  // begins at the revision of the first page and repeats later changes.
  revision_ = first_page_revision_;
  state_ = State::kWatching;
  has_complete_read_ = true;
  is_restored_ = false;
  hooks_.on_complete_read(read_keys_);
  read_keys_.clear();
}

void StateReader::OnWatchAnswer(const control::StoreAnswer& answer,
                                absl::Time now) {
  for (const control::StoreKeyValue& item : answer.key_values) {
    hooks_.on_change(item, false);
  }
  revision_ = std::max(revision_, answer.revision);
  next_call_at_ =
      answer.key_values.empty() ? now : now + call_timing_.batch_delay;
}

}  // namespace baobabwall::gateway
