#ifndef TRANSPORT_SRC_PEER_LINK_H_
#define TRANSPORT_SRC_PEER_LINK_H_

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "control/control.h"
#include "transport/src/connection_watch.h"
#include "transport/src/http_client.h"
#include "transport/src/http_server.h"
#include "transport/src/json_rpc.h"
#include "transport/src/token.h"
#include "transport/src/work_queue.h"

namespace baobabwall::transport {

/// HTTP path to which peer messages are posted on the peers' port.
inline constexpr absl::string_view kPeerPath = "/peer";

/// \brief Sends and receives one-way messages between instances.
///
/// Send() only queues the message. Each peer has a queue of up to 64 messages.
/// There are 8 threads that send messages, and at most one thread at a time
/// sends the messages of a queue. If the queue is full, a new message is
/// dropped. If a peer does not accept a message within 1 s, its whole queue is
/// dropped.
class PeerLink {
 public:
  using OnMessage = std::function<void(control::PeerMessage)>;

  /// Totals since the start of the process. The byte totals include the
  /// messages and the HTTP headers that this process wrote or parsed.
  struct Counters {
    std::atomic<int64_t> bytes_sent{0};
    std::atomic<int64_t> bytes_received{0};
    std::atomic<int64_t> messages_sent{0};
    std::atomic<int64_t> messages_received{0};
    std::atomic<int64_t> dropped{0};  ///< Messages that were not delivered.
    /// Received messages with a wrong token or a malformed content.
    std::atomic<int64_t> refused{0};
  };

  /// \param self this instance, which is the sender of all sent messages.
  /// \param token secret that all instances share.
  /// \param on_message called on server threads for each valid message.
  PeerLink(control::Identity self, std::string token, OnMessage on_message);
  ~PeerLink();

  /// \brief Queues a message and returns at once.
  void Send(const control::SendPeer& action);

  /// \brief Handles a request on the peers' port.
  void Handle(HttpExchange* exchange);

  const Counters& counters() const { return counters_; }

 private:
  using PeerAddress = std::pair<std::string, int>;
  struct PeerQueue {
    std::deque<control::PeerPayload> pending_messages;
    bool has_sender_thread = false;
  };

  void SendPendingMessages(const PeerAddress& peer_address);
  bool SendMessage(const PeerAddress& peer_address,
                   control::PeerPayload payload);
  void HandleNotification(const std::string& method, const std::string& params);

  const control::Identity self_;
  const std::string token_;
  const Token expected_token_;
  const OnMessage on_message_;
  Counters counters_;
  JsonRpcServer rpc_server_;
  ConnectionPool connection_pool_;
  ConnectionWatch connection_watch_;
  std::mutex mutex_;
  std::map<PeerAddress, PeerQueue> peer_queues_;
  WorkQueue sender_threads_;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_PEER_LINK_H_
