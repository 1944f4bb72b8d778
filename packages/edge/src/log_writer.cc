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

/// A standard output that takes nothing for this long at the end is given up.
constexpr std::chrono::seconds kLastWrite{1};

/// How often a writer that waits for its output looks whether it is to stop.
constexpr int kStopCheckMs = 100;

/// \returns false if the output takes no more, or `is_stopping` is set while it
/// takes nothing.
bool WriteAll(int output,
              absl::string_view text,
              const std::atomic<bool>& is_stopping) {
  while (!text.empty()) {
    pollfd wanted = {output, POLLOUT, 0};
    const int ready = poll(&wanted, 1, kStopCheckMs);
    if (ready < 0 && errno != EINTR) {
      return false;
    }
    if (ready <= 0) {
      if (is_stopping) {
        return false;
      }
      continue;
    }
    // A pipe that is ready takes as much without waiting.
    const absl::string_view part = text.substr(0, PIPE_BUF);
    const ssize_t count = write(output, part.data(), part.size());
    if (count <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<size_t>(count));
  }
  return true;
}

}  // namespace internal

/// Takes glog's lines while it lives.
class LogWriter::Redirect : public google::base::Logger {
 public:
  explicit Redirect(LogWriter* writer) : writer_(writer) {
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
      previous_[severity] = google::base::GetLogger(severity);
      google::base::SetLogger(severity, this);
    }
  }
  ~Redirect() override {
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
      google::base::SetLogger(severity, previous_[severity]);
    }
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
  LogWriter* writer_;
  google::base::Logger* previous_[google::NUM_SEVERITIES] = {};
};

LogWriter::LogWriter(int output, int64_t lines_per_s)
    : output_(output), limits_(lines_per_s), thread_([this] { Run(); }) {}

LogWriter::~LogWriter() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void LogWriter::Install() {
  redirect_ = std::make_unique<Redirect>(this);
}

void LogWriter::Uninstall() {
  redirect_.reset();
  std::unique_lock<std::mutex> lock(mutex_);
  written_.wait_for(lock, internal::kLastWrite,
                    [&] { return waiting_.empty() && !is_writing_; });
}

void LogWriter::Write(absl::string_view line) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    const auto left_out = limits_.Admit(line, transport::SteadyNow());
    if (!left_out) {
      ++left_out_total_;
      return;
    }
    if (waiting_.size() + line.size() > kMaxWaiting) {
      ++left_out_total_;
      ++dropped_;
      return;
    }
    absl::ConsumeSuffix(&line, "\n");
    absl::StrAppend(&waiting_, line);
    if (*left_out > 0) {
      absl::StrAppend(&waiting_, " left_out=", *left_out);
    }
    if (dropped_ > 0) {
      absl::StrAppend(&waiting_, " dropped=", std::exchange(dropped_, 0));
    }
    waiting_.push_back('\n');
    if (is_writing_) {
      return;
    }
  }
  wake_.notify_one();
}

void LogWriter::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    wake_.wait(lock, [&] { return is_stopping_ || !waiting_.empty(); });
    if (waiting_.empty()) {
      return;
    }
    const std::string text = std::exchange(waiting_, std::string());
    is_writing_ = true;
    lock.unlock();
    const bool is_written = internal::WriteAll(output_, text, is_stopping_);
    lock.lock();
    is_writing_ = false;
    written_.notify_all();
    if (!is_written) {
      // Nobody reads the log any more; there is no place to report that.
      waiting_.clear();
    }
  }
}

}  // namespace baobabwall::edge
