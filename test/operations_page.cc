#include "operations_page.h"

#include <fstream>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/base.h"

namespace baobabwall::test {
namespace {

/// \returns the words in backquotes in a cell of a table.
std::vector<std::string> FindBackquoted(const std::string& cell) {
  const std::vector<std::string> parts = absl::StrSplit(cell, '`');
  std::vector<std::string> words;
  for (size_t i = 1; i < parts.size(); i += 2) {
    words.push_back(parts[i]);
  }
  return words;
}

constexpr char kRequestEvent[] = "route: ended";

}  // namespace

OperationsPage::OperationsPage() {
  std::ifstream page(OPERATIONS_PAGE);
  std::string text;
  std::string table_head;  // First cell of the table header.
  while (std::getline(page, text)) {
    if (!absl::StartsWith(text, "|")) {
      table_head.clear();
      continue;
    }
    const std::vector<std::string> cells = absl::StrSplit(text, '|');
    if (table_head.empty()) {
      table_head = cells[1];
      continue;
    }
    const std::vector<std::string> names = FindBackquoted(cells[1]);
    if (names.empty()) {
      continue;
    }
    if (table_head == " event ") {
      const std::vector<std::string> fields = FindBackquoted(cells[2]);
      events_[names[0]] = {fields.begin(), fields.end()};
    } else if (table_head == " field ") {
      events_[kRequestEvent].insert(names.begin(), names.end());
    }
  }
}

std::string OperationsPage::Check(const std::string& text) const {
  const auto line = base::ParseLogLine(text);
  if (!line) {
    return absl::StrCat("not a log line: ", text);
  }
  const auto event = events_.find(line->event);
  if (event == events_.end()) {
    return absl::StrCat("event is not documented: ", text);
  }
  for (const auto& [name, value] : line->fields) {
    const bool is_count = name == "left_out" || name == "dropped";
    if (!is_count && event->second.count(name) == 0) {
      return absl::StrCat("field is not documented: ", name, " in ", text);
    }
  }
  return "";
}

}  // namespace baobabwall::test
