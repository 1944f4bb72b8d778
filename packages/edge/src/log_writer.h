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

/// Counter of log lines that were not written; the label "by" states which
/// component suppressed the lines.
constexpr char kSuppressedLinesMetric[] = "baobabwall_log_lines_left_out_total";
constexpr char kSuppressedLinesHelp[] = "Log lines that were not written";

/// \brief Writes log lines on a separate thread and limits their number per
/// second. A log reader that falls behind never blocks a request. Thread-safe.
class LogWriter {
 public:
  /// Maximum number of bytes that wait to be written; further lines are dropped
  /// and counted.
  static constexpr size_t kMaxPendingBytes = 256 * 1024;

  /// \param output_fd file descriptor; the writer does not close this
  /// descriptor.
  /// \param max_lines_per_s maximum number of lines per second of each event.
  LogWriter(int output_fd, int64_t max_lines_per_s);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// \brief Makes this writer the only destination of glog's lines of all
  /// severities; glog itself writes nothing to standard error any more, except
  /// before it ends the process for a fatal error.
  void Install();
  /// \brief Waits up to one second until the pending lines are written, then
  /// restores the previous destinations of glog.
  void Uninstall();

  /// \param line log line with a trailing newline.
  void Write(absl::string_view line);

  /// \returns the number of lines that were not written.
  int64_t suppressed_total() const { return suppressed_total_; }

 private:
  class GlogRedirect;

  void RunWriter();

  int output_fd_;
  std::mutex mutex_;
  EventLimits rate_limiter_;
  std::condition_variable data_available_;
  std::condition_variable write_completed_;
  std::string pending_text_;
  int64_t dropped_lines_ = 0;  ///< Lines dropped since the last written line.
  std::atomic<int64_t> suppressed_total_{0};
  bool is_writing_ = false;
  std::atomic<bool> is_stopping_{false};
  std::unique_ptr<GlogRedirect> glog_redirect_;
  std::thread thread_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_LOG_WRITER_H_
