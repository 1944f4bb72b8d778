// Runs a gateway whose connections a crowd holds, while ordinary clients book
// on new connections and the platform asks whether the process is ready.
#ifndef REVIEW_STAND_INS_2_HANG_CASE_H_
#define REVIEW_STAND_INS_2_HANG_CASE_H_

#include <sys/resource.h>

#include "stand_ins.h"

namespace review {

/// RECOVER: contact_ms, and "seven clients or more".
constexpr int kContactMs = 4000;
constexpr int kClients = 8;
constexpr int kDeadlineMs = 3000;  ///< Of slot-book.
constexpr int kWorkMs = 640;       ///< Of slot-book.
constexpr int kMaxFds = 4100;
/// Descriptors of this process beside the crowd's.
constexpr int kOwnFds = 1500;

struct HangCase {
  std::string record_file;
  /// \returns the connections of the crowd.
  /// \param max_fds descriptors of the gateway.
  std::function<std::vector<int>(const Gateway& gateway, int max_fds)> connect;
  /// Time in which the crowd's connections are accepted.
  int settle_ms = 0;
  /// Time for which the ordinary clients try.
  int test_ms = 0;
};

struct Try {
  int64_t begin = 0;
  int64_t end = 0;
  int client = 0;
  int status = 0;
  bool is_closed = false;  ///< By the gateway, without an answer.
};

inline int RunHangCaseOnce(const HangCase& options) {
  Record& record = *new Record(options.record_file);
  TemporaryFolder folder;
  rlimit limit = {};
  getrlimit(RLIMIT_NOFILE, &limit);
  const int max_fds = static_cast<int>(std::min<rlim_t>(
      kMaxFds, limit.rlim_max > kOwnFds ? limit.rlim_max - kOwnFds : 0));
  if (max_fds < 300) {
    record.Line("too few descriptors");
    return 2;
  }
  Store* const store = new Store;
  store->Put("op/config",
             MakeConfig(7, {{"/book/", "non_idempotent", "book", 3000, 2}}));
  for (int i = 0; i < 16; ++i) {
    new Upstream(store, "b" + std::to_string(i), "book", "a-1", 5,
                 [](Upstream* self, int fd, const Message& request) {
                   SleepMs(kWorkMs);
                   return SendAll(fd, AnswerHead(self, request, 200,
                                                 "Content-Length: 4\r\n\r\n") +
                                          "done");
                 });
  }
  Gateway gateway(folder.path(),
                  {"one", "a-1",
                   "[limits]\nmemory_mb = 260\nmax_fds = " +
                       std::to_string(max_fds) + "\n"},
                  store->port());
  // The platform's limit of descriptors.
  const rlimit gateway_limit = {static_cast<rlim_t>(max_fds), limit.rlim_max};
  setrlimit(RLIMIT_NOFILE, &gateway_limit);
  gateway.Start();
  const rlimit own_limit = {limit.rlim_max, limit.rlim_max};
  setrlimit(RLIMIT_NOFILE, &own_limit);
  if (!gateway.WaitReady()) {
    record.Line("not ready");
    return 2;
  }
  SleepMs(1000);
  std::atomic<bool> stop{false};
  std::mutex mutex;
  std::vector<std::pair<int64_t, int>> checks;
  // The platform's own check, on a kept connection.
  std::thread platform([&] {
    int fd = -1;
    std::string buffer;
    while (!stop) {
      Message answer;
      if (fd < 0) {
        fd = Connect(gateway.ready());
        buffer.clear();
      }
      int status = 0;
      if (fd >= 0 &&
          SendAll(fd,
                  "GET /baobabwall/readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
          ReadMessage(fd, &buffer, &answer, NowMs() + 900) ==
              ReadResult::kMessage) {
        status = answer.status;
      } else {
        close(fd);
        fd = -1;
      }
      {
        std::lock_guard<std::mutex> lock(mutex);
        checks.emplace_back(NowMs(), status);
      }
      record.Line("readiness %d", status);
      SleepMs(1000);
    }
  });
  SleepMs(1500);
  std::vector<int> crowd;
  if (HasTrouble()) {
    crowd = options.connect(gateway, max_fds);
    record.Line("the crowd has %zu connections", crowd.size());
  }
  SleepMs(options.settle_ms);
  std::vector<Try> tries;
  std::vector<std::thread> clients;
  const int64_t begin = NowMs();
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      for (int number = 0; NowMs() - begin < options.test_ms; ++number) {
        const std::string id =
            "c" + std::to_string(i) + "-" + std::to_string(number);
        const ClientResult result =
            CallOnce(gateway.callers(), "POST", "/book/" + id, id, kDeadlineMs,
                     std::string(4000, 'b'));
        Try entry;
        entry.begin = result.sent_ms;
        entry.end = result.ended_ms;
        entry.client = i;
        entry.status = result.answer.status;
        entry.is_closed =
            entry.status == 0 && result.read != ReadResult::kTimeout;
        const std::string outcome =
            entry.status != 0 ? std::to_string(entry.status)
            : entry.is_closed ? "closed without an answer"
                              : "no answer by its deadline";
        record.Line("booking %s on a new connection: %s", id.c_str(),
                    outcome.c_str());
        if (entry.is_closed) {
          SleepMs(100);
        }
        std::lock_guard<std::mutex> lock(mutex);
        tries.push_back(entry);
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  stop = true;
  platform.join();
  for (const int fd : crowd) {
    close(fd);
  }
  int status = 0;
  if (!gateway.IsRunning(&status)) {
    record.Line("the process has ended, status %d", status);
    return 1;
  }
  // The spans between two connections that were taken. One that was closed
  // without an answer counts as taken.
  std::vector<int64_t> taken = {begin};
  int unanswered = 0;
  for (const Try& entry : tries) {
    if (entry.status != 0 || entry.is_closed) {
      taken.push_back(entry.end);
    }
    unanswered += entry.status == 0 ? 1 : 0;
  }
  taken.push_back(begin + options.test_ms);
  std::sort(taken.begin(), taken.end());
  bool is_broken = false;
  for (size_t i = 1; i < taken.size(); ++i) {
    const int64_t from = taken[i - 1];
    const int64_t to = taken[i];
    if (to - from <= kContactMs) {
      continue;
    }
    std::set<int> tried;
    for (const Try& entry : tries) {
      if (entry.begin >= from && entry.begin < to && entry.status == 0) {
        tried.insert(entry.client);
      }
    }
    int ready = 0;
    int not_ready = 0;
    for (const auto& [at, check] : checks) {
      if (at >= from && at <= to) {
        ++(check == 200 ? ready : not_ready);
      }
    }
    record.Line(
        "no connection taken for %ld ms, while %zu clients tried and "
        "the process said %d times that it is ready, %d times not",
        static_cast<long>(to - from), tried.size(), ready, not_ready);
    is_broken = is_broken || (tried.size() >= 7 && ready > 0 && not_ready == 0);
  }
  record.Line("bookings %zu, of these unanswered %d", tries.size(), unanswered);
  record.Line("result: %s", is_broken ? "rule broken" : "rule held");
  return is_broken ? 1 : 0;
}

/// \returns never: the threads of the stand-ins end with the process.
[[noreturn]] inline void RunHangCase(const HangCase& options) {
  StartTime();
  signal(SIGPIPE, SIG_IGN);
  const int code = RunHangCaseOnce(options);
  fflush(nullptr);
  _exit(code);
}

}  // namespace review

#endif  // REVIEW_STAND_INS_2_HANG_CASE_H_
