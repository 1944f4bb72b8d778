#ifndef EDGE_SRC_LOG_WRITER_H_
#define EDGE_SRC_LOG_WRITER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "absl/strings/string_view.h"
#include "edge/src/event_limits.h"

namespace baobabwall::edge {

/// Counter of lines that are not written, by who left them out.
constexpr char kLeftOutMetric[] = "baobabwall_log_lines_left_out_total";
constexpr char kLeftOutHelp[] = "Log lines that were not written";

/// \brief Writes lines from a thread of its own, so that a reader that falls
/// behind never holds up a request, and bounds their number. Thread-safe.
class LogWriter {
 public:
  /// Bytes that wait to be written; further lines are dropped and counted.
  static constexpr size_t kMaxWaiting = 256 * 1024;

  /// \param output file descriptor; stays open.
  /// \param lines_per_s of each event.
  LogWriter(int output, int64_t lines_per_s);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// \brief Makes it the destination of glog's lines of all severities.
  void Install();
  /// \brief Writes what waits, for at most a second, and gives the severities
  /// back.
  void Uninstall();

  /// \param line with its end of line.
  void Write(absl::string_view line);

  /// \returns lines that were not written.
  int64_t left_out_total() const { return left_out_total_; }

 private:
  class Redirect;

  void Run();

  int output_;
  std::mutex mutex_;
  EventLimits limits_;
  std::condition_variable wake_;
  std::condition_variable written_;
  std::string waiting_;
  int64_t dropped_ = 0;  ///< Since the last line that told it.
  std::atomic<int64_t> left_out_total_{0};
  bool is_writing_ = false;
  std::atomic<bool> is_stopping_{false};
  std::unique_ptr<Redirect> redirect_;
  std::thread thread_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_LOG_WRITER_H_
