#include "edge/src/log_writer.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "glog/logging.h"
#include "transport/transport.h"

namespace baobabwall::edge {
namespace internal {

/// Time for writing the pending lines when the writer is uninstalled.
constexpr std::chrono::seconds kFinalWriteTimeout{1};

/// Interval at which a thread that waits for its output checks whether the
/// writer is stopping.
constexpr int kStopCheckIntervalMs = 100;

/// \returns false if writing fails, or if the output accepts no data while
/// `is_stopping` is set.
bool WriteAll(int output_fd,
              absl::string_view text,
              const std::atomic<bool>& is_stopping) {
  while (!text.empty()) {
    pollfd poll_entry = {output_fd, POLLOUT, 0};
    const int poll_result = poll(&poll_entry, 1, kStopCheckIntervalMs);
    if (poll_result < 0 && errno != EINTR) {
      return false;
    }
    if (poll_result <= 0) {
      if (is_stopping) {
        return false;
      }
      continue;
    }
    // A pipe that is ready for writing accepts PIPE_BUF bytes without blocking.
    const absl::string_view chunk = text.substr(0, PIPE_BUF);
    const ssize_t written = write(output_fd, chunk.data(), chunk.size());
    if (written <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<size_t>(written));
  }
  return true;
}

}  // namespace internal

/// Receives the log lines of glog from construction to destruction.
///
/// glog passes a line to the loggers of its own and all lower severities, so
/// only the logger of the lowest severity writes.
class LogWriter::GlogRedirect : public google::base::Logger {
 public:
  explicit GlogRedirect(LogWriter* writer)
      : writer_(writer),
        previous_logs_to_stderr_(FLAGS_logtostderr),
        previous_stderr_threshold_(FLAGS_stderrthreshold) {
    // With this flag, glog writes to standard error instead of to its loggers.
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::FATAL;
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
      previous_loggers_[severity] = google::base::GetLogger(severity);
      google::base::SetLogger(severity, severity == google::INFO
                                            ? static_cast<Logger*>(this)
                                            : &null_logger_);
    }
  }
  ~GlogRedirect() override {
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
      google::base::SetLogger(severity, previous_loggers_[severity]);
    }
    FLAGS_logtostderr = previous_logs_to_stderr_;
    FLAGS_stderrthreshold = previous_stderr_threshold_;
  }

  void Write(bool /*force_flush*/,
             time_t /*timestamp*/,
             const char* message,
             size_t length) override {
    writer_->Write({message, length});
  }
  void Flush() override {}
  google::uint32 LogSize() override { return 0; }

 private:
  class NullLogger : public google::base::Logger {
   public:
    void Write(bool, time_t, const char*, size_t) override {}
    void Flush() override {}
    google::uint32 LogSize() override { return 0; }
  };

  LogWriter* writer_;
  bool previous_logs_to_stderr_;
  int previous_stderr_threshold_;
  NullLogger null_logger_;
  google::base::Logger* previous_loggers_[google::NUM_SEVERITIES] = {};
};

LogWriter::LogWriter(int output_fd, int64_t max_lines_per_s)
    : output_fd_(output_fd),
      rate_limiter_(max_lines_per_s),
      thread_([this] { RunWriter(); }) {}

LogWriter::~LogWriter() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
  }
  data_available_.notify_all();
  thread_.join();
}

void LogWriter::Install() {
  glog_redirect_ = std::make_unique<GlogRedirect>(this);
}

void LogWriter::Uninstall() {
  glog_redirect_.reset();
  std::unique_lock<std::mutex> lock(mutex_);
  write_completed_.wait_for(lock, internal::kFinalWriteTimeout, [&] {
    return pending_text_.empty() && !is_writing_;
  });
}

void LogWriter::Write(absl::string_view line) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto suppressed = rate_limiter_.Admit(line, transport::SteadyNow());
    if (!suppressed) {
      ++suppressed_total_;
      return;
    }
    if (pending_text_.size() + line.size() > kMaxPendingBytes) {
      ++suppressed_total_;
      ++dropped_lines_;
      return;
    }
    absl::ConsumeSuffix(&line, "\n");
    absl::StrAppend(&pending_text_, line);
    if (*suppressed > 0) {
      absl::StrAppend(&pending_text_, " left_out=", *suppressed);
    }
    if (dropped_lines_ > 0) {
      absl::StrAppend(&pending_text_,
                      " dropped=", std::exchange(dropped_lines_, 0));
    }
    pending_text_.push_back('\n');
    if (is_writing_) {
      return;
    }
  }
  data_available_.notify_one();
}

void LogWriter::RunWriter() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    data_available_.wait(
        lock, [&] { return is_stopping_ || !pending_text_.empty(); });
    if (pending_text_.empty()) {
      return;
    }
    const std::string text = std::exchange(pending_text_, std::string());
    is_writing_ = true;
    lock.unlock();
    const bool is_success = internal::WriteAll(output_fd_, text, is_stopping_);
    lock.lock();
    is_writing_ = false;
    write_completed_.notify_all();
    if (!is_success) {
      // The log cannot be written any more, so the error cannot be logged
      // either.
      pending_text_.clear();
    }
  }
}

}  // namespace baobabwall::edge
