#ifndef CONTROL_SRC_STORE_H_
#define CONTROL_SRC_STORE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"

/// \brief Calls to the platform's key-value service and their answers.
///
/// The service numbers its writes: each key has the revision of its last
/// write, and a range or a watch tells the revision at which it was read.
namespace baobabwall::control {

using StoreCallId = uint64_t;

struct StoreGet {
  std::string key;
};

/// \brief Reads the keys from `first` (inclusive) that begin with `prefix`.
struct StoreRange {
  std::string prefix;
  std::string first;
  int limit = 100;
  std::string after =
      {};  ///< If not empty: begin behind this key, not at `first`.
};

/// \brief Writes a key if its last revision is the expected one.
struct StoreCompareAndSwap {
  std::string key;
  int64_t expected_revision = 0;  ///< 0: the key must not exist.
  std::string value;
  bool is_delete = false;
  uint64_t lease = 0;  ///< 0: the key does not depend on a lease.
};

struct StoreLeaseGrant {
  absl::Duration ttl;
};

struct StoreLeaseKeepAlive {
  uint64_t lease = 0;
};

/// \brief Ends a lease and removes its keys.
struct StoreLeaseEnd {
  uint64_t lease = 0;
};

/// \brief Waits for a write above `after_revision` to a key of the prefix.
struct StoreWatch {
  std::string prefix;
  int64_t after_revision = 0;
  absl::Duration timeout;
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
  int64_t revision = 0;  ///< Of its last write.
  bool is_deleted = false;
};

enum class StoreStatus {
  kOk,
  kConflict,  ///< The compare failed; `key_values` has the present one, if any.
  kNotFound,
  kHistoryGone,  ///< A watch asks for changes that the store has forgotten.
  kRefused,      ///< The store says that it did nothing.
  /// No answer came: a write may or may not have taken effect.
  kUnknown,
};

struct StoreAnswer {
  StoreCallId id = 0;
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreKeyValue> key_values;
  bool has_more = false;  ///< A range has further keys behind these.
  int64_t revision = 0;   ///< Of the store when it answered.
  uint64_t lease = 0;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_STORE_H_
