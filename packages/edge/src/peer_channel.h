#ifndef EDGE_SRC_PEER_CHANNEL_H_
#define EDGE_SRC_PEER_CHANNEL_H_

#include <array>
#include <functional>
#include <vector>

#include "edge/src/http_message.h"

namespace baobabwall::edge {

/// \brief Sends and receives heartbeats and messages about quotas between
/// instances in UDP datagrams.
class PeerChannel {
 public:
  using HeartbeatCallback = std::function<void(const gateway::Heartbeat&)>;

  using QuotaMessageCallback =
      std::function<void(const gateway::QuotaMessage&)>;

  PeerChannel(asio::io_context* io,
              HeartbeatCallback on_heartbeat,
              QuotaMessageCallback on_quota_message);

  /// \returns false if the address cannot be opened; the error is logged.
  bool Open(const gateway::Endpoint& address);

  /// \brief Sends a heartbeat to each receiver. A heartbeat that cannot be sent
  /// immediately is dropped.
  void Send(const gateway::Heartbeat& heartbeat,
            absl::Span<const gateway::PeerTable::Receiver> receivers);

  /// \brief Sends messages about quotas. A message that cannot be sent
  /// immediately is dropped.
  void Send(absl::Span<const gateway::AccountQuotas::Outgoing> messages);

 private:
  void Receive();
  void OnDatagram(absl::Span<const uint8_t> datagram);
  void SendTo(const gateway::Endpoint& receiver,
              absl::Span<const uint8_t> datagram);

  HeartbeatCallback on_heartbeat_;
  QuotaMessageCallback on_quota_message_;
  udp::socket socket_;
  udp::endpoint sender_;
  std::array<uint8_t, gateway::Heartbeat::kMaxEncodedBytes> receive_buffer_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_PEER_CHANNEL_H_
