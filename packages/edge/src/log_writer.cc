#include "edge/src/log_writer.h"

#include <unistd.h>

#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"

namespace baobabwall::edge {
namespace internal {

/// A standard output that takes nothing for this long at the end is given up.
constexpr std::chrono::seconds kLastWrite{1};

/// \returns false if the output takes no more.
bool WriteAll(const std::string& text) {
  size_t done = 0;
  while (done < text.size()) {
    const ssize_t count =
        write(STDOUT_FILENO, text.data() + done, text.size() - done);
    if (count <= 0) {
      return false;
    }
    done += static_cast<size_t>(count);
  }
  return true;
}

}  // namespace internal

LogWriter::LogWriter() : thread_([this] { Run(); }) {}

LogWriter::~LogWriter() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void LogWriter::Install() {
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    previous_[severity] = google::base::GetLogger(severity);
    google::base::SetLogger(severity, this);
  }
}

void LogWriter::Uninstall() {
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::base::SetLogger(severity, previous_[severity]);
  }
  std::unique_lock<std::mutex> lock(mutex_);
  written_.wait_for(lock, internal::kLastWrite,
                    [&] { return waiting_.empty() && !is_writing_; });
}

void LogWriter::Write(bool /*force_flush*/,
                      time_t /*timestamp*/,
                      const char* message,
                      size_t length) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (waiting_.size() + length > kMaxWaiting) {
      ++left_out_;
      return;
    }
    waiting_.append(message, length);
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
    std::string text = std::exchange(waiting_, std::string());
    if (left_out_ > 0) {
      absl::StrAppend(&text, "log: lines left out count=", left_out_, "\n");
      left_out_ = 0;
    }
    is_writing_ = true;
    lock.unlock();
    const bool is_written = internal::WriteAll(text);
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
