#include "transport/src/http_client.h"

#include <civetweb.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <set>
#include <thread>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "transport/src/socket_finder.h"
#include "transport/src/steady_clock.h"

namespace baobabwall::transport {
namespace internal {

constexpr size_t kReadBufferBytes = 16 * 1024;
constexpr size_t kErrorBufferBytes = 256;
// Maximum size of an answer body that Fetch() holds in memory.
constexpr size_t kMaxFetchedBodyBytes = 64 * 1024 * 1024;

// Each connection that is being opened occupies one thread.
constexpr size_t kMaxConcurrentOpens = 64;
constexpr int kMaxInterimAnswers = 4;
// This size is large enough for the status line and the first header of an
// answer.
constexpr size_t kMaxPeekBytes = 256;

mg_connection* ToMgConnection(void* connection) {
  return static_cast<mg_connection*>(connection);
}

using ServerKey = std::pair<std::string, int>;

struct PendingConnection {
  mg_connection* mg_handle = nullptr;
  int socket = -1;
  bool is_done = false;
  bool is_abandoned = false;
};

/// All connections that the process is opening or has open.
struct OpenRegistry {
  static OpenRegistry& Instance() {
    // The registry is never deleted, because detached threads use it.
    static auto* registry = new OpenRegistry();
    return *registry;
  }

  std::mutex mutex;
  std::condition_variable state_changed;
  std::set<ServerKey> servers_being_opened;
  std::set<int> claimed_sockets;
};

void OpenConnection(const std::shared_ptr<PendingConnection>& pending,
                    const ServerKey& key) {
  char error[kErrorBufferBytes] = "";
  mg_connection* mg_handle =
      mg_connect_client(key.first.c_str(), key.second, 0, error, sizeof(error));
  OpenRegistry& registry = OpenRegistry::Instance();
  std::lock_guard<std::mutex> lock(registry.mutex);
  registry.servers_being_opened.erase(key);
  pending->is_done = true;
  if (mg_handle != nullptr && pending->is_abandoned) {
    mg_close_connection(mg_handle);
  } else if (mg_handle != nullptr) {
    pending->mg_handle = mg_handle;
    pending->socket =
        FindOpenedSocket(key.first, key.second, registry.claimed_sockets);
    registry.claimed_sockets.insert(pending->socket);
  }
  registry.state_changed.notify_all();
}

/// \returns the first bytes in the receive buffer of a socket without removing
/// them.
std::string Peek(int socket) {
  char buffer[kMaxPeekBytes];
  const ssize_t count =
      recv(socket, buffer, sizeof(buffer), MSG_PEEK | MSG_DONTWAIT);
  return std::string(buffer, count > 0 ? count : 0);
}

}  // namespace internal

std::unique_ptr<HttpConnection> HttpConnection::Open(const std::string& address,
                                                     int port,
                                                     absl::Duration timeout) {
  const auto deadline =
      std::chrono::steady_clock::now() + absl::ToChronoMilliseconds(timeout);
  auto pending = std::make_shared<internal::PendingConnection>();
  internal::OpenRegistry& registry = internal::OpenRegistry::Instance();
  std::unique_lock<std::mutex> lock(registry.mutex);
  const internal::ServerKey key(address, port);
  const bool has_free_slot =
      registry.state_changed.wait_until(lock, deadline, [&] {
        return registry.servers_being_opened.size() <
                   internal::kMaxConcurrentOpens &&
               registry.servers_being_opened.count(key) == 0;
      });
  if (!has_free_slot) {
    return nullptr;
  }
  registry.servers_being_opened.insert(key);
  std::thread([pending, key] {
    internal::OpenConnection(pending, key);
  }).detach();
  registry.state_changed.wait_until(lock, deadline,
                                    [&] { return pending->is_done; });
  if (pending->mg_handle == nullptr) {
    pending->is_abandoned = true;
    return nullptr;
  }
  std::unique_ptr<HttpConnection> connection(new HttpConnection());
  connection->connection_ = pending->mg_handle;
  connection->socket_ = pending->socket;
  connection->host_header_ = absl::StrCat(address, ":", port);
  return connection;
}

HttpConnection::~HttpConnection() {
  if (connection_ == nullptr) {
    return;
  }
  internal::OpenRegistry& registry = internal::OpenRegistry::Instance();
  std::lock_guard<std::mutex> lock(registry.mutex);
  // Another thread can reuse the number of a closed socket immediately, so the
  // socket is closed under the lock.
  registry.claimed_sockets.erase(socket_);
  mg_close_connection(internal::ToMgConnection(connection_));
}

bool HttpConnection::IsIdleConnectionUsable() const {
  return socket_ < 0 || !internal::IsReadable(socket_);
}

void HttpConnection::StartRequest(absl::string_view method,
                                  absl::string_view target,
                                  absl::Span<const Header> headers,
                                  int64_t body_length) {
  is_reusable_ = false;
  is_chunked_request_ = body_length == kChunked;
  unsent_data_ = absl::StrCat(method, " ", target,
                              " HTTP/1.1\r\nHost: ", host_header_, "\r\n");
  for (const auto& [name, value] : headers) {
    absl::StrAppend(&unsent_data_, name, ": ", value, "\r\n");
  }
  if (is_chunked_request_) {
    absl::StrAppend(&unsent_data_, "Transfer-Encoding: chunked\r\n");
  } else if (body_length > 0 || method == "POST" || method == "PUT") {
    absl::StrAppend(&unsent_data_, "Content-Length: ", body_length, "\r\n");
  }
  unsent_data_ += "\r\n";
}

bool HttpConnection::Flush() {
  const std::string data = std::exchange(unsent_data_, {});
  return data.empty() ||
         mg_write(internal::ToMgConnection(connection_), data.data(),
                  data.size()) == static_cast<int>(data.size());
}

bool HttpConnection::WriteBody(absl::string_view data) {
  if (data.empty()) {
    return true;
  }
  if (is_chunked_request_) {
    absl::StrAppend(&unsent_data_, absl::Hex(data.size()), "\r\n", data,
                    "\r\n");
  } else {
    absl::StrAppend(&unsent_data_, data);
  }
  return Flush();
}

bool HttpConnection::EndBody() {
  if (is_chunked_request_) {
    unsent_data_ += "0\r\n\r\n";
  }
  return Flush();
}

bool HttpConnection::ReadAnswerHead(absl::Duration timeout) {
  const absl::Time deadline = SteadyNow() + timeout;
  for (int i = 0; i < internal::kMaxInterimAnswers; ++i) {
    const absl::Duration remaining_time =
        std::max(deadline - SteadyNow(), absl::Milliseconds(1));
    if (!ReadNextAnswerHead(remaining_time, i == 0)) {
      return false;
    }
    if (status() >= 200) {
      ++completed_exchange_count_;
      return true;
    }
  }
  return false;
}

bool HttpConnection::ReadNextAnswerHead(absl::Duration timeout,
                                        bool is_first_answer) {
  // The timeout is rounded up so that a timeout is not mistaken for a broken
  // connection.
  const int timeout_ms = static_cast<int>(
      absl::ToInt64Milliseconds(absl::Ceil(timeout, absl::Milliseconds(1))));
  // CivetWeb reads ahead and would treat bytes after the end of an answer as
  // the answer to the next request. On a reused connection, the head must
  // therefore arrive on the socket after the request was sent.
  const bool is_socket_checked =
      socket_ >= 0 && completed_exchange_count_ > 0 && is_first_answer;
  std::string peeked_before;
  if (is_socket_checked) {
    pollfd poll_descriptor = {socket_, POLLIN, 0};
    poll(&poll_descriptor, 1, timeout_ms);
    peeked_before = internal::Peek(socket_);
    if (peeked_before.empty()) {
      return false;
    }
  }
  char error[internal::kErrorBufferBytes] = "";
  if (mg_get_response(internal::ToMgConnection(connection_), error,
                      sizeof(error), timeout_ms) < 0) {
    return false;
  }
  return !is_socket_checked || internal::Peek(socket_) != peeked_before;
}

int HttpConnection::status() const {
  return mg_get_response_info(internal::ToMgConnection(connection_))
      ->status_code;
}

int64_t HttpConnection::content_length() const {
  return mg_get_response_info(internal::ToMgConnection(connection_))
      ->content_length;
}

std::vector<Header> HttpConnection::headers() const {
  const mg_response_info* info =
      mg_get_response_info(internal::ToMgConnection(connection_));
  std::vector<Header> headers;
  for (int i = 0; i < info->num_headers; ++i) {
    headers.emplace_back(info->http_headers[i].name,
                         info->http_headers[i].value);
  }
  return headers;
}

absl::string_view HttpConnection::header(absl::string_view name) const {
  const mg_response_info* info =
      mg_get_response_info(internal::ToMgConnection(connection_));
  for (int i = 0; i < info->num_headers; ++i) {
    if (absl::EqualsIgnoreCase(info->http_headers[i].name, name)) {
      return info->http_headers[i].value;
    }
  }
  return {};
}

int HttpConnection::CountHeader(absl::string_view name) const {
  const mg_response_info* info =
      mg_get_response_info(internal::ToMgConnection(connection_));
  int count = 0;
  for (int i = 0; i < info->num_headers; ++i) {
    count += absl::EqualsIgnoreCase(info->http_headers[i].name, name) ? 1 : 0;
  }
  return count;
}

bool HttpConnection::is_chunked_answer() const {
  return absl::EqualsIgnoreCase(header("Transfer-Encoding"), "chunked");
}

bool HttpConnection::has_framed_body() const {
  return is_chunked_answer() || !header("Content-Length").empty();
}

int HttpConnection::ReadBody(char* buffer, size_t size) {
  return mg_read(internal::ToMgConnection(connection_), buffer, size);
}

void HttpConnection::MarkComplete() {
  is_reusable_ = !is_reuse_forbidden_ && has_framed_body() &&
                 !absl::EqualsIgnoreCase(header("Connection"), "close");
  idle_since_ = SteadyNow();
}

std::unique_ptr<HttpConnection> ConnectionPool::Acquire(
    const std::string& address,
    int port,
    absl::Duration max_idle_time,
    absl::Duration timeout) {
  const absl::Time min_idle_since = SteadyNow() - max_idle_time;
  std::vector<std::unique_ptr<HttpConnection>> unusable_connections;
  while (true) {
    std::unique_ptr<HttpConnection> connection;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      const auto idle = idle_connections_.find({address, port});
      if (idle == idle_connections_.end() || idle->second.empty()) {
        break;
      }
      connection = std::move(idle->second.back());
      idle->second.pop_back();
    }
    if (connection->idle_since() >= min_idle_since &&
        connection->IsIdleConnectionUsable()) {
      return connection;
    }
    unusable_connections.push_back(std::move(connection));
  }
  unusable_connections.clear();
  return HttpConnection::Open(address, port, timeout);
}

void ConnectionPool::Release(const std::string& address,
                             int port,
                             std::unique_ptr<HttpConnection> connection) {
  if (connection == nullptr || !connection->is_reusable()) {
    return;
  }
  std::lock_guard<std::mutex> lock(mutex_);
  auto& idle = idle_connections_[{address, port}];
  if (idle.size() < max_idle_per_server_) {
    idle.push_back(std::move(connection));
  }
}

namespace internal {

bool ReadWholeAnswer(HttpConnection* connection, HttpAnswer* answer) {
  answer->status = connection->status();
  answer->headers = connection->headers();
  answer->body.clear();
  char buffer[kReadBufferBytes];
  while (answer->body.size() < kMaxFetchedBodyBytes) {
    const int count = connection->ReadBody(buffer, sizeof(buffer));
    if (count < 0) {
      return false;
    }
    if (count == 0) {
      break;
    }
    answer->body.append(buffer, count);
  }
  const int64_t body_length = connection->content_length();
  return body_length < 0 ||
         static_cast<int64_t>(answer->body.size()) == body_length;
}

}  // namespace internal

bool Fetch(ConnectionPool* pool,
           const std::string& address,
           int port,
           absl::string_view method,
           absl::string_view target,
           absl::Span<const Header> headers,
           absl::string_view body,
           absl::Duration timeout,
           HttpAnswer* answer,
           ConnectionWatch* watch) {
  const absl::Time deadline = SteadyNow() + timeout;
  std::unique_ptr<HttpConnection> connection = pool->Acquire(
      address, port, kMaxIdleTime, std::min(timeout, kConnectTimeout));
  if (connection == nullptr) {
    return false;
  }
  const ConnectionWatch::Id id =
      watch == nullptr ? 0 : watch->Add(connection->socket(), -1, deadline);
  connection->StartRequest(method, target, headers,
                           static_cast<int64_t>(body.size()));
  const bool is_complete = connection->WriteBody(body) &&
                           connection->EndBody() &&
                           connection->ReadAnswerHead(deadline - SteadyNow()) &&
                           internal::ReadWholeAnswer(connection.get(), answer);
  if (watch != nullptr &&
      watch->Remove(id) != ConnectionWatch::AbortReason::kNone) {
    return false;
  }
  if (!is_complete) {
    return false;
  }
  connection->MarkComplete();
  pool->Release(address, port, std::move(connection));
  return true;
}

}  // namespace baobabwall::transport
