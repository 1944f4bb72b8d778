#ifndef EDGE_SRC_PEER_CHANNEL_H_
#define EDGE_SRC_PEER_CHANNEL_H_

#include <array>
#include <functional>
#include <vector>

#include "edge/src/http_message.h"

namespace baobabwall::edge {

/// \brief Datagrams between instances.
class PeerChannel {
 public:
  using OnHeartbeat = std::function<void(const gateway::Heartbeat&)>;

  PeerChannel(asio::io_context* io, OnHeartbeat on_heartbeat);

  /// \returns false if the address can't be opened; logged.
  bool Open(const gateway::Endpoint& address);

  /// \brief Sends a heartbeat to each; what can't be sent at once is dropped.
  void Send(const gateway::Heartbeat& heartbeat,
            absl::Span<const gateway::Endpoint> peers);

 private:
  static constexpr size_t kMaxDatagram = 2048;

  void Receive();

  OnHeartbeat on_heartbeat_;
  udp::socket socket_;
  udp::endpoint sender_;
  std::array<uint8_t, kMaxDatagram> buffer_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_PEER_CHANNEL_H_
