#include "ctl/src/command.h"

namespace baobabwall::ctl::internal {

ExitStatus Delete(const Context& context) {
  Json body;
  const ExitStatus status = Call(
      context, "GET", ResourcePath(context.arguments[0], context.arguments[1]),
      Json(), &body);
  if (status != kExitOk) {
    return status;
  }
  return Write(context, Json::array({{{"kind", body["kind"]},
                                      {"name", body["name"]},
                                      {"spec", Json()},
                                      {"basedOn", body["resourceVersion"]}}}));
}

}  // namespace baobabwall::ctl::internal
