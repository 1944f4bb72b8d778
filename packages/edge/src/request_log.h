#ifndef EDGE_SRC_REQUEST_LOG_H_
#define EDGE_SRC_REQUEST_LOG_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "edge/src/line_limit.h"
#include "gateway/gateway.h"

namespace baobabwall::edge {

/// \brief Writes one log line for each finished request, up to a maximum number
/// of lines per second.
class RequestLog {
 public:
  explicit RequestLog(int64_t max_lines_per_s)
      : rate_limiter_(max_lines_per_s) {}

  /// \param state_revision revision of the shared state that this instance has.
  void Write(const gateway::RequestRecord& record,
             int64_t state_revision,
             absl::Time now);

  /// \returns the event and its fields, without the number of suppressed lines.
  static std::string FormatLine(const gateway::RequestRecord& record,
                                int64_t state_revision);

  /// \returns the number of lines that were not written.
  int64_t suppressed_total() const { return rate_limiter_.suppressed_total(); }

 private:
  LineLimit rate_limiter_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_REQUEST_LOG_H_
