#ifndef GATEWAY_SRC_REGISTRATION_H_
#define GATEWAY_SRC_REGISTRATION_H_

#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "base/base.h"
#include "control/control.h"
#include "gateway/src/instance_record.h"

namespace baobabwall::gateway {

/// \brief Keeps this instance's record in the store, under a lease.
///
/// No I/O: calls come out, answers go in. Its renewals also show whether the
/// store can be reached, since they are its cheapest calls.
class Registration {
 public:
  /// Three renewals may be lost before the record goes.
  static constexpr absl::Duration kLease = absl::Seconds(8);
  static constexpr absl::Duration kRenewal = absl::Seconds(2);
  /// Of an instance that others read from: they learn by it that the store
  /// can't be reached.
  static constexpr absl::Duration kReaderRenewal = absl::Milliseconds(700);
  static constexpr absl::Duration kFirstRetry = absl::Milliseconds(300);
  static constexpr absl::Duration kLongestRetry = absl::Seconds(1);

  Registration(InstanceRecord record, uint64_t seed);

  /// \returns the call that is due now, without its id; none if one is pending
  /// or none is due.
  std::optional<control::StoreRequest> NextCall(absl::Time now);

  void OnAnswer(const control::StoreAnswer& answer, absl::Time now);

  /// \brief The record was seen to be gone although this instance lives.
  void OnRecordRemoved(absl::Time now);

  /// \brief This instance leaves: the record is to be removed at once.
  void Leave(absl::Time now);

  void SetRenewal(absl::Duration renewal) { renewal_ = renewal; }

  bool is_registered() const { return state_ == State::kHeld; }
  /// \returns true once the record is gone after Leave().
  bool has_left() const { return state_ == State::kLeft; }

 private:
  enum class State { kNoLease, kNoRecord, kHeld, kLeft };

  InstanceRecord record_;
  base::Random random_;
  control::Backoff backoff_;
  absl::Duration renewal_ = kRenewal;
  State state_ = State::kNoLease;
  bool is_pending_ = false;
  bool is_leaving_ = false;
  bool is_ending_ = false;  ///< The pending call ends the lease.
  uint64_t lease_ = 0;
  absl::Time due_ = absl::InfinitePast();
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_REGISTRATION_H_
