#include <set>

#include "ctl/src/changes.h"

namespace baobabwall::ctl::internal {
namespace {

void PrintChangedFields(const Json& before,
                        const Json& after,
                        std::ostream* out) {
  std::set<std::string> keys;
  for (const Json* spec : {&before, &after}) {
    for (const auto& [key, value] : spec->items()) {
      keys.insert(key);
    }
  }
  for (const std::string& key : keys) {
    const bool is_in_before = before.contains(key);
    const bool is_in_after = after.contains(key);
    if (is_in_before && is_in_after && before[key] == after[key]) {
      continue;
    }
    if (is_in_before) {
      *out << "  - " << key << ": " << before[key].dump() << "\n";
    }
    if (is_in_after) {
      *out << "  + " << key << ": " << after[key].dump() << "\n";
    }
  }
}

}  // namespace

ExitStatus Diff(const Context& context) {
  std::vector<PlannedChange> planned_changes;
  const ExitStatus status = PlanChanges(context, &planned_changes);
  if (status != kExitOk) {
    return status;
  }
  Json differences = Json::array();
  for (const PlannedChange& change : planned_changes) {
    if (change.type == PlannedChange::Type::kNone) {
      continue;
    }
    const bool is_new = change.type == PlannedChange::Type::kCreate;
    const Json before = is_new ? Json::object() : change.current["spec"];
    differences.push_back({{"kind", change.resource["kind"]},
                           {"name", change.resource["name"]},
                           {"before", is_new ? Json() : before},
                           {"after", change.resource["spec"]}});
    if (context.options.is_json) {
      continue;
    }
    *context.out << (is_new ? "new " : "changed ")
                 << JsonToText(change.resource["kind"]) << "/"
                 << JsonToText(change.resource["name"]) << "\n";
    PrintChangedFields(before, change.resource["spec"], context.out);
  }
  if (context.options.is_json) {
    *context.out << differences.dump(2) << "\n";
  }
  return differences.empty() ? kExitOk : kExitFailed;
}

}  // namespace baobabwall::ctl::internal
