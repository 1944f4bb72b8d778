#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

#include "operations_page.h"

namespace baobabwall::test {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

/// \returns the events whose text begins a literal in the source.
std::set<std::string> EventsOf(const std::string& source) {
  static const std::regex kEvent(
      R"re("((process|config|store|registry|backend|plan|peer|http|drain|route): )re"
      R"re([A-Za-z' ]*[A-Za-z'])( [a-z_]+=|"))re");
  std::set<std::string> events;
  for (std::sregex_iterator found(source.begin(), source.end(), kEvent), end;
       found != end; ++found) {
    events.insert((*found)[1]);
  }
  return events;
}

// Guards against an event that the people on call can't look up.
TEST_CASE("the operations page lists each event of a gateway") {
  std::set<std::string> in_sources;
  for (const char* folder :
       {"packages/edge/src", "packages/gateway/src", "platform/src"}) {
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
      in_sources.merge(EventsOf(ReadFile(file.path())));
    }
  }
  CHECK(in_sources.size() > 30);
  std::set<std::string> on_page;
  const OperationsPage page;
  for (const auto& [event, fields] : page.events()) {
    on_page.insert(event);
  }
  CHECK(in_sources == on_page);
}

}  // namespace
}  // namespace baobabwall::test
