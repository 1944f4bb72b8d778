#include "base/src/log_line.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "absl/types/span.h"

namespace baobabwall::base {
namespace internal {

constexpr absl::string_view kHeaderEnd = "] ";

/// Words that the logging library writes before each message: severity and
/// date, time, thread, and source location.
constexpr size_t kHeaderWordCount = 4;

bool IsFieldName(absl::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return absl::ascii_islower(static_cast<unsigned char>(c)) || c == '_';
  });
}

/// \returns the position of the equals sign after a field name, or npos if the
/// word does not start with a field name.
size_t FieldNameEnd(absl::string_view word) {
  const size_t equals_position = word.find('=');
  const bool is_field = equals_position != absl::string_view::npos &&
                        IsFieldName(word.substr(0, equals_position));
  return is_field ? equals_position : absl::string_view::npos;
}

absl::string_view MessageOf(absl::string_view text) {
  const size_t header = text.find(kHeaderEnd);
  if (header == absl::string_view::npos) {
    return {};
  }
  return absl::StripTrailingAsciiWhitespace(
      text.substr(header + kHeaderEnd.size()));
}

/// \brief Parses the header that the logging library writes.
/// \returns false if the text does not start with such a header.
bool ParseHeader(absl::string_view text, LogLine* line) {
  std::vector<absl::string_view> words = absl::StrSplit(
      text.substr(0, text.find(kHeaderEnd)), ' ', absl::SkipEmpty());
  if (words.size() < kHeaderWordCount) {
    return false;
  }
  const absl::Span<const absl::string_view> header =
      absl::MakeSpan(words).last(kHeaderWordCount);
  absl::string_view severity_and_date = header[0];
  if (severity_and_date.empty() ||
      absl::string_view("IWEF").find(severity_and_date[0]) ==
          absl::string_view::npos) {
    return false;
  }
  line->time = absl::StrCat(severity_and_date.substr(1), " ", header[1]);
  if (words.size() > kHeaderWordCount) {
    line->source = std::string(words[words.size() - kHeaderWordCount - 1]);
  }
  return true;
}

}  // namespace internal

absl::string_view LogLine::Field(absl::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

absl::string_view EventOfLogLine(absl::string_view text) {
  const absl::string_view message = internal::MessageOf(text);
  size_t event_end = 0;
  while (event_end < message.size()) {
    const size_t word_end =
        std::min(message.find(' ', event_end), message.size());
    const absl::string_view word =
        message.substr(event_end, word_end - event_end);
    if (internal::FieldNameEnd(word) != absl::string_view::npos) {
      break;
    }
    event_end = std::min(word_end + 1, message.size());
  }
  const absl::string_view event =
      absl::StripTrailingAsciiWhitespace(message.substr(0, event_end));
  const absl::string_view component = event.substr(0, event.find(' '));
  return absl::EndsWith(component, ":") && component.size() < event.size()
             ? event
             : absl::string_view();
}

std::optional<LogLine> ParseLogLine(absl::string_view text) {
  LogLine line;
  line.event = std::string(EventOfLogLine(text));
  if (line.event.empty() || !internal::ParseHeader(text, &line)) {
    return std::nullopt;
  }
  absl::string_view field_text =
      internal::MessageOf(text).substr(line.event.size());
  for (absl::string_view word :
       absl::StrSplit(field_text, ' ', absl::SkipEmpty())) {
    const size_t equals_position = internal::FieldNameEnd(word);
    if (equals_position != absl::string_view::npos) {
      line.fields.emplace_back(word.substr(0, equals_position),
                               word.substr(equals_position + 1));
    } else if (!line.fields.empty()) {
      // The word continues the value of the previous field.
      absl::StrAppend(&line.fields.back().second, " ", word);
    }
  }
  return line;
}

std::string SanitizeForLog(absl::string_view text) {
  std::string sanitized(text.substr(0, kMaxLoggedTextLength));
  for (char& c : sanitized) {
    const bool is_allowed =
        absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' ||
        c == '_' || c == '.';
    if (!is_allowed) {
      c = '?';
    }
  }
  return sanitized;
}

}  // namespace baobabwall::base
