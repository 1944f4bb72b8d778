#include "ctl/src/changes.h"

#include <map>

#include "base/base.h"
#include "ctl/src/resource_files.h"

namespace baobabwall::ctl::internal {

ExitStatus PlanChanges(const Context& context,
                       std::vector<PlannedChange>* changes) {
  const std::string path =
      context.options.file.empty() && !context.arguments.empty()
          ? context.arguments[0]
          : context.options.file;
  if (path.empty()) {
    *context.err << "specify a file or folder with -f\n";
    return kExitUsage;
  }
  base::Findings findings;
  const std::vector<Json> resources = ReadResourceFiles(path, &findings);
  if (!findings.empty()) {
    *context.err << findings.ToString();
    return kExitUsage;
  }
  Json body;
  const ExitStatus status =
      Call(context, "GET", "/v1/resources", Json(), &body);
  if (status != kExitOk) {
    return status;
  }
  std::map<std::pair<std::string, std::string>, Json> in_force;
  for (const Json& item : body["items"]) {
    in_force[{JsonToText(item["kind"]), JsonToText(item["name"])}] = item;
  }
  for (const Json& resource : resources) {
    PlannedChange change;
    change.resource = resource;
    const auto current = in_force.find(
        {JsonToText(resource["kind"]), JsonToText(resource["name"])});
    if (current == in_force.end()) {
      change.type = PlannedChange::Type::kCreate;
    } else {
      change.current = current->second;
      change.type = current->second["spec"] == resource["spec"]
                        ? PlannedChange::Type::kNone
                        : PlannedChange::Type::kUpdate;
    }
    changes->push_back(std::move(change));
  }
  return kExitOk;
}

}  // namespace baobabwall::ctl::internal
