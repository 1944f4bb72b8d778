#include "ctl/src/command.h"

namespace baobabwall::ctl::internal {

ExitStatus Get(const Context& context) {
  std::string target = "/v1/resources";
  const bool is_single_resource = context.arguments.size() == 2;
  if (is_single_resource) {
    target = ResourcePath(context.arguments[0], context.arguments[1]);
  } else if (context.arguments.size() == 1) {
    target += "/" + PercentEncode(context.arguments[0]);
  }
  Json body;
  const ExitStatus status = Call(context, "GET", target, Json(), &body);
  if (status != kExitOk) {
    return status;
  }
  if (context.options.is_json) {
    *context.out << body.dump(2) << "\n";
    return kExitOk;
  }
  std::vector<std::vector<std::string>> rows = {
      {"KIND", "NAME", "VERSION", "SPEC"}};
  const Json items = is_single_resource ? Json::array({body}) : body["items"];
  for (const Json& item : items) {
    rows.push_back({JsonToText(item["kind"]), JsonToText(item["name"]),
                    JsonToText(item["resourceVersion"]), item["spec"].dump()});
  }
  PrintTable(rows, context.out);
  return kExitOk;
}

}  // namespace baobabwall::ctl::internal
