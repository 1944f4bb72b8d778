#include "edge/src/request_log.h"

#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "glog/logging.h"

namespace baobabwall::edge {
namespace internal {

absl::string_view NameOf(gateway::AttemptResult result) {
  using gateway::AttemptResult;
  switch (result) {
    case AttemptResult::kConnectFailed:
      return "no-connection";
    case AttemptResult::kRefused:
      return "not-run";
    case AttemptResult::kCompleted:
      return "answer";
    case AttemptResult::kBroken:
      return "broken";
    case AttemptResult::kTimedOut:
      return "timeout";
    case AttemptResult::kTruncated:
      return "incomplete";
    case AttemptResult::kOversized:
      return "too-large";
    case AttemptResult::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

absl::string_view NameOf(gateway::NoRetry reason) {
  using gateway::NoRetry;
  switch (reason) {
    case NoRetry::kNotApplicable:
      return "-";
    case NoRetry::kAttempts:
      return "attempts";
    case NoRetry::kTime:
      return "time";
    case NoRetry::kNoServer:
      return "no-server";
    case NoRetry::kBudget:
      return "budget";
    case NoRetry::kMayHaveRun:
      return "may-have-run";
  }
  return "unknown";
}

/// \returns an empty text if the request has no account.
std::string FormatAccount(const gateway::RequestRecord& record) {
  if (record.account.empty()) {
    return "";
  }
  return absl::StrCat(" account=", base::SanitizeForLog(record.account),
                      " quota_tokens=", record.quota_tokens,
                      " quota_report_age_ms=",
                      absl::ToInt64Milliseconds(record.quota_report_age));
}

std::string FormatAttempt(const gateway::AttemptRecord& attempt) {
  const std::string load_age_ms =
      attempt.load_age
          ? absl::StrCat(absl::ToInt64Milliseconds(*attempt.load_age))
          : "-";
  return absl::StrCat(
      attempt.server, ":load=", attempt.load, "/", attempt.slots,
      ":age_ms=", load_age_ms,
      ":expected_ms=", absl::ToInt64Milliseconds(attempt.expected),
      ":result=", attempt.result ? NameOf(*attempt.result) : "given-up",
      ":status=", attempt.status,
      ":ms=", absl::ToInt64Milliseconds(attempt.took),
      ":no_retry=", NameOf(attempt.no_retry));
}

}  // namespace internal

std::string RequestLog::FormatLine(const gateway::RequestRecord& record,
                                   int64_t state_revision) {
  const auto append_attempt = [](std::string* out,
                                 const gateway::AttemptRecord& attempt) {
    absl::StrAppend(out, internal::FormatAttempt(attempt));
  };
  return absl::StrCat(
      "route: ended request=", base::SanitizeForLog(record.request->caller_id),
      " route=", record.route, " service=", record.service,
      internal::FormatAccount(record),
      " object=", absl::Hex(record.request->object),
      " config=", record.config_version, " state=", state_revision,
      " status=", record.status, " reason=", record.reason,
      " ms=", absl::ToInt64Milliseconds(record.took),
      " retry_after_ms=", absl::ToInt64Milliseconds(record.retry_after),
      " attempts=", absl::StrJoin(record.attempts, ",", append_attempt));
}

void RequestLog::Write(const gateway::RequestRecord& record,
                       int64_t state_revision,
                       absl::Time now) {
  if (!rate_limiter_.Admit(now)) {
    return;
  }
  const int64_t suppressed = rate_limiter_.TakeSuppressedCount();
  LOG(INFO) << FormatLine(record, state_revision)
            << (suppressed > 0 ? absl::StrCat(" left_out=", suppressed) : "");
}

}  // namespace baobabwall::edge
