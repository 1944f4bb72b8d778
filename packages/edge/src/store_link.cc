#include "edge/src/store_link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <utility>

#include "edge/src/socket_options.h"
#include "glog/logging.h"

namespace baobabwall::edge {

using boost::system::error_code;

/// A single call: connects, sends the request and reads the answer, or times
/// out.
class StoreLink::PendingCall
    : public std::enable_shared_from_this<StoreLink::PendingCall> {
 public:
  /// The store limits a page to 1 MB; base64 makes the values of a page larger.
  static constexpr uint64_t kMaxAnswerBytes = 16 * 1024 * 1024;
  /// Maximum size of the header, and of data that is not parsed yet.
  static constexpr uint32_t kMaxUnparsedBytes = 64 * 1024;

  PendingCall(StoreLink* link,
              gateway::Endpoint destination,
              control::StoreCall call)
      : link_(link),
        destination_(std::move(destination)),
        call_(std::move(call)),
        socket_(*link->io_),
        timer_(*link->io_) {}

  void Run() {
    request_ = link_->codec_.encode(call_.request);
    timer_.expires_after(std::chrono::milliseconds(
        absl::ToInt64Milliseconds(TimeoutOf(call_.request))));
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) {
        self->Fail("timeout");
      }
    });
    std::list<tcp::socket>& idle_connections =
        link_->idle_connections_[destination_];
    if (!idle_connections.empty()) {
      socket_ = std::move(idle_connections.back());
      idle_connections.pop_back();
      Send();
      return;
    }
    const auto endpoint = ToAsio<tcp>(destination_);
    if (!endpoint) {
      asio::post(*link_->io_,
                 [self = shared_from_this()] { self->Fail("bad address"); });
      return;
    }
    socket_.async_connect(*endpoint,
                          [self = shared_from_this()](error_code error) {
                            if (error) {
                              self->Fail(error.message());
                              return;
                            }
                            SetStreamOptions(&self->socket_);
                            self->Send();
                          });
  }

 private:
  absl::Duration TimeoutOf(const control::StoreRequest& request) const {
    if (const auto* watch = std::get_if<control::StoreWatch>(&request)) {
      return watch->timeout + link_->timeouts_.answer;
    }
    const bool is_write =
        std::holds_alternative<control::StoreCompareAndSwap>(request) ||
        std::holds_alternative<control::StoreLeaseGrant>(request);
    return is_write ? link_->timeouts_.write : link_->timeouts_.answer;
  }

  void Send() {
    http::async_write(socket_, request_,
                      [self = shared_from_this()](error_code error, size_t) {
                        if (error) {
                          self->Fail(error.message());
                        }
                      });
    parser_.body_limit(kMaxAnswerBytes);
    http::async_read(socket_, buffer_, parser_,
                     [self = shared_from_this()](error_code error, size_t) {
                       self->OnAnswer(error);
                     });
  }

  void OnAnswer(error_code error) {
    if (is_finished_) {
      return;
    }
    if (error) {
      Fail(error.message());
      return;
    }
    const HttpResponse answer = parser_.release();
    if (answer.keep_alive() && buffer_.size() == 0) {
      link_->idle_connections_[destination_].push_back(std::move(socket_));
    }
    control::StoreAnswer decoded = link_->codec_.decode(call_.request, answer);
    Finish(std::move(decoded));
  }

  void Fail(const std::string& error) {
    if (is_finished_) {
      return;
    }
    LOG(WARNING) << "store: call failed to=" << destination_.address << ":"
                 << destination_.port << " error=" << error;
    error_code ignored;  // The connection is discarded in any case.
    socket_.close(ignored);
    // The other idle connections to this address have probably failed too.
    link_->idle_connections_.erase(destination_);
    Finish({});
  }

  void Finish(control::StoreAnswer answer) {
    is_finished_ = true;
    timer_.cancel();
    answer.id = call_.id;
    link_->on_done_(std::move(answer));
  }

  StoreLink* link_;
  gateway::Endpoint destination_;
  control::StoreCall call_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  HttpRequest request_;
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  http::response_parser<http::string_body> parser_;
  bool is_finished_ = false;
};

StoreLink::StoreLink(asio::io_context* io,
                     Codec codec,
                     const Timeouts& timeouts,
                     DoneCallback on_done)
    : io_(io),
      codec_(std::move(codec)),
      timeouts_(timeouts),
      on_done_(std::move(on_done)) {}

StoreLink::~StoreLink() = default;

void StoreLink::Call(const gateway::Endpoint& destination,
                     control::StoreCall call) {
  std::make_shared<PendingCall>(this, destination, std::move(call))->Run();
}

}  // namespace baobabwall::edge
