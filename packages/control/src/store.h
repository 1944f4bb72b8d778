#ifndef CONTROL_SRC_STORE_H_
#define CONTROL_SRC_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"

/// \brief Calls to the key-value store of the platform and the answers of the
/// store.
///
/// The store assigns a revision to each write. Each key has the revision of its
/// last write, and the answer to a range read or a watch contains the revision
/// at which the store was read.
namespace baobabwall::control {

using StoreCallId = uint64_t;

struct StoreGet {
  std::string key;
};

/// \brief Reads the keys with the prefix `prefix`, starting at `first`
/// (inclusive).
struct StoreRange {
  std::string prefix;
  std::string first;
  int limit = 100;
  std::string after = {};  ///< If not empty, the range starts after this key
                           ///< instead of at `first`.
  /// Whether the answer may be a few seconds old, which costs less.
  bool allow_stale = false;
};

/// \brief Writes a key if the revision of its last write equals
/// `expected_revision`.
struct StoreCompareAndSwap {
  std::string key;
  /// Expected revision, or 0 if the key must not exist.
  int64_t expected_revision = 0;
  std::string value;
  bool is_delete = false;
  /// Lease id, or 0 if the key is not attached to a lease.
  uint64_t lease = 0;
};

struct StoreLeaseGrant {
  absl::Duration ttl;
};

struct StoreLeaseKeepAlive {
  uint64_t lease = 0;
};

/// \brief Ends a lease and deletes its keys.
struct StoreLeaseEnd {
  uint64_t lease = 0;
};

/// \brief Waits for a write to a key with the prefix at a revision greater than
/// `after_revision`.
struct StoreWatch {
  std::string prefix;
  int64_t after_revision = 0;
  absl::Duration timeout;
  /// Era of `after_revision`, for a watch at another instance; 0 if unknown.
  /// The store knows only its current era.
  int64_t era = 0;
};

using StoreRequest = std::variant<StoreGet,
                                  StoreRange,
                                  StoreCompareAndSwap,
                                  StoreLeaseGrant,
                                  StoreLeaseKeepAlive,
                                  StoreLeaseEnd,
                                  StoreWatch>;

struct StoreCall {
  StoreCallId id = 0;
  StoreRequest request;
};

struct StoreKeyValue {
  std::string key;
  std::string value;
  int64_t revision = 0;  ///< Revision of the last write of the key.
  bool is_deleted = false;
};

enum class StoreStatus {
  kOk,
  kConflict,  ///< The comparison failed; `key_values` contains the current key
              ///< and value if the key exists.
  kNotFound,
  kHistoryGone,  ///< A watch requested changes that the store has already
                 ///< discarded.
  kRefused,      ///< The store rejected the call without executing it.
  /// No answer was received; a write may or may not have been executed.
  kUnknown,
};

struct StoreAnswer {
  StoreCallId id = 0;
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreKeyValue> key_values;
  /// True if a range contains more keys after the returned keys.
  bool has_more = false;
  int64_t revision = 0;  ///< Revision of the store at the time of the answer.
  uint64_t lease = 0;
  /// Number that the store raises whenever it is restored from an older copy;
  /// nullopt if the answer does not tell it. Revisions and lease ids of
  /// different eras are not related.
  std::optional<int64_t> era = std::nullopt;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_STORE_H_
