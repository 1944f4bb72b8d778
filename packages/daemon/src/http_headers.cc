#include "daemon/src/http_headers.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace baobabwall::daemon {
namespace internal {

constexpr absl::string_view kRequestPathPrefix = "/s/";
// Characters besides letters and digits that a path may contain unescaped
// (RFC 3986).
constexpr absl::string_view kUnescapedPathChars = "/-._~!$&'()*+,;=:@";

bool IsHopByHopHeader(absl::string_view name) {
  // Expect is in the list because this instance answers it.
  for (absl::string_view hop_by_hop_name :
       {"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
        "Host", "TE", "Trailer", "Upgrade", "Proxy-Connection",
        "Proxy-Authenticate", "Proxy-Authorization", "Expect"}) {
    if (absl::EqualsIgnoreCase(name, hop_by_hop_name)) {
      return true;
    }
  }
  return absl::EqualsIgnoreCase(name, kDeadlineHeader) ||
         absl::EqualsIgnoreCase(name, kOutcomeHeader) ||
         absl::StartsWithIgnoreCase(name, "X-Baobabwall-");
}

}  // namespace internal

std::optional<absl::Duration> ParseDeadline(absl::string_view text) {
  int64_t ms = 0;
  if (!absl::SimpleAtoi(text, &ms) || ms < 0) {
    return std::nullopt;
  }
  return std::min(absl::Milliseconds(ms), kMaxDeadline);
}

bool SplitRequestPath(absl::string_view path,
                      std::string* service,
                      std::string* backend_path) {
  if (!absl::ConsumePrefix(&path, internal::kRequestPathPrefix)) {
    return false;
  }
  const size_t slash = std::min(path.find('/'), path.size());
  *service = std::string(path.substr(0, slash));
  *backend_path = slash == path.size() ? "/" : "";
  for (const char c : path.substr(slash)) {
    if (absl::ascii_isalnum(c) ||
        absl::StrContains(internal::kUnescapedPathChars,
                          absl::string_view(&c, 1))) {
      backend_path->push_back(c);
      continue;
    }
    absl::StrAppend(backend_path, "%",
                    absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad2));
  }
  return !service->empty() &&
         std::all_of(service->begin(), service->end(), [](char c) {
           return absl::ascii_isalnum(c) || c == '-' || c == '_' || c == '.';
         });
}

std::vector<transport::Header> EndToEndHeaders(
    std::vector<transport::Header> headers) {
  std::vector<std::string> connection_tokens;
  for (const auto& [name, value] : headers) {
    if (!absl::EqualsIgnoreCase(name, "Connection")) {
      continue;
    }
    for (absl::string_view token : absl::StrSplit(value, ',')) {
      connection_tokens.emplace_back(absl::StripAsciiWhitespace(token));
    }
  }
  const auto is_removed = [&](const transport::Header& header) {
    return internal::IsHopByHopHeader(header.first) ||
           std::any_of(connection_tokens.begin(), connection_tokens.end(),
                       [&](const auto& name) {
                         return absl::EqualsIgnoreCase(name, header.first);
                       });
  };
  headers.erase(std::remove_if(headers.begin(), headers.end(), is_removed),
                headers.end());
  return headers;
}

}  // namespace baobabwall::daemon
