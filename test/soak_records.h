#ifndef TEST_SOAK_RECORDS_H_
#define TEST_SOAK_RECORDS_H_

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "platform_standin.h"

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

/// \brief Checks that a server that names a limit in its answers gets no more
/// requests than the limit allows.
///
/// Counts the requests of an instance from kToldDelay after it has passed on an
/// answer with the limit. The limit binds from kSettlingTime after it was named
/// first.
class ServerLimitOracle {
 public:
  static constexpr absl::Duration kWindow = absl::Seconds(4);
  static constexpr absl::Duration kSettlingTime = absl::Seconds(4);
  static constexpr absl::Duration kToldDelay = absl::Milliseconds(500);

  void OnTold(int instance, absl::Time at) { told_at_.emplace(instance, at); }

  /// \returns the violation; empty if there is none.
  std::string OnArrival(int instance, const BackendArrival& arrival) {
    if (!arrival.request_limit) {
      *this = ServerLimitOracle(check_count_);
      return "";
    }
    named_at_ = std::min(named_at_, arrival.at);
    limit_ = std::max(limit_, *arrival.request_limit);
    const auto told = told_at_.find(instance);
    if (told == told_at_.end() || arrival.at < told->second + kToldDelay) {
      return "";
    }
    arrivals_.push_back(arrival.at);
    while (arrival.at - arrivals_.front() >= kWindow) {
      arrivals_.pop_front();
    }
    ++check_count_;
    const double allowed = limit_ * absl::ToDoubleSeconds(kWindow) * 1.5 + 5;
    const bool is_exceeded = arrival.at - named_at_ >= kSettlingTime &&
                             static_cast<double>(arrivals_.size()) > allowed;
    return is_exceeded
               ? absl::StrCat(arrival.server, " with a limit of ", limit_,
                              " per second gets ", arrivals_.size(),
                              " requests in 4 s, at most ", allowed)
               : "";
  }

  int check_count() const { return check_count_; }

  explicit ServerLimitOracle(int check_count = 0) : check_count_(check_count) {}

 private:
  std::map<int, absl::Time> told_at_;  ///< By instance.
  std::deque<absl::Time> arrivals_;    ///< Counted requests in the window.
  absl::Time named_at_ = absl::InfiniteFuture();
  double limit_ = 0;
  int check_count_;
};

}  // namespace baobabwall::test

#endif  // TEST_SOAK_RECORDS_H_
