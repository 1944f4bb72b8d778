#include "ctl/src/command.h"

namespace baobabwall::ctl::internal {

ExitStatus Describe(const Context& context) {
  Json body;
  const ExitStatus status = Call(
      context, "GET", ResourcePath(context.arguments[0], context.arguments[1]),
      Json(), &body);
  if (status != kExitOk) {
    return status;
  }
  if (context.options.is_json) {
    *context.out << body.dump(2) << "\n";
    return kExitOk;
  }
  *context.out << JsonToText(body["kind"]) << "/" << JsonToText(body["name"])
               << " version=" << JsonToText(body["resourceVersion"]) << "\n";
  for (const auto& [key, value] : body["spec"].items()) {
    *context.out << "  " << key << ": " << JsonToText(value) << "\n";
  }
  const Json& state = body["status"];
  *context.out << "in force everywhere: "
               << (state["inForceEverywhere"] == true ? "yes" : "no") << "\n";
  std::vector<std::vector<std::string>> rows = {
      {"ZONE", "IN FORCE", "REVISION", "SINCE", "NOT REPORTED"}};
  for (const Json& zone : state["zones"]) {
    rows.push_back({JsonToText(zone["zone"]),
                    zone["inForce"] == true ? "yes" : "no",
                    JsonToText(zone["revision"]), JsonToText(zone["since"]),
                    JsonToText(zone["notReported"])});
  }
  PrintTable(rows, context.out);
  if (!state["zonesNotReported"].empty()) {
    *context.out << "zones not reported: " << state["zonesNotReported"].dump()
                 << "\n";
  }
  return kExitOk;
}

}  // namespace baobabwall::ctl::internal
