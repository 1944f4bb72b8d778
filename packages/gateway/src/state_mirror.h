#ifndef GATEWAY_SRC_STATE_MIRROR_H_
#define GATEWAY_SRC_STATE_MIRROR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/control.h"

namespace baobabwall::gateway {

/// \brief Copy of the store's keys that answers reads of other instances.
///
/// Keeps the last value of each key and its revision, so a watch gets each
/// changed key once. No I/O.
class StateMirror {
 public:
  /// Deleted keys that a watch can still learn of; older ones make it read
  /// all keys anew.
  static constexpr size_t kMaxDeleted = 2000;

  void OnChange(const control::StoreKeyValue& item);

  /// \brief All keys were read: others are gone.
  void OnCompleteRead(const std::vector<std::string>& keys, int64_t revision);

  /// \brief All changes up to this revision have been passed to OnChange().
  void OnRevision(int64_t revision) { revision_ = revision; }

  /// \returns all keys.
  control::StoreAnswer Range() const;

  /// \returns what changed behind a revision; none if nothing did.
  std::optional<control::StoreAnswer> ChangesAfter(int64_t revision) const;

  /// \returns an answer without keys: nothing has changed.
  control::StoreAnswer NoChange() const;

 private:
  void DropOldestDeleted();

  std::map<std::string, control::StoreKeyValue> items_;  ///< Also deleted ones.
  std::map<int64_t, std::string> deleted_;               ///< By revision.
  int64_t revision_ = 0;
  /// Deletions up to it may be unknown.
  int64_t history_begin_ = 0;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STATE_MIRROR_H_
