#ifndef CONTROL_SRC_OPERATION_TABLE_H_
#define CONTROL_SRC_OPERATION_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "absl/strings/string_view.h"

namespace baobabwall::control {

/// \brief An accepted operation.
struct Operation {
  std::string id;
  int64_t revision = 0;
  uint64_t hash = 0;  ///< Hash of the encoded batch.
};

/// \brief The most recently accepted operations, so that a batch that is sent
/// again gets the result of its first acceptance.
class OperationTable {
 public:
  /// Maximum number of operations in the table. At 2,900 changes per day, the
  /// table covers about 1.4 days.
  static constexpr size_t kMaxOperations = 4096;

  /// \brief Records an operation; the first operation with an id is kept.
  void Add(Operation operation) {
    if (operation.id.empty() || operations_by_id_.count(operation.id) > 0) {
      return;
    }
    ids_by_age_.push_back(operation.id);
    operations_by_id_.emplace(operation.id, std::move(operation));
    if (ids_by_age_.size() > kMaxOperations) {
      operations_by_id_.erase(ids_by_age_.front());
      ids_by_age_.pop_front();
    }
  }

  const Operation* Find(absl::string_view id) const {
    const auto found = operations_by_id_.find(id);
    return found == operations_by_id_.end() ? nullptr : &found->second;
  }

  /// \returns the operation ids from the oldest to the newest.
  const std::deque<std::string>& order() const { return ids_by_age_; }

 private:
  std::deque<std::string> ids_by_age_;
  std::map<std::string, Operation, std::less<>> operations_by_id_;
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_OPERATION_TABLE_H_
