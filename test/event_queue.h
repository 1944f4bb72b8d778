#ifndef TEST_EVENT_QUEUE_H_
#define TEST_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "absl/time/time.h"

namespace baobabwall::test {

/// \brief Event queue with virtual time. Tasks run in the order of their time;
/// tasks with equal times run in the order of insertion.
class EventQueue {
 public:
  using Task = std::function<void()>;

  absl::Time now() const { return now_; }

  void After(absl::Duration delay, Task task) {
    tasks_.emplace(std::make_pair(now_ + delay, ++last_sequence_),
                   std::move(task));
  }

  /// \brief Advances the time and runs the tasks that become due.
  void RunFor(absl::Duration duration) {
    const absl::Time end = now_ + duration;
    while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
      auto first = tasks_.extract(tasks_.begin());
      now_ = first.key().first;
      first.mapped()();
    }
    now_ = end;
  }

 private:
  absl::Time now_ = absl::FromUnixSeconds(1'000'000'000);
  uint64_t last_sequence_ = 0;
  std::map<std::pair<absl::Time, uint64_t>, Task> tasks_;
};

}  // namespace baobabwall::test

#endif  // TEST_EVENT_QUEUE_H_
