#ifndef TEST_LOOPBACK_PROXY_H_
#define TEST_LOOPBACK_PROXY_H_

#include <memory>
#include <set>
#include <thread>

#include "absl/time/time.h"
#include "edge/edge.h"

namespace baobabwall::test {

/// \brief What a proxy does with the data of its connections.
enum class ProxyMode {
  kPass,
  kDelay,       ///< Data is forwarded after 200 ms.
  kSilent,      ///< No data is forwarded; connections stay open.
  kDropReplies  ///< Only data to the server is forwarded.
};

/// \brief TCP proxy on the loopback interface that injects connection faults.
/// Thread-safe.
class LoopbackProxy {
 public:
  /// \param target port of the server on 127.0.0.1.
  explicit LoopbackProxy(int target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  int port() const { return port_; }
  void SetMode(ProxyMode mode);
  /// \brief Resets all connections.
  void Reset();

 private:
  class Connection;

  void Accept();

  edge::asio::io_context io_;
  edge::tcp::acceptor acceptor_;
  int target_;
  int port_;
  std::atomic<ProxyMode> mode_{ProxyMode::kPass};
  std::set<std::shared_ptr<Connection>> connections_;
  std::thread thread_;
};

}  // namespace baobabwall::test

#endif  // TEST_LOOPBACK_PROXY_H_
