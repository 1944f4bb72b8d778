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

constexpr const char* kParts[] = {"process", "config", "store", "registry",
                                  "backend", "plan",   "peer",  "http",
                                  "drain",   "route"};

/// \returns the events whose text begins a literal in the source.
std::set<std::string> EventsOf(const std::string& source) {
  std::set<std::string> events;
  for (const char* part : kParts) {
    const std::string start = absl::StrCat("\"", part, ": ");
    for (size_t found = source.find(start); found != std::string::npos;
         found = source.find(start, found + 1)) {
      const size_t end = source.find('"', found + 1);
      const std::string literal = source.substr(found + 1, end - found - 1);
      events.emplace(base::EventOfLogLine(absl::StrCat("] ", literal)));
    }
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
