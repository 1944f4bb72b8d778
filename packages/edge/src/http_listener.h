#ifndef EDGE_SRC_HTTP_LISTENER_H_
#define EDGE_SRC_HTTP_LISTENER_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "edge/src/http_message.h"

namespace baobabwall::edge {

/// Id of an exchange, which is a request and its answer. Ids are unique within
/// a listener.
using ExchangeId = uint64_t;

/// \brief HTTP server on one event loop.
///
/// Pipelined requests are passed to the request hook as they arrive, without
/// waiting for earlier answers. The answers are sent in the order of the
/// requests.
class HttpListener {
 public:
  /// Maximum number of requests of one connection that wait for their answers.
  static constexpr size_t kMaxPipelinedRequests = 64;
  /// Time for which a connection stays open after its last answer. Closing a
  /// socket with unread data resets the connection, and the caller could lose
  /// the answer.
  static constexpr absl::Duration kLingerTime = absl::Seconds(1);
  /// Maximum time for which a connection stays open after its last answer while
  /// the caller still sends.
  static constexpr absl::Duration kMaxLingerTime = absl::Seconds(5);
  /// Maximum size of a body that is read and discarded to keep the connection
  /// usable after a request was refused by its head.
  static constexpr uint64_t kMaxDiscardedBodyBytes = 256 * 1024;
  /// Maximum size of the data that is received or decoded at once.
  static constexpr size_t kReadPieceBytes = 64 * 1024;
  /// Time that is added to the idle timeout for requests in flight, because
  /// callers may reuse a connection until the idle timeout.
  static constexpr absl::Duration kIdleTimeoutMargin = absl::Seconds(1);
  /// Time for the first request of a connection while the listener drains.
  static constexpr absl::Duration kFirstRequestTimeout = absl::Seconds(1);
  static constexpr int kListenBacklog = 1024;
  /// Maximum size of received data that is not parsed yet. Above the maximum
  /// header size of every configuration.
  static constexpr size_t kMaxUnparsedBytes = 256 * 1024;
  /// Delay after a failed accept, for example if the process has no free file
  /// descriptors.
  static constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

  struct Hooks {
    /// Called for each complete request; the request is answered by Answer(),
    /// immediately or later.
    std::function<void(ExchangeId, HttpRequest)> on_request;
    /// Called if the caller disconnects before the request is answered.
    std::function<void(ExchangeId)> on_caller_disconnected;
    /// Called once when the head of a request is complete, before its body is
    /// read. If it returns an answer, the answer is sent in order, the body is
    /// discarded and `on_request` is not called. Unset: every head is accepted.
    std::function<std::optional<HttpResponse>(const RequestHead& head)>
        on_request_head = nullptr;
  };

  HttpListener(asio::io_context* io, Hooks hooks);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// \returns false if the address cannot be opened; the error is logged.
  bool Open(const gateway::Endpoint& address);

  void SetLimits(const gateway::RequestLimits& limits) { limits_ = limits; }

  /// \brief Sends the answer of an exchange. Does nothing if the caller has
  /// disconnected.
  void Answer(ExchangeId exchange, HttpResponse answer);

  /// \brief Starts closing connections. A connection with pending requests is
  /// closed after these requests are answered; an idle or new connection is
  /// closed after one more request.
  void StartDraining();
  /// \brief Closes connections without a pending request. If a connection has
  /// not had a request yet, it is closed only kFirstRequestTimeout after its
  /// last activity.
  void CloseIdleConnections(absl::Time now);
  void StopAccepting();
  /// \brief Closes all connections immediately, including those with pending
  /// requests.
  void CloseAllConnections();

  /// \brief Closes connections that exceed the idle timeout and rejects
  /// requests whose header exceeds the header timeout.
  void OnTick(absl::Time now);

  size_t connection_count() const { return connections_.size(); }

 private:
  class Connection;

  void Accept();
  /// \returns a copy of the connections, because handling one connection may
  /// remove others.
  std::vector<std::shared_ptr<Connection>> CopyConnections() const;

  Hooks hooks_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  gateway::RequestLimits limits_;
  bool is_draining_ = false;
  ExchangeId last_exchange_id_ = 0;
  std::map<Connection*, std::shared_ptr<Connection>> connections_;
  absl::flat_hash_map<ExchangeId, Connection*> connection_by_exchange_;
  /// Scratch space for received data and for decoded parts of bodies, shared by
  /// all connections. Its contents are used only within one call.
  std::vector<char> receive_space_;
  std::vector<char> decode_space_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_HTTP_LISTENER_H_
