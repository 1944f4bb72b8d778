// Compares the latency of a GET that an instance proxies with the latency of
// the same GET sent directly to the backend stand-in, and measures the lookup
// rate of one instance.
//
// Usage: proxy_bench [--requests=N] [--lookups=N]

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

ABSL_FLAG(int,
          requests,
          1000,
          "GET requests per thread in each mode (direct, proxied)");
ABSL_FLAG(int, lookups, 20000, "lookups per thread");
ABSL_FLAG(int,
          threads,
          4,
          "caller threads; the backend server has twice as many slots");
ABSL_FLAG(int,
          work_ms,
          2,
          "processing time of a GET at the backend server in ms");

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

struct Measurement {
  std::vector<double> latencies_ms;
  int failure_count = 0;
  absl::Duration elapsed;
};

/// Sends `count` requests from each thread; each thread reuses one connection.
Measurement Measure(int port, const std::string& target, int count) {
  const int threads = absl::GetFlag(FLAGS_threads);
  std::vector<Measurement> results(threads);
  std::vector<std::thread> workers;
  const absl::Time start_time = absl::Now();
  for (Measurement& result : results) {
    workers.emplace_back([&] {
      transport::ConnectionPool pool(1);
      for (int i = 0; i < count; ++i) {
        transport::HttpAnswer answer;
        const absl::Time request_start_time = absl::Now();
        if (!transport::Fetch(&pool, kHost, port, "GET", target, {}, "",
                              absl::Seconds(10), &answer) ||
            answer.status != 200) {
          if (result.failure_count++ == 0) {
            std::fprintf(stderr, "first failure: status=%d %s\n", answer.status,
                         answer.body.c_str());
          }
          continue;
        }
        result.latencies_ms.push_back(
            absl::ToDoubleMilliseconds(absl::Now() - request_start_time));
      }
    });
  }
  for (std::thread& thread : workers) {
    thread.join();
  }
  Measurement merged;
  merged.elapsed = absl::Now() - start_time;
  for (const Measurement& result : results) {
    merged.latencies_ms.insert(merged.latencies_ms.end(),
                               result.latencies_ms.begin(),
                               result.latencies_ms.end());
    merged.failure_count += result.failure_count;
  }
  std::sort(merged.latencies_ms.begin(), merged.latencies_ms.end());
  return merged;
}

double QuantileMs(const Measurement& result, double quantile) {
  return result.latencies_ms.empty()
             ? 0
             : result.latencies_ms[static_cast<size_t>(
                   quantile * (result.latencies_ms.size() - 1))];
}

int Main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const int threads = absl::GetFlag(FLAGS_threads);
  const int backend_port = test::FreePort();
  const int caller_port = test::FreePort();
  const std::string body(500, 'x');
  const auto backend_server =
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
  daemon::CallerService caller_service(&traffic, "peer", &metrics);
  const auto instance_server =
      transport::HttpServer::Builder()
          .Address(kHost, caller_port)
          .Threads(4 * threads)
          .Handle(daemon::kLookupPrefix,
                  [&](auto* exchange) { caller_service.Lookup(exchange); })
          .Handle(daemon::kRequestPrefix,
                  [&](auto* exchange) { caller_service.Request(exchange); })
          .Start();
  if (backend_server == nullptr || instance_server == nullptr) {
    return 1;
  }
  const int requests = absl::GetFlag(FLAGS_requests);
  // Direct and proxied requests alternate after a warm-up, so that other load
  // on the machine affects both alike.
  Measure(backend_port, "/r", 50);
  Measure(caller_port, "/s/disponible/r", 50);
  constexpr int round_count = 5;
  Measurement direct;
  Measurement proxied;
  for (int i = 0; i < round_count; ++i) {
    for (auto [total, port, target] :
         {std::make_tuple(&direct, backend_port, "/r"),
          std::make_tuple(&proxied, caller_port, "/s/disponible/r")}) {
      const Measurement round = Measure(port, target, requests / round_count);
      total->latencies_ms.insert(total->latencies_ms.end(),
                                 round.latencies_ms.begin(),
                                 round.latencies_ms.end());
      total->failure_count += round.failure_count;
      total->elapsed += round.elapsed;
    }
  }
  for (auto [name, result] : {std::make_pair("direct ", &direct),
                              std::make_pair("proxied", &proxied)}) {
    std::sort(result->latencies_ms.begin(), result->latencies_ms.end());
    std::printf(
        "%s p50=%.3f ms p99=%.3f ms rate=%.0f/s failed=%d\n", name,
        QuantileMs(*result, 0.5), QuantileMs(*result, 0.99),
        result->latencies_ms.size() / absl::ToDoubleSeconds(result->elapsed),
        result->failure_count);
  }
  std::printf("ratio p50=%.2f p99=%.2f\n",
              QuantileMs(proxied, 0.5) / QuantileMs(direct, 0.5),
              QuantileMs(proxied, 0.99) / QuantileMs(direct, 0.99));
  const Measurement lookups =
      Measure(caller_port, "/lookup/disponible?client=10.0.0.1",
              absl::GetFlag(FLAGS_lookups));
  std::printf(
      "lookups rate=%.0f/s p50=%.3f ms p99=%.3f ms failed=%d\n",
      lookups.latencies_ms.size() / absl::ToDoubleSeconds(lookups.elapsed),
      QuantileMs(lookups, 0.5), QuantileMs(lookups, 0.99),
      lookups.failure_count);
  return 0;
}

}  // namespace
}  // namespace baobabwall::bench

int main(int argc, char** argv) {
  return baobabwall::bench::Main(argc, argv);
}
