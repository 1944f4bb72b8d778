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

/// Value of a body length if the body has chunked transfer encoding.
inline constexpr int64_t kChunked = -1;
/// Value of a body length if the answer has neither a body nor a Content-Length
/// header (HEAD, 204, 304).
inline constexpr int64_t kNoBody = -2;

/// \brief A request on a server connection, with functions to answer the
/// request.
class HttpExchange {
 public:
  explicit HttpExchange(mg_connection* connection);

  absl::string_view method() const;
  /// \returns the decoded path without the query; `..` and repeated slashes are
  /// removed.
  absl::string_view path() const;
  /// \returns the decoded path without the query; `..` and repeated slashes are
  /// kept.
  absl::string_view unnormalized_path() const;
  absl::string_view query() const;  ///< Not decoded; empty if absent.
  absl::string_view remote_address() const;
  int64_t content_length() const;  ///< In bytes; -1 if unknown.

  /// \returns the value of a header, or an empty view if the header is absent.
  absl::string_view header(absl::string_view name) const;
  int CountHeader(absl::string_view name) const;
  std::vector<Header> headers() const;

  /// \returns the decoded value of a query parameter, empty if absent.
  std::string QueryValue(const std::string& name) const;

  bool is_chunked_request() const;

  /// \returns the socket of the caller, or -1 if the socket could not be
  /// identified. The result is valid during the exchange.
  int socket() const;

  /// \brief Sends "100 Continue" if the caller waits for that answer before
  /// sending the body (Expect: 100-continue).
  void AcceptBody();

  /// \brief Reads part of the body.
  /// \returns number of bytes read; 0 at the end of the body, negative on
  /// error.
  int ReadBody(char* buffer, size_t size);

  /// \brief Reads the whole body.
  /// \param limit maximum length of the body in bytes.
  /// \returns false if the body is longer than the limit or incomplete.
  bool ReadWholeBody(size_t limit, std::string* body);

  /// \brief Sends a complete answer.
  /// \returns false if the answer could not be written to the connection.
  bool Answer(int status,
              absl::Span<const Header> headers,
              absl::string_view body);

  /// \brief Sends the head of an answer; WriteBody() sends the body.
  /// \param length length of the body in bytes; kChunked or kNoBody.
  bool StartAnswer(int status,
                   absl::Span<const Header> headers,
                   int64_t length);
  bool WriteBody(absl::string_view data);
  /// \brief Ends a body that was started with kChunked.
  bool EndBody();

  /// \brief Closes the connection after this exchange. If the head of the
  /// answer has not been sent yet, the head contains "Connection: close";
  /// otherwise the caller detects a truncated answer by the closed connection.
  void CloseAfter();

 private:
  std::string BuildAnswerHead(int status,
                              absl::Span<const Header> headers,
                              int64_t length);
  bool Write(absl::string_view data);

  mg_connection* connection_;
  bool is_chunked_answer_ = false;
  bool closes_after_exchange_ = false;
};

/// \brief HTTP server on one port, based on CivetWeb.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange*)>;
  using ErrorHook =
      std::function<std::pair<std::vector<Header>, std::string>(int status)>;

  class Builder {
   public:
    Builder& Address(absl::string_view address, int port);
    /// \param threads number of worker threads; each open connection occupies a
    /// worker thread.
    Builder& Threads(int threads);
    /// \param timeout idle time after which a connection is closed.
    Builder& IdleTimeout(absl::Duration timeout);
    /// \brief Sets a hook that returns the headers and the body of the server's
    /// own error answers, such as for a malformed request or a path without a
    /// handler.
    Builder& ErrorAnswer(ErrorHook hook);
    /// \brief Sets the handler of requests whose path begins with the prefix.
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
