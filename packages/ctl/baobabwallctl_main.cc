#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "ctl/ctl.h"

ABSL_FLAG(std::string,
          address,
          "127.0.0.1",
          "comma-separated list of ADDRESS:PORT of operators' ports, tried in "
          "order; default: environment variable BAOBABWALL_ADDRESS");
ABSL_FLAG(int, port, 0, "operators' port for addresses without a port");
ABSL_FLAG(std::string,
          token,
          "",
          "operators' token; default: environment variable BAOBABWALL_TOKEN");
ABSL_FLAG(std::string, f, "", "file or folder with resources");
ABSL_FLAG(std::string, o, "table", "output format: table or json");
ABSL_FLAG(int64_t,
          since,
          -1,
          "watch: revision after which changes are printed");
ABSL_FLAG(int, count, 0, "watch: number of answers to wait for; 0: unlimited");
ABSL_FLAG(std::string,
          on_shortage,
          "refuse",
          "drain: refuse or wait if the rest lacks headroom");

namespace baobabwall::ctl {
namespace {

/// \returns the value of a flag, or the environment variable if the flag is
/// empty.
std::string FlagOrEnvironment(const std::string& flag, const char* variable) {
  const char* value = std::getenv(variable);
  return flag.empty() && value != nullptr ? value : flag;
}

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Command-line client for operators of baobabwall.\n"
      "usage: baobabwallctl [flags] COMMAND ...\n"
      "`baobabwallctl help` lists the commands.");
  const std::vector<char*> positional_arguments =
      absl::ParseCommandLine(argc, argv);
  std::string address = absl::GetFlag(FLAGS_address);
  if (address == "127.0.0.1" && absl::GetFlag(FLAGS_port) == 0) {
    address = FlagOrEnvironment("", "BAOBABWALL_ADDRESS");
  }
  Options options;
  options.is_json = absl::GetFlag(FLAGS_o) == "json";
  options.file = absl::GetFlag(FLAGS_f);
  options.on_shortage = absl::GetFlag(FLAGS_on_shortage);
  options.since = absl::GetFlag(FLAGS_since);
  options.count = absl::GetFlag(FLAGS_count);
  if (!options.is_json && absl::GetFlag(FLAGS_o) != "table") {
    std::cerr << "-o must be table or json\n";
    return kExitUsage;
  }
  const std::vector<std::string> command_line(positional_arguments.begin() + 1,
                                              positional_arguments.end());
  const bool is_offline = command_line.empty() || command_line[0] == "help" ||
                          command_line[0] == "completion" ||
                          command_line[0] == "trace";
  const std::optional<std::vector<Endpoint>> endpoints =
      is_offline ? std::vector<Endpoint>()
                 : ParseEndpoints(address, absl::GetFlag(FLAGS_port));
  if (!endpoints) {
    std::cerr << "--address must be like 127.0.0.1:21201,[::1]:21202\n";
    return kExitUsage;
  }
  OperatorClient client(
      *endpoints,
      FlagOrEnvironment(absl::GetFlag(FLAGS_token), "BAOBABWALL_TOKEN"));
  return RunCommand(command_line, options, &client, &std::cin, &std::cout,
                    &std::cerr);
}

}  // namespace
}  // namespace baobabwall::ctl

int main(int argc, char** argv) {
  return baobabwall::ctl::Main(argc, argv);
}
