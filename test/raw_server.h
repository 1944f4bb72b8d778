#ifndef TEST_RAW_SERVER_H_
#define TEST_RAW_SERVER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace baobabwall::test {

/// \brief A TCP server whose answers are written byte by byte by a test.
class RawServer {
 public:
  /// Called with the header of each request and the data received with it.
  /// \returns false to close the connection.
  using Script = std::function<bool(int socket, const std::string& request)>;

  explicit RawServer(Script script) : script_(std::move(script)) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t length = sizeof(address);
    bind(listener_, generic, length);
    listen(listener_, 64);
    getsockname(listener_, generic, &length);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~RawServer() {
    is_stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    close(listener_);
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  int port() const { return port_; }
  int accepted() const { return accepted_; }
  int closed_by_peer() const { return closed_by_peer_; }

  static void Write(int socket, const std::string& data) {
    for (size_t sent = 0; sent < data.size();) {
      const ssize_t count =
          send(socket, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return;
      }
      sent += count;
    }
  }

 private:
  void Accept() {
    for (int peer; (peer = accept(listener_, nullptr, nullptr)) >= 0;) {
      ++accepted_;
      threads_.emplace_back([this, peer] { Serve(peer); });
    }
  }

  void Serve(int peer) {
    std::string data;
    char buffer[4096];
    while (!is_stopping_) {
      pollfd entry = {peer, POLLIN, 0};
      if (poll(&entry, 1, 10) == 0) {
        continue;
      }
      const ssize_t count = recv(peer, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        ++closed_by_peer_;
        break;
      }
      data.append(buffer, count);
      if (data.find("\r\n\r\n") == std::string::npos) {
        continue;
      }
      const std::string request = std::exchange(data, {});
      if (!script_(peer, request)) {
        break;
      }
    }
    close(peer);
  }

  Script script_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> is_stopping_{false};
  std::atomic<int> accepted_{0};
  std::atomic<int> closed_by_peer_{0};
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace baobabwall::test

#endif  // TEST_RAW_SERVER_H_
