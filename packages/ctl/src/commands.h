#ifndef CTL_SRC_COMMANDS_H_
#define CTL_SRC_COMMANDS_H_

#include <iosfwd>
#include <string>

#include "absl/types/span.h"
#include "ctl/src/api_client.h"

namespace baobabwall::ctl {

/// Exit statuses of baobabwallctl.
enum ExitStatus {
  kExitOk = 0,
  kExitFailed = 1,    ///< The request was refused, or diff found differences.
  kExitUsage = 2,     ///< Invalid command line or invalid input.
  kExitConflict = 3,  ///< Another operator changed the resource first.
  kExitUnreachable = 4,  ///< No instance answered, or the store is unavailable.
};

/// \brief Flag values that the commands use.
struct Options {
  bool is_json = false;                ///< Print JSON instead of tables.
  std::string file;                    ///< Path of resource files.
  std::string on_shortage = "refuse";  ///< For drain: "refuse" or "wait".
  int64_t since = -1;                  ///< For watch; -1: current revision.
  int count = 0;                       ///< For watch: answers; 0: unlimited.
};

/// \brief Runs a command.
/// \param arguments positional arguments; the first is the command name.
/// \param in standard input, which only the command trace reads.
/// \returns the exit status.
ExitStatus RunCommand(absl::Span<const std::string> arguments,
                      const Options& options,
                      ApiClient* client,
                      std::istream* in,
                      std::ostream* out,
                      std::ostream* err);

}  // namespace baobabwall::ctl

#endif  // CTL_SRC_COMMANDS_H_
