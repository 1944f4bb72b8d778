#include <algorithm>
#include <deque>
#include <map>
#include <optional>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/base.h"
#include "ctl/src/command.h"

namespace baobabwall::ctl::internal {
namespace {

/// Lines of a process that are kept while its requests are searched.
constexpr size_t kMostKept = 2000;
/// Earlier lines shown for each backend server.
constexpr size_t kMostOfServer = 4;

constexpr absl::string_view kRequestEvent = "route: ended";

/// What a reason means, and where to look next.
struct Meaning {
  absl::string_view reason;
  absl::string_view text;
};

constexpr Meaning kMeanings[] = {
    {"answered", "the caller got a backend server's answer"},
    {"full", "each backend server that may take it had its slots in use"},
    {"no-usable-server",
     "each backend server is draining, paused, cold, or in an evacuated zone"},
    {"no-server", "no backend server of the service is registered"},
    {"no-configuration",
     "the instance had not read the configuration: see `store: read`"},
    {"no-route", "the configuration has no route for its host and path"},
    {"refused-by-server", "a backend server said that it did not run it"},
    {"no-connection", "no backend server could be reached"},
    {"answer-lost", "it was sent, and the answer did not come whole"},
    {"timeout", "no answer came within the route's timeout"},
    {"crashes-servers", "the same request took down two backend servers"},
    {"caller-gone", "the caller closed its connection before the answer"},
};

absl::string_view MeaningOf(absl::string_view reason) {
  for (const Meaning& meaning : kMeanings) {
    if (meaning.reason == reason) {
      return meaning.text;
    }
  }
  return "unknown reason";
}

/// One attempt of a request's line: server, then name=value pairs.
struct Attempt {
  std::string server;
  std::map<std::string, std::string> values;

  std::string Value(const std::string& name) const {
    const auto found = values.find(name);
    return found == values.end() ? "-" : found->second;
  }
};

std::vector<Attempt> ReadAttempts(absl::string_view text) {
  std::vector<Attempt> attempts;
  for (absl::string_view one : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    Attempt& attempt = attempts.emplace_back();
    for (absl::string_view part : absl::StrSplit(one, ':')) {
      const std::pair<std::string, std::string> pair =
          absl::StrSplit(part, absl::MaxSplits('=', 1));
      if (attempt.server.empty()) {
        attempt.server = pair.first;
      } else {
        attempt.values.insert(pair);
      }
    }
  }
  return attempts;
}

std::string Text(const base::LogLine& line) {
  std::string text = absl::StrCat(line.time, " ", line.event);
  for (const auto& [name, value] : line.fields) {
    absl::StrAppend(&text, " ", name, "=", value);
  }
  return text;
}

/// \returns the lines before a request that tell what the process knew: the
/// last one of each event, and the last ones that name its backend servers.
std::vector<const base::LogLine*> Background(
    const std::deque<base::LogLine>& before,
    const std::vector<Attempt>& attempts) {
  std::map<std::string, size_t> taken;
  std::vector<const base::LogLine*> lines;
  for (auto line = before.rbegin(); line != before.rend(); ++line) {
    const absl::string_view server = line->Field("server");
    const bool is_of_attempt = std::any_of(
        attempts.begin(), attempts.end(),
        [&](const Attempt& attempt) { return attempt.server == server; });
    const std::string key = is_of_attempt ? std::string(server) : line->event;
    const size_t most = is_of_attempt ? kMostOfServer : 1;
    if ((server.empty() || is_of_attempt) && taken[key] < most) {
      ++taken[key];
      lines.push_back(&*line);
    }
  }
  std::reverse(lines.begin(), lines.end());
  return lines;
}

void PrintStory(const base::LogLine& line,
                const std::deque<base::LogLine>& before,
                std::ostream* out) {
  const absl::string_view reason = line.Field("reason");
  *out << line.time
       << (line.source.empty() ? "" : absl::StrCat(" at ", line.source))
       << ": request " << line.Field("request") << "\n  route "
       << line.Field("route") << ", service " << line.Field("service")
       << ", object " << line.Field("object") << "; configuration "
       << line.Field("config") << ", state " << line.Field("state")
       << "\n  status " << line.Field("status") << " after " << line.Field("ms")
       << " ms, " << reason << ": " << MeaningOf(reason) << "\n";
  if (line.Field("retry_after_ms") != "0") {
    *out << "  the caller was told to return after "
         << line.Field("retry_after_ms") << " ms\n";
  }
  const std::vector<Attempt> attempts = ReadAttempts(line.Field("attempts"));
  std::vector<std::vector<std::string>> rows = {
      {"BACKEND SERVER", "LOAD", "AGE MS", "EXPECTED MS", "RESULT", "STATUS",
       "MS", "NO RETRY"}};
  for (const Attempt& attempt : attempts) {
    rows.push_back({attempt.server, attempt.Value("load"),
                    attempt.Value("age_ms"), attempt.Value("expected_ms"),
                    attempt.Value("result"), attempt.Value("status"),
                    attempt.Value("ms"), attempt.Value("no_retry")});
  }
  if (!attempts.empty()) {
    PrintTable(rows, out);
  }
  *out << "known before:\n";
  for (const base::LogLine* known : Background(before, attempts)) {
    *out << "  " << Text(*known) << "\n";
  }
}

Json ToJson(const base::LogLine& line) {
  Json fields = Json::object();
  for (const auto& [name, value] : line.fields) {
    fields[name] = value;
  }
  return {{"source", line.source},
          {"time", line.time},
          {"event", line.event},
          {"fields", fields}};
}

Json StoryJson(const base::LogLine& line,
               const std::deque<base::LogLine>& before) {
  Json known = Json::array();
  const std::vector<Attempt> attempts = ReadAttempts(line.Field("attempts"));
  for (const base::LogLine* one : Background(before, attempts)) {
    known.push_back(ToJson(*one));
  }
  Json story = ToJson(line);
  story["meaning"] = std::string(MeaningOf(line.Field("reason")));
  story["knownBefore"] = known;
  return story;
}

}  // namespace

ExitStatus Trace(const Context& context) {
  const std::string& request = context.arguments[0];
  std::map<std::string, std::deque<base::LogLine>> before;  // By source.
  Json stories = Json::array();
  size_t count = 0;
  std::string text;
  while (std::getline(*context.in, text)) {
    std::optional<base::LogLine> line = base::ParseLogLine(text);
    if (!line) {
      continue;
    }
    std::deque<base::LogLine>& known = before[line->source];
    if (line->event != kRequestEvent) {
      known.push_back(*std::move(line));
      if (known.size() > kMostKept) {
        known.pop_front();
      }
      continue;
    }
    if (line->Field("request") != request) {
      continue;
    }
    ++count;
    if (context.options.is_json) {
      stories.push_back(StoryJson(*line, known));
    } else {
      PrintStory(*line, known, context.out);
    }
  }
  if (context.options.is_json) {
    *context.out << stories.dump(2) << "\n";
  }
  if (count == 0) {
    *context.err << "no line of the log names the request " << request
                 << ": no instance read it, or its line was left out\n";
    return kExitFailed;
  }
  return kExitOk;
}

}  // namespace baobabwall::ctl::internal
