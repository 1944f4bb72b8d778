#include "transport/src/peer_link.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "glog/logging.h"
#include "transport/src/peer_codec.h"

namespace baobabwall::transport {
namespace internal {

constexpr int kSenderThreads = 8;
constexpr size_t kMaxQueuedPeers = 4096;
constexpr size_t kMaxQueuedMessagesPerPeer = 64;
constexpr size_t kMaxIdleConnectionsPerPeer = 1;
// A round trip between regions takes 70 ms (docs/design.md, section 1.2), and
// TCP retransmits a lost segment within 400 ms.
constexpr absl::Duration kSendTimeout = absl::Seconds(1);
// The largest message, a snapshot part, is below 1 MB, or 1.4 MB in base64.
constexpr size_t kMaxMessageBytes = 8 * 1024 * 1024;
constexpr char kTokenHeader[] = "X-Baobabwall-Peer";

int64_t HeaderBytes(absl::Span<const Header> headers) {
  int64_t size = 0;
  for (const auto& [name, value] : headers) {
    size += static_cast<int64_t>(name.size() + value.size() + 4);
  }
  return size;
}

}  // namespace internal

PeerLink::PeerLink(control::Identity self,
                   std::string token,
                   OnMessage on_message)
    : self_(std::move(self)),
      token_(std::move(token)),
      expected_token_(token_),
      on_message_(std::move(on_message)),
      rpc_server_(PeerMethods(),
                  [this](const std::string& method, const std::string& params) {
                    HandleNotification(method, params);
                  }),
      connection_pool_(internal::kMaxIdleConnectionsPerPeer),
      sender_threads_(internal::kSenderThreads, internal::kMaxQueuedPeers) {}

PeerLink::~PeerLink() {
  sender_threads_.Close();
  connection_watch_.AbortAll();
}

void PeerLink::Send(const control::SendPeer& action) {
  const PeerAddress peer_address(action.to.address, action.to.peer_port);
  {
    std::lock_guard<std::mutex> lock(mutex_);
    PeerQueue& peer_queue = peer_queues_[peer_address];
    if (peer_queue.pending_messages.size() >=
        internal::kMaxQueuedMessagesPerPeer) {
      ++counters_.dropped;
      return;
    }
    peer_queue.pending_messages.push_back(action.payload);
    if (std::exchange(peer_queue.has_sender_thread, true)) {
      return;
    }
  }
  if (!sender_threads_.Add(
          [this, peer_address] { SendPendingMessages(peer_address); })) {
    std::lock_guard<std::mutex> lock(mutex_);
    counters_.dropped += static_cast<int64_t>(
        peer_queues_[peer_address].pending_messages.size());
    peer_queues_.erase(peer_address);
  }
}

void PeerLink::SendPendingMessages(const PeerAddress& peer_address) {
  while (true) {
    control::PeerPayload payload;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      PeerQueue& peer_queue = peer_queues_[peer_address];
      if (peer_queue.pending_messages.empty()) {
        peer_queues_.erase(peer_address);
        return;
      }
      payload = std::move(peer_queue.pending_messages.front());
      peer_queue.pending_messages.pop_front();
    }
    if (SendMessage(peer_address, std::move(payload))) {
      continue;
    }
    std::lock_guard<std::mutex> lock(mutex_);
    counters_.dropped +=
        1 + static_cast<int64_t>(
                peer_queues_[peer_address].pending_messages.size());
    peer_queues_.erase(peer_address);
    return;
  }
}

bool PeerLink::SendMessage(const PeerAddress& peer_address,
                           control::PeerPayload payload) {
  const PeerCall call = EncodePeerMessage({self_, std::move(payload)});
  const std::vector<Header> headers = {{"Content-Type", "application/json"},
                                       {internal::kTokenHeader, token_}};
  const auto send = [&](const std::string& message) {
    counters_.bytes_sent +=
        static_cast<int64_t>(message.size()) + internal::HeaderBytes(headers);
    HttpAnswer answer;
    return Fetch(&connection_pool_, peer_address.first, peer_address.second,
                 "POST", kPeerPath, headers, message, internal::kSendTimeout,
                 &answer, &connection_watch_) &&
           answer.status == 200;
  };
  if (!JsonRpcClient::Notify(call.method, call.params, send)) {
    return false;
  }
  ++counters_.messages_sent;
  return true;
}

void PeerLink::Handle(HttpExchange* exchange) {
  std::string message;
  if (!expected_token_.IsEqual(exchange->header(internal::kTokenHeader))) {
    ++counters_.refused;
    exchange->CloseAfter();
    exchange->Answer(401, {}, "");
    return;
  }
  if (exchange->method() != "POST" ||
      !exchange->ReadWholeBody(internal::kMaxMessageBytes, &message)) {
    ++counters_.refused;
    exchange->CloseAfter();
    exchange->Answer(400, {}, "");
    return;
  }
  counters_.bytes_received += static_cast<int64_t>(message.size()) +
                              internal::HeaderBytes(exchange->headers());
  const std::string answer = rpc_server_.Handle(message);
  if (!answer.empty()) {
    ++counters_.refused;
  }
  exchange->Answer(200, {{"Content-Type", "application/json"}}, answer);
}

void PeerLink::HandleNotification(const std::string& method,
                                  const std::string& params) {
  base::Findings findings;
  auto message = DecodePeerMessage(method, params, &findings);
  if (!message) {
    ++counters_.refused;
    LOG_EVERY_N(WARNING, 100) << "member: malformed message method=" << method
                              << " findings=" << findings.ToString();
    return;
  }
  ++counters_.messages_received;
  on_message_(*std::move(message));
}

}  // namespace baobabwall::transport
