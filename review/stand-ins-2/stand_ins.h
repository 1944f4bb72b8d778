// Stand-ins for the platform's store, for upstreams and for clients, and the
// start of real gateway processes, for the cases of review/6 to review/10.
//
// Everything listens on 127.0.0.1. The stand-ins speak what PROTOCOL.md says.
#ifndef REVIEW_STAND_INS_2_STAND_INS_H_
#define REVIEW_STAND_INS_2_STAND_INS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point StartTime() {
  static const Clock::time_point start = Clock::now();
  return start;
}

/// \returns milliseconds since the start of the script.
inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               StartTime())
      .count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline bool WaitFor(const std::function<bool()>& condition, int64_t limit_ms) {
  const int64_t end = NowMs() + limit_ms;
  while (NowMs() < end) {
    if (condition()) {
      return true;
    }
    SleepMs(10);
  }
  return condition();
}

/// Writes record.txt, one line for each event, with the time.
class Record {
 public:
  explicit Record(const std::string& file) : file_(fopen(file.c_str(), "we")) {}
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard<std::mutex> lock(mutex_);
    fprintf(file_, "%8.3f ", static_cast<double>(NowMs()) / 1000);
    va_list arguments;
    va_start(arguments, format);
    vfprintf(file_, format, arguments);
    va_end(arguments);
    fputc('\n', file_);
    fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

inline int Listen(int port, int backlog = 1024) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(listener, backlog) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

inline int PortOf(int socket_fd) {
  sockaddr_in address = {};
  socklen_t length = sizeof(address);
  getsockname(socket_fd, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

/// \returns a port that is free for TCP and UDP at this moment.
inline int FreePort() {
  static std::set<int> given;
  while (true) {
    const int listener = Listen(0);
    const int port = PortOf(listener);
    const int datagram = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    const bool is_free = bind(datagram, reinterpret_cast<sockaddr*>(&address),
                              sizeof(address)) == 0;
    close(datagram);
    close(listener);
    if (is_free && given.insert(port).second) {
      return port;
    }
  }
}

inline int Connect(int port, int receive_buffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool SendAll(int fd, const std::string& data) {
  for (size_t sent = 0; sent < data.size();) {
    const ssize_t count =
        send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

/// Closes a connection with a reset.
inline void ResetAndClose(int fd) {
  const linger hard = {1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  close(fd);
}

struct Message {
  std::string start_line;
  std::string method;
  std::string target;
  int status = 0;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

enum class ReadResult { kMessage, kClosed, kReset, kTimeout, kTruncated };

/// Reads more data.
inline ReadResult ReadMore(int fd, std::string* buffer, int64_t deadline_ms) {
  while (true) {
    const int64_t left = deadline_ms - NowMs();
    if (left <= 0) {
      return ReadResult::kTimeout;
    }
    pollfd entry = {fd, POLLIN, 0};
    if (poll(&entry, 1, static_cast<int>(std::min<int64_t>(left, 1000))) <= 0) {
      continue;
    }
    char data[65536];
    const ssize_t count = recv(fd, data, sizeof(data), 0);
    if (count == 0) {
      return ReadResult::kClosed;
    }
    if (count < 0) {
      return ReadResult::kReset;
    }
    buffer->append(data, static_cast<size_t>(count));
    return ReadResult::kMessage;
  }
}

/// Reads a request or an answer with a length, in chunks, or without both.
inline ReadResult ReadMessage(int fd,
                              std::string* buffer,
                              Message* message,
                              int64_t deadline_ms = INT64_MAX) {
  size_t head_end;
  while ((head_end = buffer->find("\r\n\r\n")) == std::string::npos) {
    const ReadResult result = ReadMore(fd, buffer, deadline_ms);
    if (result != ReadResult::kMessage) {
      const bool is_partial =
          !buffer->empty() && result != ReadResult::kTimeout;
      return is_partial ? ReadResult::kTruncated : result;
    }
  }
  *message = Message();
  std::istringstream head(buffer->substr(0, head_end));
  buffer->erase(0, head_end + 4);
  std::string line;
  std::getline(head, line);
  if (!line.empty() && line.back() == '\r') {
    line.pop_back();
  }
  message->start_line = line;
  std::istringstream words(line);
  words >> message->method >> message->target;
  message->status = atoi(message->target.c_str());
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    for (char& c : name) {
      c = static_cast<char>(tolower(c));
    }
    size_t begin = colon + 1;
    while (begin < line.size() && line[begin] == ' ') {
      ++begin;
    }
    message->headers[name] = line.substr(begin);
  }
  const auto need = [&](size_t size) {
    while (buffer->size() < size) {
      if (ReadMore(fd, buffer, deadline_ms) != ReadResult::kMessage) {
        return false;
      }
    }
    return true;
  };
  if (message->Header("transfer-encoding") == "chunked") {
    while (true) {
      size_t end;
      while ((end = buffer->find("\r\n")) == std::string::npos) {
        if (!need(buffer->size() + 1)) {
          return ReadResult::kTruncated;
        }
      }
      const size_t size = strtoul(buffer->c_str(), nullptr, 16);
      buffer->erase(0, end + 2);
      if (!need(size + 2)) {
        return ReadResult::kTruncated;
      }
      message->body += buffer->substr(0, size);
      buffer->erase(0, size + 2);
      if (size == 0) {
        return ReadResult::kMessage;
      }
    }
  }
  const size_t size =
      strtoul(message->Header("content-length").c_str(), nullptr, 10);
  if (!need(size)) {
    return ReadResult::kTruncated;
  }
  message->body = buffer->substr(0, size);
  buffer->erase(0, size);
  return ReadResult::kMessage;
}

/// Accepts connections, and serves each on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(int fd)>;

  explicit Server(Handler handler, int port = 0)
      : handler_(std::move(handler)), listener_(Listen(port)) {
    port_ = PortOf(listener_);
    std::thread([this] { Accept(); }).detach();
  }
  int port() const { return port_; }
  /// Resets new connections.
  void StopListening() {
    is_stopped_ = true;
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
  }

 private:
  void Accept() {
    while (!is_stopped_) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (is_stopped_) {
          return;
        }
        SleepMs(5);
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] { handler_(fd); }).detach();
    }
  }

  Handler handler_;
  int listener_;
  int port_ = 0;
  std::atomic<bool> is_stopped_{false};
};

inline std::string Base64(const std::string& text) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t group = 0;
    const size_t count = std::min<size_t>(3, text.size() - i);
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 | (k < count ? static_cast<uint8_t>(text[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      encoded.push_back(k <= count ? kDigits[group >> (18 - 6 * k) & 63] : '=');
    }
  }
  return encoded;
}

inline std::string UrlDecode(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded.push_back(static_cast<char>(
          strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

/// The platform's metadata store.
class Store {
 public:
  Store() : server_([this](int fd) { Serve(fd); }) {
    std::thread([this] {
      while (true) {
        SleepMs(50);
        ExpireLeases();
      }
    }).detach();
  }
  int port() const { return server_.port(); }

  /// Called before each call is executed, with the caller's connection.
  /// \returns false to close the connection without an answer.
  std::function<bool(const Message& call)> before_call;

  void Put(const std::string& key, const std::string& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    Write(key, Base64(value), 0);
  }
  void Delete(const std::string& key) {
    std::lock_guard<std::mutex> lock(mutex_);
    Remove(key);
  }
  int64_t revision() {
    std::lock_guard<std::mutex> lock(mutex_);
    return revision_;
  }
  std::vector<std::string> Keys(const std::string& prefix) {
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (key.compare(0, prefix.size(), prefix) == 0) {
        keys.push_back(key);
      }
    }
    return keys;
  }

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    int64_t revision = 0;
    json item;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    int64_t ends_at = 0;
  };

  static json ToJson(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"rev", item.revision},
            {"created_rev", item.created},
            {"lease", item.lease}};
  }
  void Write(const std::string& key, const std::string& value, uint64_t lease) {
    Item& item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    item.lease = lease;
    if (item.created == 0) {
      item.created = item.revision;
    }
    events_.push_back({key, item.revision, ToJson(key, item)});
    changed_.notify_all();
  }
  void Remove(const std::string& key) {
    if (items_.erase(key) == 0) {
      return;
    }
    ++revision_;
    events_.push_back({key,
                       revision_,
                       {{"key", key}, {"rev", revision_}, {"deleted", true}}});
    changed_.notify_all();
  }
  void EndLease(uint64_t lease) {
    leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Remove(key);
    }
  }
  void ExpireLeases() {
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (lease.ends_at <= NowMs()) {
        ended.push_back(id);
      }
    }
    for (const uint64_t id : ended) {
      EndLease(id);
    }
  }

  static std::map<std::string, std::string> Query(const std::string& target) {
    std::map<std::string, std::string> query;
    const size_t begin = target.find('?');
    if (begin == std::string::npos) {
      return query;
    }
    std::istringstream pairs(target.substr(begin + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
      const size_t equals = pair.find('=');
      query[pair.substr(0, equals)] = UrlDecode(pair.substr(equals + 1));
    }
    return query;
  }

  void Serve(int fd) {
    std::string buffer;
    Message call;
    while (ReadMessage(fd, &buffer, &call) == ReadResult::kMessage) {
      if (before_call && !before_call(call)) {
        break;
      }
      int status = 200;
      const std::string body = Execute(call, &status).dump();
      SleepMs(1);
      const std::string answer =
          "HTTP/1.1 " + std::to_string(status) +
          " X\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body;
      if (!SendAll(fd, answer)) {
        break;
      }
    }
    close(fd);
  }

  json Execute(const Message& call, int* status) {
    const std::string path = call.target.substr(0, call.target.find('?'));
    auto query = Query(call.target);
    std::unique_lock<std::mutex> lock(mutex_);
    if (path == "/baobabwall/kv-key") {
      const auto found = items_.find(query["key"]);
      if (found == items_.end()) {
        *status = 404;
        return {{"current_rev", revision_}};
      }
      json item = ToJson(found->first, found->second);
      item["current_rev"] = revision_;
      return item;
    }
    if (path == "/baobabwall/kv-range") {
      const std::string prefix = query["prefix"];
      const std::string after = query["after"];
      json items = json::array();
      bool has_more = false;
      for (const auto& [key, item] : items_) {
        if (key.compare(0, prefix.size(), prefix) != 0 || key <= after) {
          continue;
        }
        if (items.size() == 500) {
          has_more = true;
          break;
        }
        items.push_back(ToJson(key, item));
      }
      return {{"items", items},
              {"more_pages", has_more},
              {"current_rev", revision_}};
    }
    if (path == "/baobabwall/kv-watch") {
      const std::string prefix = query["prefix"];
      const int64_t after = atoll(query["after"].c_str());
      const int64_t end = NowMs() + atoll(query["wait_ms"].c_str());
      while (true) {
        json events = json::array();
        for (const Event& event : events_) {
          if (event.revision > after &&
              event.key.compare(0, prefix.size(), prefix) == 0) {
            events.push_back(event.item);
          }
        }
        if (!events.empty() || NowMs() >= end) {
          return {{"events", events}, {"current_rev", revision_}};
        }
        changed_.wait_for(lock, std::chrono::milliseconds(
                                    std::max<int64_t>(1, end - NowMs())));
      }
    }
    if (path == "/baobabwall/kv-txn") {
      const json body = json::parse(call.body);
      bool holds = true;
      json current = json::array();
      for (const json& row : body["expect"]) {
        const auto found = items_.find(row["key"].get<std::string>());
        const int64_t known =
            found == items_.end() ? 0 : found->second.revision;
        holds = holds && known == row["rev"].get<int64_t>();
        if (found != items_.end()) {
          current.push_back(ToJson(found->first, found->second));
        }
      }
      if (!holds) {
        *status = 412;
        return {{"items", current}, {"current_rev", revision_}};
      }
      for (const json& put : body["puts"]) {
        const uint64_t lease = put.value("lease", uint64_t{0});
        if (lease != 0 && leases_.count(lease) == 0) {
          *status = 404;
          return json::object();
        }
      }
      for (const json& put : body["puts"]) {
        Write(put["key"], put["value"], put.value("lease", uint64_t{0}));
      }
      for (const json& key : body["delete"]) {
        Remove(key);
      }
      return {{"rev", revision_}};
    }
    if (path == "/baobabwall/kv-lease") {
      const int64_t ttl = json::parse(call.body)["ttl_ms"].get<int64_t>();
      const uint64_t id = ++last_lease_;
      leases_[id] = {ttl, NowMs() + ttl};
      return {{"lease", id}, {"ttl_ms", ttl}};
    }
    const uint64_t id =
        strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) {
      *status = 404;
      return json::object();
    }
    if (path.find("/baobabwall/kv-keep/") == 0) {
      lease->second.ends_at = NowMs() + lease->second.ttl_ms;
      return {{"ttl_ms", lease->second.ttl_ms}};
    }
    EndLease(id);
    return json::object();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::map<uint64_t, Lease> leases_;
  int64_t revision_ = 100;
  uint64_t last_lease_ = 1000;
  Server server_;
};

/// One route of the configuration.
struct RouteSpec {
  std::string prefix;
  std::string type;
  std::string service;
  int timeout_ms = 3000;
  int max_attempts = 2;
};

/// \returns op/config with the services of the routes.
inline std::string MakeConfig(int version,
                              const std::vector<RouteSpec>& routes,
                              double warmup_s = 0) {
  json services = json::array();
  std::set<std::string> names;
  json paths = json::array();
  for (const RouteSpec& route : routes) {
    if (names.insert(route.service).second) {
      services.push_back({{"name", route.service},
                          {"health_check_path", "/health"},
                          {"max_connections", 330},
                          {"protocol", "h1"},
                          {"tls", false},
                          {"warmup_s", warmup_s},
                          {"cold_per_s", 7.9}});
    }
    paths.push_back({{"name", "r" + route.prefix.substr(1, 3)},
                     {"prefix", route.prefix},
                     {"route_type", route.type},
                     {"timeout_ms", route.timeout_ms},
                     {"target_latency_ms", 400},
                     {"priority", 1},
                     {"service", route.service},
                     {"max_attempts", route.max_attempts},
                     {"session_affinity", false},
                     {"allowed_regions", json::array()}});
  }
  const json config = {
      {"version", version},
      {"services", services},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 67108864},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"base_version", 0},
      {"virtual_hosts", {{{"host", "h.example"}, {"paths", paths}}}}};
  return config.dump();
}

inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// One run or refusal of a request at an upstream.
struct Arrival {
  int64_t at_ms = 0;
  std::string upstream;
  std::string id;
  bool is_run = false;
};

/// An upstream, with its entry in the store.
class Upstream {
 public:
  /// Answers one request.
  /// \returns false if the connection is closed.
  using Answer =
      std::function<bool(Upstream* self, int fd, const Message& request)>;

  Upstream(Store* store,
           std::string id,
           std::string service,
           std::string zone,
           int slots,
           Answer answer,
           int port = 0)
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        slots_(slots),
        answer_(std::move(answer)),
        born_(UnixMs()),
        server_([this](int fd) { Serve(fd); }, port) {
    PutEntry("ready");
    std::thread([this] {
      while (true) {
        SleepMs(1500);
        if (is_registered_) {
          PutEntry(state_);
        }
      }
    }).detach();
  }
  const std::string& id() const { return id_; }
  int port() const { return server_.port(); }
  int slots() const { return slots_; }
  std::atomic<int>& running() { return running_; }
  void PutEntry(const std::string& state) {
    std::lock_guard<std::mutex> lock(mutex_);
    state_ = state;
    const json entry = {{"service", service_},
                        {"address", "127.0.0.1:" + std::to_string(port())},
                        {"zone", zone_},
                        {"version", "1"},
                        {"capacity_slots", slots_},
                        {"state", state},
                        {"warmup_left_ms", 0},
                        {"sequence", ++sequence_},
                        {"born", born_}};
    store_->Put("servers/" + id_, entry.dump());
  }
  void RemoveEntry() {
    is_registered_ = false;
    std::lock_guard<std::mutex> lock(mutex_);
    store_->Delete("servers/" + id_);
  }

 private:
  void Serve(int fd) {
    std::string buffer;
    Message request;
    while (ReadMessage(fd, &buffer, &request) == ReadResult::kMessage) {
      if (!answer_(this, fd, request)) {
        return;
      }
    }
    close(fd);
  }

  Store* store_;
  std::string id_;
  std::string service_;
  std::string zone_;
  int slots_;
  Answer answer_;
  int64_t born_;
  std::mutex mutex_;
  std::string state_;
  std::atomic<bool> is_registered_{true};
  int64_t sequence_ = 0;
  std::atomic<int> running_{0};
  Server server_;
};

/// \returns the head of an upstream's answer.
inline std::string AnswerHead(Upstream* self,
                              const Message& request,
                              int status,
                              const std::string& extra = "") {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nX-Request-Id: " + request.Header("x-request-id") +
         "\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Server-Load: " +
         std::to_string(self->running().load()) + ",0," +
         std::to_string(self->slots()) + "\r\nKeep-Alive: timeout=10\r\n" +
         extra;
}

/// \returns whether the file descriptor's peer has closed the connection.
inline bool HasHungUp(int fd) {
  pollfd entry = {fd, POLLRDHUP, 0};
  return poll(&entry, 1, 0) > 0 &&
         (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

struct GatewaySettings {
  std::string name;
  std::string zone;
  std::string extra;  ///< Appended to the settings.
  int grace_s = 6;
};

/// A gateway process, started with the command of deploy/system.toml.
class Gateway {
 public:
  /// \param folder temporary folder for the settings and the log.
  Gateway(const std::string& folder,
          const GatewaySettings& settings,
          int store_port)
      : settings_(settings),
        file_(folder + "/" + settings.name + ".ini"),
        log_(folder + "/" + settings.name + ".log"),
        callers_(FreePort()),
        ready_(FreePort()),
        lookups_(FreePort()),
        peers_(FreePort()),
        metrics_(FreePort()) {
    WriteSettings(store_port);
  }
  ~Gateway() { Kill(); }

  void WriteSettings(int store_port) {
    std::ofstream out(file_);
    const auto address = [&out](const char* section, int port) {
      out << "[" << section << "]\naddress = 127.0.0.1:" << port << "\n";
    };
    out << "[instance]\nname = " << settings_.name
        << "\nzone = " << settings_.zone << "\ncpu_share = 0.2\n";
    address("callers", callers_);
    address("readiness", ready_);
    address("lookups", lookups_);
    address("peers", peers_);
    address("metrics", metrics_);
    address("store", store_port);
    out << "[zones]\na-1 = a\na-2 = a\nb-1 = b\n"
        << "[retries]\nratio = 0.2\nextra = 58\nwindow_s = 10\n"
        << "[shutdown]\ngrace_s = " << settings_.grace_s << "\n"
        << settings_.extra;
  }

  void Start() {
    const char* const program = getenv("BAOBABWALLD");
    const std::string binary =
        program != nullptr ? program : "target/baobabwalld";
    const std::string settings = "--settings=" + file_;
    pid_ = fork();
    if (pid_ == 0) {
      // The process also ends if the script is ended.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      execl(binary.c_str(), binary.c_str(), "--gateway", settings.c_str(),
            nullptr);
      _exit(127);
    }
  }
  void Signal(int number) {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  /// \returns whether the process still runs; otherwise `status` is that of
  /// waitpid().
  bool IsRunning(int* status = nullptr) {
    int result = 0;
    if (pid_ > 0 && waitpid(pid_, &result, WNOHANG) == pid_) {
      pid_ = -1;
      last_status_ = result;
    }
    if (status != nullptr) {
      *status = last_status_;
    }
    return pid_ > 0;
  }
  bool IsReady() const {
    const int fd = Connect(ready_);
    if (fd < 0) {
      return false;
    }
    SendAll(fd, "GET /baobabwall/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    std::string buffer;
    Message answer;
    const bool is_ready = ReadMessage(fd, &buffer, &answer, NowMs() + 1000) ==
                              ReadResult::kMessage &&
                          answer.status == 200;
    close(fd);
    return is_ready;
  }
  bool WaitReady() const {
    return WaitFor([this] { return IsReady(); }, 10000);
  }
  /// \returns the value of a line of /proc/PID/status in KiB.
  int64_t StatusKb(const std::string& field) const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.compare(0, field.size() + 1, field + ":") == 0) {
        return atoll(line.c_str() + field.size() + 1);
      }
    }
    return 0;
  }
  std::string Log() const {
    std::ifstream in(log_);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }
  const std::string& name() const { return settings_.name; }
  int callers() const { return callers_; }
  int lookups() const { return lookups_; }
  int ready() const { return ready_; }
  int metrics() const { return metrics_; }
  pid_t pid() const { return pid_; }

 private:
  GatewaySettings settings_;
  std::string file_;
  std::string log_;
  int callers_;
  int ready_;
  int lookups_;
  int peers_;
  int metrics_;
  pid_t pid_ = -1;
  int last_status_ = 0;
};

/// What a client saw of one request.
struct ClientResult {
  ReadResult read = ReadResult::kTimeout;
  Message answer;
  int64_t sent_ms = 0;
  int64_t ended_ms = 0;
};

/// \returns a request with the headers of a client.
inline std::string MakeRequest(const std::string& method,
                               const std::string& target,
                               const std::string& id,
                               int deadline_ms,
                               const std::string& body = "",
                               const std::string& extra = "") {
  std::string text = method + " " + target +
                     " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                     "\r\n" + extra;
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

/// Sends a request on a new connection and reads the answer.
inline ClientResult CallOnce(int port,
                             const std::string& method,
                             const std::string& target,
                             const std::string& id,
                             int deadline_ms,
                             const std::string& body = "") {
  ClientResult result;
  result.sent_ms = NowMs();
  const int fd = Connect(port);
  if (fd >= 0) {
    SendAll(fd, MakeRequest(method, target, id, deadline_ms, body));
    std::string buffer;
    result.read =
        ReadMessage(fd, &buffer, &result.answer, result.sent_ms + deadline_ms);
    close(fd);
  } else {
    result.read = ReadResult::kReset;
  }
  result.ended_ms = NowMs();
  return result;
}

/// \returns whether the script runs with its disruption.
inline bool HasTrouble() {
  const char* const value = getenv("TROUBLE");
  return value == nullptr || strcmp(value, "0") != 0;
}

/// A temporary folder, which is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    path_ = mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_2_STAND_INS_H_
