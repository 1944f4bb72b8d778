#ifndef MODEL_SRC_CHANGE_H_
#define MODEL_SRC_CHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "base/base.h"
#include "model/src/resource.h"

namespace baobabwall::model {

/// \brief Creation, replacement or deletion of a single resource.
struct Change {
  ResourceId id;
  /// JSON text of the new spec; nullopt deletes the resource.
  std::optional<std::string> spec;
  /// Resource version that the write expects. 0 requires that the resource does
  /// not exist; nullopt accepts any version.
  std::optional<int64_t> based_on;
};

/// \brief Changes that are accepted or rejected atomically. Each entry of the
/// configuration log holds one encoded batch.
struct ChangeBatch {
  /// Unique identifier of the write. A writer that received no response
  /// compares this identifier with the log entry to find out whether its write
  /// succeeded.
  std::string operation_id;
  std::vector<Change> changes;
};

/// \brief Encodes a batch as the JSON text of a configuration log entry.
std::string EncodeBatch(const ChangeBatch& batch);

/// \brief Decodes the JSON text of a batch.
/// \param findings receives every problem found in the text.
/// \returns nullopt if any problem was found.
std::optional<ChangeBatch> DecodeBatch(absl::string_view text,
                                       base::Findings* findings);

}  // namespace baobabwall::model

#endif  // MODEL_SRC_CHANGE_H_
