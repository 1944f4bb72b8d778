#ifndef CONTROL_SRC_SNAPSHOT_CODEC_H_
#define CONTROL_SRC_SNAPSHOT_CODEC_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "control/src/operation_table.h"
#include "model/model.h"

namespace baobabwall::control {

/// \brief A configuration and the operations that created it.
struct ConfigSnapshot {
  std::shared_ptr<const model::Configuration> configuration;
  std::shared_ptr<const OperationTable> operations;
};

/// \brief Part of an encoded snapshot.
struct EncodedPart {
  std::string data;  ///< Encoded records, less than 1 MB.
  std::string next;  ///< Cursor for requesting the next part.
  bool is_last = false;
};

/// \brief Encodes the resources that follow a cursor.
///
/// A cursor contains the id of the last resource of a part, so an encoded
/// snapshot is never held in memory as a whole.
/// \param after cursor of the previous part, or empty for the first part.
EncodedPart EncodePart(const ConfigSnapshot& snapshot, absl::string_view after);

/// \brief Decodes a snapshot from its parts.
class SnapshotAssembler {
 public:
  /// \brief Adds the next part; parts must be added in order.
  /// \returns false if the part cannot be decoded.
  bool Add(absl::string_view data);

  /// \brief Completes the snapshot.
  /// \param revision revision of the snapshot.
  ConfigSnapshot Finish(int64_t revision);

 private:
  model::ConfigurationLoader loader_;
  std::shared_ptr<OperationTable> operations_ =
      std::make_shared<OperationTable>();
};

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_SNAPSHOT_CODEC_H_
