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

/// \brief What the commands share.
namespace baobabwall::ctl::internal {

using Json = nlohmann::json;

/// \brief One run of a command.
struct Context {
  absl::Span<const std::string> arguments;  ///< Without the command's name.
  const Options& options;
  ApiClient* client;
  std::istream* in;
  std::ostream* out;
  std::ostream* err;
};

/// \brief A command of baobabwallctl.
struct Command {
  absl::string_view name;
  absl::string_view arguments;  ///< As shown in the help.
  absl::string_view help;       ///< The first line is the summary.
  size_t least_arguments;
  size_t most_arguments;
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

/// \brief Sends a call; prints to `err` why it failed.
/// \param body receives the parsed answer.
ExitStatus Call(const Context& context,
                absl::string_view method,
                absl::string_view target,
                const Json& request,
                Json* body);

/// \brief Writes changes as one batch and prints the revision.
ExitStatus Write(const Context& context, const Json& changes);

/// \returns the path of a resource, with its words escaped.
std::string ResourcePath(absl::string_view kind, absl::string_view name);

/// \returns the text with all but unreserved characters as %XX.
std::string Escape(absl::string_view text);

/// \returns a string as it is, anything else as JSON text.
std::string Show(const Json& value);

/// \brief Prints rows with aligned columns; the first row is the header.
void PrintTable(const std::vector<std::vector<std::string>>& rows,
                std::ostream* out);

}  // namespace baobabwall::ctl::internal

#endif  // CTL_SRC_COMMAND_H_
