#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "ctl/src/command.h"

namespace baobabwall::ctl::internal {

ExitStatus Shift(const Context& context) {
  const std::string& service = context.arguments[0];
  const std::string& from = context.arguments[1];
  const std::string& to = context.arguments[2];
  int percent = 0;
  if (!absl::SimpleAtoi(context.arguments[3], &percent) || percent < 0 ||
      percent > 100) {
    *context.err << "PERCENT must be a whole number from 0 to 100\n";
    return kExitUsage;
  }
  Json change = {{"kind", "Shift"},
                 {"name", absl::StrCat(service, "-", from, "-", to)},
                 {"spec", Json()}};
  if (percent > 0) {
    change["spec"] = {
        {"service", service}, {"from", from}, {"to", to}, {"percent", percent}};
  }
  return Write(context, Json::array({std::move(change)}));
}

}  // namespace baobabwall::ctl::internal
