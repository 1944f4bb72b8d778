#ifndef TRANSPORT_SRC_HTTP_SERVER_H_
#define TRANSPORT_SRC_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"

struct mg_connection;
struct mg_context;

namespace baobabwall::transport {

using Header = std::pair<std::string, std::string>;

/// Length of a body that is sent in chunks.
inline constexpr int64_t kChunked = -1;
/// An answer that has no body and does not tell a length (HEAD, 204, 304).
inline constexpr int64_t kNoBody = -2;

/// \brief One request on a server connection, and the way to answer it.
class HttpExchange {
 public:
  explicit HttpExchange(mg_connection* connection);

  absl::string_view method() const;
  /// Decoded, without the query, `..` and repeated slashes removed.
  absl::string_view path() const;
  /// Decoded, without the query.
  absl::string_view unnormalized_path() const;
  absl::string_view query() const;  ///< Not decoded; empty if there is none.
  absl::string_view remote_address() const;
  int64_t content_length() const;  ///< -1 if it is not known.

  /// \returns the value, or an empty view if the header is absent.
  absl::string_view header(absl::string_view name) const;
  int CountHeader(absl::string_view name) const;
  std::vector<Header> headers() const;

  /// \returns the decoded value of a query parameter, empty if absent.
  std::string QueryValue(const std::string& name) const;

  bool is_chunked_request() const;

  /// \returns the socket of the caller, -1 if it could not be told; valid
  /// during the exchange.
  int socket() const;

  /// \brief Tells a caller that waits for it (Expect: 100-continue) to send
  /// the body.
  void AcceptBody();

  /// \brief Reads part of the body.
  /// \returns number of bytes; 0 at the end, negative on error.
  int ReadBody(char* buffer, size_t size);

  /// \brief Reads the whole body.
  /// \returns false if it is longer than the limit or broke off.
  bool ReadWholeBody(size_t limit, std::string* body);

  /// \brief Sends a complete answer.
  /// \returns false if the caller is gone.
  bool Answer(int status,
              absl::Span<const Header> headers,
              absl::string_view body);

  /// \brief Sends the head of an answer whose body follows by WriteBody().
  /// \param length length of the body in bytes; kChunked or kNoBody.
  bool StartAnswer(int status,
                   absl::Span<const Header> headers,
                   int64_t length);
  bool WriteBody(absl::string_view data);
  /// \brief Ends a body of which the head told kChunked.
  bool EndBody();

  /// \brief Closes the connection after this exchange. Before the head of the
  /// answer it tells the caller so; later, the caller sees that an answer was
  /// cut short.
  void CloseAfter();

 private:
  std::string Head(int status,
                   absl::Span<const Header> headers,
                   int64_t length);
  bool Write(absl::string_view data);

  mg_connection* connection_;
  bool is_chunked_ = false;
  bool is_closing_ = false;
};

/// \brief HTTP server on one port, on CivetWeb.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange*)>;
  using ErrorHook =
      std::function<std::pair<std::vector<Header>, std::string>(int status)>;

  class Builder {
   public:
    Builder& Address(absl::string_view address, int port);
    /// \param threads worker threads; each open connection takes one.
    Builder& Threads(int threads);
    /// \param timeout idle connections are closed after it.
    Builder& IdleTimeout(absl::Duration timeout);
    /// \brief Makes the answers of the server itself (a malformed request, a
    /// path without handler): the headers and the body for a status.
    Builder& ErrorAnswer(ErrorHook hook);
    /// \brief Handles every request whose path begins with the prefix.
    Builder& Handle(absl::string_view prefix, Handler handler);
    /// \returns nullptr if the port cannot be opened.
    std::unique_ptr<HttpServer> Start();

   private:
    friend class HttpServer;
    std::string address_;
    int port_ = 0;
    int threads_ = 8;
    absl::Duration idle_timeout_ = absl::Seconds(5);
    std::vector<std::pair<std::string, Handler>> handlers_;
    ErrorHook error_hook_;
  };

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  HttpServer() = default;
  static int OnError(mg_connection* connection, int status, const char* text);

  std::vector<std::unique_ptr<Handler>> handlers_;
  ErrorHook error_hook_;
  mg_context* context_ = nullptr;
};

}  // namespace baobabwall::transport

#endif  // TRANSPORT_SRC_HTTP_SERVER_H_
