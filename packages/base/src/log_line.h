#ifndef BASE_SRC_LOG_LINE_H_
#define BASE_SRC_LOG_LINE_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"

namespace baobabwall::base {

/// \brief A parsed line of a process log, such as
///
///     I20261204 10:47:36.1 12 loop.cc:9] store: lost pending=2
struct LogLine {
  std::string source;  ///< Prefix added by a log collector, if any.
  std::string time;    ///< Date and time as in the log line.
  std::string event;   ///< Event name, such as "store: lost".
  std::vector<std::pair<std::string, std::string>> fields;

  /// \returns the value of a field, or an empty view if the field is absent.
  absl::string_view Field(absl::string_view name) const;
};

/// \returns nullopt if the text is not a log line of a baobabwall process.
std::optional<LogLine> ParseLogLine(absl::string_view text);

/// Maximum length of text from outside the process in a log line.
constexpr size_t kMaxLoggedTextLength = 64;

/// \returns the first kMaxLoggedTextLength characters of the text, with all
/// characters replaced except letters, digits, '-', '_' and '.', so that text
/// from outside the process cannot add fields or lines to the log.
std::string SanitizeForLog(absl::string_view text);

/// \returns the event of a log line, or an empty view if the line has no event.
absl::string_view EventOfLogLine(absl::string_view text);

}  // namespace baobabwall::base

#endif  // BASE_SRC_LOG_LINE_H_
