#ifndef EDGE_SRC_TRAFFIC_LOOP_H_
#define EDGE_SRC_TRAFFIC_LOOP_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "edge/src/backend_client.h"
#include "edge/src/dialect.h"
#include "edge/src/http_listener.h"
#include "edge/src/peer_channel.h"
#include "edge/src/request_log.h"
#include "gateway/gateway.h"
#include "settings/settings.h"
#include "transport/transport.h"

namespace baobabwall::edge {

/// \brief The traffic thread: callers, backend servers, lookups, readiness and
/// heartbeats on one event loop.
class TrafficLoop {
 public:
  static constexpr absl::Duration kTick = absl::Milliseconds(20);
  /// While no request is in flight.
  static constexpr absl::Duration kIdleTick = absl::Milliseconds(50);
  static constexpr absl::Duration kPeerTick = absl::Milliseconds(100);
  static constexpr absl::Duration kSlowTick = absl::Milliseconds(500);
  /// A gap between ticks that shows that the machine was suspended.
  static constexpr absl::Duration kPause = absl::Milliseconds(700);
  /// New requests are taken for this part of the grace after the signal to
  /// stop; the rest is for those under way.
  static constexpr double kServePart = 0.5;
  /// The process ends this long before it would be killed.
  static constexpr absl::Duration kKillMargin = absl::Milliseconds(300);
  /// Requests that come before the first read of the state wait for it until
  /// the process is this old: two calls to a slow store.
  static constexpr absl::Duration kStartWait = absl::Seconds(1);
  /// A leaving instance serves at least this part of the grace, also when it is
  /// idle: callers keep the answer to a lookup for up to three times its time
  /// to live, and until then find nobody else in a zone with one instance.
  static constexpr double kLeastServePart = kServePart;

  struct Hooks {
    std::function<void(uint64_t fingerprint)> report_crash;
    std::function<void()> left;
    /// Another instance knows the state up to this revision of the store.
    std::function<void(int64_t revision)> peer_revision;
  };

  TrafficLoop(const settings::GatewaySettings& settings,
              const Dialect* dialect,
              gateway::InstanceRecord self,
              uint64_t seed,
              transport::Metrics* metrics,
              Hooks hooks);
  ~TrafficLoop();

  /// \returns false if a port can't be opened; logged.
  bool Open();
  void Start();
  void Stop();

  /// \brief Takes over a new view of the shared state. Thread-safe.
  void Publish(std::shared_ptr<const gateway::ControlView> view);
  /// \brief Takes over new bounds of the retry budget. Thread-safe.
  void SetRetryBound(const gateway::RetryBudgetBound& bound);
  /// \brief Starts a graceful shutdown; Hooks::left follows. Thread-safe.
  void Leave();

 private:
  struct Pending {
    ExchangeId exchange = 0;
    std::shared_ptr<const HttpRequest> request;
    std::string caller_id;
  };

  bool IsReady() const;
  void OnRequest(ExchangeId exchange, HttpRequest request);
  void OnAttemptEnd(const gateway::AttemptEnd& end,
                    std::optional<HttpResponse> answer);
  void Steer(ExchangeId exchange, HttpRequest request, absl::Time arrival);
  /// Steers the requests that waited for the first read of the state.
  void SteerEarly();
  void OnCallerGone(ExchangeId exchange);
  void Perform(gateway::SteeringActions actions,
               std::optional<HttpResponse>* answer);
  void Deliver(gateway::RequestId id, HttpResponse answer);
  void OnLookup(ExchangeId exchange, const HttpRequest& request);
  void OnReadinessCheck(ExchangeId exchange, const HttpRequest& request);
  void OnMetrics(ExchangeId exchange);
  void OnRequestEnd(const gateway::RequestRecord& record);
  void Apply(std::shared_ptr<const gateway::ControlView> view);
  void Tick();
  void TickPeers(absl::Time now);
  void TickSlow(absl::Time now);
  void TickLeaving(absl::Time now);
  void LogChanges(absl::Time now);
  void AddMetrics();
  std::vector<gateway::InstanceRecord> LiveInstances(absl::Time now) const;

  struct EarlyRequest {
    HttpRequest request;
    absl::Time arrival;
  };

  settings::GatewaySettings settings_;
  const Dialect* dialect_;
  gateway::InstanceRecord self_;
  transport::Metrics* metrics_;
  Hooks hooks_;
  asio::io_context io_;
  gateway::ZoneMap zones_;
  gateway::Steering steering_;
  gateway::PeerTable peers_;
  RequestLog request_log_;
  HttpListener callers_;
  HttpListener readiness_;
  HttpListener lookups_;
  HttpListener metrics_listener_;
  BackendClient backends_;
  PeerChannel channel_;
  asio::steady_timer timer_;
  std::shared_ptr<const gateway::ControlView> view_;
  absl::Time started_ = absl::InfinitePast();
  std::map<ExchangeId, EarlyRequest> early_;
  absl::flat_hash_map<gateway::RequestId, Pending> pending_;
  absl::flat_hash_map<ExchangeId, gateway::RequestId> by_exchange_;
  gateway::RequestId last_request_ = 0;
  uint64_t heartbeat_sequence_ = 0;
  absl::Time last_tick_ = absl::InfinitePast();
  absl::Time last_peer_tick_ = absl::InfinitePast();
  absl::Time last_slow_tick_ = absl::InfinitePast();
  absl::Time leaving_since_ = absl::InfiniteFuture();
  bool is_refusing_ = false;
  bool has_left_ = false;
  std::thread thread_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_TRAFFIC_LOOP_H_
