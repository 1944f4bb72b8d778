#ifndef EDGE_SRC_CONTROL_THREAD_H_
#define EDGE_SRC_CONTROL_THREAD_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <thread>

#include "edge/src/dialect.h"
#include "edge/src/http_listener.h"
#include "edge/src/store_link.h"
#include "gateway/gateway.h"
#include "transport/transport.h"

namespace baobabwall::edge {

/// \brief The control thread: the shared state, the calls to the store and the
/// reads between instances.
class ControlThread {
 public:
  static constexpr absl::Duration kTick = absl::Milliseconds(50);
  static constexpr absl::Duration kConnectionTick = absl::Milliseconds(500);

  /// \param metrics outlives it.
  /// \param publish receives each new view; called on the control thread.
  ControlThread(
      const Dialect* dialect,
      gateway::Endpoint store,
      gateway::InstanceRecord self,
      uint64_t seed,
      transport::Metrics* metrics,
      std::function<void(std::shared_ptr<const gateway::ControlView>)> publish);
  ~ControlThread();

  /// \param peers where other instances read the shared state, by TCP.
  /// \returns false if it can't be opened; logged.
  bool Open(const gateway::Endpoint& peers) { return relay_.Open(peers); }
  void Start();
  void Stop();
  /// \brief Removes this instance's record from the store. Thread-safe.
  void Leave();
  /// \brief Another instance knows the state up to this revision. Thread-safe.
  void NotePeerRevision(int64_t revision);
  /// \brief Tells the others of a request that crashes servers. Thread-safe.
  void ReportCrash(uint64_t fingerprint);

 private:
  gateway::GatewayControl::Hooks ControlHooks(
      const Dialect* dialect,
      transport::Metrics* metrics,
      std::function<void(std::shared_ptr<const gateway::ControlView>)> publish);
  /// \returns what passes the answers to calls on.
  StoreLink::Done OnAnswer();
  void OnPeerRequest(ExchangeId exchange, const HttpRequest& request);
  void Tick();
  void AddMetrics(transport::Metrics* metrics);

  asio::io_context io_;
  gateway::Endpoint store_;
  gateway::GatewayControl control_;
  StoreLink store_link_;
  StoreLink peer_link_;
  HttpListener relay_;
  /// Read by the metrics, on another thread: time of the last whole answer, in
  /// nanoseconds of the steady clock; 0: none yet.
  std::atomic<int64_t> last_read_ns_{0};
  std::atomic<bool> is_store_lost_{false};
  absl::Time last_connection_tick_ = absl::InfinitePast();
  asio::steady_timer timer_;
  std::thread thread_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_CONTROL_THREAD_H_
