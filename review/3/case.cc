// Upstreams are replaced one after the other; some never report that they are
// draining, their entry is removed. Now and then, a part of the connections
// between an instance and the store is reset. Later than contact_ms after a
// reset, requests must not reach an upstream later than drain_ms after the
// store has acknowledged that its entry is gone.

#include "../harness.h"

using namespace review;

namespace {

constexpr double kContact = 4.0;  // contact_ms
constexpr double kDrain = 2.5;    // drain_ms
// A leaving upstream serves for drain_ms and a little longer.
constexpr double kServesOn = kDrain + 0.5;
constexpr double kRegionDelay = 0.035;  // one way between two regions
constexpr double kEnd = 108;
constexpr int kDeadlineMs = 3000;
constexpr double kWork = 0.32;
constexpr char kService[] = "reservas";
constexpr int kClients = 6;  // of each instance
constexpr double kReplaceEach = 0.8;
constexpr double kResetEach = 6;  // for one instance

struct Sent {
  double at = 0;
  int status = 0;  // 0: the connection ended without an answer
};

struct Instance {
  Store::Front* front = nullptr;
  std::unique_ptr<Gateway> gateway;
  std::vector<double> resets;
};

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = ReadArguments(argc, argv);
  Record record(arguments.case_folder + "/record.txt");
  Store store;
  if (!record.is_open()) {
    Exit(kCouldNotRun);
  }
  store.Put("op/config", Config(7, {{"/slot/", "non_idempotent", kService}}));
  Arrivals arrivals;
  std::vector<std::unique_ptr<Upstream>> upstreams;
  const auto add_upstream = [&](const std::string& zone) {
    Upstream::Options options;
    options.id = "i-" + std::to_string(upstreams.size());
    options.service = kService;
    options.zone = zone;
    options.work_s = kWork;
    options.slots = 5;
    upstreams.push_back(std::make_unique<Upstream>(options, &arrivals));
    if (!upstreams.back()->Start()) {
      Exit(kCouldNotRun);
    }
    store.Put(upstreams.back()->Key(), upstreams.back()->Entry());
  };
  for (const auto& [zone, region] : Zones()) {
    for (int i = 0; i < 3; ++i) {
      add_upstream(zone);
    }
  }
  // Eight instances; the store stands in another region.
  std::vector<Instance> instances(8);
  int number = 0;
  for (Instance& instance : instances) {
    const char* zone = number % 2 == 0 ? "cuyo-godoy" : "litoral-centro";
    instance.front = store.AddFront(kRegionDelay);
    instance.gateway = std::make_unique<Gateway>(
        Gateway::Place{
            std::string("edge-") + zone + "-" + std::to_string(number / 2 + 1),
            zone},
        arguments.program, arguments.temporary_folder);
    ++number;
    if (instance.front == nullptr ||
        !instance.gateway->Start(instance.front->port(), Zones())) {
      Exit(kCouldNotRun);
    }
  }
  for (const Instance& instance : instances) {
    if (!instance.gateway->WaitReady()) {
      Exit(kCouldNotRun);
    }
  }
  record.Line("all instances are ready");

  std::atomic<bool> is_ending{false};
  std::mutex mutex;
  std::map<std::string, Sent> sent;
  std::vector<std::thread> clients;
  for (size_t g = 0; g < instances.size(); ++g) {
    for (int c = 0; c < kClients; ++c) {
      clients.emplace_back([&, g, c] {
        int fd = -1;
        std::unique_ptr<Reader> reader;
        Sleep(0.05 * c);
        for (int i = 0; !is_ending; ++i) {
          if (fd < 0) {
            fd = Connect(instances[g].gateway->callers());
            reader = std::make_unique<Reader>(fd);
          }
          const std::string id = "b-" + std::to_string(g) + "-" +
                                 std::to_string(c) + "-" + std::to_string(i);
          const double at = Now();
          Message answer;
          const bool is_answered =
              SendAll(fd, Request("POST", "/slot/book", id, kDeadlineMs, "",
                                  "card=" + id)) &&
              reader->Read(&answer, at + kDeadlineMs / 1000.0);
          {
            std::lock_guard<std::mutex> lock(mutex);
            sent[id] = {at, is_answered ? answer.status() : 0};
          }
          if (!is_answered || answer.Header("connection") == "close") {
            close(fd);
            fd = -1;
          }
          SleepUntil(at + kWork + 0.05);
        }
        if (fd >= 0) {
          close(fd);
        }
      });
    }
  }

  Sleep(kContact + 1);
  // Each upstream is replaced: the new one starts first, then the old one
  // leaves.
  std::map<std::string, double> left;  // time of the acknowledgement, by id
  std::vector<std::thread> leaving;
  std::thread operations([&] {
    for (size_t next = 0; Now() < kEnd - kServesOn - 1; ++next) {
      const double at = Now();
      Upstream* old_upstream = nullptr;
      {
        std::lock_guard<std::mutex> lock(mutex);
        add_upstream(upstreams[next]->options().zone);
        old_upstream = upstreams[next].get();
      }
      const double acknowledged = store.Delete(old_upstream->Key());
      {
        std::lock_guard<std::mutex> lock(mutex);
        left[old_upstream->options().id] = acknowledged;
      }
      leaving.emplace_back([old_upstream, acknowledged] {
        SleepUntil(acknowledged + kServesOn);
        old_upstream->Stop();
      });
      SleepUntil(at + kReplaceEach);
    }
  });
  std::vector<double> next_reset(instances.size());
  for (size_t g = 0; g < instances.size(); ++g) {
    next_reset[g] = Now() + 1 + kResetEach / 4 * g;
  }
  while (arguments.has_trouble && Now() < kEnd - 8) {
    for (size_t g = 0; g < instances.size(); ++g) {
      if (Now() < next_reset[g] || instances[g].front->idle_connections() < 2) {
        continue;
      }
      const int count = instances[g].front->ResetIdle();
      instances[g].resets.push_back(Now());
      next_reset[g] = Now() + kResetEach;
      record.Line("%d idle connections of %s to the store reset", count,
                  instances[g].gateway->name().c_str());
    }
    Sleep(0.01);
  }
  operations.join();
  for (std::thread& thread : leaving) {
    thread.join();
  }
  is_ending = true;
  for (std::thread& client : clients) {
    client.join();
  }

  int late = 0;
  int lost = 0;
  std::map<int, int> statuses;
  for (const auto& [id, request] : sent) {
    ++statuses[request.status];
  }
  for (const Arrival& arrival : arrivals.All()) {
    const auto leave = left.find(arrival.upstream);
    if (leave == left.end() || arrival.at - leave->second <= kDrain) {
      continue;
    }
    const Instance& instance = instances[arrival.id[2] - '0'];
    const Sent& request = sent[arrival.id];
    // Only instances in touch count: contact_ms without a reset before the
    // request was sent on.
    bool is_in_touch = true;
    for (const double reset : instance.resets) {
      is_in_touch =
          is_in_touch && (reset > arrival.at || request.at - reset > kContact);
    }
    record.Line(
        "request %s from %s reached %s %.3f s after its entry was removed%s; "
        "the client got %d",
        arrival.id.c_str(), instance.gateway->name().c_str(),
        arrival.upstream.c_str(), arrival.at - leave->second,
        is_in_touch ? "" : " (not in touch, doesn't count)", request.status);
    if (is_in_touch) {
      ++late;
      lost += request.status == 200 ? 0 : 1;
    }
  }
  for (const auto& [status, count] : statuses) {
    record.Line("%d bookings ended with %d", count, status);
  }
  record.Line(
      "%zu upstreams left; %d requests later than drain_ms, %d of them "
      "without a success",
      left.size(), late, lost);
  printf("late %d, without success %d\n", late, lost);
  fflush(stdout);
  Exit(late > 0 ? kBroken : kHeld);
}
