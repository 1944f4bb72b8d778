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
constexpr size_t kErrorBytes = 256;
// Limit of answers that are held in memory as a whole.
constexpr size_t kMaxFetchedBytes = 64 * 1024 * 1024;

// Connections that are being opened at once, each by a thread.
constexpr size_t kMostOpening = 64;
constexpr int kMostInterimAnswers = 4;
// Enough to hold the status line and the first header of an answer.
constexpr size_t kPeekBytes = 256;

mg_connection* Raw(void* connection) {
  return static_cast<mg_connection*>(connection);
}

using ServerKey = std::pair<std::string, int>;

struct PendingOpen {
  mg_connection* raw = nullptr;
  int socket = -1;
  bool is_done = false;
  bool is_abandoned = false;
};

/// State of all openings of the process.
struct Opener {
  static Opener& Instance() {
    static auto* opener = new Opener();  // Outlives the detached threads.
    return *opener;
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::set<ServerKey> opening;
  std::set<int> claimed;
};

void RunOpen(const std::shared_ptr<PendingOpen>& open, const ServerKey& key) {
  char error[kErrorBytes] = "";
  mg_connection* raw =
      mg_connect_client(key.first.c_str(), key.second, 0, error, sizeof(error));
  Opener& opener = Opener::Instance();
  std::lock_guard<std::mutex> lock(opener.mutex);
  opener.opening.erase(key);
  open->is_done = true;
  if (raw != nullptr && open->is_abandoned) {
    mg_close_connection(raw);
  } else if (raw != nullptr) {
    open->raw = raw;
    open->socket = FindOpenedSocket(key.first, key.second, opener.claimed);
    opener.claimed.insert(open->socket);
  }
  opener.changed.notify_all();
}

/// \returns what has arrived on a socket, without taking it.
std::string Peek(int socket) {
  char buffer[kPeekBytes];
  const ssize_t count =
      recv(socket, buffer, sizeof(buffer), MSG_PEEK | MSG_DONTWAIT);
  return std::string(buffer, count > 0 ? count : 0);
}

}  // namespace internal

std::unique_ptr<HttpConnection> HttpConnection::Open(const std::string& address,
                                                     int port,
                                                     absl::Duration timeout) {
  const auto end =
      std::chrono::steady_clock::now() + absl::ToChronoMilliseconds(timeout);
  auto open = std::make_shared<internal::PendingOpen>();
  internal::Opener& opener = internal::Opener::Instance();
  std::unique_lock<std::mutex> lock(opener.mutex);
  const internal::ServerKey key(address, port);
  const bool may_open = opener.changed.wait_until(lock, end, [&] {
    return opener.opening.size() < internal::kMostOpening &&
           opener.opening.count(key) == 0;
  });
  if (!may_open) {
    return nullptr;
  }
  opener.opening.insert(key);
  std::thread([open, key] { internal::RunOpen(open, key); }).detach();
  opener.changed.wait_until(lock, end, [&] { return open->is_done; });
  if (open->raw == nullptr) {
    open->is_abandoned = true;
    return nullptr;
  }
  std::unique_ptr<HttpConnection> connection(new HttpConnection());
  connection->connection_ = open->raw;
  connection->socket_ = open->socket;
  connection->host_ = absl::StrCat(address, ":", port);
  return connection;
}

HttpConnection::~HttpConnection() {
  if (connection_ == nullptr) {
    return;
  }
  internal::Opener& opener = internal::Opener::Instance();
  std::lock_guard<std::mutex> lock(opener.mutex);
  // Under the lock: the number of a closed socket may be in use at once.
  opener.claimed.erase(socket_);
  mg_close_connection(internal::Raw(connection_));
}

bool HttpConnection::IsIdleIntact() const {
  return socket_ < 0 || !internal::IsReadable(socket_);
}

void HttpConnection::StartRequest(absl::string_view method,
                                  absl::string_view target,
                                  absl::Span<const Header> headers,
                                  int64_t length) {
  is_reusable_ = false;
  is_chunked_ = length == kChunked;
  unsent_ =
      absl::StrCat(method, " ", target, " HTTP/1.1\r\nHost: ", host_, "\r\n");
  for (const auto& [name, value] : headers) {
    absl::StrAppend(&unsent_, name, ": ", value, "\r\n");
  }
  if (is_chunked_) {
    absl::StrAppend(&unsent_, "Transfer-Encoding: chunked\r\n");
  } else if (length > 0 || method == "POST" || method == "PUT") {
    absl::StrAppend(&unsent_, "Content-Length: ", length, "\r\n");
  }
  unsent_ += "\r\n";
}

bool HttpConnection::Flush() {
  const std::string data = std::exchange(unsent_, {});
  return data.empty() || mg_write(internal::Raw(connection_), data.data(),
                                  data.size()) == static_cast<int>(data.size());
}

bool HttpConnection::WriteBody(absl::string_view data) {
  if (data.empty()) {
    return true;
  }
  if (is_chunked_) {
    absl::StrAppend(&unsent_, absl::Hex(data.size()), "\r\n", data, "\r\n");
  } else {
    absl::StrAppend(&unsent_, data);
  }
  return Flush();
}

bool HttpConnection::EndBody() {
  if (is_chunked_) {
    unsent_ += "0\r\n\r\n";
  }
  return Flush();
}

bool HttpConnection::ReadAnswerHead(absl::Duration timeout) {
  const absl::Time end = SteadyNow() + timeout;
  for (int i = 0; i < internal::kMostInterimAnswers; ++i) {
    const absl::Duration left =
        std::max(end - SteadyNow(), absl::Milliseconds(1));
    if (!ReadOneHead(left, i == 0)) {
      return false;
    }
    if (status() >= 200) {
      ++exchange_count_;
      return true;
    }
  }
  return false;
}

bool HttpConnection::ReadOneHead(absl::Duration timeout, bool is_first) {
  // Rounded up: a time-out must not look like a connection that broke.
  const int timeout_ms = static_cast<int>(
      absl::ToInt64Milliseconds(absl::Ceil(timeout, absl::Milliseconds(1))));
  // CivetWeb reads ahead, so bytes after the end of an answer would be taken
  // for the answer to the next request. The head must come from the socket.
  const bool is_checked = socket_ >= 0 && exchange_count_ > 0 && is_first;
  std::string before;
  if (is_checked) {
    pollfd entry = {socket_, POLLIN, 0};
    poll(&entry, 1, timeout_ms);
    before = internal::Peek(socket_);
    if (before.empty()) {
      return false;
    }
  }
  char error[internal::kErrorBytes] = "";
  if (mg_get_response(internal::Raw(connection_), error, sizeof(error),
                      timeout_ms) < 0) {
    return false;
  }
  return !is_checked || internal::Peek(socket_) != before;
}

int HttpConnection::status() const {
  return mg_get_response_info(internal::Raw(connection_))->status_code;
}

int64_t HttpConnection::content_length() const {
  return mg_get_response_info(internal::Raw(connection_))->content_length;
}

std::vector<Header> HttpConnection::headers() const {
  const mg_response_info* info =
      mg_get_response_info(internal::Raw(connection_));
  std::vector<Header> headers;
  for (int i = 0; i < info->num_headers; ++i) {
    headers.emplace_back(info->http_headers[i].name,
                         info->http_headers[i].value);
  }
  return headers;
}

absl::string_view HttpConnection::header(absl::string_view name) const {
  const mg_response_info* info =
      mg_get_response_info(internal::Raw(connection_));
  for (int i = 0; i < info->num_headers; ++i) {
    if (absl::EqualsIgnoreCase(info->http_headers[i].name, name)) {
      return info->http_headers[i].value;
    }
  }
  return {};
}

int HttpConnection::CountHeader(absl::string_view name) const {
  const mg_response_info* info =
      mg_get_response_info(internal::Raw(connection_));
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
  return mg_read(internal::Raw(connection_), buffer, size);
}

void HttpConnection::MarkComplete() {
  is_reusable_ = !is_reuse_forbidden_ && has_framed_body() &&
                 !absl::EqualsIgnoreCase(header("Connection"), "close");
  idle_since_ = SteadyNow();
}

std::unique_ptr<HttpConnection> ConnectionPool::Acquire(
    const std::string& address,
    int port,
    absl::Duration longest_idle,
    absl::Duration timeout) {
  const absl::Time oldest = SteadyNow() - longest_idle;
  std::vector<std::unique_ptr<HttpConnection>> expired;
  while (true) {
    std::unique_ptr<HttpConnection> connection;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      const auto idle = idle_.find({address, port});
      if (idle == idle_.end() || idle->second.empty()) {
        break;
      }
      connection = std::move(idle->second.back());
      idle->second.pop_back();
    }
    if (connection->idle_since() >= oldest && connection->IsIdleIntact()) {
      return connection;
    }
    expired.push_back(std::move(connection));
  }
  expired.clear();
  return HttpConnection::Open(address, port, timeout);
}

void ConnectionPool::Release(const std::string& address,
                             int port,
                             std::unique_ptr<HttpConnection> connection) {
  if (connection == nullptr || !connection->is_reusable()) {
    return;
  }
  std::lock_guard<std::mutex> lock(mutex_);
  auto& idle = idle_[{address, port}];
  if (idle.size() < max_idle_) {
    idle.push_back(std::move(connection));
  }
}

namespace internal {

bool ReadWholeAnswer(HttpConnection* connection, HttpAnswer* answer) {
  answer->status = connection->status();
  answer->headers = connection->headers();
  answer->body.clear();
  char buffer[kReadBufferBytes];
  while (answer->body.size() < kMaxFetchedBytes) {
    const int count = connection->ReadBody(buffer, sizeof(buffer));
    if (count < 0) {
      return false;
    }
    if (count == 0) {
      break;
    }
    answer->body.append(buffer, count);
  }
  const int64_t length = connection->content_length();
  return length < 0 || static_cast<int64_t>(answer->body.size()) == length;
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
  const absl::Time end = SteadyNow() + timeout;
  std::unique_ptr<HttpConnection> connection = pool->Acquire(
      address, port, kLongestIdle, std::min(timeout, kConnectTimeout));
  if (connection == nullptr) {
    return false;
  }
  const ConnectionWatch::Id id =
      watch == nullptr ? 0 : watch->Add(connection->socket(), -1, end);
  connection->StartRequest(method, target, headers,
                           static_cast<int64_t>(body.size()));
  const bool is_complete = connection->WriteBody(body) &&
                           connection->EndBody() &&
                           connection->ReadAnswerHead(end - SteadyNow()) &&
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
