#include "ctl/src/commands.h"

#include "base/base.h"
#include "ctl/src/command.h"

namespace baobabwall::ctl {
namespace internal {

absl::Span<const Command> AllCommands() {
  static constexpr Command kCommands[] = {
      {"apply", "-f FILE|DIR",
       "Applies the resources of files.\n"
       "Unchanged resources are skipped. The other resources are sent in "
       "batches\n"
       "of up to 900 KB, and each batch is accepted or refused as a whole. If "
       "another\n"
       "operator changes a resource meanwhile, the exit status is 3.",
       0, 1, Apply},
      {"get", "[KIND [NAME]]", "Prints resources.", 0, 2, Get},
      {"describe", "KIND NAME",
       "Prints a resource and the zones in which it is in force.", 2, 2,
       Describe},
      {"watch", "[--since=REVISION] [--count=N]",
       "Prints changes, including deletions, as they are accepted.\n"
       "--since defaults to the current revision. --count limits the answers.",
       0, 0, Watch},
      {"delete", "KIND NAME", "Deletes a resource.", 2, 2, Delete},
      {"diff", "-f FILE|DIR",
       "Prints the differences between files and the resources in force.\n"
       "The exit status is 1 if there are differences.",
       0, 1, Diff},
      {"drain", "TARGET NAME [--on_shortage=refuse|wait]",
       "Drains a backend server, instance, zone or region.\n"
       "TARGET is backendServer, instance, zone or region.",
       2, 2, DrainTarget},
      {"undrain", "TARGET NAME", "Ends a drain.", 2, 2, Undrain},
      {"shift", "SERVICE FROM TO PERCENT",
       "Moves a share of a region's traffic for a service to another region.\n"
       "The cap of the region FROM still applies. 0 percent ends the shift.",
       4, 4, Shift},
      {"status", "", "Prints the revision in force for each zone.", 0, 0,
       Status},
      {"explain", "SERVICE CLIENT [METHOD]",
       "Explains how a request of a caller would be routed.\n"
       "CLIENT is the IP address of the caller. The answer applies to the "
       "instance that was queried.",
       2, 3, Explain},
      {"lookup", "SERVICE CLIENT",
       "Prints the instances that a lookup of a caller returns.", 2, 2, Lookup},
      {"trace", "REQUEST < LOG",
       "Prints the history of a request from the logs of gateways.\n"
       "The logs are read from standard input. The logs of several instances "
       "may be\nconcatenated or interleaved. The exit status is 1 if no line "
       "names the request.",
       1, 1, Trace},
      {"completion", "bash",
       "Prints a completion script for the shell.\n"
       "Use it with: source <(baobabwallctl completion bash)",
       1, 1, Completion},
      {"help", "[COMMAND]", "Prints this help text.", 0, 1, Help},
  };
  return kCommands;
}

}  // namespace internal

ExitStatus RunCommand(absl::Span<const std::string> arguments,
                      const Options& options,
                      ApiClient* client,
                      std::istream* in,
                      std::ostream* out,
                      std::ostream* err) {
  internal::Context context = {{}, options, client, in, out, err};
  if (arguments.empty()) {
    internal::Help(context);
    return kExitUsage;
  }
  context.arguments = arguments.subspan(1);
  std::vector<absl::string_view> command_names;
  for (const internal::Command& command : internal::AllCommands()) {
    command_names.push_back(command.name);
    if (command.name != arguments[0]) {
      continue;
    }
    if (context.arguments.size() < command.min_arguments ||
        context.arguments.size() > command.max_arguments) {
      *err << "usage: baobabwallctl [flags] " << command.name << " "
           << command.arguments << "\n";
      return kExitUsage;
    }
    return command.run(context);
  }
  const absl::string_view nearest_name =
      base::NearestName(arguments[0], command_names);
  *err << "no such command: " << arguments[0];
  if (!nearest_name.empty()) {
    *err << ", did you mean " << nearest_name;
  }
  *err << "\n";
  return kExitUsage;
}

}  // namespace baobabwall::ctl
