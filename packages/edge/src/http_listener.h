#ifndef EDGE_SRC_HTTP_LISTENER_H_
#define EDGE_SRC_HTTP_LISTENER_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "edge/src/http_message.h"

namespace baobabwall::edge {

/// Id of a request and its answer, unique within a listener.
using ExchangeId = uint64_t;

/// \brief HTTP server on one event loop.
///
/// Requests that are sent before the answer to an earlier one are handed out
/// side by side; their answers are sent in the order of the requests.
class HttpListener {
 public:
  /// Most requests of one connection that wait for their answers.
  static constexpr size_t kMaxPipelined = 64;
  /// How long a connection is kept after its last answer, so that the answer
  /// isn't lost to a reset because of bytes that were not read.
  static constexpr absl::Duration kLinger = absl::Seconds(1);
  /// Callers may reuse a connection up to the idle timeout; this is the margin
  /// for requests under way.
  static constexpr absl::Duration kIdleSlack = absl::Seconds(1);
  /// Time for the first request of a connection, of a leaving listener.
  static constexpr absl::Duration kFirstRequest = absl::Seconds(1);
  static constexpr int kBacklog = 1024;
  /// Pause after a failed accept, such as for want of descriptors.
  static constexpr std::chrono::milliseconds kAcceptRetry{50};

  struct Hooks {
    /// A whole request has arrived; answered by Answer(), now or later.
    std::function<void(ExchangeId, HttpRequest)> on_request;
    /// The caller closed its connection before the answer.
    std::function<void(ExchangeId)> on_caller_gone;
  };

  HttpListener(asio::io_context* io, Hooks hooks);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// \returns false if the address can't be opened; logged.
  bool Open(const gateway::Endpoint& address);

  void SetLimits(const gateway::RequestLimits& limits) { limits_ = limits; }

  /// \brief Sends the answer of an exchange; without effect if the caller is
  /// gone.
  void Answer(ExchangeId exchange, HttpResponse answer);

  /// \brief From now on connections are closed after the answers to the
  /// requests that were read; those that hold none, and new ones, after one
  /// more request.
  void StartLeaving();
  /// \brief Ends connections that hold no request; those that never had one
  /// only kFirstRequest after they were opened.
  void CloseIdle(absl::Time now);
  void StopAccepting();
  /// \brief Ends all connections at once, whatever is under way.
  void CloseAll();

  /// \brief Ends connections that are idle or whose caller is too slow.
  void OnTick(absl::Time now);

  size_t connection_count() const { return connections_.size(); }

 private:
  class Connection;

  void Accept();
  /// \returns a copy: handling a connection may end others.
  std::vector<std::shared_ptr<Connection>> Connections() const;

  Hooks hooks_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  gateway::RequestLimits limits_;
  bool is_leaving_ = false;
  ExchangeId last_exchange_ = 0;
  std::map<Connection*, std::shared_ptr<Connection>> connections_;
  absl::flat_hash_map<ExchangeId, Connection*> exchanges_;
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_HTTP_LISTENER_H_
