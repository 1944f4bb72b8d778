#include "edge/src/peer_channel.h"

#include <optional>
#include <utility>

#include "glog/logging.h"

namespace baobabwall::edge {

using boost::system::error_code;

PeerChannel::PeerChannel(asio::io_context* io,
                         HeartbeatCallback on_heartbeat,
                         QuotaMessageCallback on_quota_message)
    : on_heartbeat_(std::move(on_heartbeat)),
      on_quota_message_(std::move(on_quota_message)),
      socket_(*io) {}

bool PeerChannel::Open(const gateway::Endpoint& address) {
  const auto endpoint = ToAsio<udp>(address);
  error_code error;
  if (endpoint) {
    socket_.open(endpoint->protocol(), error);
  }
  if (endpoint && !error) {
    socket_.bind(*endpoint, error);
  }
  if (!endpoint || error) {
    LOG(ERROR) << "peer: cannot open address=" << address.address << ":"
               << address.port << " error=" << error.message();
    return false;
  }
  socket_.non_blocking(true, error);
  Receive();
  return true;
}

void PeerChannel::Receive() {
  socket_.async_receive_from(
      asio::buffer(receive_buffer_), sender_,
      [this](error_code error, size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          OnDatagram(absl::MakeConstSpan(receive_buffer_.data(), size));
        }
        Receive();
      });
}

void PeerChannel::OnDatagram(absl::Span<const uint8_t> datagram) {
  if (const auto heartbeat = gateway::Heartbeat::Decode(datagram)) {
    on_heartbeat_(*heartbeat);
  } else if (const auto message = gateway::QuotaMessage::Decode(datagram)) {
    on_quota_message_(*message);
  } else {
    LOG(WARNING) << "peer: unreadable datagram bytes=" << datagram.size();
  }
}

void PeerChannel::Send(
    absl::Span<const gateway::AccountQuotas::Outgoing> messages) {
  for (const gateway::AccountQuotas::Outgoing& outgoing : messages) {
    SendTo(outgoing.receiver, outgoing.message.Encode());
  }
}

void PeerChannel::Send(
    const gateway::Heartbeat& heartbeat,
    absl::Span<const gateway::PeerTable::Receiver> receivers) {
  using LoadReport = gateway::Heartbeat::LoadReport;
  std::vector<uint8_t> with_loads;
  std::vector<uint8_t> without_loads;
  for (const gateway::PeerTable::Receiver& receiver : receivers) {
    std::vector<uint8_t>& datagram =
        receiver.uses_loads ? with_loads : without_loads;
    if (datagram.empty()) {
      datagram = heartbeat.Encode(receiver.uses_loads ? LoadReport::kIncluded
                                                      : LoadReport::kOmitted);
    }
    SendTo(receiver.endpoint, datagram);
  }
}

void PeerChannel::SendTo(const gateway::Endpoint& receiver,
                         absl::Span<const uint8_t> datagram) {
  const auto endpoint = ToAsio<udp>(receiver);
  if (!endpoint) {
    return;
  }
  // A lost heartbeat needs no retry because the next heartbeat replaces it.
  error_code ignored;
  socket_.send_to(asio::buffer(datagram.data(), datagram.size()), *endpoint, 0,
                  ignored);
}

}  // namespace baobabwall::edge
