#include "edge/src/http_listener.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <deque>
#include <utility>
#include <vector>

#include "edge/src/incoming.h"
#include "edge/src/socket_options.h"
#include "glog/logging.h"
#include "transport/transport.h"

namespace baobabwall::edge {

using Parser = http::request_parser<http::string_body>;
using boost::system::error_code;

/// One caller connection: a read is pending while requests may come; answers
/// are written one after the other.
class HttpListener::Connection
    : public std::enable_shared_from_this<HttpListener::Connection> {
 public:
  Connection(HttpListener* listener, tcp::socket socket)
      : listener_(listener),
        socket_(std::move(socket)),
        last_use_(transport::SteadyNow()) {}

  void Start() {
    SetStreamOptions(&socket_);
    if (listener_->is_leaving_) {
      is_last_request_ = true;
    }
    Read();
  }

  void Answer(ExchangeId exchange, HttpResponse answer) {
    for (Slot& slot : slots_) {
      if (slot.exchange != exchange) {
        continue;
      }
      slot.answer = std::make_shared<HttpResponse>(std::move(answer));
      break;
    }
    WriteNext();
  }

  /// Closes once all answers are sent. A connection without a request serves
  /// one more: it may be on its way.
  void StartLeaving() {
    if (IsIdle() || HasBegun()) {
      is_last_request_ = true;
    } else {
      StopReading();
    }
  }

  void CloseIfIdle(absl::Time now) {
    const bool may_begin =
        !has_served_ && now - last_use_ <= HttpListener::kFirstRequest;
    if (IsIdle() && !may_begin) {
      StopReading();
    }
  }

  void OnTick(absl::Time now) {
    if (is_ending_) {
      if (now >= linger_until_) {
        Close();
      }
      return;
    }
    const gateway::RequestLimits& limits = listener_->limits_;
    if (HasBegun() && !parser_->is_header_done()) {
      if (head_since_ == absl::InfiniteFuture()) {
        head_since_ = now;
      }
      if (now - head_since_ > limits.header_timeout) {
        Reject(http::status::request_timeout);
      }
      return;
    }
    head_since_ = absl::InfiniteFuture();
    if (IsIdle() && now - last_use_ > limits.idle_timeout + kIdleSlack) {
      StopReading();
    }
  }

  void Close() {
    error_code ignored;  // The connection is given up either way.
    socket_.close(ignored);
    ReportGone();
    listener_->connections_.erase(this);
  }

 private:
  struct Slot {
    ExchangeId exchange = 0;
    bool keeps_alive = true;
    /// Shared with its write, which may outlast the slot.
    std::shared_ptr<HttpResponse> answer;
  };

  bool HasBegun() const { return parser_ && parser_->got_some(); }
  bool IsIdle() const { return slots_.empty() && !HasBegun(); }

  void StopReading() {
    if (is_ending_) {
      return;
    }
    is_read_stopped_ = true;
    WriteNext();
  }

  void Read() {
    if (is_reading_ || is_ending_ || is_read_stopped_) {
      return;
    }
    if (slots_.size() >= kMaxPipelined) {
      return;
    }
    parser_.emplace();
    parser_->header_limit(listener_->limits_.header_bytes);
    parser_->body_limit(listener_->limits_.body_bytes);
    is_reading_ = true;
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, size_t) {
                       self->OnRead(error);
                     });
  }

  void OnRead(error_code error) {
    is_reading_ = false;
    if (is_ending_) {
      // The caller's last bytes crossed our end of the stream.
      if (error) {
        Close();
      } else {
        Discard();
      }
      return;
    }
    if (!error) {
      OnRequest();
      return;
    }
    if (error == http::error::header_limit) {
      Reject(http::status::request_header_fields_too_large);
    } else if (error == http::error::body_limit) {
      Reject(http::status::payload_too_large);
    } else if (error.category() ==
                   http::make_error_code(http::error::bad_method).category() &&
               error != http::error::end_of_stream &&
               error != http::error::partial_message) {
      Reject(http::status::bad_request);
    } else {
      Close();
    }
  }

  void OnRequest() {
    last_use_ = transport::SteadyNow();
    HttpRequest request = parser_->release();
    parser_.reset();
    Slot slot;
    slot.exchange = ++listener_->last_exchange_;
    slot.keeps_alive = request.keep_alive();
    if (!slot.keeps_alive || is_last_request_) {
      is_read_stopped_ = true;
    }
    const ExchangeId exchange = slot.exchange;
    slots_.push_back(std::move(slot));
    listener_->exchanges_.emplace(exchange, this);
    const auto self = shared_from_this();
    listener_->hooks_.on_request(exchange, std::move(request));
    if (is_read_stopped_) {
      WatchForEnd();
    }
    Read();
  }

  /// Answers a request that was not read as a whole, and closes.
  void Reject(http::status status) {
    is_read_stopped_ = true;
    Slot slot;
    slot.answer = std::make_shared<HttpResponse>(status, 11);
    slots_.push_back(std::move(slot));
    WriteNext();
  }

  /// Notices that the caller goes while no read is pending.
  void WatchForEnd() {
    if (is_watching_ || is_ending_) {
      return;
    }
    is_watching_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](error_code error) {
                         self->is_watching_ = false;
                         self->OnWatched(error);
                       });
  }

  void OnWatched(error_code error) {
    if (is_ending_ || error) {
      return;
    }
    if (PeekIncoming(&socket_) == Incoming::kEnd) {
      Close();
    }
  }

  void WriteNext() {
    if (is_writing_ || is_ending_) {
      return;
    }
    if (slots_.empty()) {
      if (is_read_stopped_) {
        End();
      }
      return;
    }
    Slot& slot = slots_.front();
    if (slot.answer == nullptr) {
      return;
    }
    is_writing_ = true;
    const bool is_last = is_read_stopped_ && slots_.size() == 1;
    slot.answer->version(11);
    slot.answer->keep_alive(!is_last);
    http::async_write(
        socket_, *slot.answer,
        [self = shared_from_this(), answer = slot.answer](
            error_code error, size_t) { self->OnWritten(error); });
  }

  void OnWritten(error_code error) {
    is_writing_ = false;
    if (is_ending_) {
      return;
    }
    if (error) {
      Close();
      return;
    }
    last_use_ = transport::SteadyNow();
    has_served_ = true;
    const bool was_last = !slots_.front().answer->keep_alive();
    listener_->exchanges_.erase(slots_.front().exchange);
    slots_.pop_front();
    if (was_last) {
      End();
      return;
    }
    WriteNext();
    Read();
  }

  /// Sends the end of the stream, then waits until the caller has closed too.
  void End() {
    is_ending_ = true;
    linger_until_ = transport::SteadyNow() + kLinger;
    error_code ignored;  // A caller that is gone has nothing to receive.
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    if (!is_reading_) {
      Discard();
    }
  }

  void Discard() {
    discarded_.resize(1024);
    socket_.async_read_some(
        asio::buffer(discarded_),
        [self = shared_from_this()](error_code error, size_t) {
          if (error) {
            self->Close();
          } else {
            self->Discard();
          }
        });
  }

  void ReportGone() {
    is_ending_ = true;
    std::deque<Slot> slots = std::move(slots_);
    slots_.clear();
    for (const Slot& slot : slots) {
      if (listener_->exchanges_.erase(slot.exchange) > 0 &&
          slot.answer == nullptr) {
        listener_->hooks_.on_caller_gone(slot.exchange);
      }
    }
  }

  HttpListener* listener_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::deque<Slot> slots_;
  std::vector<char> discarded_;
  bool is_reading_ = false;
  bool is_watching_ = false;
  bool is_writing_ = false;
  bool is_read_stopped_ = false;
  bool is_last_request_ = false;
  bool has_served_ = false;
  bool is_ending_ = false;
  absl::Time last_use_;
  absl::Time head_since_ = absl::InfiniteFuture();
  absl::Time linger_until_ = absl::InfiniteFuture();
};

HttpListener::HttpListener(asio::io_context* io, Hooks hooks)
    : hooks_(std::move(hooks)), acceptor_(*io), accept_timer_(*io) {}

HttpListener::~HttpListener() = default;

bool HttpListener::Open(const gateway::Endpoint& address) {
  const auto endpoint = ToAsio<tcp>(address);
  if (!endpoint) {
    LOG(ERROR) << "http: not an address value=" << address.address;
    return false;
  }
  error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(*endpoint, error);
  }
  if (!error) {
    acceptor_.listen(kBacklog, error);
  }
  if (error) {
    LOG(ERROR) << "http: cannot listen address=" << address.address << ":"
               << address.port << " error=" << error.message();
    return false;
  }
  Accept();
  return true;
}

void HttpListener::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (error) {
      LOG(WARNING) << "http: accept failed error=" << error.message();
      accept_timer_.expires_after(kAcceptRetry);
      accept_timer_.async_wait([this](error_code stopped) {
        if (!stopped && acceptor_.is_open()) {
          Accept();
        }
      });
      return;
    }
    auto connection = std::make_shared<Connection>(this, std::move(socket));
    connections_.emplace(connection.get(), connection);
    connection->Start();
    Accept();
  });
}

void HttpListener::Answer(ExchangeId exchange, HttpResponse answer) {
  const auto found = exchanges_.find(exchange);
  if (found != exchanges_.end()) {
    found->second->Answer(exchange, std::move(answer));
  }
}

void HttpListener::StartLeaving() {
  is_leaving_ = true;
  for (const auto& connection : Connections()) {
    connection->StartLeaving();
  }
}

void HttpListener::CloseIdle(absl::Time now) {
  for (const auto& connection : Connections()) {
    connection->CloseIfIdle(now);
  }
}

void HttpListener::StopAccepting() {
  error_code ignored;  // It is not used again.
  acceptor_.close(ignored);
}

void HttpListener::CloseAll() {
  for (const auto& connection : Connections()) {
    connection->Close();
  }
}

std::vector<std::shared_ptr<HttpListener::Connection>>
HttpListener::Connections() const {
  std::vector<std::shared_ptr<Connection>> all;
  for (const auto& [key, connection] : connections_) {
    all.push_back(connection);
  }
  return all;
}

void HttpListener::OnTick(absl::Time now) {
  for (const auto& connection : Connections()) {
    connection->OnTick(now);
  }
}

}  // namespace baobabwall::edge
