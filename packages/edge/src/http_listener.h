#ifndef EDGE_SRC_HTTP_LISTENER_H_
#define EDGE_SRC_HTTP_LISTENER_H_

#include <array>
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
#include "edge/src/memory_budget.h"

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

  /// Bounds for clients that the operators do not control.
  struct ClientLimits {
    /// Bounds the bodies and answers of all connections; nullptr: no bound.
    /// Must outlive the listener.
    MemoryBudget* budget = nullptr;
    /// Time in which a body that is being received, or an answer that is being
    /// sent, must progress.
    absl::Duration progress_timeout = absl::InfiniteDuration();
    size_t max_connections = SIZE_MAX;
    /// Number of requests in flight from which a connection may have only one,
    /// because each of them needs a connection to a backend server.
    size_t max_pipelined_requests = SIZE_MAX;
  };

  /// Reasons to end a request or a connection before its answer.
  enum class ShedCause {
    kMemory,       ///< No memory for the body of the request.
    kSlowBody,     ///< The body made no progress.
    kSlowReader,   ///< The caller does not read the answer.
    kConnections,  ///< Too many connections.
  };
  static constexpr size_t kShedCauseCount = 4;

  /// Bodies up to this size use the part of the budget for small requests.
  static constexpr size_t kSmallBodyBytes = 64 * 1024;
  /// Memory that is counted for each connection.
  static constexpr uint64_t kConnectionBytes = 4 * 1024;
  /// Time for which reading pauses without memory before a request is refused.
  static constexpr absl::Duration kMaxReadPause = absl::Milliseconds(500);
  /// Minimum size of the progress within the progress timeout.
  static constexpr uint64_t kMinProgressBytes = 4 * 1024;
  /// Sizes of the socket buffers while the memory is limited. Twice the sizes
  /// are enough for 10 Mbit/s at a round trip time of 70 ms (88 KB).
  static constexpr int kReceiveBufferBytes = 64 * 1024;
  static constexpr int kSendBufferBytes = 64 * 1024;
  /// Maximum number of requests that one call of RelieveMemory() refuses.
  static constexpr int kMaxShedRequests = 16;

  HttpListener(asio::io_context* io, Hooks hooks);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// \returns false if the address cannot be opened; the error is logged.
  bool Open(const gateway::Endpoint& address);

  void SetLimits(const gateway::RequestLimits& limits) { limits_ = limits; }

  /// Must be called before Open().
  void SetClientLimits(const ClientLimits& limits) { client_limits_ = limits; }

  /// \returns the memory that is reserved for the request, which the caller of
  /// this function has to keep as long as the request. Otherwise the memory is
  /// returned when the exchange ends.
  MemoryBudget::Reservation TakeReservation(ExchangeId exchange);

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

  /// \brief Continues reading that was paused without memory, or refuses
  /// incomplete requests if there is still none.
  void RelieveMemory(absl::Time now);

  /// \returns how many requests and connections were ended for the cause.
  uint64_t shed_count(ShedCause cause) const {
    return shed_counts_[static_cast<size_t>(cause)];
  }
  size_t paused_connection_count() const { return paused_connections_.size(); }
  size_t connection_count() const { return connections_.size(); }

 private:
  class Connection;

  void Accept();
  /// \brief Closes a connection without a request that is being answered:
  /// first one without a request, then one within a head.
  /// \param newest connection that is not closed.
  /// \returns false if there is none.
  bool CloseUnusedConnection(const Connection* newest);
  void ResumeAccepting();
  void CountShed(ShedCause cause) {
    ++shed_counts_[static_cast<size_t>(cause)];
  }
  /// \returns the incomplete request to refuse first; nullptr if there is none.
  std::shared_ptr<Connection> ChooseVictim(absl::Time now) const;
  /// \returns the connection with the largest answers that its caller does not
  /// read; nullptr if there is none.
  std::shared_ptr<Connection> ChooseSlowReader(absl::Time now) const;
  /// \returns false if nothing can be ended.
  bool ShedOne(absl::Time now);
  /// \returns a copy of the connections, because handling one connection may
  /// remove others.
  std::vector<std::shared_ptr<Connection>> CopyConnections() const;

  Hooks hooks_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  gateway::RequestLimits limits_;
  ClientLimits client_limits_;
  std::array<uint64_t, kShedCauseCount> shed_counts_ = {};
  /// Connections whose reading is paused, in the order of their pauses.
  std::vector<std::shared_ptr<Connection>> paused_connections_;
  bool is_accept_paused_ = false;
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
