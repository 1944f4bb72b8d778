#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "ctl/src/command.h"

namespace baobabwall::ctl::internal {
namespace {

/// \returns the name of the Drain resource of a target. The name depends only
/// on the target, so that undrain deletes the resource that drain created.
std::string DrainName(const Context& context) {
  return absl::StrCat(absl::AsciiStrToLower(context.arguments[0]), "-",
                      context.arguments[1]);
}

}  // namespace

ExitStatus DrainTarget(const Context& context) {
  return Write(
      context,
      Json::array({{{"kind", "Drain"},
                    {"name", DrainName(context)},
                    {"spec",
                     {{"target", context.arguments[0]},
                      {"targetName", context.arguments[1]},
                      {"onShortage", context.options.on_shortage}}}}}));
}

ExitStatus Undrain(const Context& context) {
  return Write(context, Json::array({{{"kind", "Drain"},
                                      {"name", DrainName(context)},
                                      {"spec", Json()}}}));
}

}  // namespace baobabwall::ctl::internal
