#include "operations_page.h"

#include <fstream>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/base.h"

namespace baobabwall::test {
namespace {

/// \returns the words of a table's cell that stand in backquotes.
std::vector<std::string> Quoted(const std::string& cell) {
  const std::vector<std::string> parts = absl::StrSplit(cell, '`');
  std::vector<std::string> quoted;
  for (size_t i = 1; i < parts.size(); i += 2) {
    quoted.push_back(parts[i]);
  }
  return quoted;
}

constexpr char kRequestEvent[] = "route: ended";

}  // namespace

OperationsPage::OperationsPage() {
  std::ifstream page(OPERATIONS_PAGE);
  std::string text;
  std::string table;  // First cell of the head of the table.
  while (std::getline(page, text)) {
    if (!absl::StartsWith(text, "|")) {
      table.clear();
      continue;
    }
    const std::vector<std::string> cells = absl::StrSplit(text, '|');
    if (table.empty()) {
      table = cells[1];
      continue;
    }
    const std::vector<std::string> names = Quoted(cells[1]);
    if (names.empty()) {
      continue;
    }
    if (table == " event ") {
      const std::vector<std::string> fields = Quoted(cells[2]);
      events_[names[0]] = {fields.begin(), fields.end()};
    } else if (table == " field ") {
      events_[kRequestEvent].insert(names.begin(), names.end());
    }
  }
}

std::string OperationsPage::Check(const std::string& text) const {
  const auto line = base::ParseLogLine(text);
  if (!line) {
    return absl::StrCat("no line of a log: ", text);
  }
  const auto event = events_.find(line->event);
  if (event == events_.end()) {
    return absl::StrCat("event not on the page: ", text);
  }
  for (const auto& [name, value] : line->fields) {
    const bool is_count = name == "left_out" || name == "dropped";
    if (!is_count && event->second.count(name) == 0) {
      return absl::StrCat("field not on the page: ", name, " in ", text);
    }
  }
  return "";
}

}  // namespace baobabwall::test
