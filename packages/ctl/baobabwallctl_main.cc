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
          "ADDRESS:PORT of operators' ports, tried in turn, with commas "
          "between them; default: BAOBABWALL_ADDRESS of the environment");
ABSL_FLAG(int, port, 0, "operators' port of addresses without one");
ABSL_FLAG(std::string,
          token,
          "",
          "operators' token; default: BAOBABWALL_TOKEN of the environment");
ABSL_FLAG(std::string, f, "", "file or folder with resources");
ABSL_FLAG(std::string, o, "table", "output: table or json");
ABSL_FLAG(int64_t, since, -1, "watch: first revision that is not printed");
ABSL_FLAG(int, count, 0, "watch: number of answers; 0: no end");
ABSL_FLAG(std::string,
          on_shortage,
          "refuse",
          "drain: refuse or wait if the rest lacks headroom");

namespace baobabwall::ctl {
namespace {

/// \returns a flag, or a variable of the environment if it is not set.
std::string FlagOr(const std::string& flag, const char* variable) {
  const char* value = std::getenv(variable);
  return flag.empty() && value != nullptr ? value : flag;
}

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Command line of baobabwall's operators.\n"
      "usage: baobabwallctl [flags] COMMAND ...\n"
      "`baobabwallctl help` names the commands.");
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  std::string address = absl::GetFlag(FLAGS_address);
  if (address == "127.0.0.1" && absl::GetFlag(FLAGS_port) == 0) {
    address = FlagOr("", "BAOBABWALL_ADDRESS");
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
  const std::vector<std::string> words(rest.begin() + 1, rest.end());
  const bool is_offline = words.empty() || words[0] == "help" ||
                          words[0] == "completion" || words[0] == "trace";
  const std::optional<std::vector<Endpoint>> endpoints =
      is_offline ? std::vector<Endpoint>()
                 : ParseEndpoints(address, absl::GetFlag(FLAGS_port));
  if (!endpoints) {
    std::cerr << "--address must be like 127.0.0.1:21201,[::1]:21202\n";
    return kExitUsage;
  }
  OperatorClient client(*endpoints,
                        FlagOr(absl::GetFlag(FLAGS_token), "BAOBABWALL_TOKEN"));
  return RunCommand(words, options, &client, &std::cin, &std::cout, &std::cerr);
}

}  // namespace
}  // namespace baobabwall::ctl

int main(int argc, char** argv) {
  return baobabwall::ctl::Main(argc, argv);
}
