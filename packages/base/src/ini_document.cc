#include "base/src/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <cstring>

#include "absl/strings/str_cat.h"

namespace baobabwall::base {
namespace internal {

struct IniReadState {
  absl::string_view file;
  absl::string_view remaining_text;
  int line = 0;
  std::vector<IniEntry> entries;
  Findings* findings;
};

// Line reader callback of inih. The callback counts the lines because the
// packaged build of inih does not pass line numbers to the entry handler.
char* ReadNextLine(char* buffer, int size, void* stream) {
  auto* state = static_cast<IniReadState*>(stream);
  if (state->remaining_text.empty()) {
    return nullptr;
  }
  ++state->line;
  const size_t line_end = state->remaining_text.find('\n');
  absl::string_view line = state->remaining_text.substr(0, line_end);
  state->remaining_text.remove_prefix(line_end == absl::string_view::npos
                                          ? state->remaining_text.size()
                                          : line_end + 1);
  if (line.size() + 2 > static_cast<size_t>(size)) {
    state->findings->Add(absl::StrCat(state->file, ":", state->line),
                         "the line is too long",
                         absl::StrCat("at most ", size - 2, " bytes"));
    line = "";
  }
  std::memcpy(buffer, line.data(), line.size());
  buffer[line.size()] = '\n';
  buffer[line.size() + 1] = '\0';
  return buffer;
}

int AppendEntry(void* user_data,
                const char* section,
                const char* key,
                const char* value) {
  auto* state = static_cast<IniReadState*>(user_data);
  state->entries.push_back({section, key, value, state->line});
  return 1;
}

}  // namespace internal

std::vector<IniEntry> ReadIni(absl::string_view file,
                              absl::string_view text,
                              Findings* findings) {
  // inih continues after a malformed line but reports only the first malformed
  // line. The loop below therefore parses the text after each malformed line
  // again.
  internal::IniReadState state;
  state.file = file;
  state.remaining_text = text;
  state.findings = findings;
  const int first_error_line = ini_parse_stream(internal::ReadNextLine, &state,
                                                internal::AppendEntry, &state);
  int error_line = first_error_line;
  while (error_line > 0) {
    findings->Add(absl::StrCat(file, ":", error_line),
                  "is neither a section, a setting nor a comment",
                  "write `key = value` or `[section]`");
    // Find the start of the line after the malformed line.
    size_t offset = 0;
    for (int i = 0; i < error_line && offset != absl::string_view::npos; ++i) {
      offset = text.find('\n', offset);
      offset = offset == absl::string_view::npos ? offset : offset + 1;
    }
    if (offset == absl::string_view::npos || offset >= text.size()) {
      break;
    }
    internal::IniReadState remaining_state;
    Findings ignored_findings;
    remaining_state.file = file;
    remaining_state.remaining_text = text.substr(offset);
    remaining_state.findings = &ignored_findings;
    const int next_error_line =
        ini_parse_stream(internal::ReadNextLine, &remaining_state,
                         internal::AppendEntry, &remaining_state);
    error_line = next_error_line > 0 ? error_line + next_error_line : 0;
  }
  return state.entries;
}

}  // namespace baobabwall::base
