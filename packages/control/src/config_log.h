#ifndef CONTROL_SRC_CONFIG_LOG_H_
#define CONTROL_SRC_CONFIG_LOG_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "control/src/action.h"
#include "control/src/backoff.h"
#include "control/src/config_writer.h"
#include "control/src/event.h"
#include "control/src/operation_table.h"
#include "control/src/snapshot_codec.h"
#include "control/src/store.h"
#include "model/model.h"

namespace baobabwall::control {

/// Prefix of the store keys of log entries.
inline constexpr absl::string_view kLogPrefix = "config/log/";

/// \returns the store key of the log entry at an index.
std::string LogKey(int64_t index);

/// \returns the index in a log key, or nullopt for any other key.
std::optional<int64_t> LogIndex(absl::string_view key);

/// \brief Source of log entries; the source determines which members receive
/// the entries next.
enum class EntrySource { kStore, kOwnWrite, kPeer };

/// \brief Replica of the configuration log, and writes to the log.
///
/// An entry is applied only directly after the entry with the previous index,
/// so a stale read, a peer or a process that was paused cannot decrease the
/// revision.
class ConfigLog {
 public:
  /// Called after the revision increased; `first` is the index of the first new
  /// entry.
  using RevisionHook =
      std::function<void(EntrySource, int64_t first, absl::Time, Actions*)>;

  /// \param next_call_id returns a new store call id.
  /// \param seed seed of the retry jitter.
  explicit ConfigLog(std::function<StoreCallId()> next_call_id,
                     uint64_t seed = 0);

  ConfigLog(const ConfigLog&) = delete;
  ConfigLog& operator=(const ConfigLog&) = delete;

  void SetRevisionHook(RevisionHook hook) { revision_hook_ = std::move(hook); }

  const std::shared_ptr<const model::Configuration>& configuration() const {
    return snapshot_.configuration;
  }
  int64_t revision() const { return configuration()->revision(); }
  const OperationTable& operations() const { return *snapshot_.operations; }
  /// \returns the configuration with its operations. Later log entries do not
  /// modify the returned configuration.
  const ConfigSnapshot& snapshot() const { return snapshot_; }

  /// \returns the store revision up to which the log was read.
  int64_t store_revision() const { return store_revision_; }

  /// \returns the entries from index `first` on, or an empty span if the entry
  /// at `first` is not in memory.
  absl::Span<const std::string> EntriesFrom(int64_t first) const;

  /// \brief Applies the entries that follow the current revision. Older entries
  /// are skipped, and a gap in the indexes stops the loop.
  /// \returns true if the revision increased.
  bool Apply(int64_t first, absl::Span<const std::string> entries);

  /// \brief Applies entries like Apply(), and notifies the hook and the writer.
  bool ApplyAndNotify(EntrySource source,
                      int64_t first,
                      absl::Span<const std::string> entries,
                      absl::Time now,
                      Actions* actions);

  /// \brief Installs a snapshot if its revision is newer than the current
  /// revision.
  bool Install(ConfigSnapshot snapshot, absl::Time now, Actions* actions);

  void OnRevisionIncreased(EntrySource source,
                           int64_t first,
                           absl::Time now,
                           Actions* actions);

  /// \brief Starts a catch-up read of the store unless a read is in flight.
  void ReadStore(absl::Time now, Actions* actions);
  /// \brief Schedules a catch-up read of the store after a short random delay.
  void ReadStoreLater(absl::Time now, base::Random* random);

  /// \brief Applies the entries that a watch of the log returned.
  void OnWatchAnswer(const StoreAnswer& answer,
                     absl::Time now,
                     Actions* actions);

  /// \brief Queues a write; the result is returned as a WriteAnswered action.
  void Write(const WriteRequested& request, absl::Time now, Actions* actions);

  /// \returns true if the answer belongs to a store call of this log.
  bool OnStoreAnswer(const StoreAnswer& answer,
                     absl::Time now,
                     Actions* actions);

  void OnTick(absl::Time now, Actions* actions);

  /// \brief Records a revision that a peer reported.
  void RecordReportedRevision(int64_t revision);
  int64_t newest_reported_revision() const { return newest_reported_revision_; }

  /// \returns true once the log was read to its end or the newest revision
  /// reported by peers was applied.
  bool is_initialized() const { return is_initialized_; }

  /// \returns true if the store has already deleted the next entry.
  bool needs_snapshot() const { return needs_snapshot_; }

  /// \returns the time at which the last read that reached the end of the log
  /// was sent.
  absl::Time last_full_read_sent() const { return last_full_read_sent_; }

 private:
  void OnReadAnswer(const StoreAnswer& answer,
                    absl::Time now,
                    Actions* actions);
  bool ApplyKeyValues(absl::Span<const StoreKeyValue> key_values,
                      absl::Time now,
                      Actions* actions);
  void DropOldEntries();
  void UpdateIsInitialized();

  std::function<StoreCallId()> next_call_id_;
  base::Random random_;
  ConfigSnapshot snapshot_;
  std::shared_ptr<OperationTable> operations_;
  /// The most recent entries, up to revision().
  std::vector<std::string> entries_;
  size_t entry_bytes_ = 0;
  bool is_initialized_ = false;
  bool needs_snapshot_ = false;
  int64_t newest_reported_revision_ = -1;
  int64_t store_revision_ = 0;
  RevisionHook revision_hook_;

  StoreCallId pending_read_call_ = 0;
  absl::Time pending_read_sent_ = absl::InfinitePast();
  absl::Time last_full_read_sent_ = absl::InfinitePast();
  bool is_read_requested_ = false;
  absl::Time next_read_at_ = absl::InfinitePast();
  int range_limit_;
  Backoff read_backoff_;
  ConfigWriter writer_;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_CONFIG_LOG_H_
