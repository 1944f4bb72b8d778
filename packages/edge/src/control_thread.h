#ifndef EDGE_SRC_CONTROL_THREAD_H_
#define EDGE_SRC_CONTROL_THREAD_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <thread>

#include "edge/src/dialect.h"
#include "edge/src/store_link.h"
#include "gateway/gateway.h"

namespace baobabwall::edge {

/// \brief The control thread: the shared state and the calls to the store.
class ControlThread {
 public:
  static constexpr absl::Duration kTick = absl::Milliseconds(50);

  /// \param publish receives each new view; called on the control thread.
  ControlThread(
      const Dialect* dialect,
      gateway::Endpoint store,
      gateway::InstanceRecord self,
      uint64_t seed,
      std::function<void(std::shared_ptr<const gateway::ControlView>)> publish);
  ~ControlThread();

  void Start();
  void Stop();
  /// \brief Removes this instance's record from the store. Thread-safe.
  void Leave();
  /// \brief Tells the others of a request that crashes servers. Thread-safe.
  void ReportCrash(uint64_t fingerprint);

 private:
  void Tick();

  asio::io_context io_;
  gateway::GatewayControl control_;
  StoreLink link_;
  asio::steady_timer timer_;
  std::thread thread_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_CONTROL_THREAD_H_
