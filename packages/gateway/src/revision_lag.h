#ifndef GATEWAY_SRC_REVISION_LAG_H_
#define GATEWAY_SRC_REVISION_LAG_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "absl/time/time.h"

namespace baobabwall::gateway {

/// \brief Measures for how long other instances have known a revision of the
/// shared state that this instance has not read.
///
/// The lag starts with the report of the oldest unread revision. A store that
/// is written continuously therefore does not make an instance look outdated
/// that reads each revision in time.
class RevisionLag {
 public:
  /// Maximum number of unread revisions whose report times are kept. Later
  /// revisions are added to the newest one, which makes its lag too long.
  static constexpr size_t kMaxReports = 64;

  /// \brief Called when another instance reports the revision.
  void OnReported(int64_t revision, absl::Time now) {
    if (!reports_.empty() && revision <= reports_.back().revision) {
      return;
    }
    if (reports_.size() < kMaxReports) {
      reports_.push_back({revision, now});
    } else {
      reports_.back().revision = revision;
    }
  }

  /// \brief Called when this instance has read up to the revision.
  void OnRead(int64_t revision) {
    while (!reports_.empty() && reports_.front().revision <= revision) {
      reports_.pop_front();
    }
  }

  /// \returns zero if no newer revision is known.
  absl::Duration Lag(absl::Time now) const {
    return reports_.empty() ? absl::ZeroDuration()
                            : std::max(absl::ZeroDuration(),
                                       now - reports_.front().reported_at);
  }

 private:
  struct Report {
    int64_t revision = 0;
    absl::Time reported_at;
  };

  std::deque<Report> reports_;  ///< Unread revisions in ascending order.
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_REVISION_LAG_H_
