#include "gateway/src/state_reader.h"

#include <algorithm>
#include <utility>

namespace baobabwall::gateway {

StateReader::StateReader(std::string prefix, uint64_t seed, Hooks hooks)
    : prefix_(std::move(prefix)),
      random_(seed),
      hooks_(std::move(hooks)),
      backoff_(kFirstRetry, kLongestRetry) {}

std::optional<control::StoreRequest> StateReader::NextCall(absl::Time now) {
  if (!IsDue(now)) {
    return std::nullopt;
  }
  is_pending_ = true;
  if (state_ == State::kReading) {
    control::StoreRange range;
    range.prefix = prefix_;
    range.limit = kPage;
    range.after = keys_.empty() ? "" : keys_.back();
    return range;
  }
  control::StoreWatch watch;
  watch.prefix = prefix_;
  watch.after_revision = revision_;
  // A store that was away is asked for what is there, not to wait.
  watch.timeout = is_lost_ ? absl::Milliseconds(1) : pace_.watch;
  return watch;
}

void StateReader::SetLost(bool is_lost) {
  if (is_lost == is_lost_) {
    return;
  }
  is_lost_ = is_lost;
  if (is_lost) {
    hooks_.on_store_lost();
  } else {
    hooks_.on_store_returned();
  }
}

void StateReader::GiveUp(absl::Time now) {
  is_pending_ = false;
  due_ = now;
}

void StateReader::OnStoreSeen(bool is_reachable, absl::Time now) {
  if (is_reachable && is_lost_) {
    due_ = std::min(due_, now);
  }
  if (!is_reachable && !is_lost_) {
    is_pending_ = false;
    due_ = now + kProbed;
    SetLost(true);
  }
}

void StateReader::OnAnswer(const control::StoreAnswer& answer, absl::Time now) {
  is_pending_ = false;
  if (answer.status == control::StoreStatus::kHistoryGone) {
    state_ = State::kReading;
    keys_.clear();
    due_ = now;
    return;
  }
  if (answer.status != control::StoreStatus::kOk) {
    due_ = now + backoff_.Next(&random_);
    SetLost(true);
    return;
  }
  backoff_.Reset();
  SetLost(false);
  if (state_ == State::kReading) {
    OnPage(answer, now);
  } else {
    OnEvents(answer, now);
  }
}

void StateReader::OnPage(const control::StoreAnswer& answer, absl::Time now) {
  if (keys_.empty()) {
    page_revision_ = answer.revision;
    hooks_.on_read_begins();
  }
  for (const control::StoreKeyValue& item : answer.key_values) {
    keys_.push_back(item.key);
    hooks_.on_change(item, true);
  }
  due_ = now;
  if (answer.has_more && !answer.key_values.empty()) {
    return;
  }
  // Pages are not a snapshot: the watch repeats what changed meanwhile.
  revision_ = page_revision_;
  state_ = State::kWatching;
  is_read_ = true;
  hooks_.on_complete_read(keys_);
  keys_.clear();
}

void StateReader::OnEvents(const control::StoreAnswer& answer, absl::Time now) {
  for (const control::StoreKeyValue& item : answer.key_values) {
    hooks_.on_change(item, false);
  }
  revision_ = std::max(revision_, answer.revision);
  due_ = answer.key_values.empty() ? now : now + pace_.gather;
}

}  // namespace baobabwall::gateway
