#include "gateway/src/registration.h"

#include <utility>

namespace baobabwall::gateway {

Registration::Registration(InstanceRecord record, uint64_t seed)
    : record_(std::move(record)),
      random_(seed),
      backoff_(kFirstRetry, kLongestRetry) {}

std::optional<control::StoreRequest> Registration::NextCall(absl::Time now) {
  if (is_pending_ || now < due_ || state_ == State::kLeft) {
    return std::nullopt;
  }
  if (is_leaving_ && lease_ == 0) {
    state_ = State::kLeft;
    return std::nullopt;
  }
  is_pending_ = true;
  if (is_leaving_) {
    is_ending_ = true;
    return control::StoreLeaseEnd{lease_};
  }
  switch (state_) {
    case State::kNoLease:
      return control::StoreLeaseGrant{kLease};
    case State::kNoRecord: {
      control::StoreCompareAndSwap put;
      put.key = record_.Key();
      put.value = record_.Encode();
      put.lease = lease_;
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
  const bool is_done = answer.status == StoreStatus::kOk;
  if (is_ending_) {
    is_ending_ = false;
    if (is_done || answer.status == StoreStatus::kNotFound) {
      state_ = State::kLeft;
      return;
    }
  }
  if (answer.status == StoreStatus::kNotFound) {
    // The lease has ended, and the record with it.
    state_ = State::kNoLease;
    lease_ = 0;
    due_ = now;
    return;
  }
  // The key exists: an earlier write of ours whose answer was lost.
  const bool is_written =
      state_ == State::kNoRecord && answer.status == StoreStatus::kConflict;
  if (!is_done && !is_written) {
    due_ = now + backoff_.Next(&random_);
    return;
  }
  backoff_.Reset();
  due_ = now;
  if (state_ == State::kNoLease) {
    lease_ = answer.lease;
    state_ = State::kNoRecord;
  } else if (!is_leaving_) {
    state_ = State::kHeld;
    due_ = now + renewal_ * (0.9 + 0.2 * random_.Unit());
  }
}

void Registration::OnRecordRemoved(absl::Time now) {
  if (is_leaving_ || state_ != State::kHeld) {
    return;
  }
  state_ = State::kNoLease;
  lease_ = 0;
  due_ = now;
}

void Registration::Leave(absl::Time now) {
  is_leaving_ = true;
  due_ = now;
}

}  // namespace baobabwall::gateway
