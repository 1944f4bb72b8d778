#ifndef GATEWAY_SRC_REGISTRATION_H_
#define GATEWAY_SRC_REGISTRATION_H_

#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "base/base.h"
#include "control/control.h"
#include "gateway/src/instance_record.h"

namespace baobabwall::gateway {

/// \brief Keeps the record of this instance in the store under a lease.
///
/// Does no I/O: NextCall() returns the calls, and their answers are passed to
/// OnAnswer(). The lease renewals are the cheapest calls to the store, so they
/// also serve to detect whether the store is reachable.
class Registration {
 public:
  /// Lease duration. Two renewals in a row can fail before the record expires,
  /// also with the longest renewal interval.
  static constexpr absl::Duration kLeaseDuration = absl::Seconds(12);
  static constexpr absl::Duration kRenewalInterval = absl::Seconds(2);
  /// Renewal interval of an instance that reads from another instance, which
  /// tells it whether the store is reachable.
  static constexpr absl::Duration kFollowerRenewalInterval =
      absl::Milliseconds(3500);
  /// Renewal interval of an instance from which others read. The interval is
  /// shorter because the other instances depend on this one to detect that the
  /// store is unreachable.
  static constexpr absl::Duration kReaderRenewalInterval =
      absl::Milliseconds(700);
  static constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(300);
  static constexpr absl::Duration kMaxRetryDelay = absl::Seconds(1);

  Registration(InstanceRecord record, uint64_t seed);

  /// \returns the call that is due now, without its id; nullopt if a call is
  /// pending or no call is due.
  std::optional<control::StoreRequest> NextCall(absl::Time now);

  void OnAnswer(const control::StoreAnswer& answer, absl::Time now);

  /// \brief Called when the record was removed although this instance is
  /// running.
  void OnRecordRemoved(absl::Time now);

  /// \brief Called when the store was restored from an older copy, in which the
  /// lease may be missing or belong to another instance. The record is written
  /// again under a new lease.
  void OnStoreRestored(absl::Time now);

  /// \brief Makes the next call due, because its answer shows the state of the
  /// store.
  void CallSoon(absl::Time now);

  /// \brief Removes the record immediately, because this instance shuts down.
  void Leave(absl::Time now);

  void SetRenewalInterval(absl::Duration renewal_interval) {
    renewal_interval_ = renewal_interval;
  }

  bool is_registered() const { return state_ == State::kRegistered; }
  /// \returns whether the record has been removed after Leave().
  bool has_left() const { return state_ == State::kLeft; }

 private:
  enum class State { kNoLease, kNoRecord, kRegistered, kLeft };

  InstanceRecord record_;
  base::Random random_;
  control::Backoff backoff_;
  absl::Duration renewal_interval_ = kRenewalInterval;
  State state_ = State::kNoLease;
  bool is_pending_ = false;
  bool is_leaving_ = false;
  /// Whether the pending call ends the lease.
  bool is_lease_end_pending_ = false;
  uint64_t lease_ = 0;
  /// Whether an existing record belongs to an earlier lease.
  bool overwrites_record_ = false;
  int64_t record_revision_ = 0;  ///< Of the record to overwrite; 0 for none.
  absl::Time next_call_at_ = absl::InfinitePast();
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_REGISTRATION_H_
