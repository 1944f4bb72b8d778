#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "daemon/daemon.h"
#include "edge/edge.h"
#include "glog/logging.h"
#include "platform/platform.h"
#include "settings/settings.h"

ABSL_FLAG(std::string,
          settings,
          "",
          "path of the settings file of the process");
ABSL_FLAG(bool, check, false, "validate the settings and exit");
ABSL_FLAG(bool,
          gateway,
          false,
          "run as a gateway; the settings file is that of a gateway");

namespace baobabwall::daemon {
namespace internal {

constexpr int kExitUsage = 2;
// Pending watches occupy up to 24 of these threads.
constexpr int kOperatorThreads = 32;
// Exit status if the shutdown deadline passed or a second signal arrived.
constexpr int kExitShutdownInterrupted = 3;
// Members of a zone send concurrently, and their idle connections occupy
// threads as well.
constexpr int kPeerThreads = 32;

uint64_t RandomSeed(const settings::ProcessSettings& settings,
                    const steer::InstanceId& id) {
  return settings.seed != 0
             ? static_cast<uint64_t>(settings.seed)
             : base::StableHash(settings.instance_name, id.incarnation);
}

/// Registers the metrics whose values are read from other components.
void AddMetricReaders(transport::Metrics* metrics,
                      const Traffic& traffic,
                      const CallerService& callers,
                      const ControlLoop& control,
                      const transport::PeerLink& peers) {
  const auto add_reader = [&](const char* name, const char* help, bool is_total,
                              std::function<double()> read_value) {
    metrics->AddReader(name, help, {}, is_total, std::move(read_value));
  };
  add_reader("baobabwall_in_flight", "Requests whose answer is not sent", false,
             [&] { return static_cast<double>(callers.in_flight()); });
  add_reader("baobabwall_queue", "Requests that wait for a slot", false, [&] {
    const auto waiting =
        static_cast<double>(traffic.in_flight()) - callers.attempts_in_flight();
    return std::max(waiting, 0.0);
  });
  add_reader("baobabwall_control_cpu_seconds_total",
             "Processor time of the control thread", true,
             [&] { return absl::ToDoubleSeconds(control.CpuTime()); });
  const auto add_peer_bytes = [&](const char* direction,
                                  const std::atomic<int64_t>& bytes) {
    metrics->AddReader("baobabwall_peer_bytes_total",
                       "Bytes of messages between instances",
                       {{"direction", direction}}, true,
                       [&bytes] { return static_cast<double>(bytes.load()); });
  };
  add_peer_bytes("sent", peers.counters().bytes_sent);
  add_peer_bytes("received", peers.counters().bytes_received);
  add_reader("baobabwall_peer_dropped_total",
             "Messages that were not delivered", true,
             [&] { return static_cast<double>(peers.counters().dropped); });
  add_reader("baobabwall_peer_refused_total", "Messages that were refused",
             true,
             [&] { return static_cast<double>(peers.counters().refused); });
}

void ServeMetrics(transport::HttpExchange* exchange,
                  transport::Metrics* metrics,
                  const std::string& token) {
  if (!transport::Token(token).IsBearer(exchange->header("Authorization"))) {
    exchange->Answer(401, {}, "");
    return;
  }
  exchange->Answer(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                   metrics->Serialize());
}

int Serve(const settings::ProcessSettings& settings) {
  control::Identity identity;
  identity.id = {settings.instance_name, absl::ToUnixMillis(absl::Now())};
  identity.zone = settings.zone;
  identity.region = settings.region;
  identity.address = settings.address;
  identity.caller_port = settings.caller_port;
  identity.peer_port = settings.peer_port;
  const uint64_t seed = RandomSeed(settings, identity.id);
  BlockSignals();

  base::Findings findings;
  const auto charts = ReadChartFiles(settings.chart_directory, &findings);
  steer::Engine::Builder engine_builder;
  engine_builder.Seed(seed)
      .KeyCapacity(settings.idempotency_key_capacity)
      .QueueLength(settings.queue_length);
  if (const auto chart = charts.find("request.chart"); chart != charts.end()) {
    engine_builder.Chart(chart->first, chart->second);
  }
  std::unique_ptr<steer::Engine> engine = engine_builder.Build(&findings);
  if (!findings.empty() || engine == nullptr) {
    LOG(ERROR) << "config: charts refused findings=" << findings.ToString();
    return kExitUsage;
  }

  transport::Metrics metrics;
  Traffic traffic(std::move(engine));
  std::unique_ptr<transport::StoreClient> store;
  transport::HttpStoreClient* http_store = nullptr;
  if (settings.is_store_embedded) {
    store = std::make_unique<transport::EmbeddedStore>();
  } else {
    auto client = transport::HttpStoreClient::Builder()
                      .Address(settings.store_address, settings.store_port)
                      .Timeout(settings.store_timeout)
                      .OnCallEnd([&](absl::string_view kind,
                                     control::StoreStatus status) {
                        metrics.StoreCallEnded(kind, status);
                      })
                      .Build();
    http_store = client.get();
    store = std::move(client);
  }

  // The adapters post events to the control loop, and the control loop calls
  // the adapters. The control loop is stopped before the adapters are
  // destroyed.
  ControlLoop* control_loop = nullptr;
  std::atomic<bool> is_shutdown_ready{false};
  auto peers = std::make_unique<transport::PeerLink>(
      identity, settings.peer_token, [&](control::PeerMessage message) {
        control_loop->Post(std::move(message));
      });
  auto prober =
      std::make_unique<transport::Prober>([&](control::ProbeEnded result) {
        control_loop->Post(std::move(result));
      });
  ControlLoop::Hooks hooks;
  hooks.read_instance_list = [&] {
    if (http_store != nullptr) {
      http_store->ReadList([&](control::InstanceList list) {
        control_loop->Post(control::ListRead{std::move(list)});
      });
    }
  };
  hooks.send_peer = [&](const control::SendPeer& send) { peers->Send(send); };
  hooks.probe_backend_server = [&](const control::ProbeBackendServer& probe) {
    prober->Probe(probe);
  };
  hooks.on_shutdown_ready = [&] { is_shutdown_ready = true; };
  hooks.on_drain_ended = [&](absl::Duration time) {
    metrics.DrainEnded("backend_server", time);
  };
  ControlLoop control(identity, seed, store.get(), &traffic, std::move(hooks));
  control_loop = &control;
  control.Start();
  CallerService callers(&traffic, settings.peer_token, &metrics);
  OperatorService operators(&control, settings.operator_token);
  AddMetricReaders(&metrics, traffic, callers, control, *peers);

  auto caller_server =
      transport::HttpServer::Builder()
          .Address(settings.address, settings.caller_port)
          .Threads(settings.caller_threads)
          .IdleTimeout(settings.idle_timeout)
          .ErrorAnswer(CallerService::ErrorAnswer)
          .Handle(kLookupPrefix,
                  [&](auto* exchange) { callers.Lookup(exchange); })
          .Handle(kRequestPrefix,
                  [&](auto* exchange) { callers.Request(exchange); })
          .Start();
  auto operator_server =
      transport::HttpServer::Builder()
          .Address(settings.address, settings.operator_port)
          .Threads(kOperatorThreads)
          .Handle("/v1/", [&](auto* exchange) { operators.Handle(exchange); })
          .Handle("/metrics",
                  [&](auto* exchange) {
                    ServeMetrics(exchange, &metrics, settings.operator_token);
                  })
          .Start();
  auto peer_server =
      transport::HttpServer::Builder()
          .Address(settings.address, settings.peer_port)
          .Threads(kPeerThreads)
          .Handle(transport::kPeerPath,
                  [&](auto* exchange) { peers->Handle(exchange); })
          .Start();
  const bool is_serving = caller_server != nullptr &&
                          operator_server != nullptr && peer_server != nullptr;
  if (!is_serving) {
    LOG(ERROR) << "http: cannot open the ports callers=" << settings.caller_port
               << " operators=" << settings.operator_port
               << " peers=" << settings.peer_port;
  }
  bool is_interrupted = false;
  if (is_serving) {
    LOG(INFO) << "http: serving instance=" << settings.instance_name
              << " zone=" << settings.zone
              << " callers=" << settings.caller_port
              << " operators=" << settings.operator_port
              << " peers=" << settings.peer_port;
    WaitForSignal();
    const absl::Time shutdown_start = absl::Now();
    const absl::Time deadline = shutdown_start + settings.shutdown_deadline;
    LOG(INFO) << "drain: leaving instance=" << settings.instance_name
              << " in_flight=" << callers.in_flight();
    callers.StartLeaving();
    control.Post(control::ShutdownRequested());
    const auto is_ready = [&] { return is_shutdown_ready.load(); };
    const auto is_idle = [&] { return callers.in_flight() == 0; };
    is_interrupted = !WaitUnlessInterrupted(is_ready, deadline);
    callers.StopAdmitting();
    is_interrupted =
        is_interrupted || !WaitUnlessInterrupted(is_idle, deadline);
    const std::vector<std::string> aborted_requests =
        callers.DescribeInFlight();
    for (const std::string& request : aborted_requests) {
      LOG(WARNING) << "drain: aborted " << request;
    }
    metrics.DrainEnded("instance", absl::Now() - shutdown_start);
    LOG(INFO) << "drain: finished instance=" << settings.instance_name
              << " aborted=" << aborted_requests.size() << " time_ms="
              << absl::ToInt64Milliseconds(absl::Now() - shutdown_start);
  }
  if (is_interrupted) {
    // The process exits without destructors, which would wait for the attempts
    // in flight. There is no unsaved data.
    google::FlushLogFiles(google::INFO);
    std::_Exit(kExitShutdownInterrupted);
  }
  // CivetWeb takes up to 2 s to stop a server, so the servers are stopped in
  // parallel.
  std::thread operator_stopper([&] { operator_server.reset(); });
  std::thread peer_stopper([&] { peer_server.reset(); });
  caller_server.reset();
  operator_stopper.join();
  peer_stopper.join();
  control.Stop();
  prober.reset();
  peers.reset();
  store.reset();
  return is_serving ? 0 : 1;
}

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs an entry instance of baobabwall.\n"
      "usage: baobabwalld [--gateway] --settings=FILE [--check]");
  absl::ParseCommandLine(argc, argv);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const std::string settings_path = absl::GetFlag(FLAGS_settings);
  if (absl::GetFlag(FLAGS_gateway)) {
    return edge::RunGateway(settings_path, absl::GetFlag(FLAGS_check),
                            platform::PlatformDialect());
  }
  std::ifstream stream(settings_path);
  if (!stream) {
    std::cerr << "cannot read settings file '" << settings_path << "'\n";
    return kExitUsage;
  }
  std::stringstream settings_text;
  settings_text << stream.rdbuf();
  base::Findings findings;
  const auto settings = settings::ParseProcessSettings(
      settings_path, settings_text.str(), &findings);
  if (!settings) {
    std::cerr << findings.ToString();
    return kExitUsage;
  }
  if (absl::GetFlag(FLAGS_check)) {
    return 0;
  }
  return Serve(*settings);
}

}  // namespace internal
}  // namespace baobabwall::daemon

int main(int argc, char** argv) {
  return baobabwall::daemon::internal::Main(argc, argv);
}
