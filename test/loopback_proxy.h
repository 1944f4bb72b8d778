#ifndef TEST_LOOPBACK_PROXY_H_
#define TEST_LOOPBACK_PROXY_H_

#include <memory>
#include <set>
#include <thread>

#include "absl/time/time.h"
#include "edge/edge.h"

namespace baobabwall::test {

/// \brief What a proxy does with the bytes that pass through it.
enum class ProxyMode {
  kPass,
  kDelay,       ///< Each piece is passed on after 200 ms.
  kSilent,      ///< Nothing passes; connections stay open.
  kDropReplies  ///< Bytes to the server pass, its replies don't.
};

/// \brief TCP proxy on loopback that harms the connections through it.
/// Thread-safe.
class LoopbackProxy {
 public:
  /// \param target port on 127.0.0.1.
  explicit LoopbackProxy(int target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  int port() const { return port_; }
  void SetMode(ProxyMode mode);
  /// \brief Resets all connections.
  void Reset();

 private:
  class Link;

  void Accept();

  edge::asio::io_context io_;
  edge::tcp::acceptor acceptor_;
  int target_;
  int port_;
  std::atomic<ProxyMode> mode_{ProxyMode::kPass};
  std::set<std::shared_ptr<Link>> links_;
  std::thread thread_;
};

}  // namespace baobabwall::test

#endif  // TEST_LOOPBACK_PROXY_H_
