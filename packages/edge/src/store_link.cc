#include "edge/src/store_link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "edge/src/incoming.h"
#include "edge/src/socket_options.h"
#include "glog/logging.h"
#include "transport/transport.h"

namespace baobabwall::edge {
namespace internal {

struct CallNameVisitor {
  const char* operator()(const control::StoreGet&) const { return "get"; }
  const char* operator()(const control::StoreRange&) const { return "range"; }
  const char* operator()(const control::StoreCompareAndSwap&) const {
    return "write";
  }
  const char* operator()(const control::StoreLeaseGrant&) const {
    return "lease-grant";
  }
  const char* operator()(const control::StoreLeaseKeepAlive&) const {
    return "lease-renewal";
  }
  const char* operator()(const control::StoreLeaseEnd&) const {
    return "lease-end";
  }
  const char* operator()(const control::StoreWatch&) const { return "watch"; }
};

/// \returns whether the call has the same effect if it is executed twice.
bool IsIdempotent(const control::StoreRequest& request) {
  return !std::holds_alternative<control::StoreCompareAndSwap>(request) &&
         !std::holds_alternative<control::StoreLeaseGrant>(request);
}

}  // namespace internal

using boost::system::error_code;

/// A single call: connects, sends the request and reads the answer, or times
/// out. If the connection is lost, an idempotent call may be sent again on a
/// new connection.
class StoreLink::PendingCall
    : public std::enable_shared_from_this<StoreLink::PendingCall> {
 public:
  /// The store limits a page to 1 MB; base64 makes the values of a page larger.
  static constexpr uint64_t kMaxAnswerBytes = 16 * 1024 * 1024;
  /// Maximum size of the header, and of data that is not parsed yet.
  static constexpr uint32_t kMaxUnparsedBytes = 64 * 1024;
  /// A watch that was pending on its connection for this time was accepted. A
  /// destination that turns callers away resets the connection earlier.
  static constexpr absl::Duration kMinAcceptedWait = absl::Milliseconds(500);

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
    StartTimer();
    if (auto idle_connection = link_->TakeIdleConnection(destination_)) {
      socket_ = *std::move(idle_connection);
      is_connection_reused_ = true;
      Send();
      return;
    }
    Connect();
  }

 private:
  /// State of a read; lives as long as the read is pending.
  struct PendingRead {
    boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
    http::response_parser<http::string_body> parser;
  };

  void StartTimer() {
    timer_.expires_after(std::chrono::milliseconds(
        absl::ToInt64Milliseconds(TimeoutOf(call_.request))));
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) {
        self->Fail("timeout");
      }
    });
  }

  void Connect() {
    const auto endpoint = ToAsio<tcp>(destination_);
    if (!endpoint) {
      asio::post(*link_->io_,
                 [self = shared_from_this()] { self->Fail("bad address"); });
      return;
    }
    socket_.async_connect(*endpoint,
                          [self = shared_from_this()](error_code error) {
                            if (self->is_finished_) {
                              return;
                            }
                            if (error) {
                              self->Fail(error.message());
                              return;
                            }
                            SetStreamOptions(&self->socket_);
                            self->Send();
                          });
  }

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
    sent_at_ = transport::SteadyNow();
    // A write error shows up in the read as well.
    http::async_write(socket_, request_,
                      [self = shared_from_this()](error_code, size_t) {});
    pending_read_ = std::make_shared<PendingRead>();
    pending_read_->parser.body_limit(kMaxAnswerBytes);
    http::async_read(socket_, pending_read_->buffer, pending_read_->parser,
                     [self = shared_from_this(), pending_read = pending_read_](
                         error_code error, size_t) { self->OnAnswer(error); });
  }

  void OnAnswer(error_code error) {
    if (is_finished_) {
      return;
    }
    if (error) {
      OnConnectionLost(error);
      return;
    }
    const HttpResponse answer = pending_read_->parser.release();
    if (answer.keep_alive() && pending_read_->buffer.size() == 0) {
      link_->idle_connections_[destination_].push_back(std::move(socket_));
    }
    control::StoreAnswer decoded = link_->codec_.decode(call_.request, answer);
    Finish(std::move(decoded));
  }

  /// The loss of a connection does not show that the destination is
  /// unreachable if the connection may have been lost long ago, or if a watch
  /// was accepted and has waited for changes.
  void OnConnectionLost(error_code error) {
    const bool is_accepted_watch =
        std::holds_alternative<control::StoreWatch>(call_.request) &&
        transport::SteadyNow() - sent_at_ >= kMinAcceptedWait;
    const bool is_repeated =
        is_accepted_watch ||
        (is_connection_reused_ && internal::IsIdempotent(call_.request));
    if (!is_repeated) {
      Fail(error.message());
      return;
    }
    LOG(INFO) << "store: call repeated" << Describe(error.message());
    error_code ignored;  // The connection is discarded in any case.
    socket_.close(ignored);
    is_connection_reused_ = false;
    StartTimer();
    Connect();
  }

  /// \returns the fields of a log line.
  std::string Describe(const std::string& error) const {
    const absl::Duration wait = sent_at_ == absl::InfinitePast()
                                    ? absl::ZeroDuration()
                                    : transport::SteadyNow() - sent_at_;
    return absl::StrCat(
        " to=", destination_.address, ":", destination_.port,
        " call=", std::visit(internal::CallNameVisitor(), call_.request),
        " connection=", is_connection_reused_ ? "reused" : "new",
        " wait_ms=", absl::ToInt64Milliseconds(wait), " error=", error);
  }

  void Fail(const std::string& error) {
    if (is_finished_) {
      return;
    }
    LOG(WARNING) << "store: call failed" << Describe(error);
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
  std::shared_ptr<PendingRead> pending_read_;
  absl::Time sent_at_ = absl::InfinitePast();
  bool is_connection_reused_ = false;
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

std::optional<tcp::socket> StoreLink::TakeIdleConnection(
    const gateway::Endpoint& destination) {
  std::list<tcp::socket>& connections = idle_connections_[destination];
  while (!connections.empty()) {
    tcp::socket connection = std::move(connections.back());
    connections.pop_back();
    if (PeekIncomingData(&connection) == IncomingData::kNoData) {
      return connection;
    }
  }
  return std::nullopt;
}

void StoreLink::Call(const gateway::Endpoint& destination,
                     control::StoreCall call) {
  std::make_shared<PendingCall>(this, destination, std::move(call))->Run();
}

}  // namespace baobabwall::edge
