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
  kExitFailed = 1,       ///< The system refused, or diff found differences.
  kExitUsage = 2,        ///< Wrong words on the command line or bad input.
  kExitConflict = 3,     ///< Another operator was faster.
  kExitUnreachable = 4,  ///< No instance answered, or not the store.
};

/// \brief Values of the flags that commands use.
struct Options {
  bool is_json = false;                ///< Print JSON, not tables.
  std::string file;                    ///< File or folder with resources.
  std::string on_shortage = "refuse";  ///< For drain: "refuse" or "wait".
  int64_t since = -1;                  ///< For watch; -1: from now on.
  int count = 0;                       ///< For watch: answers; 0: no end.
};

/// \brief Runs one command.
/// \param arguments the words after the flags; the first is the command.
/// \param in read by trace alone.
/// \returns the exit status.
ExitStatus RunCommand(absl::Span<const std::string> arguments,
                      const Options& options,
                      ApiClient* client,
                      std::istream* in,
                      std::ostream* out,
                      std::ostream* err);

}  // namespace baobabwall::ctl

#endif  // CTL_SRC_COMMANDS_H_
