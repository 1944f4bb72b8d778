#ifndef GATEWAY_SRC_STATE_MIRROR_H_
#define GATEWAY_SRC_STATE_MIRROR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/control.h"

namespace baobabwall::gateway {

/// \brief Replica of the store's keys that answers the reads of other
/// instances.
///
/// Keeps the last value and revision of each key, so a watch returns each
/// changed key once. Does no I/O.
class StateMirror {
 public:
  /// Maximum number of deleted keys that are kept for watches. A watch that
  /// starts before the oldest kept deletion has to read all keys again.
  static constexpr size_t kMaxDeletedKeys = 2000;

  void OnChange(const control::StoreKeyValue& item);

  /// \brief Removes all keys, whose revisions belong to an earlier era.
  void OnEra(int64_t era);

  /// \brief Called after a complete read. Keys that the read did not return are
  /// removed.
  void OnCompleteRead(const std::vector<std::string>& keys, int64_t revision);

  /// \brief Sets the revision up to which all changes were passed to
  /// OnChange().
  void OnRevision(int64_t revision) { revision_ = revision; }

  int64_t revision() const { return revision_; }
  /// \returns the era of the store; 0 if it is not known.
  int64_t era() const { return era_; }

  /// \returns an answer with all keys that exist.
  control::StoreAnswer Range() const;

  /// \returns an answer with all changes after the revision, or with status
  /// kHistoryGone if they are no longer known; nullopt if nothing has changed.
  std::optional<control::StoreAnswer> ChangesAfter(int64_t revision) const;

  /// \returns an answer without keys, which reports that nothing has changed.
  control::StoreAnswer NoChangeAnswer() const;

 private:
  void EvictOldestDeletedKeys();

  /// By key; includes deleted keys.
  std::map<std::string, control::StoreKeyValue> items_;
  std::map<int64_t, std::string> deleted_keys_;  ///< Deleted keys by revision.
  int64_t era_ = 0;
  int64_t revision_ = 0;
  /// Deletions up to this revision may be missing.
  int64_t history_begin_revision_ = 0;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STATE_MIRROR_H_
