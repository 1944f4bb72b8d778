#ifndef EDGE_SRC_CONTROL_THREAD_H_
#define EDGE_SRC_CONTROL_THREAD_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <thread>

#include "edge/src/dialect.h"
#include "edge/src/http_listener.h"
#include "edge/src/relay_codec.h"
#include "edge/src/store_link.h"
#include "gateway/gateway.h"
#include "transport/transport.h"

namespace baobabwall::edge {

/// \brief Runs the control logic of an instance on its own thread: the replica
/// of the shared state, the calls to the store and the state reads between
/// instances.
class ControlThread {
 public:
  static constexpr absl::Duration kTickInterval = absl::Milliseconds(100);
  static constexpr absl::Duration kConnectionTickInterval =
      absl::Milliseconds(500);

  /// \param metrics must outlive this object.
  /// \param publish receives each new view of the shared state; called on the
  /// control thread.
  ControlThread(
      const Dialect* dialect,
      gateway::Endpoint store,
      gateway::InstanceRecord self,
      uint64_t seed,
      transport::Metrics* metrics,
      std::function<void(std::shared_ptr<const gateway::ControlView>)> publish);
  ~ControlThread();

  /// \param peers address and TCP port on which other instances read the shared
  /// state.
  /// \returns false if the port cannot be opened; the error is logged.
  bool Open(const gateway::Endpoint& peers) {
    return peer_listener_.Open(peers);
  }
  void Start();
  void Stop();
  /// \brief Removes the record of this instance from the store. Thread-safe.
  void Deregister();
  /// \brief Records that another instance has the shared state up to this
  /// position. Thread-safe.
  void OnPeerPosition(gateway::StatePosition position);
  /// \brief Reports a request that crashes backend servers to the other
  /// instances. Thread-safe.
  void ReportCrash(uint64_t fingerprint);

 private:
  gateway::GatewayControl::Hooks ControlHooks(
      const Dialect* dialect,
      transport::Metrics* metrics,
      std::function<void(std::shared_ptr<const gateway::ControlView>)> publish);
  /// \returns the callback that passes the answers to store calls to the
  /// control logic.
  StoreLink::DoneCallback AnswerCallback();
  void OnPeerRequest(ExchangeId exchange, const HttpRequest& request);
  void Tick();
  void AddMetrics(transport::Metrics* metrics);

  asio::io_context io_;
  gateway::Endpoint store_;
  gateway::GatewayControl control_;
  StoreLink store_link_;
  StoreLink peer_link_;
  HttpListener peer_listener_;
  RelayAnswerEncoder relay_encoder_;
  /// Time of the last complete read of the shared state, in nanoseconds of the
  /// steady clock; 0 before the first read. The metrics read this value on
  /// another thread.
  std::atomic<int64_t> last_read_ns_{0};
  std::atomic<bool> is_store_unreachable_{false};
  std::atomic<int64_t> era_{0};
  absl::Time last_connection_tick_ = absl::InfinitePast();
  asio::steady_timer timer_;
  std::thread thread_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_CONTROL_THREAD_H_
