#ifndef CONTROL_SRC_SNAPSHOT_STORE_H_
#define CONTROL_SRC_SNAPSHOT_STORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/base.h"
#include "control/src/action.h"
#include "control/src/backoff.h"
#include "control/src/config_log.h"
#include "control/src/snapshot_codec.h"
#include "control/src/store.h"

namespace baobabwall::control {

/// \brief Interval and retention of snapshots in the store.
struct SnapshotPolicy {
  int64_t interval = 1000;  ///< Number of log entries between two snapshots.
  /// Time after which entries covered by a snapshot are deleted. The retention
  /// is longer than any outage of the store. If a writer was paused or had
  /// stale data for longer than the retention, the writer could create a
  /// deleted entry again.
  absl::Duration retention = absl::Hours(24);
};

/// \brief Reads and writes configuration snapshots in the store.
///
/// All parts of a snapshot are written before its revision is added to the head
/// key by compare-and-swap; a writer that loses the swap does nothing. Entries
/// and older snapshots are deleted only after a newer snapshot has reached the
/// retention time, so a reader always finds a snapshot and all entries that
/// follow the snapshot.
class SnapshotStore {
 public:
  SnapshotStore(ConfigLog* log,
                SnapshotPolicy policy,
                std::function<StoreCallId()> next_call_id,
                uint64_t seed);

  /// \param is_writer true for the only member that writes snapshots.
  void OnTick(bool is_writer, absl::Time now, Actions* actions);

  /// \returns true if the answer belongs to a store call of this object.
  bool OnStoreAnswer(const StoreAnswer& answer,
                     absl::Time now,
                     Actions* actions);

 private:
  enum class Phase {
    kIdle,
    kReadingHead,
    kLoading,
    kWritingPart,
    kWritingHead,
    kListing,
    kDeleting,
  };
  /// Description of one snapshot in the head key.
  struct HeadEntry {
    int64_t revision = 0;
    int part_count = 0;
    absl::Time written_at;
  };

  void SendCall(Phase phase, StoreRequest request, Actions* actions);
  void OnHeadRead(const StoreAnswer& answer, absl::Time now, Actions* actions);
  void OnPartRead(const StoreAnswer& answer, absl::Time now, Actions* actions);
  void OnKeysListed(const StoreAnswer& answer,
                    absl::Time now,
                    Actions* actions);
  void LoadPart(Actions* actions);
  void WritePart(Actions* actions);
  void WriteHead(Actions* actions);
  void AddToHead(absl::Time now, Actions* actions);
  void TrimHistory(absl::Time now, Actions* actions);
  void AbortAndBackOff(absl::Time now);
  static std::string PartKey(int64_t revision, int part);
  std::string EncodeHead() const;
  void DecodeHead(const std::string& text);

  ConfigLog* log_;
  SnapshotPolicy policy_;
  std::function<StoreCallId()> next_call_id_;
  base::Random random_;
  Phase phase_ = Phase::kIdle;
  StoreCallId pending_call_ = 0;
  absl::Time next_attempt_at_ = absl::InfinitePast();
  absl::Time next_check_at_ = absl::InfinitePast();
  Backoff backoff_;
  bool is_loading_ = false;

  std::vector<HeadEntry>
      head_entries_;  ///< Snapshots in the head key, newest first.
  int64_t head_revision_ = 0;
  int part_index_ = 0;
  int written_part_count_ = 0;
  std::optional<SnapshotAssembler> assembler_;

  ConfigSnapshot snapshot_to_write_;
  std::string cursor_;
  std::string next_cursor_;
  bool is_last_part_ = false;
  bool are_parts_written_ = false;

  std::deque<StoreCompareAndSwap> pending_deletes_;
  int64_t trimmed_revision_ = 0;
  bool is_listing_log_ = false;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_SNAPSHOT_STORE_H_
