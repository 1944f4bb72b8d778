#ifndef GATEWAY_SRC_WATCH_PROBE_H_
#define GATEWAY_SRC_WATCH_PROBE_H_

#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "control/control.h"

namespace baobabwall::gateway {

/// \brief Detects that the answer to a pending watch was lost.
///
/// A lost answer leaves the connection of the watch open and silent. While a
/// watch is pending at the store, the store's revision is read at intervals: a
/// revision above the watched one shows that the watch should have been
/// answered. The read is the cheapest call to the store because its answer may
/// be a few seconds old. Does no I/O.
class WatchProbe {
 public:
  static constexpr absl::Duration kInterval = absl::Seconds(1);
  /// Time for the answer to the watch after the newer revision is known. The
  /// two answers arrive on different connections.
  static constexpr absl::Duration kMaxAnswerDelay = absl::Milliseconds(300);

  /// \param revision revision after which the watch reports changes.
  void OnWatchStarted(int64_t revision, absl::Time now);
  void OnWatchEnded();

  /// \returns the read of the revision if it is due; nullopt otherwise.
  std::optional<control::StoreRequest> NextCall(absl::Time now);
  /// \param answer answer to the call that NextCall() returned.
  void OnAnswer(const control::StoreAnswer& answer, absl::Time now);

  /// \returns whether the watch should have been answered.
  bool IsWatchLost(absl::Time now) const {
    return now - newer_revision_since_ >= kMaxAnswerDelay;
  }
  int64_t newest_revision() const { return newest_revision_; }

 private:
  int64_t watched_revision_ = 0;
  int64_t newest_revision_ = 0;  ///< Newest revision that the store reported.
  bool is_pending_ = false;
  absl::Time next_call_at_ = absl::InfiniteFuture();
  absl::Time newer_revision_since_ = absl::InfiniteFuture();
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_WATCH_PROBE_H_
