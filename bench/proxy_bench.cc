// Compares a GET through an entry instance with the same GET straight at the
// backend stand-in, in one run, and counts lookups of one instance.
// usage: proxy_bench [--requests=N] [--lookups=N]

#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "daemon/daemon.h"
#include "free_port.h"
#include "transport/transport.h"

ABSL_FLAG(int, requests, 1000, "GETs of each kind and thread");
ABSL_FLAG(int, lookups, 20000, "lookups of each thread");
ABSL_FLAG(int, threads, 4, "callers; the backend server has twice the slots");
ABSL_FLAG(int, work_ms, 2, "time that the backend server works on a GET");

namespace baobabwall::bench {
namespace {

constexpr char kHost[] = "127.0.0.1";

std::shared_ptr<steer::Snapshot> MakeSnapshot(int port, int slots) {
  base::Findings findings;
  auto snapshot = std::make_shared<steer::Snapshot>();
  snapshot->configuration = model::Configuration::Empty()->Apply(
      {"t",
       {{{model::Kind::kRegion, "amba"}, R"({"declaredRate": 9})", {}},
        {{model::Kind::kZone, "amba-a"}, R"({"region": "amba"})", {}},
        {{model::Kind::kService, "disponible"},
         R"({"tenant": "cantaloma", "class": "interactive"})",
         {}}}},
      1, &findings);
  snapshot->self = {"amba-a-1", 5};
  snapshot->zone = "amba-a";
  snapshot->region = "amba";
  snapshot->is_ready = true;
  steer::InstanceView self;
  self.id = snapshot->self;
  self.zone = "amba-a";
  self.region = "amba";
  self.address = kHost;
  self.caller_port = 80;
  snapshot->instances.push_back(self);
  steer::BackendView backend;
  backend.name = "d1";
  backend.service = "disponible";
  backend.address = kHost;
  backend.port = port;
  backend.slot_share = slots;
  backend.health = steer::HealthStatus::kHealthy;
  snapshot->backends.push_back(backend);
  return snapshot;
}

struct Result {
  std::vector<double> ms;
  int failed = 0;
  absl::Duration time;
};

// Each thread keeps one connection open.
Result Measure(int port, const std::string& target, int count) {
  const int threads = absl::GetFlag(FLAGS_threads);
  std::vector<Result> results(threads);
  std::vector<std::thread> running;
  const absl::Time begin = absl::Now();
  for (Result& result : results) {
    running.emplace_back([&] {
      transport::ConnectionPool pool(1);
      for (int i = 0; i < count; ++i) {
        transport::HttpAnswer answer;
        const absl::Time start = absl::Now();
        if (!transport::Fetch(&pool, kHost, port, "GET", target, {}, "",
                              absl::Seconds(10), &answer) ||
            answer.status != 200) {
          if (result.failed++ == 0) {
            std::fprintf(stderr, "first failure: status=%d %s\n", answer.status,
                         answer.body.c_str());
          }
          continue;
        }
        result.ms.push_back(absl::ToDoubleMilliseconds(absl::Now() - start));
      }
    });
  }
  for (std::thread& thread : running) {
    thread.join();
  }
  Result all;
  all.time = absl::Now() - begin;
  for (const Result& result : results) {
    all.ms.insert(all.ms.end(), result.ms.begin(), result.ms.end());
    all.failed += result.failed;
  }
  std::sort(all.ms.begin(), all.ms.end());
  return all;
}

double At(const Result& result, double quantile) {
  return result.ms.empty()
             ? 0
             : result
                   .ms[static_cast<size_t>(quantile * (result.ms.size() - 1))];
}

int Main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const int threads = absl::GetFlag(FLAGS_threads);
  const int backend_port = test::FreePort();
  const int caller_port = test::FreePort();
  const std::string body(500, 'x');
  const auto backend =
      transport::HttpServer::Builder()
          .Address(kHost, backend_port)
          .Threads(4 * threads)
          .Handle(
              "/",
              [&](auto* exchange) {
                absl::SleepFor(
                    absl::Milliseconds(absl::GetFlag(FLAGS_work_ms)));
                exchange->Answer(200, {{"Content-Type", "text/plain"}}, body);
              })
          .Start();
  daemon::Traffic traffic(steer::Engine::Builder().Build());
  traffic.Publish(MakeSnapshot(backend_port, 2 * threads));
  transport::Metrics metrics;
  daemon::CallerService callers(&traffic, "peer", &metrics);
  const auto server =
      transport::HttpServer::Builder()
          .Address(kHost, caller_port)
          .Threads(4 * threads)
          .Handle(daemon::kLookupPrefix, [&](auto* e) { callers.Lookup(e); })
          .Handle(daemon::kRequestPrefix, [&](auto* e) { callers.Request(e); })
          .Start();
  if (backend == nullptr || server == nullptr) {
    return 1;
  }
  const int requests = absl::GetFlag(FLAGS_requests);
  // Warm up, then take both kinds in turns, so that other load on the machine
  // meets both.
  Measure(backend_port, "/r", 50);
  Measure(caller_port, "/s/disponible/r", 50);
  constexpr int rounds = 5;
  Result direct;
  Result proxied;
  for (int i = 0; i < rounds; ++i) {
    for (auto [sum, port, target] :
         {std::make_tuple(&direct, backend_port, "/r"),
          std::make_tuple(&proxied, caller_port, "/s/disponible/r")}) {
      const Result part = Measure(port, target, requests / rounds);
      sum->ms.insert(sum->ms.end(), part.ms.begin(), part.ms.end());
      sum->failed += part.failed;
      sum->time += part.time;
    }
  }
  for (auto [name, result] : {std::make_pair("direct ", &direct),
                              std::make_pair("proxied", &proxied)}) {
    std::sort(result->ms.begin(), result->ms.end());
    std::printf("%s p50=%.3f ms p99=%.3f ms rate=%.0f/s failed=%d\n", name,
                At(*result, 0.5), At(*result, 0.99),
                result->ms.size() / absl::ToDoubleSeconds(result->time),
                result->failed);
  }
  std::printf("ratio p50=%.2f p99=%.2f\n", At(proxied, 0.5) / At(direct, 0.5),
              At(proxied, 0.99) / At(direct, 0.99));
  const Result lookups =
      Measure(caller_port, "/lookup/disponible?client=10.0.0.1",
              absl::GetFlag(FLAGS_lookups));
  std::printf("lookups rate=%.0f/s p50=%.3f ms p99=%.3f ms failed=%d\n",
              lookups.ms.size() / absl::ToDoubleSeconds(lookups.time),
              At(lookups, 0.5), At(lookups, 0.99), lookups.failed);
  return 0;
}

}  // namespace
}  // namespace baobabwall::bench

int main(int argc, char** argv) {
  return baobabwall::bench::Main(argc, argv);
}
