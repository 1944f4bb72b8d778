#ifndef TRANSPORT_SRC_HTTP_CLIENT_H_
#define TRANSPORT_SRC_HTTP_CLIENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "transport/src/connection_watch.h"
#include "transport/src/http_server.h"

namespace baobabwall::transport {

/// Timeout for opening a connection. Opening takes 1 ms within a zone and 70 ms
/// between regions (docs/design.md, section 1.2).
inline constexpr absl::Duration kConnectTimeout = absl::Seconds(1);

/// \brief One connection to an HTTP server, on CivetWeb.
///
/// The connection may carry another exchange only while is_reusable() is true,
/// that is, after a complete exchange.
class HttpConnection {
 public:
  /// \brief Connects in a separate thread, since CivetWeb's connect timeout is
  /// fixed at 10 s. Connections to the same server are opened one at a time, so
  /// that the socket of each connection can be identified.
  /// \returns nullptr if the connection is not established within the timeout.
  static std::unique_ptr<HttpConnection> Open(
      const std::string& address,
      int port,
      absl::Duration timeout = kConnectTimeout);
  ~HttpConnection();

  /// \returns the socket, or -1 if the socket could not be identified.
  int socket() const { return socket_; }

  /// \returns true if an idle connection can carry another exchange: the server
  /// has neither sent data on the connection nor closed it.
  bool IsIdleConnectionUsable() const;

  /// \brief Prepares the head of a request. The head is sent together with the
  /// first part of the body or by EndBody(), so that a small request fits into
  /// one TCP segment.
  /// \param body_length length of the body in bytes, 0 without a body, or
  /// kChunked.
  void StartRequest(absl::string_view method,
                    absl::string_view target,
                    absl::Span<const Header> headers,
                    int64_t body_length);
  bool WriteBody(absl::string_view data);
  /// \brief Ends the request. Must be called after each request, including
  /// requests without a body.
  bool EndBody();

  /// \brief Waits for the head of the answer and skips interim (1xx) answers.
  /// \returns false on a timeout, a broken connection, a malformed head, or an
  /// answer that arrived before its request was sent.
  bool ReadAnswerHead(absl::Duration timeout);

  int status() const;
  /// \returns the length of the body in bytes, or -1 if the body is chunked or
  /// ends when the server closes the connection.
  int64_t content_length() const;
  bool is_chunked_answer() const;
  /// \returns true if the end of the body is distinguishable from a broken
  /// connection, that is, if the body is chunked or has a length.
  bool has_framed_body() const;
  std::vector<Header> headers() const;
  absl::string_view header(absl::string_view name) const;
  int CountHeader(absl::string_view name) const;

  /// \returns number of bytes read; 0 at the end of the body, negative on
  /// error.
  int ReadBody(char* buffer, size_t size);

  /// \brief Marks the exchange as complete. The connection becomes reusable
  /// unless the server closes it or ForbidReuse() was called.
  void MarkComplete();
  /// \brief Keeps MarkComplete() from making the connection reusable, because
  /// the answer was not read.
  void ForbidReuse() { is_reuse_forbidden_ = true; }
  bool is_reusable() const { return is_reusable_; }
  absl::Time idle_since() const { return idle_since_; }

 private:
  HttpConnection() = default;
  bool Flush();
  bool ReadNextAnswerHead(absl::Duration timeout, bool is_first_answer);

  void* connection_ = nullptr;
  int socket_ = -1;
  int completed_exchange_count_ = 0;
  absl::Time idle_since_;
  std::string host_header_;
  std::string unsent_data_;
  bool is_chunked_request_ = false;
  bool is_reusable_ = false;
  bool is_reuse_forbidden_ = false;
};

/// Idle connections are closed after this time. Common servers close idle
/// connections after 5 s, so this time is shorter than 5 s.
inline constexpr absl::Duration kMaxIdleTime = absl::Seconds(4);

/// \brief Pool of idle connections for each address and port. Thread-safe.
class ConnectionPool {
 public:
  /// \param max_idle_per_server maximum number of idle connections per server.
  explicit ConnectionPool(size_t max_idle_per_server)
      : max_idle_per_server_(max_idle_per_server) {}

  /// \brief Takes an idle connection from the pool or opens a new connection.
  /// \param max_idle_time idle time above which a pooled connection is closed
  /// and not used.
  /// \param timeout timeout for opening a connection.
  /// \returns nullptr if no connection could be opened.
  std::unique_ptr<HttpConnection> Acquire(
      const std::string& address,
      int port,
      absl::Duration max_idle_time = kMaxIdleTime,
      absl::Duration timeout = kConnectTimeout);

  /// \brief Returns a connection to the pool, or closes the connection if it is
  /// not reusable or the pool is full.
  void Release(const std::string& address,
               int port,
               std::unique_ptr<HttpConnection> connection);

 private:
  size_t max_idle_per_server_;
  std::mutex mutex_;
  std::map<std::pair<std::string, int>,
           std::vector<std::unique_ptr<HttpConnection>>>
      idle_connections_;
};

/// \brief A complete HTTP answer, held in memory.
struct HttpAnswer {
  int status = 0;
  std::vector<Header> headers;
  std::string body;
};

/// \brief Sends a request and reads the whole answer, up to 64 MiB.
/// \param timeout limits the time for opening the connection, the time for
/// receiving the head and, if there is a watch, the time of the whole exchange.
/// \param watch aborts the exchange at its deadline; may be nullptr.
/// \returns false if no complete answer was received.
bool Fetch(ConnectionPool* pool,
           const std::string& address,
           int port,
           absl::string_view method,
           absl::string_view target,
           absl::Span<const Header> headers,
           absl::string_view body,
           absl::Duration timeout,
           HttpAnswer* answer,
           ConnectionWatch* watch = nullptr);

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_HTTP_CLIENT_H_
