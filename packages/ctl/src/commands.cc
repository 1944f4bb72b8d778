#include "ctl/src/commands.h"

#include "base/base.h"
#include "ctl/src/command.h"

namespace baobabwall::ctl {
namespace internal {

absl::Span<const Command> AllCommands() {
  static constexpr Command kCommands[] = {
      {"apply", "-f FILE|DIR",
       "Brings the resources of files into force.\n"
       "Unchanged resources are left out. The rest is one batch, up to 900 "
       "KB:\n"
       "all of it is accepted or none. A resource that another operator "
       "changes "
       "meanwhile\nends the command with status 3.",
       0, 1, Apply},
      {"get", "[KIND [NAME]]", "Prints resources.", 0, 2, Get},
      {"describe", "KIND NAME",
       "Prints a resource and where it is in force, since when.", 2, 2,
       Describe},
      {"watch", "[--since=REVISION] [--count=N]",
       "Prints changes as they are accepted, deletions too.\n"
       "Without --since it begins now. --count ends it after N answers.",
       0, 0, Watch},
      {"delete", "KIND NAME", "Deletes a resource.", 2, 2, Delete},
      {"diff", "-f FILE|DIR",
       "Prints how files differ from what is in force.\n"
       "The exit status is 1 if they differ.",
       0, 1, Diff},
      {"drain", "TARGET NAME [--on_shortage=refuse|wait]",
       "Takes work off a backend server, instance, zone or region.\n"
       "TARGET is backendServer, instance, zone or region.",
       2, 2, DrainTarget},
      {"undrain", "TARGET NAME", "Ends a drain.", 2, 2, Undrain},
      {"shift", "SERVICE FROM TO PERCENT",
       "Moves a share of a region's traffic for a service to another region.\n"
       "The cap of the region FROM holds. 0 percent ends the shift.",
       4, 4, Shift},
      {"status", "", "Prints the revision in force for each zone.", 0, 0,
       Status},
      {"explain", "SERVICE CLIENT [METHOD]",
       "Tells why a caller would be sent where.\n"
       "CLIENT is the IP number of the caller. The answer is that of the "
       "instance asked.",
       2, 3, Explain},
      {"lookup", "SERVICE CLIENT",
       "Prints the instances that a caller would be named.", 2, 2, Lookup},
      {"trace", "REQUEST < LOG",
       "Tells what happened to a request, from the logs of gateways.\n"
       "The logs are read from standard input, those of several instances one "
       "after\nthe other or mixed. The exit status is 1 if no line names the "
       "request.",
       1, 1, Trace},
      {"completion", "bash",
       "Prints a completion script for the shell.\n"
       "Use it with: source <(baobabwallctl completion bash)",
       1, 1, Completion},
      {"help", "[COMMAND]", "Prints this text.", 0, 1, Help},
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
  std::vector<absl::string_view> names;
  for (const internal::Command& command : internal::AllCommands()) {
    names.push_back(command.name);
    if (command.name != arguments[0]) {
      continue;
    }
    if (context.arguments.size() < command.least_arguments ||
        context.arguments.size() > command.most_arguments) {
      *err << "usage: baobabwallctl [flags] " << command.name << " "
           << command.arguments << "\n";
      return kExitUsage;
    }
    return command.run(context);
  }
  const absl::string_view nearest = base::NearestName(arguments[0], names);
  *err << "no such command: " << arguments[0];
  if (!nearest.empty()) {
    *err << ", did you mean " << nearest;
  }
  *err << "\n";
  return kExitUsage;
}

}  // namespace baobabwall::ctl
