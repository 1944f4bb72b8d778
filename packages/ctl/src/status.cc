#include "ctl/src/command.h"

namespace baobabwall::ctl::internal {

ExitStatus Status(const Context& context) {
  Json body;
  const ExitStatus status = Call(context, "GET", "/v1/status", Json(), &body);
  if (status != kExitOk) {
    return status;
  }
  if (context.options.is_json) {
    *context.out << body.dump(2) << "\n";
    return kExitOk;
  }
  *context.out << "instance " << JsonToText(body["instance"]) << " of zone "
               << JsonToText(body["zone"]) << ", revision "
               << JsonToText(body["revision"])
               << (body["inForceEverywhere"] == true
                       ? ", in force everywhere"
                       : ", not yet in force everywhere")
               << "\n";
  std::vector<std::vector<std::string>> rows = {
      {"ZONE", "REVISION", "SINCE", "INSTANCES", "NOT REPORTED"}};
  for (const Json& zone : body["zones"]) {
    rows.push_back({JsonToText(zone["zone"]), JsonToText(zone["revision"]),
                    JsonToText(zone["since"]), JsonToText(zone["instances"]),
                    JsonToText(zone["notReported"])});
  }
  PrintTable(rows, context.out);
  for (const Json& zone : body["zonesNotReported"]) {
    *context.out << "zone not reported: " << JsonToText(zone) << "\n";
  }
  for (const Json& drain : body["drains"]) {
    *context.out << "drain " << JsonToText(drain["name"]) << " of "
                 << JsonToText(drain["targetName"]) << "\n";
  }
  for (const Json& shift : body["shifts"]) {
    *context.out << "shift " << JsonToText(shift["name"]) << ": "
                 << JsonToText(shift["percent"]) << "% of "
                 << JsonToText(shift["service"]) << " from "
                 << JsonToText(shift["from"]) << " to "
                 << JsonToText(shift["to"]) << "\n";
  }
  return kExitOk;
}

}  // namespace baobabwall::ctl::internal
