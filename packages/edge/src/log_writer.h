#ifndef EDGE_SRC_LOG_WRITER_H_
#define EDGE_SRC_LOG_WRITER_H_

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "glog/logging.h"

namespace baobabwall::edge {

/// \brief Writes glog's lines to standard output from a thread of its own, so
/// that a reader that falls behind never holds up a request.
class LogWriter : public google::base::Logger {
 public:
  /// Bytes that wait to be written; further lines are left out and counted.
  static constexpr size_t kMaxWaiting = 256 * 1024;

  LogWriter();
  ~LogWriter() override;

  /// \brief Makes it the destination of all severities.
  void Install();
  /// \brief Writes what waits, for at most a second, and gives the severities
  /// back.
  void Uninstall();

  void Write(bool force_flush,
             time_t timestamp,
             const char* message,
             size_t length) override;
  void Flush() override {}
  google::uint32 LogSize() override { return 0; }

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::condition_variable written_;
  std::string waiting_;
  int64_t left_out_ = 0;
  bool is_writing_ = false;
  bool is_stopping_ = false;
  google::base::Logger* previous_[google::NUM_SEVERITIES] = {};
  std::thread thread_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_LOG_WRITER_H_
