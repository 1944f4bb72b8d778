#include "control/src/snapshot_codec.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace baobabwall::control {
namespace internal {

// If a part is embedded in JSON, the quotes in the part are escaped. This
// increases the size of the part by up to 20 %.
constexpr size_t kTargetPartBytes = 384 * 1024;
constexpr size_t kMaxPartBytes = 980'000;
// Maximum number of operations in a snapshot: the operations of about 8 hours.
constexpr size_t kMaxOperationsInSnapshot = 1024;
constexpr absl::string_view kOperationRecordKind = "Operation";

/// Encodes a record: the line "kind name version length\n", `length` bytes of
/// text and a newline.
std::string EncodeRecord(absl::string_view kind,
                         absl::string_view name,
                         int64_t version,
                         absl::string_view text) {
  return absl::StrCat(kind, " ", name, " ", version, " ", text.size(), "\n",
                      text, "\n");
}

std::string EncodeOperationRecords(const OperationTable& operations,
                                   int64_t revision) {
  std::vector<const Operation*> recent_operations;
  for (auto id = operations.order().rbegin();
       id != operations.order().rend() &&
       recent_operations.size() < kMaxOperationsInSnapshot;
       ++id) {
    const Operation* operation = operations.Find(*id);
    if (operation->revision <= revision) {
      recent_operations.push_back(operation);
    }
  }
  std::string records;
  for (auto it = recent_operations.rbegin(); it != recent_operations.rend();
       ++it) {
    absl::StrAppend(
        &records, EncodeRecord(kOperationRecordKind, absl::StrCat((*it)->hash),
                               (*it)->revision, (*it)->id));
  }
  return records;
}

}  // namespace internal

EncodedPart EncodePart(const ConfigSnapshot& snapshot,
                       absl::string_view after) {
  const auto& resources = snapshot.configuration->resources();
  auto next = resources.begin();
  if (!after.empty()) {
    const std::pair<absl::string_view, absl::string_view> cursor =
        absl::StrSplit(after, absl::MaxSplits('/', 1));
    const auto kind = model::KindFromString(cursor.first);
    const model::ResourceId id = {kind.value_or(model::Kind::kService),
                                  std::string(cursor.second)};
    next = resources.lower_bound(id);
    if (next != resources.end() && next->first == id) {
      ++next;
    }
  }
  EncodedPart part;
  part.next = std::string(after);
  for (; next != resources.end(); ++next) {
    const model::Resource& resource = next->second;
    const std::string record =
        internal::EncodeRecord(ToString(resource.id.kind), resource.id.name,
                               resource.resource_version, resource.spec());
    if (!part.data.empty() &&
        part.data.size() + record.size() > internal::kMaxPartBytes) {
      return part;
    }
    part.data += record;
    part.next = resource.id.ToString();
    if (part.data.size() >= internal::kTargetPartBytes) {
      return part;
    }
  }
  part.is_last = true;
  part.data += internal::EncodeOperationRecords(
      *snapshot.operations, snapshot.configuration->revision());
  return part;
}

bool SnapshotAssembler::Add(absl::string_view data) {
  while (!data.empty()) {
    const size_t line_end = data.find('\n');
    const std::vector<absl::string_view> fields =
        absl::StrSplit(data.substr(0, line_end), ' ');
    int64_t version = 0;
    size_t length = 0;
    if (line_end == absl::string_view::npos || fields.size() != 4 ||
        !absl::SimpleAtoi(fields[2], &version) ||
        !absl::SimpleAtoi(fields[3], &length) ||
        data.size() - line_end - 1 < length + 1) {
      return false;
    }
    const absl::string_view text = data.substr(line_end + 1, length);
    data.remove_prefix(line_end + 1 + length + 1);
    if (fields[0] == internal::kOperationRecordKind) {
      uint64_t hash = 0;
      if (!absl::SimpleAtoi(fields[1], &hash)) {
        return false;
      }
      operations_->Add({std::string(text), version, hash});
      continue;
    }
    const auto kind = model::KindFromString(fields[0]);
    base::Findings findings;
    if (!kind || !loader_.Add({*kind, std::string(fields[1])}, text, version,
                              &findings)) {
      return false;
    }
  }
  return true;
}

ConfigSnapshot SnapshotAssembler::Finish(int64_t revision) {
  return {loader_.Build(revision), std::move(operations_)};
}

}  // namespace baobabwall::control
