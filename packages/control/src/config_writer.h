#ifndef CONTROL_SRC_CONFIG_WRITER_H_
#define CONTROL_SRC_CONFIG_WRITER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "absl/time/time.h"
#include "base/base.h"
#include "control/src/action.h"
#include "control/src/backoff.h"
#include "control/src/event.h"
#include "control/src/store.h"

namespace baobabwall::control {

class ConfigLog;

/// \brief Writes the change batches of operators to the log sequentially.
///
/// A batch is written by compare-and-swap to the index after the newest known
/// entry. If the answer of the store is lost, the writer reads the entry back
/// and repeats the same swap at the same index while the entry is absent.
/// Repeating the swap is safe because the store creates a key at most once,
/// whereas a read alone may be stale. The write finishes when the entry at its
/// index is known from the store or from a peer. A write is answered as
/// unavailable only if its batch cannot be in any entry.
class ConfigWriter {
 public:
  ConfigWriter(ConfigLog* log,
               std::function<StoreCallId()> next_call_id,
               uint64_t seed);

  void Write(const WriteRequested& request, absl::Time now, Actions* actions);

  /// \returns true if the answer belongs to a store call of this writer.
  bool OnStoreAnswer(const StoreAnswer& answer,
                     absl::Time now,
                     Actions* actions);

  /// \brief Called after the log was read to its end.
  void OnCaughtUp(absl::Time now, Actions* actions);

  /// \brief Called after the revision of the log increased, from any source.
  void OnRevisionIncreased(absl::Time now, Actions* actions);

  void OnTick(absl::Time now, Actions* actions);

 private:
  enum class Phase { kIdle, kCatchingUp, kSwapping, kReadingBack };
  struct PendingWrite {
    WriteRequested request;
    std::string encoded_batch;  ///< The batch as encoded in the log entry.
    absl::Time deadline;
  };

  void CatchUp(absl::Time now, Actions* actions);
  void ValidateAndSwap(absl::Time now, Actions* actions);
  void SendSwap(Actions* actions);
  void OnLogEntry(const std::string& entry, absl::Time now, Actions* actions);
  void ScheduleRetry(absl::Time now);
  void FinishWrite(WriteAnswered answer, absl::Time now, Actions* actions);
  bool AnswerIfInLog(absl::Time now, Actions* actions);
  StoreCallId SendCall(StoreRequest request, Actions* actions);

  ConfigLog* log_;
  std::function<StoreCallId()> next_call_id_;
  base::Random random_;
  std::deque<PendingWrite> pending_writes_;
  Phase phase_ = Phase::kIdle;
  StoreCallId pending_call_ = 0;
  int64_t entry_index_ = 0;
  Backoff backoff_;
  absl::Time next_retry_at_ = absl::InfinitePast();
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_CONFIG_WRITER_H_
