#ifndef BASE_SRC_LOG_LINE_H_
#define BASE_SRC_LOG_LINE_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"

namespace baobabwall::base {

/// \brief One line of a process's log, such as
///
///     I20261204 10:47:36.1 12 loop.cc:9] store: lost pending=2
struct LogLine {
  std::string source;  ///< The word that a collector wrote before it, if any.
  std::string time;    ///< Day and time of day, as written.
  std::string event;   ///< Such as "store: lost".
  std::vector<std::pair<std::string, std::string>> fields;

  /// \returns the value of a field; empty if there is none.
  absl::string_view Field(absl::string_view name) const;
};

/// \returns nullopt if it is no line of a baobabwall process.
std::optional<LogLine> ParseLogLine(absl::string_view text);

/// \returns the event of a line; empty if it has none.
absl::string_view EventOfLogLine(absl::string_view text);

}  // namespace baobabwall::base

#endif  // BASE_SRC_LOG_LINE_H_
