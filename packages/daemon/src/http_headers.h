#ifndef DAEMON_SRC_HTTP_HEADERS_H_
#define DAEMON_SRC_HTTP_HEADERS_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "transport/transport.h"

/// \brief Functions that parse and filter HTTP headers and request paths.
namespace baobabwall::daemon {

inline constexpr absl::string_view kOutcomeHeader = "X-Request-Outcome";
inline constexpr absl::string_view kDeadlineHeader = "X-Request-Deadline-Ms";
inline constexpr absl::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr absl::string_view kRelayHeader = "X-Baobabwall-Relay";
inline constexpr absl::string_view kRelayMarkHeader = "X-Baobabwall-Relay-Mark";
inline constexpr absl::string_view kHomeRegionHeader =
    "X-Baobabwall-Home-Region";

/// Maximum deadline; a longer deadline is shortened to this value.
inline constexpr absl::Duration kMaxDeadline = absl::Hours(1);

/// \returns std::nullopt if the text is not a non-negative whole number of ms.
std::optional<absl::Duration> ParseDeadline(absl::string_view text);

/// \brief Splits the path of a request: `/s/<service>/<rest>`.
/// \param path percent-decoded path from CivetWeb. CivetWeb does not provide
/// the encoded path, so `%2F` cannot be distinguished from `/`.
/// \param backend_path receives the percent-encoded path at the backend server,
/// beginning with a slash.
/// \returns false if the prefix differs or the service name is not valid.
bool SplitRequestPath(absl::string_view path,
                      std::string* service,
                      std::string* backend_path);

/// \brief Removes the hop-by-hop headers: the standard hop-by-hop headers, the
/// headers listed in Connection, and the headers of baobabwall.
std::vector<transport::Header> EndToEndHeaders(
    std::vector<transport::Header> headers);

}  // namespace baobabwall::daemon

#endif  // DAEMON_SRC_HTTP_HEADERS_H_
