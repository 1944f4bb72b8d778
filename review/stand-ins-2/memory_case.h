// Runs gateways under a crowd of clients. The stand-in for the platform ends a
// process that exceeds its memory and starts it again, as DEPLOY.md says.
// Ordinary clients book on kept connections meanwhile.
#ifndef REVIEW_STAND_INS_2_MEMORY_CASE_H_
#define REVIEW_STAND_INS_2_MEMORY_CASE_H_

#include "stand_ins.h"

namespace review {

/// Figures of one machine of sites/cantaloma-gw.toml.
constexpr int kMemoryMb = 260;
constexpr int kMaxFds = 4100;

constexpr int kWorkMs = 640;       ///< Of slot-book.
constexpr int kDeadlineMs = 3000;  ///< Of slot-book.
constexpr int kOrdinaryClients = 6;
constexpr int kCaseMs = 60000;
constexpr int kRestartMs = 500;
/// Time without a crowd after each start: longer than contact_ms, so that the
/// machine is in touch, and its clients' connections are kept ones.
constexpr int kCalmMs = 4500;
/// LOST: "more than three times".
constexpr int kMaxLost = 3;
/// Fault: "processes end by themselves three times".
constexpr int kFaultEnds = 3;

/// One gateway with its supervisor.
struct Machine {
  std::unique_ptr<Gateway> gateway;
  std::mutex mutex;  ///< Guards the start and the end of the process.
  std::atomic<int> ends{0};
  std::atomic<int64_t> peak_kb{0};
  std::atomic<int> lost{0};
  std::atomic<int> answered{0};
  std::atomic<int64_t> up_since{0};
  std::atomic<bool> is_up{false};
};

struct MemoryCase {
  std::string record_file;
  /// Sends from one machine's crowd until `stop` is set or the process ends.
  std::function<void(Machine*, const std::atomic<bool>& stop, Record*)> crowd;
  /// Whether the crowd also comes without the disruption.
  bool always_has_crowd = false;
  /// Answers of route /pack/.
  size_t pack_bytes = 0;
  int pack_work_ms = 60;
};

class MemoryCaseRun {
 public:
  explicit MemoryCaseRun(const MemoryCase& options)
      : options_(options), record_(options.record_file) {}

  int Run() {
    Store* const store = new Store;
    store->Put("op/config",
               MakeConfig(7, {{"/book/", "non_idempotent", "book", 3000, 2},
                              {"/pack/", "download", "packs", 20000, 2}}));
    const std::string pack(options_.pack_bytes, 'x');
    const auto answer = [this, pack](Upstream* self, int fd,
                                     const Message& request) {
      const bool is_booking = self->id()[0] == 'b';
      ++self->running();
      if (is_booking) {
        std::lock_guard<std::mutex> lock(mutex_);
        runs_.insert(request.Header("x-request-id"));
      }
      SleepMs(is_booking ? kWorkMs : options_.pack_work_ms);
      --self->running();
      const std::string& body = is_booking ? std::string("done") : pack;
      return SendAll(
          fd, AnswerHead(self, request, 200,
                         "Content-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n") +
                  body);
    };
    for (int i = 0; i < 16; ++i) {
      const std::string zone = i % 2 == 0 ? "a-1" : "a-2";
      new Upstream(store, "b" + std::to_string(i), "book", zone, 5, answer);
      new Upstream(store, "p" + std::to_string(i), "packs", zone, 5, answer);
    }
    for (int i = 0; i < 2; ++i) {
      Machine& machine = machines_[i];
      machine.gateway = std::make_unique<Gateway>(
          folder_.path(),
          GatewaySettings{"gw-" + std::to_string(i), i == 0 ? "a-1" : "a-2",
                          "[limits]\nmemory_mb = " + std::to_string(kMemoryMb) +
                              "\nmax_fds = " + std::to_string(kMaxFds) + "\n"},
          store->port());
      machine.gateway->Start();
    }
    for (Machine& machine : machines_) {
      if (!machine.gateway->WaitReady()) {
        record_.Line("%s is not ready", machine.gateway->name().c_str());
        return 2;
      }
      machine.up_since = NowMs();
      machine.is_up = true;
    }
    SleepMs(1000);
    std::vector<std::thread> threads;
    for (Machine& machine : machines_) {
      threads.emplace_back([&] { Supervise(&machine); });
      for (int i = 0; i < kOrdinaryClients; ++i) {
        threads.emplace_back([&, i] { Book(&machine, i); });
      }
      if (HasTrouble() || options_.always_has_crowd) {
        threads.emplace_back([&] {
          while (!stop_) {
            if (machine.is_up && NowMs() - machine.up_since > kCalmMs) {
              options_.crowd(&machine, stop_, &record_);
            }
            SleepMs(200);
          }
        });
      }
    }
    const int limit_ms = HasTrouble() ? kCaseMs : 15000;
    const int64_t begin = NowMs();
    while (NowMs() - begin < limit_ms && !IsBroken()) {
      SleepMs(500);
      for (const Machine& machine : machines_) {
        record_.Line("%s: resident %ld KiB, ends %d, answered %d, lost %d",
                     machine.gateway->name().c_str(),
                     static_cast<long>(machine.peak_kb.load()),
                     machine.ends.load(), machine.answered.load(),
                     machine.lost.load());
      }
    }
    stop_ = true;
    for (std::thread& thread : threads) {
      thread.join();
    }
    return Report();
  }

 private:
  bool IsBroken() const {
    return Lost() > kMaxLost && machines_[0].ends >= kFaultEnds &&
           machines_[1].ends >= kFaultEnds;
  }
  int Lost() const { return machines_[0].lost + machines_[1].lost; }

  int Report() {
    const bool is_fault =
        machines_[0].ends >= kFaultEnds && machines_[1].ends >= kFaultEnds;
    for (Machine& machine : machines_) {
      record_.Line("%s: most resident %ld KiB (limit %d KiB), ended %d times",
                   machine.gateway->name().c_str(),
                   static_cast<long>(machine.peak_kb.load()), kMemoryMb * 1024,
                   machine.ends.load());
      machine.gateway->Kill();
    }
    record_.Line(
        "bookings answered %d; run by an upstream, on a kept connection, and "
        "never answered %d (LOST is broken above %d)",
        machines_[0].answered + machines_[1].answered, Lost(), kMaxLost);
    record_.Line("processes ended three times on both machines: %s (Fault)",
                 is_fault ? "yes" : "no");
    record_.Line("result: %s", Lost() > kMaxLost ? "rule broken" : "rule held");
    return Lost() > kMaxLost ? 1 : 0;
  }

  /// Ends the process when it holds more than its memory, and restarts it.
  void Supervise(Machine* machine) {
    while (!stop_) {
      const int64_t resident = machine->gateway->StatusKb("RssAnon");
      machine->peak_kb = std::max<int64_t>(machine->peak_kb, resident);
      int status = 0;
      const bool is_running = machine->gateway->IsRunning(&status);
      if (resident > kMemoryMb * 1024 || !is_running) {
        machine->is_up = false;
        record_.Line(
            "%s: %s, resident %ld KiB, limit %d KiB",
            machine->gateway->name().c_str(),
            is_running ? "memory over the limit, killed" : "ended by itself",
            static_cast<long>(resident), kMemoryMb * 1024);
        machine->gateway->Kill();
        ++machine->ends;
        SleepMs(kRestartMs);
        machine->gateway->Start();
        machine->gateway->WaitReady();
        record_.Line("%s: started again", machine->gateway->name().c_str());
        machine->up_since = NowMs();
        machine->is_up = true;
      }
      SleepMs(2);
    }
  }

  /// Books again and again on a kept connection.
  void Book(Machine* machine, int client) {
    int number = 0;
    while (!stop_) {
      const int fd = Connect(machine->gateway->callers());
      if (fd < 0) {
        SleepMs(100);
        continue;
      }
      std::string buffer;
      int answers = 0;
      while (!stop_) {
        const std::string id = machine->gateway->name() + "-" +
                               std::to_string(client) + "-" +
                               std::to_string(++number);
        if (!SendAll(fd, MakeRequest("POST", "/book/" + id, id, kDeadlineMs,
                                     std::string(4000, 'b')))) {
          break;
        }
        Message message;
        const ReadResult result =
            ReadMessage(fd, &buffer, &message, NowMs() + kDeadlineMs);
        if (result != ReadResult::kMessage) {
          const bool is_closed = result != ReadResult::kTimeout;
          if (is_closed && answers > 0 && HasRun(id)) {
            ++machine->lost;
            record_.Line(
                "booking %s was run, its connection was closed "
                "without an answer",
                id.c_str());
          }
          break;
        }
        ++answers;
        ++machine->answered;
        if (message.Header("connection") == "close") {
          break;
        }
        SleepMs(20);
      }
      close(fd);
    }
  }

  bool HasRun(const std::string& id) {
    std::lock_guard<std::mutex> lock(mutex_);
    return runs_.count(id) > 0;
  }

  MemoryCase options_;
  Record record_;
  TemporaryFolder folder_;
  Machine machines_[2];
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::set<std::string> runs_;
};

/// \returns never: the threads of the stand-ins end with the process.
[[noreturn]] inline void RunMemoryCase(const MemoryCase& options) {
  StartTime();
  signal(SIGPIPE, SIG_IGN);
  int code = 2;
  {
    MemoryCaseRun run(options);
    code = run.Run();
  }
  fflush(nullptr);
  _exit(code);
}

/// Clients that send bodies of `body_bytes`, without their last byte, and keep
/// their connections open. Returns when the process has ended or after 20 s.
inline void SendBodies(Machine* machine,
                       int port,
                       const std::string& target,
                       int clients,
                       size_t body_bytes,
                       const std::atomic<bool>& stop,
                       Record* record) {
  struct Client {
    int fd = -1;
    std::string head;
    size_t sent = 0;
  };
  const std::string piece(64 * 1024, 'x');
  const int ends = machine->ends;
  std::vector<Client> crowd(clients);
  for (int i = 0; i < clients; ++i) {
    Client& client = crowd[i];
    client.fd = Connect(port);
    if (client.fd < 0) {
      continue;
    }
    fcntl(client.fd, F_SETFL, O_NONBLOCK);
    client.head = "POST " + target +
                  " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: body-" +
                  std::to_string(i) + "\r\nX-Deadline-Ms: 20000\r\n" +
                  "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
  }
  record->Line("%s: %d clients send bodies of %zu bytes",
               machine->gateway->name().c_str(), clients, body_bytes);
  const int64_t end = NowMs() + 20000;
  while (!stop && NowMs() < end && machine->ends == ends && machine->is_up) {
    bool is_idle = true;
    for (Client& client : crowd) {
      if (client.fd < 0) {
        continue;
      }
      const size_t left = body_bytes - 1 - client.sent;
      const bool has_head = !client.head.empty();
      const ssize_t count =
          has_head
              ? send(client.fd, client.head.data(), client.head.size(),
                     MSG_NOSIGNAL)
              : (left == 0 ? 0
                           : send(client.fd, piece.data(),
                                  std::min(left, piece.size()), MSG_NOSIGNAL));
      if (count > 0) {
        is_idle = false;
        if (has_head) {
          client.head.erase(0, count);
        } else {
          client.sent += count;
        }
      } else if (count < 0 && errno != EAGAIN) {
        close(client.fd);
        client.fd = -1;
      }
    }
    if (is_idle) {
      SleepMs(1);
    }
  }
  for (const Client& client : crowd) {
    if (client.fd >= 0) {
      close(client.fd);
    }
  }
}

}  // namespace review

#endif  // REVIEW_STAND_INS_2_MEMORY_CASE_H_
