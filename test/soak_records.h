#ifndef TEST_SOAK_RECORDS_H_
#define TEST_SOAK_RECORDS_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace baobabwall::test {

/// \brief A request of a soak and its answer.
struct SentRequest {
  bool is_booking = false;
  int status = 0;
  int instance = 0;
  absl::Time sent_at;
  absl::Time answered_at;
  std::string server;  ///< Server that ran the request, if it was answered.
  bool is_server_leaving = false;
};

/// \brief Times at which something was disturbed that excuses later behaviour.
class Disturbances {
 public:
  void Add(const std::string& what, absl::Time at) {
    times_[what].push_back(at);
  }
  bool Any(const std::string& what, absl::Time begin, absl::Time end) const {
    const auto times = times_.find(what);
    return times != times_.end() &&
           std::any_of(times->second.begin(), times->second.end(),
                       [&](absl::Time at) { return begin <= at && at <= end; });
  }

 private:
  std::map<std::string, std::vector<absl::Time>> times_;
};

}  // namespace baobabwall::test

#endif  // TEST_SOAK_RECORDS_H_
