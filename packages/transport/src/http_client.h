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

/// Longest time to open a connection. An open takes 1 ms within a zone and 70
/// ms between regions (docs/design.md, section 1.2).
inline constexpr absl::Duration kConnectTimeout = absl::Seconds(1);

/// \brief One connection to an HTTP server, on CivetWeb.
///
/// It may be used again only after a complete exchange; is_reusable() tells.
class HttpConnection {
 public:
  /// \brief Connects, in a thread of its own since CivetWeb's time-out is fixed
  /// at 10 s. Connections to one server are opened one after the other, so that
  /// the socket of each can be told.
  /// \returns nullptr if there is no connection within the timeout.
  static std::unique_ptr<HttpConnection> Open(
      const std::string& address,
      int port,
      absl::Duration timeout = kConnectTimeout);
  ~HttpConnection();

  /// \returns the socket, or -1 if it could not be told.
  int socket() const { return socket_; }

  /// \returns true if an idle connection can carry another exchange: nothing
  /// has arrived on it and the server has not closed it.
  bool IsIdleIntact() const;

  /// \brief Prepares the head of a request. It is sent with the first part of
  /// the body or by EndBody(): one segment for a small request.
  /// \param length length of the body; 0: none; kChunked.
  void StartRequest(absl::string_view method,
                    absl::string_view target,
                    absl::Span<const Header> headers,
                    int64_t length);
  bool WriteBody(absl::string_view data);
  /// \brief Must be called after each request, also without a body.
  bool EndBody();

  /// \brief Waits for the head of the answer; interim answers are skipped.
  /// \returns false on a timeout, a broken connection, a malformed head, or an
  /// answer that was there before its request.
  bool ReadAnswerHead(absl::Duration timeout);

  int status() const;
  int64_t content_length() const;  ///< -1: chunked or until close.
  bool is_chunked_answer() const;
  /// \returns true if the end of the body can be told from a broken connection.
  bool has_framed_body() const;
  std::vector<Header> headers() const;
  absl::string_view header(absl::string_view name) const;
  int CountHeader(absl::string_view name) const;

  /// \returns bytes read; 0 at the end, negative on error.
  int ReadBody(char* buffer, size_t size);

  /// \brief Marks the exchange as complete, so that the connection may be
  /// used again unless the server closes it.
  void MarkComplete();
  /// \brief MarkComplete() has no effect any more: the answer was not read.
  void ForbidReuse() { is_reuse_forbidden_ = true; }
  bool is_reusable() const { return is_reusable_; }
  absl::Time idle_since() const { return idle_since_; }

 private:
  HttpConnection() = default;
  bool Flush();
  bool ReadOneHead(absl::Duration timeout, bool is_first);

  void* connection_ = nullptr;
  int socket_ = -1;
  int exchange_count_ = 0;
  absl::Time idle_since_;
  std::string host_;
  std::string unsent_;
  bool is_chunked_ = false;
  bool is_reusable_ = false;
  bool is_reuse_forbidden_ = false;
};

/// Idle connections are closed after this time, before common servers do (5 s).
inline constexpr absl::Duration kLongestIdle = absl::Seconds(4);

/// \brief Idle connections for each address and port.
class ConnectionPool {
 public:
  /// \param max_idle most idle connections kept for each server.
  explicit ConnectionPool(size_t max_idle) : max_idle_(max_idle) {}

  /// \param longest_idle connections that were idle for longer are closed.
  /// \param timeout longest time to open a connection.
  std::unique_ptr<HttpConnection> Acquire(
      const std::string& address,
      int port,
      absl::Duration longest_idle = kLongestIdle,
      absl::Duration timeout = kConnectTimeout);

  /// \brief Gives a connection back; it is closed unless it is reusable.
  void Release(const std::string& address,
               int port,
               std::unique_ptr<HttpConnection> connection);

 private:
  size_t max_idle_;
  std::mutex mutex_;
  std::map<std::pair<std::string, int>,
           std::vector<std::unique_ptr<HttpConnection>>>
      idle_;
};

/// \brief A whole answer in memory.
struct HttpAnswer {
  int status = 0;
  std::vector<Header> headers;
  std::string body;
};

/// \brief Sends a request and reads the whole answer, up to 64 MiB.
/// \returns false if no complete answer came. The timeout bounds the wait for
/// the connection, for the head and, with a watch, for the whole exchange.
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
