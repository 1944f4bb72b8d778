#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <mutex>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"
#include "nlohmann/json.hpp"
#include "transport/transport.h"

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 0, "port to listen on");
ABSL_FLAG(std::string,
          name,
          "backend",
          "server name, sent in the header X-Backend");
ABSL_FLAG(int, slots, 5, "maximum number of concurrent requests");
ABSL_FLAG(int,
          threads,
          64,
          "worker threads; an open connection occupies a thread");
ABSL_FLAG(int, work_ms, 2, "processing time of a request in ms");
ABSL_FLAG(int, cold_start_ms, 0, "duration of the cold start in ms");
ABSL_FLAG(std::string, book, "", "file for the run log");

namespace baobabwall::test {
namespace {

using nlohmann::json;

constexpr char kUsage[] = R"(Stand-in for a backend server.
usage: backend_standin --port=N [--name=S] [--slots=N] [--work_ms=N]
                       [--cold_start_ms=N] [--book=FILE]

GET  /healthz    {"ready", "leaving", "load", "ageMs"}
GET  /book       begin and end counts by X-Run-Id or Idempotency-Key
POST /control    {"leaving": bool, "refuse": bool, "workMs": n, "ready": bool}
GET  /bytes/N    an answer of N bytes; ?chunked=1, ?truncate=1 (sends half)
any  /crash      exits the process before an answer is sent
any  other path  answers with the method, the path and the body length

If all slots are in use or `refuse` is set, a request is refused with 503 and
X-Request-Outcome: not-run. An answer repeats the header X-Run-Id and has the
server name in X-Backend. Each line of the run log (--book) is "begin ID" or
"end ID". The "begin" line is written before the work begins.)";

constexpr int kCrashExitStatus = 70;
constexpr int kColdWorkFactor = 4;  // Ratio of cold to warm processing time.

class BackendStandin {
 public:
  BackendStandin()
      : start_time_(absl::Now()),
        work_duration_(absl::Milliseconds(absl::GetFlag(FLAGS_work_ms))) {
    if (!absl::GetFlag(FLAGS_book).empty()) {
      run_log_fd_ = open(absl::GetFlag(FLAGS_book).c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    }
  }

  void Handle(transport::HttpExchange* exchange) {
    const std::string path(exchange->path());
    if (path == "/healthz") {
      HandleHealth(exchange);
    } else if (path == "/book") {
      std::lock_guard<std::mutex> lock(mutex_);
      SendJson(exchange, {{"begun", begin_counts_}, {"ended", end_counts_}});
    } else if (path == "/control") {
      HandleControl(exchange);
    } else {
      HandleRun(exchange, path);
    }
  }

 private:
  static void SendJson(transport::HttpExchange* exchange, const json& body) {
    exchange->Answer(200, {{"Content-Type", "application/json"}}, body.dump());
  }

  bool IsCold() const {
    return absl::Now() <
           start_time_ + absl::Milliseconds(absl::GetFlag(FLAGS_cold_start_ms));
  }

  void HandleHealth(transport::HttpExchange* exchange) {
    std::lock_guard<std::mutex> lock(mutex_);
    SendJson(exchange, {{"ready", is_ready_ && !IsCold()},
                        {"leaving", is_leaving_},
                        {"load", static_cast<double>(used_slots_) /
                                     std::max(1, absl::GetFlag(FLAGS_slots))},
                        {"ageMs", 0}});
  }

  void HandleControl(transport::HttpExchange* exchange) {
    std::string body;
    exchange->ReadWholeBody(1 << 16, &body);
    const json request = json::parse(body, nullptr, false);
    std::lock_guard<std::mutex> lock(mutex_);
    if (request.is_object()) {
      is_leaving_ = request.value("leaving", is_leaving_);
      is_refusing_ = request.value("refuse", is_refusing_);
      is_ready_ = request.value("ready", is_ready_);
      work_duration_ = absl::Milliseconds(
          request.value("workMs", absl::ToInt64Milliseconds(work_duration_)));
    }
    SendJson(exchange, json::object());
  }

  void AppendToRunLog(absl::string_view event, const std::string& run_id) {
    const std::string line = absl::StrCat(event, " ", run_id, "\n");
    if (run_log_fd_ >= 0 && write(run_log_fd_, line.data(), line.size()) !=
                                static_cast<ssize_t>(line.size())) {
      std::cerr << "cannot write to the run log\n";
      _exit(1);
    }
  }

  void HandleRun(transport::HttpExchange* exchange, const std::string& path) {
    std::string run_id(exchange->header("X-Run-Id"));
    if (run_id.empty()) {
      run_id = std::string(exchange->header("Idempotency-Key"));
    }
    absl::Duration work_duration;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (is_refusing_ || used_slots_ >= absl::GetFlag(FLAGS_slots)) {
        exchange->Answer(503, {{"X-Request-Outcome", "not-run"}}, "full");
        exchange->CloseAfter();  // The request body was not read.
        return;
      }
      ++used_slots_;
      ++begin_counts_[run_id];
      AppendToRunLog("begin", run_id);
      work_duration =
          IsCold() ? work_duration_ * kColdWorkFactor : work_duration_;
    }
    if (path == "/crash") {
      _exit(kCrashExitStatus);
    }
    int64_t body_bytes = 0;
    char buffer[16 * 1024];
    for (int read_bytes;
         (read_bytes = exchange->ReadBody(buffer, sizeof(buffer))) > 0;) {
      body_bytes += read_bytes;
    }
    absl::SleepFor(work_duration);
    if (absl::StartsWith(path, "/bytes/")) {
      SendAnswer(exchange, path, run_id, body_bytes);
      EndRun(run_id);
      return;
    }
    // The slot is released before the answer is sent, so that a caller that has
    // received the answer can use the slot at once.
    EndRun(run_id);
    SendAnswer(exchange, path, run_id, body_bytes);
  }

  void EndRun(const std::string& run_id) {
    std::lock_guard<std::mutex> lock(mutex_);
    --used_slots_;
    ++end_counts_[run_id];
    AppendToRunLog("end", run_id);
  }

  static void SendAnswer(transport::HttpExchange* exchange,
                         absl::string_view path,
                         const std::string& run_id,
                         int64_t body_bytes) {
    const std::vector<transport::Header> headers = {
        {"X-Run-Id", run_id}, {"X-Backend", absl::GetFlag(FLAGS_name)}};
    int64_t answer_bytes = 0;
    if (!absl::ConsumePrefix(&path, "/bytes/") ||
        !absl::SimpleAtoi(path, &answer_bytes)) {
      exchange->Answer(
          200, headers,
          absl::StrCat(exchange->method(), " ", path, " ", body_bytes, "\n"));
      return;
    }
    const bool is_chunked = !exchange->QueryValue("chunked").empty();
    const bool is_truncated = !exchange->QueryValue("truncate").empty();
    bool is_connected =
        exchange->StartAnswer(200, headers, is_chunked ? -1 : answer_bytes);
    const std::string chunk(64 * 1024, 'x');
    int64_t remaining_bytes = is_truncated ? answer_bytes / 2 : answer_bytes;
    while (is_connected && remaining_bytes > 0) {
      const int64_t chunk_bytes =
          std::min<int64_t>(remaining_bytes, chunk.size());
      is_connected = exchange->WriteBody({chunk.data(), size_t(chunk_bytes)});
      remaining_bytes -= chunk_bytes;
    }
    if (is_truncated || !is_connected) {
      exchange->CloseAfter();
    } else {
      exchange->EndBody();
    }
  }

  const absl::Time start_time_;
  std::mutex mutex_;
  absl::Duration work_duration_;
  int used_slots_ = 0;
  bool is_leaving_ = false;
  bool is_refusing_ = false;
  bool is_ready_ = true;
  std::map<std::string, int> begin_counts_;
  std::map<std::string, int> end_counts_;
  int run_log_fd_ = -1;
};

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsage);
  absl::ParseCommandLine(argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  BackendStandin standin;
  const auto server =
      transport::HttpServer::Builder()
          .Address(absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_port))
          .Threads(absl::GetFlag(FLAGS_threads))
          .Handle("/", [&](auto* exchange) { standin.Handle(exchange); })
          .Start();
  if (server == nullptr) {
    std::cerr << "cannot listen on port " << absl::GetFlag(FLAGS_port) << "\n";
    return 1;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

}  // namespace
}  // namespace baobabwall::test

int main(int argc, char** argv) {
  return baobabwall::test::Main(argc, argv);
}
