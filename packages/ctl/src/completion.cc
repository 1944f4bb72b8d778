#include "ctl/src/command.h"
#include "model/model.h"

namespace baobabwall::ctl::internal {

ExitStatus Completion(const Context& context) {
  if (context.arguments[0] != "bash") {
    *context.err << "the only supported shell is bash\n";
    return kExitUsage;
  }
  std::string command_names;
  for (const Command& command : AllCommands()) {
    command_names += std::string(command.name) + " ";
  }
  std::string kind_names;
  for (model::Kind kind : model::AllKinds()) {
    kind_names += std::string(ToString(kind)) + " ";
  }
  *context.out
      << "_baobabwallctl() {\n"
         "  local word=${COMP_WORDS[COMP_CWORD]}\n"
         "  local before=${COMP_WORDS[COMP_CWORD-1]}\n"
         "  local words\n"
         "  case $before in\n"
         "    get|describe|delete) words='"
      << kind_names
      << "' ;;\n"
         "    drain|undrain) words='backendServer instance zone region' ;;\n"
         "    -f|--f) COMPREPLY=($(compgen -f -- \"$word\")); return ;;\n"
         "    -o|--o) words='table json' ;;\n"
         "    completion) words='bash' ;;\n"
         "    *) words='"
      << command_names
      << "-f -o --address --port --token --since --count --on_shortage' ;;\n"
         "  esac\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))\n"
         "}\n"
         "complete -F _baobabwallctl baobabwallctl\n";
  return kExitOk;
}

}  // namespace baobabwall::ctl::internal
