#ifndef CTL_SRC_COMMAND_H_
#define CTL_SRC_COMMAND_H_

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "ctl/src/commands.h"
#include "nlohmann/json.hpp"

/// \brief Declarations that the commands share.
namespace baobabwall::ctl::internal {

using Json = nlohmann::json;

/// \brief Arguments, options and streams of one command invocation.
struct Context {
  absl::Span<const std::string> arguments;  ///< Without the command name.
  const Options& options;
  ApiClient* client;
  std::istream* in;
  std::ostream* out;
  std::ostream* err;
};

/// \brief A command of baobabwallctl.
struct Command {
  absl::string_view name;
  absl::string_view arguments;  ///< Synopsis in the help text.
  absl::string_view help;       ///< Help text; its first line is the summary.
  size_t min_arguments;
  size_t max_arguments;
  ExitStatus (*run)(const Context& context);
};

absl::Span<const Command> AllCommands();

ExitStatus Apply(const Context& context);
ExitStatus Completion(const Context& context);
ExitStatus Delete(const Context& context);
ExitStatus Describe(const Context& context);
ExitStatus Diff(const Context& context);
ExitStatus DrainTarget(const Context& context);
ExitStatus Explain(const Context& context);
ExitStatus Get(const Context& context);
ExitStatus Help(const Context& context);
ExitStatus Lookup(const Context& context);
ExitStatus Shift(const Context& context);
ExitStatus Status(const Context& context);
ExitStatus Trace(const Context& context);
ExitStatus Undrain(const Context& context);
ExitStatus Watch(const Context& context);

/// \brief Sends a request and prints an error to `err` if the request fails.
/// \param request JSON body of the request; null for no body.
/// \param body receives the parsed answer.
ExitStatus Call(const Context& context,
                absl::string_view method,
                absl::string_view target,
                const Json& request,
                Json* body);

/// \brief Writes changes as one batch and prints the resulting revision.
ExitStatus Write(const Context& context, const Json& changes);

/// \returns the URL path of a resource, with kind and name escaped.
std::string ResourcePath(absl::string_view kind, absl::string_view name);

/// \returns the text with all except the unreserved characters
/// percent-encoded.
std::string PercentEncode(absl::string_view text);

/// \returns a JSON string without quotes, "-" for null, and the JSON text of
/// any other value.
std::string JsonToText(const Json& value);

/// \brief Prints rows with aligned columns; the first row is the header.
void PrintTable(const std::vector<std::vector<std::string>>& rows,
                std::ostream* out);

}  // namespace baobabwall::ctl::internal

#endif  // CTL_SRC_COMMAND_H_
