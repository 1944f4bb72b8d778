#include "absl/strings/str_cat.h"
#include "ctl/src/command.h"

namespace baobabwall::ctl::internal {
namespace {

ExitStatus FetchExplanation(const Context& context, Json* body) {
  std::string target =
      absl::StrCat("/v1/explain?service=", PercentEncode(context.arguments[0]),
                   "&client=", PercentEncode(context.arguments[1]));
  if (context.arguments.size() > 2) {
    absl::StrAppend(&target, "&method=", PercentEncode(context.arguments[2]));
  }
  return Call(context, "GET", target, Json(), body);
}

void PrintLookup(const Json& body, std::ostream* out) {
  std::vector<std::vector<std::string>> rows = {
      {"INSTANCE", "ADDRESS", "PORT", "ZONE", "RULE"}};
  for (const Json& entry : body["lookup"]) {
    rows.push_back({JsonToText(entry["instance"]), JsonToText(entry["address"]),
                    JsonToText(entry["port"]), entry.value("zone", "-"),
                    entry.value("rule", "-")});
  }
  PrintTable(rows, out);
}

}  // namespace

ExitStatus Lookup(const Context& context) {
  Json body;
  const ExitStatus status = FetchExplanation(context, &body);
  if (status != kExitOk) {
    return status;
  }
  if (context.options.is_json) {
    *context.out << body["lookup"].dump(2) << "\n";
  } else {
    PrintLookup(body, context.out);
  }
  return kExitOk;
}

ExitStatus Explain(const Context& context) {
  Json body;
  const ExitStatus status = FetchExplanation(context, &body);
  if (status != kExitOk) {
    return status;
  }
  if (context.options.is_json) {
    *context.out << body.dump(2) << "\n";
    return kExitOk;
  }
  *context.out << "home zone " << JsonToText(body["home"]["zone"])
               << " of region " << JsonToText(body["home"]["region"]) << ": "
               << JsonToText(body["home"]["rule"]) << "\n";
  PrintLookup(body, context.out);
  for (const Json& instance : body["notNamed"]) {
    *context.out << "not in the lookup: " << JsonToText(instance["instance"])
                 << ", " << JsonToText(instance["reason"]) << "\n";
  }
  *context.out << "at instance " << JsonToText(body["instance"]) << " of zone "
               << JsonToText(body["zone"]) << ", " << JsonToText(body["method"])
               << (body["idempotent"] == true ? " is idempotent"
                                              : " is not idempotent")
               << "\n";
  std::vector<std::vector<std::string>> rows = {
      {"BACKEND SERVER", "HEALTH", "SHARE", "IN USE", "EXCLUDED"}};
  for (const Json& candidate : body["candidates"]) {
    rows.push_back(
        {JsonToText(candidate["backendServer"]),
         JsonToText(candidate["health"]), JsonToText(candidate["share"]),
         JsonToText(candidate["inUse"]), JsonToText(candidate["excluded"])});
  }
  PrintTable(rows, context.out);
  *context.out << "decision: " << JsonToText(body["decision"]) << "\n";
  return kExitOk;
}

}  // namespace baobabwall::ctl::internal
