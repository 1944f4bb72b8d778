#include "absl/strings/str_split.h"
#include "ctl/src/command.h"

namespace baobabwall::ctl::internal {

ExitStatus Help(const Context& context) {
  if (context.arguments.empty()) {
    std::vector<std::vector<std::string>> rows;
    for (const Command& command : AllCommands()) {
      const std::vector<std::string> lines = absl::StrSplit(command.help, '\n');
      rows.push_back({"  " + std::string(command.name), lines[0]});
    }
    *context.out << "usage: baobabwallctl [flags] COMMAND ...\n\n";
    PrintTable(rows, context.out);
    *context.out
        << "\n`baobabwallctl help COMMAND` describes a command, `baobabwallctl "
           "--help` lists the flags.\n"
           "Exit status: 0 success, 1 refused or different, 2 invalid input, 3 "
           "conflict with\nanother operator, 4 no answer.\n";
    return kExitOk;
  }
  for (const Command& command : AllCommands()) {
    if (command.name != context.arguments[0]) {
      continue;
    }
    *context.out << "usage: baobabwallctl [flags] " << command.name << " "
                 << command.arguments << "\n\n"
                 << command.help << "\n";
    return kExitOk;
  }
  *context.err << "no such command: " << context.arguments[0] << "\n";
  return kExitUsage;
}

}  // namespace baobabwall::ctl::internal
