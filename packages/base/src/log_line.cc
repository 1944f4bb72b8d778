#include "base/src/log_line.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "absl/types/span.h"

namespace baobabwall::base {
namespace internal {

constexpr absl::string_view kHeadEnd = "] ";

/// What the logging library writes before the message: severity with day, time,
/// thread, place in the source.
constexpr size_t kHeadWords = 4;

bool IsFieldName(absl::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return absl::ascii_islower(static_cast<unsigned char>(c)) || c == '_';
  });
}

/// \returns the place of the word's equals sign; npos if it begins no field.
size_t FieldNameEnd(absl::string_view word) {
  const size_t equals = word.find('=');
  const bool is_field =
      equals != absl::string_view::npos && IsFieldName(word.substr(0, equals));
  return is_field ? equals : absl::string_view::npos;
}

absl::string_view MessageOf(absl::string_view text) {
  const size_t head = text.find(kHeadEnd);
  if (head == absl::string_view::npos) {
    return {};
  }
  return absl::StripTrailingAsciiWhitespace(
      text.substr(head + kHeadEnd.size()));
}

/// \returns false if the words are not those of the logging library.
bool ReadHead(absl::string_view text, LogLine* line) {
  std::vector<absl::string_view> words = absl::StrSplit(
      text.substr(0, text.find(kHeadEnd)), ' ', absl::SkipEmpty());
  if (words.size() < kHeadWords) {
    return false;
  }
  const absl::Span<const absl::string_view> head =
      absl::MakeSpan(words).last(kHeadWords);
  absl::string_view day = head[0];
  if (day.empty() ||
      absl::string_view("IWEF").find(day[0]) == absl::string_view::npos) {
    return false;
  }
  line->time = absl::StrCat(day.substr(1), " ", head[1]);
  if (words.size() > kHeadWords) {
    line->source = std::string(words[words.size() - kHeadWords - 1]);
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
  size_t end = 0;
  while (end < message.size()) {
    const size_t next = std::min(message.find(' ', end), message.size());
    const absl::string_view word = message.substr(end, next - end);
    if (internal::FieldNameEnd(word) != absl::string_view::npos) {
      break;
    }
    end = std::min(next + 1, message.size());
  }
  const absl::string_view event =
      absl::StripTrailingAsciiWhitespace(message.substr(0, end));
  const absl::string_view part = event.substr(0, event.find(' '));
  return absl::EndsWith(part, ":") && part.size() < event.size()
             ? event
             : absl::string_view();
}

std::optional<LogLine> ParseLogLine(absl::string_view text) {
  LogLine line;
  line.event = std::string(EventOfLogLine(text));
  if (line.event.empty() || !internal::ReadHead(text, &line)) {
    return std::nullopt;
  }
  absl::string_view rest = internal::MessageOf(text).substr(line.event.size());
  for (absl::string_view word : absl::StrSplit(rest, ' ', absl::SkipEmpty())) {
    const size_t equals = internal::FieldNameEnd(word);
    if (equals != absl::string_view::npos) {
      line.fields.emplace_back(word.substr(0, equals), word.substr(equals + 1));
    } else if (!line.fields.empty()) {
      // A value of several words.
      absl::StrAppend(&line.fields.back().second, " ", word);
    }
  }
  return line;
}

}  // namespace baobabwall::base
