// An entry instance is stopped with SIGTERM while clients pipeline idempotent
// requests. A request that the instance passed on to an upstream must be
// answered.

#include "../harness.h"

using namespace review;

namespace {

constexpr double kGrace = 6.0;    // grace_s
constexpr double kContact = 4.0;  // contact_ms
constexpr double kWork = 0.48;    // of a room availability look-up
constexpr double kTimeout = 1.5;  // timeout_ms of the route
constexpr int kDeadlineMs = 2500;
constexpr int kClients = 80;  // of each instance
// Each client asks for the next room when the answer to the last question is
// due. Times differ a little from client to client.
constexpr int kPauseSteps = 15;
constexpr double kPauseStep = 0.0002;
constexpr char kService[] = "disponible";

struct Sent {
  double at = 0;
  double ended = 0;  // end of its connection, if there was no answer
  int status = 0;    // 0: the connection ended without an answer
  bool is_written = false;
};

// A client with one kept connection. Sends its requests at fixed times without
// waiting for the answers.
class Client {
 public:
  Client(int port, int number, double first_at)
      : port_(port),
        number_(number),
        first_at_(first_at),
        pause_(kWork + kPauseStep * (number % kPauseSteps)) {}

  // Runs until the connection ends.
  void Run(double until) {
    fd_ = Connect(port_);
    if (fd_ < 0) {
      return;
    }
    std::thread sender([this, until] { Send(until); });
    Reader reader(fd_);
    Message answer;
    while (reader.Read(&answer, until)) {
      std::lock_guard<std::mutex> lock(mutex_);
      const auto request = requests_.find(answer.Header("x-request-id"));
      if (request != requests_.end()) {
        request->second.status = answer.status();
      }
      if (answer.Header("connection") == "close") {
        break;
      }
    }
    is_ended_ = true;
    const double ended = Now();
    sender.join();
    close(fd_);
    for (auto& [id, request] : requests_) {
      request.ended = ended;
    }
  }

  const std::map<std::string, Sent>& requests() const { return requests_; }

 private:
  void Send(double until) {
    for (int i = 0; !is_ended_; ++i) {
      SleepUntil(first_at_ + i * pause_);
      if (is_ended_ || Now() > until) {
        return;
      }
      const std::string id =
          "r-" + std::to_string(number_) + "-" + std::to_string(i);
      {
        std::lock_guard<std::mutex> lock(mutex_);
        requests_[id].at = Now();
      }
      const bool is_written =
          SendAll(fd_, Request("GET", "/room/x", id, kDeadlineMs));
      std::lock_guard<std::mutex> lock(mutex_);
      requests_[id].is_written = is_written;
    }
  }

  int port_;
  int number_;
  double first_at_;
  double pause_;
  int fd_ = -1;
  std::atomic<bool> is_ended_{false};
  std::mutex mutex_;
  std::map<std::string, Sent> requests_;
};

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = ReadArguments(argc, argv);
  Record record(arguments.case_folder + "/record.txt");
  Store store;
  const Store::Front* front = store.AddFront();
  if (!record.is_open() || front == nullptr) {
    Exit(kCouldNotRun);
  }
  store.Put("op/config", Config(7, {{"/room/", "idempotent", kService,
                                     static_cast<int>(kTimeout * 1000), 400}}));
  Arrivals arrivals;
  std::vector<std::unique_ptr<Upstream>> upstreams;
  for (const auto& [zone, region] : Zones()) {
    for (int i = 0; i < 8; ++i) {
      Upstream::Options options;
      options.id = "i-" + std::to_string(upstreams.size());
      options.service = kService;
      options.zone = zone;
      options.slots = 5;
      options.queue = 15;
      options.work_s = kWork;
      options.answer_bytes = 5000;
      upstreams.push_back(std::make_unique<Upstream>(options, &arrivals));
      if (!upstreams.back()->Start()) {
        Exit(kCouldNotRun);
      }
      store.Put(upstreams.back()->Key(), upstreams.back()->Entry());
    }
  }
  int broken = 0;
  int stops = 0;
  for (int round = 0; round < 6; ++round) {
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const char* zone : {"amba-palermo", "cuyo-godoy", "litoral-centro"}) {
      gateways.push_back(std::make_unique<Gateway>(
          Gateway::Place{std::string("edge-") + zone + "-1", zone},
          arguments.program, arguments.temporary_folder));
      if (!gateways.back()->Start(front->port(), Zones())) {
        Exit(kCouldNotRun);
      }
    }
    for (const auto& gateway : gateways) {
      if (!gateway->WaitReady()) {
        record.Line("%s isn't ready", gateway->name().c_str());
        Exit(kCouldNotRun);
      }
    }
    const double first_at = Now() + 0.2;
    const double stop_at = first_at + kContact + 1 + 0.05 * round;
    const double until = stop_at + kGrace + 1.5;
    std::vector<std::unique_ptr<Client>> clients;
    std::vector<std::thread> threads;
    const int client_count = kClients * static_cast<int>(gateways.size());
    for (int c = 0; c < client_count; ++c) {
      clients.push_back(std::make_unique<Client>(
          gateways[c / kClients]->callers(), round * 1000 + c,
          first_at + 0.00002 * (c % kClients)));
      threads.emplace_back([&clients, c, until] { clients[c]->Run(until); });
    }
    for (size_t g = 0; g < gateways.size() && arguments.has_trouble; ++g) {
      SleepUntil(stop_at + 0.17 * g);
      gateways[g]->Signal(SIGTERM);
      record.Line("round %d: SIGTERM to %s", round,
                  gateways[g]->name().c_str());
      ++stops;
    }
    SleepUntil(until);
    for (std::thread& thread : threads) {
      thread.join();
    }
    std::map<std::string, Arrival> ran;
    for (const Arrival& arrival : arrivals.All()) {
      if (arrival.is_run) {
        ran[arrival.id] = arrival;
      }
    }
    int sent = 0;
    int answered = 0;
    for (const auto& client : clients) {
      for (const auto& [id, request] : client->requests()) {
        ++sent;
        answered += request.status != 0 ? 1 : 0;
        const auto run = ran.find(id);
        // Not counted: requests that were not passed on, requests at the end of
        // the test, and requests whose time was over.
        if (request.status != 0 || run == ran.end() ||
            request.ended >= until - 0.2 ||
            request.ended - request.at >= kTimeout) {
          continue;
        }
        ++broken;
        record.Line(
            "request %s sent at %.3f s ran at %s from %.3f s to %.3f s; its "
            "connection ended at %.3f s without an answer",
            id.c_str(), request.at, run->second.upstream.c_str(),
            run->second.at, run->second.ended, request.ended);
      }
    }
    record.Line("round %d: %d requests sent, %d answered", round, sent,
                answered);
  }
  record.Line("%d stops, %d requests passed on and not answered", stops,
              broken);
  printf("stops %d, passed on and not answered %d\n", stops, broken);
  fflush(stdout);
  Exit(broken > 0 ? kBroken : kHeld);
}
