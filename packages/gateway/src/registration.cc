#include "gateway/src/registration.h"

#include <algorithm>
#include <utility>

namespace baobabwall::gateway {

Registration::Registration(InstanceRecord record, uint64_t seed)
    : record_(std::move(record)),
      random_(seed),
      backoff_(kInitialRetryDelay, kMaxRetryDelay) {}

std::optional<control::StoreRequest> Registration::NextCall(absl::Time now) {
  if (is_pending_ || now < next_call_at_ || state_ == State::kLeft) {
    return std::nullopt;
  }
  if (is_leaving_ && lease_ == 0) {
    state_ = State::kLeft;
    return std::nullopt;
  }
  is_pending_ = true;
  if (is_leaving_) {
    is_lease_end_pending_ = true;
    return control::StoreLeaseEnd{lease_};
  }
  switch (state_) {
    case State::kNoLease:
      return control::StoreLeaseGrant{kLeaseDuration};
    case State::kNoRecord: {
      control::StoreCompareAndSwap put;
      put.key = record_.Key();
      put.value = record_.Encode();
      put.lease = lease_;
      put.expected_revision = record_revision_;
      return put;
    }
    default:
      return control::StoreLeaseKeepAlive{lease_};
  }
}

void Registration::OnAnswer(const control::StoreAnswer& answer,
                            absl::Time now) {
  using control::StoreStatus;
  is_pending_ = false;
  const bool is_ok = answer.status == StoreStatus::kOk;
  if (is_lease_end_pending_) {
    is_lease_end_pending_ = false;
    if (is_ok || answer.status == StoreStatus::kNotFound) {
      state_ = State::kLeft;
      return;
    }
  }
  if (answer.status == StoreStatus::kNotFound) {
    // The lease has expired, and the record was removed with it.
    state_ = State::kNoLease;
    lease_ = 0;
    next_call_at_ = now;
    return;
  }
  if (state_ == State::kNoRecord && overwrites_record_ &&
      answer.status == StoreStatus::kConflict) {
    record_revision_ =
        answer.key_values.empty() ? 0 : answer.key_values.front().revision;
    next_call_at_ = now + backoff_.Next(&random_);
    return;
  }
  // A conflict means that the key exists: an earlier write of this instance
  // succeeded, but its answer was lost.
  const bool is_already_written =
      state_ == State::kNoRecord && answer.status == StoreStatus::kConflict;
  if (!is_ok && !is_already_written) {
    next_call_at_ = now + backoff_.Next(&random_);
    return;
  }
  backoff_.Reset();
  next_call_at_ = now;
  if (state_ == State::kNoLease) {
    lease_ = answer.lease;
    state_ = State::kNoRecord;
  } else if (!is_leaving_) {
    state_ = State::kRegistered;
    overwrites_record_ = false;
    record_revision_ = 0;
    next_call_at_ = now + renewal_interval_ * (0.9 + 0.2 * random_.Unit());
  }
}

void Registration::OnRecordRemoved(absl::Time now) {
  if (is_leaving_ || state_ != State::kRegistered) {
    return;
  }
  state_ = State::kNoLease;
  lease_ = 0;
  next_call_at_ = now;
}

void Registration::OnStoreRestored(absl::Time now) {
  is_pending_ = false;
  // The record of a leaving instance is in the copy only with its lease.
  if (is_leaving_) {
    next_call_at_ = now;
    return;
  }
  state_ = State::kNoLease;
  lease_ = 0;
  overwrites_record_ = true;
  record_revision_ = 0;
  next_call_at_ = now;
}

void Registration::CallSoon(absl::Time now) {
  next_call_at_ = std::min(next_call_at_, now);
}

void Registration::Leave(absl::Time now) {
  is_leaving_ = true;
  next_call_at_ = now;
}

}  // namespace baobabwall::gateway
