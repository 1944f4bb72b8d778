#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "base/base.h"
#include "operations_page.h"

namespace baobabwall::test {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

constexpr const char* kPrefixes[] = {"process", "config", "store", "registry",
                                     "backend", "plan",   "peer",  "http",
                                     "drain",   "route"};

/// \returns the events at the start of the string literals in a source file.
std::set<std::string> FindEvents(const std::string& source) {
  std::set<std::string> events;
  for (const char* prefix : kPrefixes) {
    const std::string start = absl::StrCat("\"", prefix, ": ");
    for (size_t found = source.find(start); found != std::string::npos;
         found = source.find(start, found + 1)) {
      const size_t end = source.find('"', found + 1);
      const std::string literal = source.substr(found + 1, end - found - 1);
      events.emplace(base::EventOfLogLine(absl::StrCat("] ", literal)));
    }
  }
  return events;
}

// Guards against logged events that are missing from the operations page.
TEST_CASE("the operations page documents each log event of a gateway") {
  std::set<std::string> source_events;
  for (const char* folder :
       {"packages/edge/src", "packages/gateway/src", "platform/src"}) {
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
      source_events.merge(FindEvents(ReadFile(file.path())));
    }
  }
  CHECK(source_events.size() > 30);
  std::set<std::string> page_events;
  const OperationsPage page;
  for (const auto& [event, fields] : page.events()) {
    page_events.insert(event);
  }
  CHECK(source_events == page_events);
}

}  // namespace
}  // namespace baobabwall::test
