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
/// A silent connection looks again after this time whether it may pass.
constexpr std::chrono::milliseconds kSilentCheck{50};
constexpr size_t kPiece = 16 * 1024;

}  // namespace

/// Two sockets and a pump for each direction.
class LoopbackProxy::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(LoopbackProxy* proxy, tcp::socket caller)
      : proxy_(proxy), caller_(std::move(caller)), server_(proxy->io_) {}

  void Start() {
    server_.async_connect({edge::asio::ip::make_address("127.0.0.1"),
                           static_cast<uint16_t>(proxy_->target_)},
                          [self = shared_from_this()](error_code error) {
                            if (error) {
                              self->Close(true);
                              return;
                            }
                            self->Pump(&self->caller_, &self->server_, true);
                            self->Pump(&self->server_, &self->caller_, false);
                          });
  }

  /// \param is_reset the ends see a reset instead of an end of the stream.
  void Close(bool is_reset) {
    error_code ignored;  // Sockets that are closed already.
    for (tcp::socket* socket : {&caller_, &server_}) {
      if (is_reset) {
        socket->set_option(edge::asio::socket_base::linger(true, 0), ignored);
      }
      socket->close(ignored);
    }
    proxy_->links_.erase(shared_from_this());
  }

 private:
  void Pump(tcp::socket* from, tcp::socket* to, bool is_request) {
    auto piece = std::make_shared<std::vector<char>>(kPiece);
    from->async_read_some(edge::asio::buffer(*piece),
                          [self = shared_from_this(), from, to, is_request,
                           piece](error_code error, size_t size) {
                            if (error) {
                              self->Close(false);
                              return;
                            }
                            piece->resize(size);
                            self->Pass(from, to, is_request, piece);
                          });
  }

  void Pass(tcp::socket* from,
            tcp::socket* to,
            bool is_request,
            const std::shared_ptr<std::vector<char>>& piece) {
    const ProxyMode mode = proxy_->mode_;
    const bool is_held = mode == ProxyMode::kSilent ||
                         (mode == ProxyMode::kDropReplies && !is_request);
    if (is_held || (mode == ProxyMode::kDelay && !was_delayed_)) {
      was_delayed_ = mode == ProxyMode::kDelay;
      auto timer = std::make_shared<edge::asio::steady_timer>(proxy_->io_);
      timer->expires_after(is_held ? kSilentCheck : kDelay);
      timer->async_wait(
          [self = shared_from_this(), timer, from, to, is_request,
           piece](error_code) { self->Pass(from, to, is_request, piece); });
      return;
    }
    was_delayed_ = false;
    edge::asio::async_write(*to, edge::asio::buffer(*piece),
                            [self = shared_from_this(), from, to, is_request,
                             piece](error_code error, size_t) {
                              if (error) {
                                self->Close(false);
                                return;
                              }
                              self->Pump(from, to, is_request);
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
    auto link = std::make_shared<Link>(this, std::move(socket));
    links_.insert(link);
    link->Start();
    Accept();
  });
}

void LoopbackProxy::SetMode(ProxyMode mode) {
  mode_ = mode;
}

void LoopbackProxy::Reset() {
  edge::asio::post(io_, [this] {
    const std::set<std::shared_ptr<Link>> all = links_;
    for (const auto& link : all) {
      link->Close(true);
    }
  });
}

}  // namespace baobabwall::test
