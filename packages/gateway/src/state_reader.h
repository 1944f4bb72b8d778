#ifndef GATEWAY_SRC_STATE_READER_H_
#define GATEWAY_SRC_STATE_READER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/base.h"
#include "control/control.h"

namespace baobabwall::gateway {

/// \brief Reads all keys of a prefix and watches them for changes.
///
/// Reads all keys page by page, then keeps one watch pending. If the store no
/// longer has the history after the watched revision, all keys are read again.
/// Does no I/O: NextCall() returns the calls, and their answers are passed to
/// OnAnswer().
class StateReader {
 public:
  /// Maximum time for which a watch waits at the store.
  static constexpr absl::Duration kWatchTimeout = absl::Seconds(25);
  /// Delay of the next watch after changes, so that changes in quick succession
  /// are read in one call.
  static constexpr absl::Duration kChangeBatchDelay = absl::Milliseconds(800);
  /// Delay of the next call if another call has found the store unreachable.
  /// The other call continues to probe the store.
  static constexpr absl::Duration kUnreachableCallDelay = absl::Seconds(3);
  static constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(300);
  static constexpr absl::Duration kMaxRetryDelay = absl::Seconds(1);
  /// Maximum number of keys per page.
  static constexpr int kPageSize = 500;

  /// Timing of the calls, which depends on the source that answers them.
  struct CallTiming {
    /// Maximum time that a watch waits.
    absl::Duration watch_timeout = kWatchTimeout;
    /// Delay of the next watch after changes.
    absl::Duration batch_delay = kChangeBatchDelay;
  };

  struct Hooks {
    std::function<void(const control::StoreKeyValue&, bool is_complete_read)>
        on_change;
    /// Called after a complete read with all keys that exist.
    std::function<void(const std::vector<std::string>& keys)> on_complete_read;
    std::function<void()> on_store_unreachable;
    std::function<void()> on_store_reachable;
    /// Called before the first page of a complete read is passed on. Pages of
    /// an earlier, incomplete read must be discarded.
    std::function<void()> on_read_begin;
  };

  StateReader(std::string prefix, uint64_t seed, Hooks hooks);

  void SetCallTiming(const CallTiming& call_timing) {
    call_timing_ = call_timing;
  }
  /// \brief Called when further calls go to another source. A read in progress
  /// starts again with its first page.
  void OnSourceChanged() { read_keys_.clear(); }

  /// \returns whether a call is due now.
  bool IsDue(absl::Time now) const {
    return !is_pending_ && now >= next_call_at_;
  }
  /// \returns the call that is due now, without its id; nullopt if a call is
  /// pending or no call is due.
  std::optional<control::StoreRequest> NextCall(absl::Time now);

  void OnAnswer(const control::StoreAnswer& answer, absl::Time now);

  /// \brief Cancels the pending call, whose answer is no longer expected. The
  /// next call is due immediately.
  void CancelCall(absl::Time now);

  /// \brief Called when the store was restored from an older copy. All keys are
  /// read again, because the watched revision is one of another history.
  void OnStoreRestored(absl::Time now);

  /// \brief Called when another call has shown whether the store is reachable.
  ///
  /// If the store becomes unreachable, the pending call is canceled, because
  /// the store may never answer that call. A late answer must not be passed to
  /// OnAnswer().
  void OnStoreReachability(bool is_reachable, absl::Time now);

  /// \returns whether all keys have been read at least once.
  bool has_complete_read() const { return has_complete_read_; }
  /// \returns whether all keys have been read since the store was restored.
  bool has_current_read() const { return has_complete_read_ && !is_restored_; }
  /// \returns whether the latest call is still waiting for its answer.
  bool is_pending() const { return is_pending_; }
  bool is_store_unreachable() const { return is_store_unreachable_; }
  int64_t revision() const { return revision_; }

 private:
  enum class State { kReading, kWatching };

  void OnPage(const control::StoreAnswer& answer, absl::Time now);
  void OnWatchAnswer(const control::StoreAnswer& answer, absl::Time now);
  void SetStoreUnreachable(bool is_unreachable);

  std::string prefix_;
  base::Random random_;
  Hooks hooks_;
  control::Backoff backoff_;
  CallTiming call_timing_;
  State state_ = State::kReading;
  bool is_pending_ = false;
  bool has_complete_read_ = false;
  /// Whether the store was restored and has not been read since.
  bool is_restored_ = false;
  bool is_store_unreachable_ = false;
  absl::Time next_call_at_ = absl::InfinitePast();
  int64_t revision_ = 0;  ///< Revision up to which all changes were read.
  int64_t first_page_revision_ = 0;  ///< Revision of the first page of a read.
  std::vector<std::string> read_keys_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STATE_READER_H_
