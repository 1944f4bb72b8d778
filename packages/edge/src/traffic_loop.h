#ifndef EDGE_SRC_TRAFFIC_LOOP_H_
#define EDGE_SRC_TRAFFIC_LOOP_H_

#include <array>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "edge/src/account_counters.h"
#include "edge/src/backend_client.h"
#include "edge/src/dialect.h"
#include "edge/src/http_listener.h"
#include "edge/src/peer_channel.h"
#include "edge/src/request_log.h"
#include "gateway/gateway.h"
#include "settings/settings.h"
#include "transport/transport.h"

namespace baobabwall::edge {

/// \brief Serves callers, backend servers, lookups, readiness checks and
/// heartbeats on one event loop with its own thread.
class TrafficLoop {
 public:
  static constexpr absl::Duration kTickInterval = absl::Milliseconds(20);
  /// Tick interval while no request is in flight.
  static constexpr absl::Duration kIdleTickInterval = absl::Milliseconds(100);
  static constexpr absl::Duration kPeerTickInterval = absl::Milliseconds(100);
  static constexpr absl::Duration kMaintenanceInterval =
      absl::Milliseconds(500);
  /// Maximum number of instances that are named in the log for one change of
  /// the live instances; of the others only the number is logged.
  static constexpr size_t kMaxListedPeerChanges = 8;
  /// A gap between ticks that is longer than this time indicates that the
  /// process or the machine was suspended.
  static constexpr absl::Duration kPauseThreshold = absl::Milliseconds(700);
  /// Fraction of the grace period in which new requests are accepted, counted
  /// from the stop signal. The rest of the grace period is for requests in
  /// flight.
  static constexpr double kAcceptingPhaseFraction = 0.5;
  /// Time between the exit of the process and the end of the grace period, when
  /// the platform would kill the process.
  static constexpr absl::Duration kKillTimeMargin = absl::Milliseconds(300);
  /// Time after the start until which requests are queued that arrive before
  /// the first read of the shared state. The time allows for two calls to a
  /// slow store.
  static constexpr absl::Duration kMaxStartupWait = absl::Seconds(1);
  /// Minimum fraction of the grace period in which an instance serves requests
  /// after the stop signal, even if the instance is idle. Callers use the
  /// answer to a lookup for up to three times its time to live. In a zone with
  /// one instance, they know no other instance until then.
  static constexpr double kMinServeFraction = kAcceptingPhaseFraction;

  /// Memory of a process without requests, and of the shared state and other
  /// connections; the rest of the memory limit is for requests and answers.
  static constexpr uint64_t kProcessBytes = 32 * 1024 * 1024;
  /// File descriptors that the platform does not leave for sockets.
  static constexpr int64_t kPlatformDescriptors = 200;
  /// Fraction of the other file descriptors that callers may use. The rest is
  /// for servers, store, peers, lookups, readiness checks, metrics and files.
  static constexpr double kCallerDescriptorFraction = 0.5;

  /// Fraction of the file descriptors that pipelined requests may use for
  /// connections to backend servers. As many may stay open while they are idle.
  static constexpr double kPipelinedDescriptorFraction = 0.2;

  struct Hooks {
    std::function<void(uint64_t fingerprint)> on_crashing_request;
    std::function<void()> on_shutdown_complete;
    /// Called if another instance has a newer position of the shared state.
    std::function<void(gateway::StatePosition)> on_peer_position;
  };

  TrafficLoop(const settings::GatewaySettings& settings,
              const Dialect* dialect,
              gateway::InstanceRecord self,
              uint64_t seed,
              transport::Metrics* metrics,
              Hooks hooks);
  ~TrafficLoop();

  /// \returns false if a port cannot be opened; the error is logged.
  bool Open();
  void Start();
  void Stop();

  /// \brief Applies a new view of the shared state. Thread-safe.
  void Publish(std::shared_ptr<const gateway::ControlView> view);
  /// \brief Applies new bounds of the retry budget. Thread-safe.
  void SetRetryBound(const gateway::RetryBudgetBound& bound);
  /// \brief Starts a graceful shutdown, which ends with a call of
  /// Hooks::on_shutdown_complete. Thread-safe.
  void StartShutdown();

 private:
  struct PendingRequest {
    ExchangeId exchange = 0;
    std::shared_ptr<const HttpRequest> request;
    std::string caller_id;
  };

  bool IsReady() const;
  /// \returns the refusal of a request whose body has not been read.
  std::optional<HttpResponse> CheckHead(const RequestHead& head);
  void OnRequest(ExchangeId exchange, HttpRequest request);
  void OnAttemptEnd(const gateway::AttemptEnd& end,
                    std::optional<HttpResponse> answer);
  void DispatchRequest(ExchangeId exchange,
                       std::shared_ptr<const HttpRequest> request,
                       absl::Time arrival);
  /// Dispatches the requests that were queued until the first read of the
  /// shared state.
  void DispatchQueuedRequests();
  void OnCallerDisconnected(ExchangeId exchange);
  void PerformActions(gateway::SteeringActions actions,
                      std::optional<HttpResponse>* answer);
  void SendAnswer(gateway::RequestId id, HttpResponse answer);
  void OnLookup(ExchangeId exchange, const HttpRequest& request);
  void OnReadinessCheck(ExchangeId exchange, const HttpRequest& request);
  void OnMetricsRequest(ExchangeId exchange);
  void OnRequestEnd(const gateway::RequestRecord& record);
  void Apply(std::shared_ptr<const gateway::ControlView> view);
  /// Detects that the process was suspended since the last tick. Called before
  /// anything that judges how long other instances have been silent.
  void DetectPause(absl::Time now);
  void Tick();
  void TickPeers(absl::Time now);
  void TickMaintenance(absl::Time now);
  void TickShutdown(absl::Time now);
  /// Passes the live instances on if they have changed.
  void UpdateLiveInstances(absl::Time now);
  /// Updates what the placement of requests knows of the other instances'
  /// requests.
  void UpdatePeerLoads(absl::Time now);
  /// Updates the instances that share the quotas of the client accounts.
  void UpdateQuotaInstances(absl::Time now);
  void UpdatePlans(absl::Time now);
  void OnHeartbeat(const gateway::Heartbeat& heartbeat);
  static void LogPeerChanges(
      absl::Span<const gateway::PeerTable::Change> changes);
  void LogShareChanges();
  void SetClientLimits();
  void LogShedRequests();
  void AddMetrics();
  void AddClientMetrics();

  struct QueuedRequest {
    std::shared_ptr<const HttpRequest> request;
    absl::Time arrival;
  };

  settings::GatewaySettings settings_;
  const Dialect* dialect_;
  gateway::InstanceRecord self_;
  transport::Metrics* metrics_;
  Hooks hooks_;
  /// Outlives the event loop, whose handlers hold reservations.
  MemoryBudget memory_budget_;
  asio::io_context io_;
  gateway::ZoneMap zones_;
  gateway::Steering steering_;
  gateway::PeerTable peers_;
  gateway::LookupCache lookup_cache_;
  RequestLog request_log_;
  AccountCounters account_counters_;
  HttpListener caller_listener_;
  HttpListener readiness_listener_;
  HttpListener lookup_listener_;
  HttpListener metrics_listener_;
  BackendClient backend_client_;
  PeerChannel peer_channel_;
  asio::steady_timer timer_;
  std::shared_ptr<const gateway::ControlView> view_;
  absl::Time start_time_ = absl::InfinitePast();
  std::map<ExchangeId, QueuedRequest> queued_requests_;
  absl::flat_hash_map<gateway::RequestId, PendingRequest> pending_requests_;
  absl::flat_hash_map<ExchangeId, gateway::RequestId> request_by_exchange_;
  gateway::RequestId last_request_id_ = 0;
  uint64_t heartbeat_sequence_ = 0;
  absl::Time last_tick_ = absl::InfinitePast();
  absl::Time last_peer_tick_ = absl::InfinitePast();
  /// Counts of HttpListener::ShedCause at the last log line.
  std::array<uint64_t, HttpListener::kShedCauseCount> logged_shed_counts_ = {};
  absl::Time last_maintenance_ = absl::InfinitePast();
  absl::Time shutdown_start_ = absl::InfiniteFuture();
  bool was_ready_ = false;  ///< At the last UpdateLiveInstances().
  bool are_records_changed_ = false;
  bool is_rejecting_requests_ = false;
  bool is_shutdown_complete_ = false;
  std::thread thread_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_TRAFFIC_LOOP_H_
