#include "absl/strings/str_cat.h"
#include "ctl/src/command.h"

namespace baobabwall::ctl::internal {

ExitStatus Watch(const Context& context) {
  int64_t since = context.options.since;
  Json body;
  if (since < 0) {
    const ExitStatus status =
        Call(context, "GET", "/v1/resources", Json(), &body);
    if (status != kExitOk) {
      return status;
    }
    since = body.value("revision", int64_t{0});
  }
  for (int i = 0; context.options.count == 0 || i < context.options.count;
       ++i) {
    const ExitStatus status = Call(
        context, "GET", absl::StrCat("/v1/watch?since=", since), Json(), &body);
    if (status != kExitOk) {
      return status;
    }
    since = body.value("revision", since);
    for (const Json& event : body["events"]) {
      if (context.options.is_json) {
        *context.out << event.dump() << "\n";
        continue;
      }
      *context.out << JsonToText(event["resourceVersion"]) << " "
                   << JsonToText(event["type"]) << " "
                   << JsonToText(event["kind"]) << "/"
                   << JsonToText(event["name"]);
      if (event.contains("spec")) {
        *context.out << " " << event["spec"].dump();
      }
      *context.out << "\n";
    }
    context.out->flush();
  }
  return kExitOk;
}

}  // namespace baobabwall::ctl::internal
