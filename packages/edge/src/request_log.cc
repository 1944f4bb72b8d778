#include "edge/src/request_log.h"

#include <string>

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
    case NoRetry::kNotAsked:
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

std::string Describe(const gateway::AttemptRecord& attempt) {
  const std::string age =
      attempt.load_age
          ? absl::StrCat(absl::ToInt64Milliseconds(*attempt.load_age))
          : "-";
  return absl::StrCat(
      attempt.server, ":load=", attempt.load, "/", attempt.slots,
      ":age_ms=", age,
      ":expected_ms=", absl::ToInt64Milliseconds(attempt.expected),
      ":result=", attempt.result ? NameOf(*attempt.result) : "given-up",
      ":status=", attempt.status,
      ":ms=", absl::ToInt64Milliseconds(attempt.took),
      ":no_retry=", NameOf(attempt.no_retry));
}

}  // namespace internal

void RequestLog::Write(const gateway::RequestRecord& record,
                       int64_t state_revision,
                       absl::Time now) {
  if (!limit_.Admit(now)) {
    return;
  }
  const auto append_attempt = [](std::string* out,
                                 const gateway::AttemptRecord& attempt) {
    absl::StrAppend(out, internal::Describe(attempt));
  };
  const int64_t left_out = limit_.TakeLeftOut();
  LOG(INFO) << "route: ended request=" << record.request->caller_id
            << " route=" << record.route << " service=" << record.service
            << " object=" << absl::StrCat(absl::Hex(record.request->object))
            << " config=" << record.config_version
            << " state=" << state_revision << " status=" << record.status
            << " reason=" << record.reason
            << " ms=" << absl::ToInt64Milliseconds(record.took)
            << " retry_after_ms="
            << absl::ToInt64Milliseconds(record.retry_after) << " attempts="
            << absl::StrJoin(record.attempts, ",", append_attempt)
            << (left_out > 0 ? absl::StrCat(" left_out=", left_out) : "");
}

}  // namespace baobabwall::edge
