#ifndef EDGE_SRC_REQUEST_LOG_H_
#define EDGE_SRC_REQUEST_LOG_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "edge/src/line_limit.h"
#include "gateway/gateway.h"

namespace baobabwall::edge {

/// \brief Writes one line for each request that ended, up to a bound.
class RequestLog {
 public:
  explicit RequestLog(int64_t lines_per_s) : limit_(lines_per_s) {}

  /// \param state_revision of the shared state that was known.
  void Write(const gateway::RequestRecord& record,
             int64_t state_revision,
             absl::Time now);

  /// \returns the event and its fields, without the count of lines left out.
  static std::string Line(const gateway::RequestRecord& record,
                          int64_t state_revision);

  /// \returns lines that were not written.
  int64_t left_out_total() const { return limit_.left_out_total(); }

 private:
  LineLimit limit_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_REQUEST_LOG_H_
