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

/// Maximum number of recent log lines that are stored for each process.
constexpr size_t kMaxRecentLines = 2000;
/// Maximum number of earlier log lines that are printed for each backend
/// server.
constexpr size_t kMaxLinesPerServer = 4;

constexpr absl::string_view kRequestEndEvent = "route: ended";

/// \brief Explanation of a reason in a request's log line.
struct ReasonMeaning {
  absl::string_view reason;
  absl::string_view text;
};

constexpr ReasonMeaning kReasonMeanings[] = {
    {"answered", "the caller received a backend server's answer"},
    {"full", "all slots of the eligible backend servers were in use"},
    {"no-usable-server",
     "each backend server is draining, paused, cold, or in an evacuated zone"},
    {"pause-requested",
     "each usable backend server had asked to get no requests for a time"},
    {"server-limit",
     "this instance's part of the request limit of a backend server was used "
     "up"},
    {"stopping",
     "the instance shuts down before the request would surely be answered"},
    {"no-server", "no backend server of the service is registered"},
    {"no-configuration",
     "the instance had not read the configuration: see `store: read`"},
    {"no-route",
     "the configuration has no route for the request's host and path"},
    {"no-key", "the route requires an API key, and the request had none"},
    {"malformed-key",
     "the API key was repeated, too long, or not sent as a bearer token"},
    {"unknown-key", "no client account of the configuration holds the API key"},
    {"no-allowed-region",
     "the route and the client account have no allowed region in common"},
    {"quota",
     "the client account had used up its quota; the request did not run"},
    {"refused-by-server",
     "a backend server reported that it did not run the request"},
    {"no-connection", "no backend server could be reached"},
    {"answer-lost",
     "the request was sent, but the complete answer did not arrive"},
    {"timeout", "no answer arrived within the route's timeout"},
    {"crashes-servers", "the request crashed two backend servers"},
    {"caller-gone",
     "the caller closed its connection before the answer was sent"},
};

absl::string_view MeaningOf(absl::string_view reason) {
  for (const ReasonMeaning& meaning : kReasonMeanings) {
    if (meaning.reason == reason) {
      return meaning.text;
    }
  }
  return "unknown reason";
}

/// \brief An attempt in a request's log line, written as the server and its
/// name=value pairs.
struct Attempt {
  std::string server;
  std::map<std::string, std::string> values;

  std::string Value(const std::string& name) const {
    const auto found = values.find(name);
    return found == values.end() ? "-" : found->second;
  }
};

std::vector<Attempt> ParseAttempts(absl::string_view text) {
  std::vector<Attempt> attempts;
  for (absl::string_view attempt_text :
       absl::StrSplit(text, ',', absl::SkipEmpty())) {
    Attempt& attempt = attempts.emplace_back();
    for (absl::string_view part : absl::StrSplit(attempt_text, ':')) {
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

std::string FormatLogLine(const base::LogLine& line) {
  std::string text = absl::StrCat(line.time, " ", line.event);
  for (const auto& [name, value] : line.fields) {
    absl::StrAppend(&text, " ", name, "=", value);
  }
  return text;
}

/// \returns the log lines before a request that show the state of the process:
/// the last line of each event, and the last lines about each backend server of
/// the request's attempts.
std::vector<const base::LogLine*> RelevantLines(
    const std::deque<base::LogLine>& recent_lines,
    const std::vector<Attempt>& attempts) {
  std::map<std::string, size_t> line_counts;
  std::vector<const base::LogLine*> lines;
  for (auto line = recent_lines.rbegin(); line != recent_lines.rend(); ++line) {
    const absl::string_view server = line->Field("server");
    const bool is_server_of_attempt = std::any_of(
        attempts.begin(), attempts.end(),
        [&](const Attempt& attempt) { return attempt.server == server; });
    const std::string key =
        is_server_of_attempt ? std::string(server) : line->event;
    const size_t max_count = is_server_of_attempt ? kMaxLinesPerServer : 1;
    if ((server.empty() || is_server_of_attempt) &&
        line_counts[key] < max_count) {
      ++line_counts[key];
      lines.push_back(&*line);
    }
  }
  std::reverse(lines.begin(), lines.end());
  return lines;
}

void PrintRequestTrace(const base::LogLine& line,
                       const std::deque<base::LogLine>& recent_lines,
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
  if (!line.Field("account").empty()) {
    *out << "  account " << line.Field("account") << ", tokens left "
         << line.Field("quota_tokens") << ", oldest report of another instance "
         << line.Field("quota_report_age_ms") << " ms old\n";
  }
  if (line.Field("status") == "503" && reason == "unknown-key") {
    *out << "  configuration " << line.Field("config")
         << " may be out of date at this instance, so the key may be newer\n";
  }
  if (line.Field("retry_after_ms") != "0") {
    *out << "  the caller was asked to return after "
         << line.Field("retry_after_ms") << " ms\n";
  }
  const std::vector<Attempt> attempts = ParseAttempts(line.Field("attempts"));
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
  *out << "state before the request:\n";
  for (const base::LogLine* relevant_line :
       RelevantLines(recent_lines, attempts)) {
    *out << "  " << FormatLogLine(*relevant_line) << "\n";
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

Json RequestTraceToJson(const base::LogLine& line,
                        const std::deque<base::LogLine>& recent_lines) {
  Json relevant_lines = Json::array();
  const std::vector<Attempt> attempts = ParseAttempts(line.Field("attempts"));
  for (const base::LogLine* relevant_line :
       RelevantLines(recent_lines, attempts)) {
    relevant_lines.push_back(ToJson(*relevant_line));
  }
  Json request_trace = ToJson(line);
  request_trace["meaning"] = std::string(MeaningOf(line.Field("reason")));
  request_trace["knownBefore"] = relevant_lines;
  return request_trace;
}

}  // namespace

ExitStatus Trace(const Context& context) {
  const std::string& request = context.arguments[0];
  std::map<std::string, std::deque<base::LogLine>> recent_lines_by_source;
  Json request_traces = Json::array();
  size_t matching_line_count = 0;
  std::string text;
  while (std::getline(*context.in, text)) {
    std::optional<base::LogLine> line = base::ParseLogLine(text);
    if (!line) {
      continue;
    }
    std::deque<base::LogLine>& recent_lines =
        recent_lines_by_source[line->source];
    if (line->event != kRequestEndEvent) {
      recent_lines.push_back(*std::move(line));
      if (recent_lines.size() > kMaxRecentLines) {
        recent_lines.pop_front();
      }
      continue;
    }
    if (line->Field("request") != request) {
      continue;
    }
    ++matching_line_count;
    if (context.options.is_json) {
      request_traces.push_back(RequestTraceToJson(*line, recent_lines));
    } else {
      PrintRequestTrace(*line, recent_lines, context.out);
    }
  }
  if (context.options.is_json) {
    *context.out << request_traces.dump(2) << "\n";
  }
  if (matching_line_count == 0) {
    *context.err
        << "no line of the log names the request " << request
        << ": no instance received the request, or its line was dropped\n";
    return kExitFailed;
  }
  return kExitOk;
}

}  // namespace baobabwall::ctl::internal
