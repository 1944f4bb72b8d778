#include "ctl/src/changes.h"

namespace baobabwall::ctl::internal {
namespace {

// Leaves room below the 1 MB limit of a batch.
constexpr size_t kMaxBatchBytes = 900 * 1024;

}  // namespace

ExitStatus Apply(const Context& context) {
  std::vector<PlannedChange> planned_changes;
  ExitStatus status = PlanChanges(context, &planned_changes);
  if (status != kExitOk) {
    return status;
  }
  Json changes = Json::array();
  size_t batch_bytes = 0;
  size_t changed_count = 0;
  for (const PlannedChange& change : planned_changes) {
    if (change.type == PlannedChange::Type::kNone) {
      continue;
    }
    // The change is based on the version that was compared. The batch is
    // refused if another operator has changed the resource since then.
    Json item = {{"kind", change.resource["kind"]},
                 {"name", change.resource["name"]},
                 {"spec", change.resource["spec"]},
                 {"basedOn", change.current.is_null()
                                 ? Json(0)
                                 : change.current["resourceVersion"]}};
    const size_t item_bytes = item.dump().size();
    if (batch_bytes + item_bytes > kMaxBatchBytes && !changes.empty()) {
      status = Write(context, changes);
      if (status != kExitOk) {
        return status;
      }
      changes = Json::array();
      batch_bytes = 0;
    }
    batch_bytes += item_bytes;
    ++changed_count;
    changes.push_back(std::move(item));
  }
  if (!context.options.is_json) {
    *context.out << changed_count << " to change, "
                 << planned_changes.size() - changed_count << " unchanged\n";
  }
  return changes.empty() ? kExitOk : Write(context, changes);
}

}  // namespace baobabwall::ctl::internal
