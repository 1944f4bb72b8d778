// Stand-ins for the users' platform, for the scripts in review/: the metadata
// store, backend servers (upstreams) and clients, on loopback addresses and the
// real clock. One thread for each connection.

#ifndef REVIEW_HARNESS_H_
#define REVIEW_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

extern char** environ;

namespace review {

using nlohmann::json;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

inline void Sleep(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

inline void SleepUntil(double at) {
  Sleep(at - Now());
}

// The file record.txt of a case: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& name) : file_(fopen(name.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) {
      fclose(file_);
    }
  }
  bool is_open() const { return file_ != nullptr; }

  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard<std::mutex> lock(mutex_);
    fprintf(file_, "%9.3f s  ", Now());
    va_list arguments;
    va_start(arguments, format);
    vfprintf(file_, format, arguments);
    va_end(arguments);
    fputc('\n', file_);
    fflush(file_);
  }

 private:
  FILE* file_;
  std::mutex mutex_;
};

inline std::string Base64Encode(const std::string& text) {
  static const char kAlphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      bits =
          bits << 8 |
          (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      encoded.push_back(
          i + k > text.size() ? '=' : kAlphabet[bits >> (18 - 6 * k) & 63]);
    }
  }
  return encoded;
}

// Opens a listening socket on a free port of 127.0.0.1.
inline int Listen(int* port, int backlog = 1024) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(*port));
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(fd, backlog) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    close(fd);
    return -1;
  }
  *port = ntohs(address.sin_port);
  return fd;
}

// Returns a port that is free for TCP and UDP. It lies below the range from
// which the system takes the ports of connections.
inline int FreePort() {
  static int last_port = 12000 + getpid() * 131 % 18000;
  while (true) {
    last_port = last_port >= 31000 ? 12000 : last_port + 1;
    int port = last_port;
    const int tcp = Listen(&port);
    if (tcp < 0) {
      continue;
    }
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    const bool is_free =
        bind(udp, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(udp);
    close(tcp);
    if (is_free) {
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
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t size =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<size_t>(size);
  }
  return true;
}

// A request or an answer.
struct Message {
  std::string start;                           // first line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  std::string method() const { return start.substr(0, start.find(' ')); }
  std::string target() const {
    const size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
  int status() const { return start.size() > 12 ? atoi(start.c_str() + 9) : 0; }
};

// Reads messages from a connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // Returns false if the connection ended or the time is over before a
  // complete message.
  bool Read(Message* message, double until = 1e9) {
    *message = Message();
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return false;
      }
    }
    ParseHead(buffer_.substr(0, end), message);
    buffer_.erase(0, end + 4);
    const std::string length = message->Header("content-length");
    if (message->Header("transfer-encoding") == "chunked") {
      return ReadChunks(message, until);
    }
    const size_t size =
        length.empty() ? 0 : strtoull(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!Fill(until)) {
        return false;
      }
    }
    message->body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

  bool is_ended() const { return is_ended_; }
  size_t buffered() const { return buffer_.size(); }

 private:
  static void ParseHead(const std::string& head, Message* message) {
    size_t begin = 0;
    while (begin <= head.size()) {
      size_t end = head.find("\r\n", begin);
      end = end == std::string::npos ? head.size() : end;
      const std::string line = head.substr(begin, end - begin);
      const size_t colon = line.find(':');
      if (begin == 0) {
        message->start = line;
      } else if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        for (char& c : name) {
          c = static_cast<char>(tolower(c));
        }
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message->headers[name] =
            value == std::string::npos ? "" : line.substr(value);
      }
      begin = end + 2;
    }
  }

  bool ReadChunks(Message* message, double until) {
    while (true) {
      size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) {
          return false;
        }
      }
      const size_t size = strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!Fill(until)) {
          return false;
        }
      }
      message->body += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  bool Fill(double until) {
    pollfd event{fd_, POLLIN, 0};
    const double left = until - Now();
    const int wait_ms =
        left > 1e6 ? -1 : std::max(0, static_cast<int>(left * 1000));
    if (poll(&event, 1, wait_ms) <= 0) {
      return false;
    }
    char chunk[65536];
    const ssize_t size = recv(fd_, chunk, sizeof(chunk), 0);
    if (size <= 0) {
      is_ended_ = true;
      return false;
    }
    buffer_.append(chunk, static_cast<size_t>(size));
    return true;
  }

  int fd_;
  std::string buffer_;
  bool is_ended_ = false;
};

// Accepts connections and serves each one on a thread of its own.
class Server {
 public:
  using Serve = std::function<void(int fd)>;

  // port: 0 for any free port.
  bool Start(Serve serve, int port = 0) {
    serve_ = std::move(serve);
    port_ = port;
    listen_fd_ = Listen(&port_);
    if (listen_fd_ < 0) {
      return false;
    }
    std::thread([this] { Accept(); }).detach();
    return true;
  }
  int port() const { return port_; }

  // Ends the server: no more connections, and the open ones are closed.
  void Stop() {
    std::lock_guard<std::mutex> lock(mutex_);
    is_stopped_ = true;
    shutdown(listen_fd_, SHUT_RDWR);
    for (const int fd : connections_) {
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(listen_fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        close(listen_fd_);
        return;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        std::lock_guard<std::mutex> lock(mutex_);
        if (is_stopped_) {
          close(fd);
          continue;
        }
        connections_.insert(fd);
      }
      std::thread([this, fd] {
        serve_(fd);
        std::lock_guard<std::mutex> lock(mutex_);
        connections_.erase(fd);
        close(fd);
      }).detach();
    }
  }

  Serve serve_;
  int port_ = 0;
  int listen_fd_ = -1;
  std::mutex mutex_;
  std::set<int> connections_;
  bool is_stopped_ = false;
};

inline std::string HttpAnswer(int status,
                              const std::string& headers,
                              const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's metadata store.
class Store {
 public:
  // A way to the store, with connections of its own.
  class Front {
   public:
    Front(Store* store, double one_way_s)
        : store_(store), one_way_s_(one_way_s) {}

    bool Start() {
      return server_.Start([this](int fd) { Serve(fd); });
    }
    int port() const { return server_.port(); }
    // Returns the number of connections that wait for the next call.
    int idle_connections() {
      std::lock_guard<std::mutex> lock(mutex_);
      return static_cast<int>(idle_since_.size());
    }
    // Resets half of the connections that wait for the next call, those that
    // have waited longest. Returns their number.
    int ResetIdle() {
      std::lock_guard<std::mutex> lock(mutex_);
      std::multimap<double, int> by_time;
      for (const auto& [fd, since] : idle_since_) {
        by_time.emplace(since, fd);
      }
      const size_t count = by_time.size() / 2;
      auto next = by_time.begin();
      for (size_t i = 0; i < count; ++i, ++next) {
        const linger reset{1, 0};
        setsockopt(next->second, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        shutdown(next->second, SHUT_RD);
        idle_since_.erase(next->second);
      }
      return static_cast<int>(count);
    }

   private:
    void SetIdle(int fd, bool is_idle) {
      std::lock_guard<std::mutex> lock(mutex_);
      if (is_idle) {
        idle_since_[fd] = Now();
      } else {
        idle_since_.erase(fd);
      }
    }
    void Serve(int fd) {
      Reader reader(fd);
      Message request;
      while (reader.Read(&request)) {
        SetIdle(fd, false);
        Sleep(one_way_s_);
        const std::string answer = store_->Answer(request);
        Sleep(one_way_s_);
        // Idle before the answer is on its way, which the caller may use at
        // once for its next call.
        SetIdle(fd, true);
        if (!SendAll(fd, answer)) {
          break;
        }
      }
      SetIdle(fd, false);
    }

    Store* store_;
    double one_way_s_;
    Server server_;
    std::mutex mutex_;
    std::map<int, double> idle_since_;
  };

  Store() {
    std::thread([this] { ExpireLeases(); }).detach();
  }

  // Opens a way to the store. Returns nullptr if there is no port.
  // one_way_s: time that a call needs to the store, and its answer back.
  Front* AddFront(double one_way_s = 0) {
    fronts_.push_back(std::make_unique<Front>(this, one_way_s));
    return fronts_.back()->Start() ? fronts_.back().get() : nullptr;
  }

  // Writes a key as the operator or an upstream does. Returns the time of the
  // acknowledgement.
  double Put(const std::string& key, const std::string& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    PutLocked(key, value, 0);
    return Now();
  }
  double Delete(const std::string& key) {
    std::lock_guard<std::mutex> lock(mutex_);
    DeleteLocked(key);
    return Now();
  }

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    uint64_t lease = 0;
  };
  struct Event {
    int64_t revision;
    std::string key;
    bool is_deleted;
    Item item;
  };
  struct Lease {
    double end;
    double ttl;
  };

  void PutLocked(const std::string& key,
                 const std::string& value,
                 uint64_t lease) {
    Item& item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    item.created = item.created == 0 ? revision_ : item.created;
    item.lease = lease;
    events_.push_back({revision_, key, false, item});
    changed_.notify_all();
  }
  void DeleteLocked(const std::string& key) {
    if (items_.erase(key) > 0) {
      events_.push_back({++revision_, key, true, {}});
    }
    changed_.notify_all();
  }
  void EndLeaseLocked(uint64_t lease) {
    leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      DeleteLocked(key);
    }
  }
  void ExpireLeases() {
    while (true) {
      Sleep(0.05);
      std::lock_guard<std::mutex> lock(mutex_);
      std::vector<uint64_t> ended;
      for (const auto& [id, lease] : leases_) {
        if (Now() >= lease.end) {
          ended.push_back(id);
        }
      }
      for (const uint64_t id : ended) {
        EndLeaseLocked(id);
      }
    }
  }

  static json ToJson(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", Base64Encode(item.value)},
            {"rev", item.revision},
            {"created_rev", item.created},
            {"lease", item.lease}};
  }

  static std::string Query(const std::string& target, const std::string& name) {
    size_t begin = target.find('?');
    while (begin != std::string::npos) {
      const size_t end = target.find('&', begin + 1);
      const std::string pair = target.substr(begin + 1, end - begin - 1);
      if (pair.compare(0, name.size() + 1, name + "=") == 0) {
        std::string value;
        for (size_t i = name.size() + 1; i < pair.size(); ++i) {
          if (pair[i] == '%' && i + 2 < pair.size()) {
            value.push_back(static_cast<char>(
                strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16)));
            i += 2;
          } else {
            value.push_back(pair[i]);
          }
        }
        return value;
      }
      begin = end;
    }
    return "";
  }

  std::string Answer(const Message& request) {
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/baobabwall/kv-watch") {
      return Watch(target);
    }
    std::lock_guard<std::mutex> lock(mutex_);
    return Handle(request, target, path);
  }

  std::string Watch(const std::string& target) {
    const std::string prefix = Query(target, "prefix");
    const int64_t after = atoll(Query(target, "after").c_str());
    const double end = Now() + atoi(Query(target, "wait_ms").c_str()) / 1000.0;
    std::unique_lock<std::mutex> lock(mutex_);
    json events = json::array();
    while (true) {
      for (const Event& event : events_) {
        if (event.revision <= after ||
            event.key.compare(0, prefix.size(), prefix) != 0) {
          continue;
        }
        events.push_back(event.is_deleted ? json{{"key", event.key},
                                                 {"rev", event.revision},
                                                 {"deleted", true}}
                                          : ToJson(event.key, event.item));
      }
      if (!events.empty() || Now() >= end) {
        break;
      }
      changed_.wait_for(
          lock, std::chrono::duration<double>(std::min(0.1, end - Now())));
    }
    return HttpAnswer(
        200, "Content-Type: application/json\r\n",
        json{{"events", events}, {"current_rev", revision_}}.dump());
  }

  std::string Handle(const Message& request,
                     const std::string& target,
                     const std::string& path) {
    const std::string type = "Content-Type: application/json\r\n";
    const uint64_t id =
        strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    if (path == "/baobabwall/kv-range") {
      const std::string prefix = Query(target, "prefix");
      const std::string after = Query(target, "after");
      json items = json::array();
      bool has_more = false;
      for (const auto& [key, item] : items_) {
        if (key.compare(0, prefix.size(), prefix) != 0 || key <= after) {
          continue;
        }
        has_more = items.size() >= 500;
        if (has_more) {
          break;
        }
        items.push_back(ToJson(key, item));
      }
      return HttpAnswer(200, type,
                        json{{"items", items},
                             {"more_pages", has_more},
                             {"current_rev", revision_}}
                            .dump());
    }
    if (path == "/baobabwall/kv-key") {
      const auto item = items_.find(Query(target, "key"));
      if (item == items_.end()) {
        return HttpAnswer(404, type, json{{"current_rev", revision_}}.dump());
      }
      json body = ToJson(item->first, item->second);
      body["current_rev"] = revision_;
      return HttpAnswer(200, type, body.dump());
    }
    if (path == "/baobabwall/kv-lease") {
      const json body = json::parse(request.body);
      const double ttl = body.at("ttl_ms").get<int64_t>() / 1000.0;
      leases_[++last_lease_] = {Now() + ttl, ttl};
      return HttpAnswer(
          200, type,
          json{{"lease", last_lease_}, {"ttl_ms", body.at("ttl_ms")}}.dump());
    }
    if (path.compare(0, 20, "/baobabwall/kv-keep/") == 0) {
      const auto lease = leases_.find(id);
      if (lease == leases_.end()) {
        return HttpAnswer(404, type, "{}");
      }
      lease->second.end = Now() + lease->second.ttl;
      return HttpAnswer(200, type, "{}");
    }
    if (path.compare(0, 25, "/baobabwall/kv-lease-end/") == 0) {
      const bool is_known = leases_.count(id) > 0;
      EndLeaseLocked(id);
      return HttpAnswer(is_known ? 200 : 404, type, "{}");
    }
    if (path == "/baobabwall/kv-txn") {
      return Transaction(json::parse(request.body));
    }
    return HttpAnswer(404, type, "{}");
  }

  std::string Transaction(const json& body) {
    const std::string type = "Content-Type: application/json\r\n";
    json current = json::array();
    bool is_expected = true;
    for (const json& row : body.value("expect", json::array())) {
      const auto item = items_.find(row.at("key").get<std::string>());
      const int64_t revision = item == items_.end() ? 0 : item->second.revision;
      is_expected = is_expected && revision == row.at("rev").get<int64_t>();
      if (item != items_.end()) {
        current.push_back(ToJson(item->first, item->second));
      }
    }
    if (!is_expected) {
      return HttpAnswer(412, type, json{{"items", current}}.dump());
    }
    for (const json& put : body.value("puts", json::array())) {
      const uint64_t lease = put.value("lease", uint64_t{0});
      if (lease != 0 && leases_.count(lease) == 0) {
        return HttpAnswer(404, type, "{}");
      }
    }
    for (const json& put : body.value("puts", json::array())) {
      // The product's own keys hold text; values are kept as they came.
      PutLocked(put.at("key").get<std::string>(),
                Base64Decode(put.at("value").get<std::string>()),
                put.value("lease", uint64_t{0}));
    }
    for (const json& key : body.value("delete", json::array())) {
      DeleteLocked(key.get<std::string>());
    }
    return HttpAnswer(200, type, json{{"rev", revision_}}.dump());
  }

  static std::string Base64Decode(const std::string& text) {
    std::string decoded;
    uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
      int value = -1;
      if (c >= 'A' && c <= 'Z') {
        value = c - 'A';
      } else if (c >= 'a' && c <= 'z') {
        value = c - 'a' + 26;
      } else if (c >= '0' && c <= '9') {
        value = c - '0' + 52;
      } else if (c == '+') {
        value = 62;
      } else if (c == '/') {
        value = 63;
      }
      if (value < 0) {
        break;
      }
      bits = bits << 6 | static_cast<uint32_t>(value);
      if (++count % 4 != 1) {
        decoded.push_back(static_cast<char>(bits >> (count % 4 == 0   ? 0
                                                     : count % 4 == 3 ? 2
                                                                      : 4)));
      }
    }
    return decoded;
  }

  std::vector<std::unique_ptr<Front>> fronts_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::map<uint64_t, Lease> leases_;
  uint64_t last_lease_ = 0;
  int64_t revision_ = 100;
};

// A request that reached an upstream.
struct Arrival {
  std::string id;
  double at = 0;
  std::string upstream;
  bool is_run = false;  // false: rejected with X-Not-Executed
  double ended = 0;     // 0 while the work lasts
  std::string body;
};

// All requests that reached upstreams, in the order of their arrival.
class Arrivals {
 public:
  size_t Add(Arrival arrival) {
    std::lock_guard<std::mutex> lock(mutex_);
    arrivals_.push_back(std::move(arrival));
    return arrivals_.size() - 1;
  }
  void End(size_t index) {
    std::lock_guard<std::mutex> lock(mutex_);
    arrivals_[index].ended = Now();
  }
  std::vector<Arrival> All() {
    std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_;
  }

 private:
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
};

// An upstream of a service.
class Upstream {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 3;
    int queue = 9;
    double work_s = 0.2;
    size_t answer_bytes = 400;
    int64_t born = 1790000000000;  // Unix millisecond of the start
  };
  // Answers a request in place of the usual answer; empty text for the usual
  // one.
  using Override = std::function<std::string(const Message&, Upstream*)>;

  Upstream(Options options, Arrivals* arrivals)
      : options_(std::move(options)), arrivals_(arrivals) {}

  // port: 0 for any free port.
  bool Start(int port = 0) {
    return server_.Start([this](int fd) { Serve(fd); }, port);
  }
  int port() const { return server_.port(); }
  void Stop() { server_.Stop(); }
  void SetOverride(Override override_answer) {
    override_ = std::move(override_answer);
  }
  const Options& options() const { return options_; }
  std::string Key() const { return "servers/" + options_.id; }
  std::string Entry(const std::string& state = "ready") const {
    return json{{"service", options_.service},
                {"address", "127.0.0.1:" + std::to_string(server_.port())},
                {"zone", options_.zone},
                {"version", "v1"},
                {"capacity_slots", options_.slots},
                {"state", state},
                {"warmup_left_ms", 0},
                {"sequence", 1},
                {"born", options_.born}}
        .dump();
  }
  std::string Stamp(const std::string& id) const {
    return options_.id + "." + id;
  }
  std::string AnswerHeaders(const std::string& id) {
    return "X-Request-Id: " + id + "\r\nX-Server-Load: " +
           std::to_string(std::min<int>(running_, options_.slots)) + "," +
           std::to_string(std::max<int>(0, running_ - options_.slots)) + "," +
           std::to_string(options_.slots) + "\r\nKeep-Alive: timeout=10\r\n";
  }

 private:
  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(&request)) {
      if (!Answer(fd, request)) {
        return;
      }
    }
  }

  bool Answer(int fd, const Message& request) {
    const std::string id = request.Header("x-request-id");
    const std::string expected = request.Header("x-expect-instance");
    if (!expected.empty() && expected != options_.id) {
      return SendAll(fd, HttpAnswer(421, AnswerHeaders(id), ""));
    }
    if (id.empty()) {
      return SendAll(fd, HttpAnswer(400, "X-Not-Executed: 1\r\n", ""));
    }
    if (running_ >= options_.slots + options_.queue) {
      arrivals_->Add({id, Now(), options_.id, false, Now(), ""});
      return SendAll(
          fd, HttpAnswer(503, AnswerHeaders(id) + "X-Not-Executed: 1\r\n", ""));
    }
    const size_t index =
        arrivals_->Add({id, Now(), options_.id, true, 0, request.body});
    ++running_;
    Sleep(options_.work_s);
    --running_;
    arrivals_->End(index);
    if (override_) {
      const std::string answer = override_(request, this);
      if (!answer.empty()) {
        return SendAll(fd, answer);
      }
    }
    std::string body = options_.id + " ran " + id + " ";
    body.resize(std::max(body.size(), options_.answer_bytes), 'x');
    return SendAll(fd, HttpAnswer(200,
                                  AnswerHeaders(id) +
                                      "X-Server-Stamp: " + Stamp(id) + "\r\n",
                                  body));
  }

  Options options_;
  Arrivals* arrivals_;
  Override override_;
  Server server_;
  std::atomic<int> running_{0};
};

// The processes that a case has started and that haven't ended. Read by a
// signal handler.
constexpr int kMaxProcesses = 64;
inline std::atomic<pid_t>* Processes() {
  static std::atomic<pid_t> processes[kMaxProcesses];
  return processes;
}
inline void ReplaceProcess(pid_t from, pid_t to) {
  for (int i = 0; i < kMaxProcesses; ++i) {
    pid_t expected = from;
    if (Processes()[i].compare_exchange_strong(expected, to)) {
      return;
    }
  }
}

// Ends the case and all processes that it has started.
[[noreturn]] inline void Exit(int code) {
  for (int i = 0; i < kMaxProcesses; ++i) {
    const pid_t pid = Processes()[i];
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  _exit(code);
}

// A process of the product, started with the command of the deploy file.
class Gateway {
 public:
  struct Place {
    std::string name;
    std::string zone;
  };

  Gateway(Place place, std::string program, std::string folder)
      : place_(std::move(place)),
        program_(std::move(program)),
        folder_(std::move(folder)) {
    for (int* port : {&callers_, &readiness_, &lookups_, &peers_, &metrics_}) {
      *port = FreePort();
    }
  }
  ~Gateway() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      ReplaceProcess(pid_, 0);
    }
  }

  // Writes the settings that the platform makes from deploy/gateway.ini, and
  // starts the process.
  bool Start(int store_port, const std::map<std::string, std::string>& zones) {
    const std::string settings = folder_ + "/" + place_.name + ".ini";
    std::ofstream file(settings);
    const auto address = [&](const char* section, int port) {
      file << "[" << section << "]\naddress = 127.0.0.1:" << port << "\n";
    };
    file << "[instance]\nname = " << place_.name << "\nzone = " << place_.zone
         << "\ncpu_share = 0.2\n";
    address("callers", callers_);
    address("readiness", readiness_);
    address("lookups", lookups_);
    address("peers", peers_);
    address("metrics", metrics_);
    address("store", store_port);
    file << "[zones]\n";
    for (const auto& [zone, region] : zones) {
      file << zone << " = " << region << "\n";
    }
    file << "[retries]\nratio = 0.2\nextra = 58\nwindow_s = 10\n"
         << "[shutdown]\ngrace_s = 6\n";
    file.close();
    std::vector<std::string> arguments = {program_, "--gateway",
                                          "--settings=" + settings};
    std::vector<char*> argv;
    for (std::string& argument : arguments) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    const std::string log = folder_ + "/" + place_.name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const bool is_started = posix_spawn(&pid_, argv[0], &actions, nullptr,
                                        argv.data(), environ) == 0;
    posix_spawn_file_actions_destroy(&actions);
    if (is_started) {
      ReplaceProcess(0, pid_);
    }
    return is_started;
  }

  bool WaitReady(double limit_s = 10) const {
    const double end = Now() + limit_s;
    while (Now() < end) {
      const int fd = Connect(readiness_);
      if (fd >= 0) {
        SendAll(fd,
                "GET /baobabwall/readiness HTTP/1.1\r\nHost: r\r\n"
                "Connection: close\r\n\r\n");
        Reader reader(fd);
        Message answer;
        const bool is_ready =
            reader.Read(&answer, Now() + 1) && answer.status() == 200;
        close(fd);
        if (is_ready) {
          return true;
        }
      }
      Sleep(0.05);
    }
    return false;
  }

  void Signal(int signal) const { kill(pid_, signal); }
  pid_t pid() const { return pid_; }
  int callers() const { return callers_; }
  const std::string& name() const { return place_.name; }
  const std::string& zone() const { return place_.zone; }

 private:
  Place place_;
  std::string program_;
  std::string folder_;
  int callers_ = 0;
  int readiness_ = 0;
  int lookups_ = 0;
  int peers_ = 0;
  int metrics_ = 0;
  pid_t pid_ = 0;
};

// The zones of the deployment cantaloma-gw and their regions.
inline const std::map<std::string, std::string>& Zones() {
  static const std::map<std::string, std::string> zones = {
      {"amba-palermo", "amba"},      {"amba-sanisidro", "amba"},
      {"cuyo-godoy", "cuyo"},        {"cuyo-lujan", "cuyo"},
      {"litoral-centro", "litoral"}, {"litoral-funes", "litoral"}};
  return zones;
}

struct RouteOptions {
  std::string prefix;
  std::string type;
  std::string service;
  int timeout_ms = 2000;
  int target_ms = 500;
};

// A configuration with one host, h.example.
inline std::string Config(int version,
                          const std::vector<RouteOptions>& routes) {
  json paths = json::array();
  std::set<std::string> names;
  for (const RouteOptions& route : routes) {
    names.insert(route.service);
    paths.push_back({{"name", "r" + std::to_string(paths.size())},
                     {"prefix", route.prefix},
                     {"route_type", route.type},
                     {"timeout_ms", route.timeout_ms},
                     {"target_latency_ms", route.target_ms},
                     {"priority", 1},
                     {"service", route.service},
                     {"max_attempts", 3},
                     {"session_affinity", false},
                     {"allowed_regions", json::array()}});
  }
  json services = json::array();
  for (const std::string& name : names) {
    services.push_back({{"name", name},
                        {"health_check_path", "/health"},
                        {"max_connections", 330},
                        {"warmup_s", 3.0},
                        {"cold_per_s", 7.9}});
  }
  return json{{"version", version},
              {"services", services},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 1 << 20},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}},
              {"virtual_hosts", {{{"host", "h.example"}, {"paths", paths}}}}}
      .dump();
}

inline std::string Request(const std::string& method,
                           const std::string& path,
                           const std::string& id,
                           int deadline_ms,
                           const std::string& headers = "",
                           const std::string& body = "") {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n" +
                     "X-Request-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                     "\r\n" + headers;
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// Arguments of a case: the folder of the case, a temporary folder and the
// program; the disruption is left out if the variable TROUBLE is 0.
struct Arguments {
  std::string case_folder;
  std::string temporary_folder;
  std::string program;
  bool has_trouble = true;
};

inline Arguments ReadArguments(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  Processes();
  signal(SIGTERM, [](int) { Exit(kCouldNotRun); });
  signal(SIGINT, [](int) { Exit(kCouldNotRun); });
  Now();
  if (argc != 4) {
    fprintf(stderr, "usage: CASE-FOLDER TEMPORARY-FOLDER PROGRAM\n");
    exit(kCouldNotRun);
  }
  const char* trouble = getenv("TROUBLE");
  return {argv[1], argv[2], argv[3],
          trouble == nullptr || strcmp(trouble, "0") != 0};
}

}  // namespace review

#endif  // REVIEW_HARNESS_H_
