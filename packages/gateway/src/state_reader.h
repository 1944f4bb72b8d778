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

/// \brief Reads all keys of a prefix and follows their changes.
///
/// A read of all keys, then one pending watch. What the store has forgotten is
/// read anew. No I/O: calls come out, answers go in.
class StateReader {
 public:
  /// Longest time that a watch waits at the store.
  static constexpr absl::Duration kWatch = absl::Seconds(25);
  /// Changes that come close together are read by one call.
  static constexpr absl::Duration kGather = absl::Milliseconds(800);
  /// While another call probes a store that is away, this one waits.
  static constexpr absl::Duration kProbed = absl::Seconds(3);
  static constexpr absl::Duration kFirstRetry = absl::Milliseconds(300);
  static constexpr absl::Duration kLongestRetry = absl::Seconds(1);
  /// Keys of one page.
  static constexpr int kPage = 500;

  /// How calls follow each other; depends on who answers them.
  struct Pace {
    absl::Duration watch = kWatch;    ///< Longest time that a watch waits.
    absl::Duration gather = kGather;  ///< Pause behind changes.
  };

  struct Hooks {
    std::function<void(const control::StoreKeyValue&, bool is_complete_read)>
        on_change;
    /// A complete read ended; receives all keys that exist.
    std::function<void(const std::vector<std::string>& keys)> on_complete_read;
    std::function<void()> on_store_lost;
    std::function<void()> on_store_returned;
    /// The first page of a read of all keys has come; earlier pages of a read
    /// that was not completed don't count.
    std::function<void()> on_read_begins;
  };

  StateReader(std::string prefix, uint64_t seed, Hooks hooks);

  void SetPace(const Pace& pace) { pace_ = pace; }
  /// \brief Further calls go elsewhere: a read of pages begins anew.
  void OnSourceChanged() { keys_.clear(); }

  /// \returns true if a call is due now.
  bool IsDue(absl::Time now) const { return !is_pending_ && now >= due_; }
  /// \returns the call that is due now, without its id; none if one is pending
  /// or none is due.
  std::optional<control::StoreRequest> NextCall(absl::Time now);

  void OnAnswer(const control::StoreAnswer& answer, absl::Time now);

  /// \brief The pending call gets no answer; the next one is due at once.
  void GiveUp(absl::Time now);

  /// \brief Another call has shown that the store is away or back.
  ///
  /// A call that is pending when the store goes away is given up: it may never
  /// be answered. Its answer must not be passed on.
  void OnStoreSeen(bool is_reachable, absl::Time now);

  /// \returns true once all keys have been read.
  bool is_read() const { return is_read_; }
  /// \returns whether the answer to the latest call is still expected.
  bool is_pending() const { return is_pending_; }
  bool is_store_lost() const { return is_lost_; }
  int64_t revision() const { return revision_; }

 private:
  enum class State { kReading, kWatching };

  void OnPage(const control::StoreAnswer& answer, absl::Time now);
  void OnEvents(const control::StoreAnswer& answer, absl::Time now);
  void SetLost(bool is_lost);

  std::string prefix_;
  base::Random random_;
  Hooks hooks_;
  control::Backoff backoff_;
  Pace pace_;
  State state_ = State::kReading;
  bool is_pending_ = false;
  bool is_read_ = false;
  bool is_lost_ = false;
  absl::Time due_ = absl::InfinitePast();
  int64_t revision_ = 0;       ///< Changes up to it are known.
  int64_t page_revision_ = 0;  ///< Of the first page of a read.
  std::vector<std::string> keys_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STATE_READER_H_
