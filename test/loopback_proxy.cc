#include "loopback_proxy.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>
#include <vector>

namespace baobabwall::test {
namespace {

using boost::system::error_code;
using edge::tcp;

constexpr std::chrono::milliseconds kDelay{200};
/// Interval at which a blocked connection checks whether it may forward data
/// again.
constexpr std::chrono::milliseconds kSilentCheckInterval{50};
constexpr size_t kChunkBytes = 16 * 1024;

}  // namespace

/// A proxied connection: two sockets, with a read loop for each direction.
class LoopbackProxy::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(LoopbackProxy* proxy, tcp::socket caller)
      : proxy_(proxy), caller_(std::move(caller)), server_(proxy->io_) {}

  void Start() {
    server_.async_connect(
        {edge::asio::ip::make_address("127.0.0.1"),
         static_cast<uint16_t>(proxy_->target_)},
        [self = shared_from_this()](error_code error) {
          if (error) {
            self->Close(true);
            return;
          }
          self->ReadChunk(&self->caller_, &self->server_, true);
          self->ReadChunk(&self->server_, &self->caller_, false);
        });
  }

  /// \param is_reset true to send a reset instead of an end of the stream to
  /// both sides.
  void Close(bool is_reset) {
    error_code ignored;  // The sockets may be closed already.
    for (tcp::socket* socket : {&caller_, &server_}) {
      if (is_reset) {
        socket->set_option(edge::asio::socket_base::linger(true, 0), ignored);
      }
      socket->close(ignored);
    }
    proxy_->connections_.erase(shared_from_this());
  }

 private:
  void ReadChunk(tcp::socket* source,
                 tcp::socket* destination,
                 bool is_request) {
    auto chunk = std::make_shared<std::vector<char>>(kChunkBytes);
    source->async_read_some(edge::asio::buffer(*chunk),
                            [self = shared_from_this(), source, destination,
                             is_request, chunk](error_code error, size_t size) {
                              if (error) {
                                self->Close(false);
                                return;
                              }
                              chunk->resize(size);
                              self->ForwardChunk(source, destination,
                                                 is_request, chunk);
                            });
  }

  void ForwardChunk(tcp::socket* source,
                    tcp::socket* destination,
                    bool is_request,
                    const std::shared_ptr<std::vector<char>>& chunk) {
    const ProxyMode mode = proxy_->mode_;
    const bool is_blocked = mode == ProxyMode::kSilent ||
                            (mode == ProxyMode::kDropReplies && !is_request);
    if (is_blocked || (mode == ProxyMode::kDelay && !was_delayed_)) {
      was_delayed_ = mode == ProxyMode::kDelay;
      auto timer = std::make_shared<edge::asio::steady_timer>(proxy_->io_);
      timer->expires_after(is_blocked ? kSilentCheckInterval : kDelay);
      timer->async_wait([self = shared_from_this(), timer, source, destination,
                         is_request, chunk](error_code) {
        self->ForwardChunk(source, destination, is_request, chunk);
      });
      return;
    }
    was_delayed_ = false;
    edge::asio::async_write(*destination, edge::asio::buffer(*chunk),
                            [self = shared_from_this(), source, destination,
                             is_request, chunk](error_code error, size_t) {
                              if (error) {
                                self->Close(false);
                                return;
                              }
                              self->ReadChunk(source, destination, is_request);
                            });
  }

  LoopbackProxy* proxy_;
  tcp::socket caller_;
  tcp::socket server_;
  bool was_delayed_ = false;
};

LoopbackProxy::LoopbackProxy(int target)
    : acceptor_(io_, {edge::asio::ip::make_address("127.0.0.1"), 0}),
      target_(target),
      port_(acceptor_.local_endpoint().port()) {
  Accept();
  thread_ = std::thread([this] { io_.run(); });
}

LoopbackProxy::~LoopbackProxy() {
  io_.stop();
  thread_.join();
}

void LoopbackProxy::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) {
      return;
    }
    auto connection = std::make_shared<Connection>(this, std::move(socket));
    connections_.insert(connection);
    connection->Start();
    Accept();
  });
}

void LoopbackProxy::SetMode(ProxyMode mode) {
  mode_ = mode;
}

void LoopbackProxy::Reset() {
  edge::asio::post(io_, [this] {
    const std::set<std::shared_ptr<Connection>> copy = connections_;
    for (const auto& connection : copy) {
      connection->Close(true);
    }
  });
}

}  // namespace baobabwall::test
