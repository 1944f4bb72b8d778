#include "transport/src/http_server.h"

#include <civetweb.h>

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "transport/src/socket_finder.h"

namespace baobabwall::transport {
namespace internal {

constexpr size_t kReadBufferBytes = 16 * 1024;
constexpr absl::string_view kContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

int DispatchRequest(mg_connection* connection, void* user) {
  HttpExchange exchange(connection);
  (*static_cast<HttpServer::Handler*>(user))(&exchange);
  return 1;
}

int OnConnection(const mg_connection* /*connection*/, void** /*data*/) {
  ResetAcceptedSocket();
  return 0;
}

const char* EmptyIfNull(const char* text) {
  return text == nullptr ? "" : text;
}

}  // namespace internal

HttpExchange::HttpExchange(mg_connection* connection)
    : connection_(connection) {}

absl::string_view HttpExchange::method() const {
  return internal::EmptyIfNull(
      mg_get_request_info(connection_)->request_method);
}

absl::string_view HttpExchange::path() const {
  return internal::EmptyIfNull(mg_get_request_info(connection_)->local_uri);
}

absl::string_view HttpExchange::unnormalized_path() const {
  return internal::EmptyIfNull(mg_get_request_info(connection_)->request_uri);
}

absl::string_view HttpExchange::query() const {
  return internal::EmptyIfNull(mg_get_request_info(connection_)->query_string);
}

absl::string_view HttpExchange::remote_address() const {
  return mg_get_request_info(connection_)->remote_addr;
}

int64_t HttpExchange::content_length() const {
  return mg_get_request_info(connection_)->content_length;
}

absl::string_view HttpExchange::header(absl::string_view name) const {
  const mg_request_info* info = mg_get_request_info(connection_);
  for (int i = 0; i < info->num_headers; ++i) {
    if (absl::EqualsIgnoreCase(info->http_headers[i].name, name)) {
      return internal::EmptyIfNull(info->http_headers[i].value);
    }
  }
  return {};
}

int HttpExchange::CountHeader(absl::string_view name) const {
  const mg_request_info* info = mg_get_request_info(connection_);
  int count = 0;
  for (int i = 0; i < info->num_headers; ++i) {
    count += absl::EqualsIgnoreCase(info->http_headers[i].name, name) ? 1 : 0;
  }
  return count;
}

std::vector<Header> HttpExchange::headers() const {
  const mg_request_info* info = mg_get_request_info(connection_);
  std::vector<Header> headers;
  for (int i = 0; i < info->num_headers; ++i) {
    headers.emplace_back(info->http_headers[i].name,
                         internal::EmptyIfNull(info->http_headers[i].value));
  }
  return headers;
}

std::string HttpExchange::QueryValue(const std::string& name) const {
  const absl::string_view text = query();
  std::string value(text.size() + 1, '\0');
  const int length = mg_get_var(text.data(), text.size(), name.c_str(),
                                value.data(), value.size());
  value.resize(length > 0 ? length : 0);
  return value;
}

bool HttpExchange::is_chunked_request() const {
  return !header("Transfer-Encoding").empty();
}

int HttpExchange::socket() const {
  const mg_request_info* info = mg_get_request_info(connection_);
  return internal::FindAcceptedSocket(info->remote_addr, info->remote_port,
                                      info->server_port);
}

void HttpExchange::AcceptBody() {
  if (absl::EqualsIgnoreCase(header("Expect"), "100-continue")) {
    mg_write(connection_, internal::kContinueAnswer.data(),
             internal::kContinueAnswer.size());
  }
}

int HttpExchange::ReadBody(char* buffer, size_t size) {
  return mg_read(connection_, buffer, size);
}

bool HttpExchange::ReadWholeBody(size_t limit, std::string* body) {
  body->clear();
  if (content_length() > static_cast<int64_t>(limit)) {
    return false;
  }
  AcceptBody();
  char buffer[internal::kReadBufferBytes];
  while (true) {
    const int count = ReadBody(buffer, sizeof(buffer));
    if (count < 0 || body->size() + count > limit) {
      return false;
    }
    if (count == 0) {
      break;
    }
    body->append(buffer, count);
  }
  return content_length() < 0 ||
         body->size() == static_cast<size_t>(content_length());
}

std::string HttpExchange::BuildAnswerHead(int status,
                                          absl::Span<const Header> headers,
                                          int64_t length) {
  const bool is_http_1_0 =
      absl::string_view(internal::EmptyIfNull(
          mg_get_request_info(connection_)->http_version)) == "1.0";
  // HTTP/1.0 has no chunked encoding: closing the connection ends the body.
  is_chunked_answer_ = length == kChunked && !is_http_1_0;
  if (is_http_1_0) {
    CloseAfter();
  }
  std::string head =
      absl::StrCat("HTTP/1.1 ", status, " ",
                   mg_get_response_code_text(connection_, status), "\r\n");
  for (const auto& [name, value] : headers) {
    absl::StrAppend(&head, name, ": ", value, "\r\n");
  }
  if (is_chunked_answer_) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (length >= 0) {
    absl::StrAppend(&head, "Content-Length: ", length, "\r\n");
  }
  absl::StrAppend(&head, "Connection: ",
                  closes_after_exchange_ ? "close" : "keep-alive", "\r\n\r\n");
  return head;
}

bool HttpExchange::Write(absl::string_view data) {
  return data.empty() || mg_write(connection_, data.data(), data.size()) ==
                             static_cast<int>(data.size());
}

bool HttpExchange::Answer(int status,
                          absl::Span<const Header> headers,
                          absl::string_view body) {
  std::string text =
      BuildAnswerHead(status, headers, static_cast<int64_t>(body.size()));
  if (method() != "HEAD") {
    text.append(body.data(), body.size());
  }
  return Write(text);
}

bool HttpExchange::StartAnswer(int status,
                               absl::Span<const Header> headers,
                               int64_t length) {
  return Write(BuildAnswerHead(status, headers, length));
}

bool HttpExchange::WriteBody(absl::string_view data) {
  if (!is_chunked_answer_) {
    return Write(data);
  }
  return data.empty() ||
         Write(absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n"));
}

bool HttpExchange::EndBody() {
  return !is_chunked_answer_ || Write("0\r\n\r\n");
}

void HttpExchange::CloseAfter() {
  closes_after_exchange_ = true;
  mg_disable_connection_keep_alive(connection_);
}

HttpServer::Builder& HttpServer::Builder::Address(absl::string_view address,
                                                  int port) {
  address_ = std::string(address);
  port_ = port;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::Threads(int threads) {
  threads_ = threads;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::IdleTimeout(absl::Duration timeout) {
  idle_timeout_ = timeout;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::Handle(absl::string_view prefix,
                                                 Handler handler) {
  handlers_.emplace_back(prefix, std::move(handler));
  return *this;
}

HttpServer::Builder& HttpServer::Builder::ErrorAnswer(ErrorHook hook) {
  error_hook_ = std::move(hook);
  return *this;
}

int HttpServer::OnError(mg_connection* connection,
                        int status,
                        const char* /*text*/) {
  const mg_context* context = mg_get_context(connection);
  const auto* server = static_cast<HttpServer*>(mg_get_user_data(context));
  if (server == nullptr || !server->error_hook_) {
    return 1;
  }
  const auto [headers, body] = server->error_hook_(status);
  // The end of a malformed request is unknown, so the connection cannot be
  // reused.
  mg_disable_connection_keep_alive(connection);
  std::string text = absl::StrCat(
      "HTTP/1.1 ", status, " ", mg_get_response_code_text(connection, status),
      "\r\nConnection: close\r\nContent-Length: ", body.size(), "\r\n");
  for (const auto& [name, value] : headers) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  absl::StrAppend(&text, "\r\n", body);
  mg_write(connection, text.data(), text.size());
  return 0;
}

std::unique_ptr<HttpServer> HttpServer::Builder::Start() {
  std::unique_ptr<HttpServer> server(new HttpServer());
  const std::string listening_ports = absl::StrCat(address_, ":", port_);
  const std::string threads = absl::StrCat(threads_);
  const std::string timeout =
      absl::StrCat(absl::ToInt64Milliseconds(idle_timeout_));
  const char* options[] = {"listening_ports",
                           listening_ports.c_str(),
                           "num_threads",
                           threads.c_str(),
                           "enable_keep_alive",
                           "yes",
                           "keep_alive_timeout_ms",
                           timeout.c_str(),
                           "request_timeout_ms",
                           "60000",
                           "tcp_nodelay",
                           "1",
                           nullptr};
  mg_init_library(0);
  server->error_hook_ = error_hook_;
  mg_callbacks callbacks = {};
  callbacks.http_error = HttpServer::OnError;
  callbacks.init_connection = internal::OnConnection;
  server->context_ = mg_start(&callbacks, server.get(), options);
  if (server->context_ == nullptr) {
    return nullptr;
  }
  for (auto& [prefix, handler] : handlers_) {
    server->handlers_.push_back(std::make_unique<Handler>(handler));
    const std::string pattern = absl::StrCat(prefix, "**");
    mg_set_request_handler(server->context_, pattern.c_str(),
                           internal::DispatchRequest,
                           server->handlers_.back().get());
  }
  return server;
}

HttpServer::~HttpServer() {
  if (context_ != nullptr) {
    mg_stop(context_);
  }
}

}  // namespace baobabwall::transport
