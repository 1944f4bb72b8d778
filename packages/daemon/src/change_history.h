#ifndef DAEMON_SRC_CHANGE_HISTORY_H_
#define DAEMON_SRC_CHANGE_HISTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "control/control.h"
#include "model/model.h"

namespace baobabwall::daemon {

/// \brief An entry of the configuration log that this instance applied.
struct AppliedEntry {
  int64_t revision = 0;
  size_t encoded_bytes = 0;  ///< Size of the encoded batch.
  model::ChangeBatch batch;
};

/// \brief Stores recent log entries and the times at which the zones reached
/// revisions.
///
/// The history answers watches and queries for the status of resources. It is
/// not thread-safe.
class ChangeHistory {
 public:
  /// \brief Appends the entries up to a revision.
  /// \param revision revision of the configuration after the entries.
  /// \param entries encoded batches, the last of which has `revision`. If the
  /// batches do not continue the stored entries, the stored entries are
  /// evicted.
  void Add(int64_t revision, absl::Span<const std::string> entries);

  /// \returns the entries above a revision, oldest first; std::nullopt if some
  /// of these entries were evicted.
  std::optional<std::vector<std::shared_ptr<const AppliedEntry>>> EntriesAbove(
      int64_t revision) const;

  int64_t revision() const { return revision_; }

  /// \brief Records which revision each zone has reached.
  void UpdateZones(absl::Span<const control::ZoneStatus> zones);

  /// \returns the latest status of each zone.
  std::vector<control::ZoneStatus> zones() const;

  /// \returns the time since which all reporting instances of the zone have the
  /// revision; std::nullopt if the zone has not reached the revision or the
  /// time was evicted.
  std::optional<absl::Time> InForceSince(absl::string_view zone,
                                         int64_t revision) const;

 private:
  struct ZoneProgress {
    control::ZoneStatus status;
    /// Revisions that the zone reached, each with the time.
    std::deque<std::pair<int64_t, absl::Time>> revision_steps;
    bool has_all_revision_steps = true;
  };

  int64_t revision_ = 0;
  /// Entries without gaps up to revision_. The entries are shared, so that
  /// copying the history is cheap.
  std::deque<std::shared_ptr<const AppliedEntry>> entries_;
  size_t total_entry_bytes_ = 0;
  std::map<std::string, ZoneProgress, std::less<>> zones_;
};

}  // namespace baobabwall::daemon

#endif  // DAEMON_SRC_CHANGE_HISTORY_H_
