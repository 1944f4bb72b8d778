#include "ctl/src/command.h"

#include <algorithm>
#include <random>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"

namespace baobabwall::ctl::internal {
namespace {

ExitStatus PrintErrorAnswer(const Context& context,
                            int status,
                            const Json& body) {
  if (body.contains("findings") && body["findings"].is_array()) {
    for (const Json& finding : body["findings"]) {
      const std::string remedy = finding.value("remedy", "");
      *context.err << finding.value("place", "") << ": "
                   << finding.value("what", "")
                   << (remedy.empty() ? "" : " (" + remedy + ")") << "\n";
    }
    return kExitUsage;
  }
  if (status == 409) {
    *context.err << body.value("resource", "") << ": has version "
                 << body.value("resourceVersion", int64_t{0})
                 << " by now; nothing was changed\n";
    if (body.contains("newer")) {
      *context.err << body["newer"].dump(2) << "\n";
    }
    return kExitConflict;
  }
  *context.err << "the request failed with status " << status << ": "
               << body.value("reason", "") << "\n";
  if (body.value("accepted", "") == "unknown") {
    *context.err
        << "the write may have been accepted; check with `baobabwallctl "
           "diff`\n";
  }
  return status == 503 ? kExitUnreachable : kExitFailed;
}

}  // namespace

ExitStatus Call(const Context& context,
                absl::string_view method,
                absl::string_view target,
                const Json& request,
                Json* body) {
  transport::HttpAnswer answer;
  if (!context.client->Call(method, target,
                            request.is_null() ? "" : request.dump(), &answer)) {
    *context.err << "no instance answered\n";
    return kExitUnreachable;
  }
  *body = Json::parse(answer.body, nullptr, false);
  if (!body->is_object()) {
    *context.err << "the request failed with status " << answer.status
                 << ": the answer is not a JSON object\n";
    return kExitFailed;
  }
  return answer.status == 200 ? kExitOk
                              : PrintErrorAnswer(context, answer.status, *body);
}

ExitStatus Write(const Context& context, const Json& changes) {
  std::random_device random;
  const std::string operation_id =
      absl::StrFormat("ctl-%d-%08x", absl::ToUnixNanos(absl::Now()), random());
  Json body;
  const ExitStatus status =
      Call(context, "POST", "/v1/batch",
           {{"operationId", operation_id}, {"changes", changes}}, &body);
  if (status != kExitOk) {
    return status;
  }
  if (context.options.is_json) {
    *context.out << body.dump(2) << "\n";
  } else {
    *context.out << "accepted revision=" << body.value("revision", int64_t{0})
                 << "\n";
  }
  return kExitOk;
}

std::string PercentEncode(absl::string_view text) {
  std::string encoded;
  for (char c : text) {
    if (absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
        absl::string_view("-_.~").find(c) != absl::string_view::npos) {
      encoded.push_back(c);
    } else {
      absl::StrAppendFormat(&encoded, "%%%02X", static_cast<unsigned char>(c));
    }
  }
  return encoded;
}

std::string ResourcePath(absl::string_view kind, absl::string_view name) {
  return absl::StrCat("/v1/resources/", PercentEncode(kind), "/",
                      PercentEncode(name));
}

std::string JsonToText(const Json& value) {
  return value.is_string() ? value.get<std::string>()
         : value.is_null() ? "-"
                           : value.dump();
}

void PrintTable(const std::vector<std::vector<std::string>>& rows,
                std::ostream* out) {
  std::vector<size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    std::string line_text;
    for (size_t i = 0; i < row.size(); ++i) {
      absl::StrAppend(&line_text, row[i]);
      if (i + 1 < row.size()) {
        line_text.append(widths[i] + 2 - row[i].size(), ' ');
      }
    }
    *out << line_text << "\n";
  }
}

}  // namespace baobabwall::ctl::internal
