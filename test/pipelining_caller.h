#ifndef TEST_PIPELINING_CALLER_H_
#define TEST_PIPELINING_CALLER_H_

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "absl/time/time.h"

namespace baobabwall::test {

/// \brief A caller that sends idempotent requests on one kept connection
/// without waiting for the answers, and uses the connection until it ends.
///
/// After an answer with "Connection: close", the caller sends a few more
/// requests: none of them may run.
class PipeliningCaller {
 public:
  /// \param port port on 127.0.0.1.
  /// \param name prefix of the request ids.
  PipeliningCaller(int port, std::string name);
  ~PipeliningCaller();
  PipeliningCaller(const PipeliningCaller&) = delete;
  PipeliningCaller& operator=(const PipeliningCaller&) = delete;

  /// \brief Stops sending and waits until the last connection is closed.
  void Stop();

  /// \returns the ids of the requests that were sent before an answer with
  /// "Connection: close" but are behind it on their connection. Called after
  /// Stop().
  const std::vector<std::string>& ids_behind_close() const {
    return ids_behind_close_;
  }
  /// \returns the number of answers that did not have the id of the oldest
  /// request that was unanswered. Called after Stop().
  int misplaced_answer_count() const { return misplaced_answers_; }
  int answer_count() const { return answers_; }

 private:
  class Connection;

  void Run();

  int port_;
  std::string name_;
  int last_id_ = 0;
  int answers_ = 0;
  int misplaced_answers_ = 0;
  std::vector<std::string> ids_behind_close_;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace baobabwall::test

#endif  // TEST_PIPELINING_CALLER_H_
