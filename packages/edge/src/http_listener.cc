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

/// A connection of one caller. A read is pending while more requests are
/// accepted; answers are written one after the other.
class HttpListener::Connection
    : public std::enable_shared_from_this<HttpListener::Connection> {
 public:
  Connection(HttpListener* listener, tcp::socket socket)
      : listener_(listener),
        socket_(std::move(socket)),
        last_activity_(transport::SteadyNow()) {}

  void Start() {
    SetStreamOptions(&socket_);
    if (listener_->is_draining_) {
      is_next_request_last_ = true;
    }
    ReadRequest();
  }

  void Answer(ExchangeId exchange, HttpResponse answer) {
    for (PendingExchange& pending : pending_exchanges_) {
      if (pending.exchange != exchange) {
        continue;
      }
      pending.answer = std::make_shared<HttpResponse>(std::move(answer));
      break;
    }
    WriteNextAnswer();
  }

  /// Closes the connection once all answers are sent. An idle connection serves
  /// one more request, because the caller may already have sent the request.
  void StartDraining() {
    if (IsIdle() || HasPartialRequest()) {
      is_next_request_last_ = true;
    } else {
      StopReading();
    }
  }

  void CloseIfIdle(absl::Time now) {
    const bool may_send_first_request =
        !has_sent_answer_ &&
        now - last_activity_ <= HttpListener::kFirstRequestTimeout;
    if (IsIdle() && !may_send_first_request) {
      StopReading();
    }
  }

  void OnTick(absl::Time now) {
    if (is_closing_) {
      if (now >= linger_deadline_) {
        Close();
      }
      return;
    }
    if (is_last_answer_chosen_) {
      return;
    }
    const gateway::RequestLimits& limits = listener_->limits_;
    if (HasPartialRequest() && !parser_->is_header_done()) {
      if (header_start_ == absl::InfiniteFuture()) {
        header_start_ = now;
      }
      if (now - header_start_ > limits.header_timeout) {
        Reject(http::status::request_timeout);
      }
      return;
    }
    header_start_ = absl::InfiniteFuture();
    if (IsIdle() &&
        now - last_activity_ > limits.idle_timeout + kIdleTimeoutMargin) {
      StopReading();
    }
  }

  void Close() {
    error_code ignored;  // The connection is discarded in any case.
    socket_.close(ignored);
    ReportDisconnect();
    listener_->connections_.erase(this);
  }

 private:
  struct PendingExchange {
    ExchangeId exchange = 0;
    bool is_keep_alive = true;
    /// The write operation shares the answer because the write may outlive this
    /// exchange.
    std::shared_ptr<HttpResponse> answer;
  };

  /// \returns whether the received bytes are no valid request. Other errors
  /// mean that the caller has disconnected.
  static bool IsParseError(error_code error) {
    return error.category() ==
               http::make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream &&
           error != http::error::partial_message;
  }

  bool HasPartialRequest() const { return parser_ && parser_->got_some(); }
  bool IsIdle() const {
    return pending_exchanges_.empty() && !HasPartialRequest();
  }

  void StopReading() {
    if (is_closing_) {
      return;
    }
    is_read_stopped_ = true;
    WriteNextAnswer();
  }

  void ReadRequest() {
    if (is_reading_ || is_closing_ || is_read_stopped_) {
      return;
    }
    if (pending_exchanges_.size() >= kMaxPipelinedRequests) {
      return;
    }
    parser_.emplace();
    chunked_head_.reset();
    parser_->on_chunk_header(on_chunk_header_);
    parser_->header_limit(listener_->limits_.header_bytes);
    parser_->body_limit(listener_->limits_.body_bytes);
    is_reading_ = true;
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, size_t) {
                       self->OnReadDone(error);
                     });
  }

  void OnReadDone(error_code error) {
    is_reading_ = false;
    if (is_last_answer_chosen_) {
      OnInputBehindLastAnswer(error);
      return;
    }
    if (!error) {
      OnRequest();
      return;
    }
    if (error == http::error::header_limit ||
        error == http::error::buffer_overflow) {
      Reject(http::status::request_header_fields_too_large);
    } else if (error == http::error::body_limit) {
      Reject(http::status::payload_too_large);
    } else if (IsParseError(error)) {
      Reject(http::status::bad_request);
    } else {
      Close();
    }
  }

  /// Ignores a request that arrived after the connection's last answer was
  /// chosen. The caller may send the request again, because no request behind
  /// that answer runs.
  void OnInputBehindLastAnswer(error_code error) {
    if (error && !IsParseError(error)) {
      Close();
    } else if (is_closing_) {
      DiscardInput();
    } else {
      WaitForClose();
    }
  }

  void OnRequest() {
    last_activity_ = transport::SteadyNow();
    HttpRequest request = parser_->release();
    parser_.reset();
    if (chunked_head_) {
      // Beast adds the fields of the trailer to those of the head. They must
      // not replace or repeat credentials that the head has shown.
      request.base() = *std::move(chunked_head_);
      chunked_head_.reset();
    }
    PendingExchange pending;
    pending.exchange = ++listener_->last_exchange_id_;
    pending.is_keep_alive = request.keep_alive();
    if (!pending.is_keep_alive || is_next_request_last_) {
      is_read_stopped_ = true;
    }
    const ExchangeId exchange = pending.exchange;
    pending_exchanges_.push_back(std::move(pending));
    listener_->connection_by_exchange_.emplace(exchange, this);
    const auto self = shared_from_this();
    listener_->hooks_.on_request(exchange, std::move(request));
    if (is_read_stopped_) {
      WaitForClose();
    }
    ReadRequest();
  }

  /// Sends an error answer to a request that was not read completely, then
  /// closes the connection.
  void Reject(http::status status) {
    is_read_stopped_ = true;
    is_last_answer_chosen_ = true;
    PendingExchange pending;
    pending.answer = std::make_shared<HttpResponse>(status, 11);
    pending_exchanges_.push_back(std::move(pending));
    WriteNextAnswer();
  }

  /// Detects that the caller closes the connection while no read is pending.
  void WaitForClose() {
    if (is_waiting_for_close_ || is_closing_) {
      return;
    }
    is_waiting_for_close_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](error_code error) {
                         self->is_waiting_for_close_ = false;
                         self->OnReadable(error);
                       });
  }

  void OnReadable(error_code error) {
    if (is_closing_ || error) {
      return;
    }
    if (PeekIncomingData(&socket_) == IncomingData::kClosed) {
      Close();
    }
  }

  void WriteNextAnswer() {
    if (is_writing_ || is_closing_) {
      return;
    }
    if (pending_exchanges_.empty()) {
      if (is_read_stopped_) {
        StartClosing();
      }
      return;
    }
    PendingExchange& pending = pending_exchanges_.front();
    if (pending.answer == nullptr) {
      return;
    }
    is_writing_ = true;
    const bool is_last_answer =
        is_read_stopped_ && pending_exchanges_.size() == 1;
    is_last_answer_chosen_ = is_last_answer_chosen_ || is_last_answer;
    pending.answer->version(11);
    pending.answer->keep_alive(!is_last_answer);
    http::async_write(
        socket_, *pending.answer,
        [self = shared_from_this(), answer = pending.answer](
            error_code error, size_t) { self->OnAnswerWritten(error); });
  }

  void OnAnswerWritten(error_code error) {
    is_writing_ = false;
    if (is_closing_) {
      return;
    }
    if (error) {
      Close();
      return;
    }
    last_activity_ = transport::SteadyNow();
    has_sent_answer_ = true;
    const bool was_last_answer =
        !pending_exchanges_.front().answer->keep_alive();
    listener_->connection_by_exchange_.erase(
        pending_exchanges_.front().exchange);
    pending_exchanges_.pop_front();
    if (was_last_answer) {
      StartClosing();
      return;
    }
    WriteNextAnswer();
    ReadRequest();
  }

  /// Shuts down the sending side, then waits until the caller closes the
  /// connection.
  void StartClosing() {
    is_closing_ = true;
    is_last_answer_chosen_ = true;
    linger_deadline_ = transport::SteadyNow() + kLingerTime;
    error_code ignored;  // A disconnected caller cannot receive anything.
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    if (!is_reading_) {
      DiscardInput();
    }
  }

  void DiscardInput() {
    discard_buffer_.resize(1024);
    socket_.async_read_some(
        asio::buffer(discard_buffer_),
        [self = shared_from_this()](error_code error, size_t) {
          if (error) {
            self->Close();
          } else {
            self->DiscardInput();
          }
        });
  }

  void ReportDisconnect() {
    is_closing_ = true;
    std::deque<PendingExchange> aborted_exchanges =
        std::move(pending_exchanges_);
    pending_exchanges_.clear();
    for (const PendingExchange& pending : aborted_exchanges) {
      if (listener_->connection_by_exchange_.erase(pending.exchange) > 0 &&
          pending.answer == nullptr) {
        listener_->hooks_.on_caller_disconnected(pending.exchange);
      }
    }
  }

  HttpListener* listener_;
  tcp::socket socket_;
  /// Bounds the data that is received but not parsed, for example an extension
  /// of a chunk.
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  /// Stores the head of a chunked message before the fields of the trailer are
  /// added to it.
  std::function<void(uint64_t, boost::beast::string_view, error_code&)>
      on_chunk_header_ =
          [this](uint64_t, boost::beast::string_view, error_code&) {
            if (!chunked_head_) {
              chunked_head_ = parser_->get().base();
            }
          };
  std::optional<HttpRequest::header_type> chunked_head_;
  std::optional<Parser> parser_;
  std::deque<PendingExchange> pending_exchanges_;
  std::vector<char> discard_buffer_;
  bool is_reading_ = false;
  bool is_waiting_for_close_ = false;
  bool is_writing_ = false;
  bool is_read_stopped_ = false;
  bool is_next_request_last_ = false;
  /// Whether the answer that ends the connection is queued or being written, or
  /// no further answer follows. A read may still be pending, but a request that
  /// it returns is not handled.
  bool is_last_answer_chosen_ = false;
  bool has_sent_answer_ = false;
  bool is_closing_ = false;
  absl::Time last_activity_;
  absl::Time header_start_ = absl::InfiniteFuture();
  absl::Time linger_deadline_ = absl::InfiniteFuture();
};

HttpListener::HttpListener(asio::io_context* io, Hooks hooks)
    : hooks_(std::move(hooks)), acceptor_(*io), accept_retry_timer_(*io) {}

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
    acceptor_.listen(kListenBacklog, error);
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
      accept_retry_timer_.expires_after(kAcceptRetryDelay);
      accept_retry_timer_.async_wait([this](error_code wait_error) {
        if (!wait_error && acceptor_.is_open()) {
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
  const auto entry = connection_by_exchange_.find(exchange);
  if (entry != connection_by_exchange_.end()) {
    entry->second->Answer(exchange, std::move(answer));
  }
}

void HttpListener::StartDraining() {
  is_draining_ = true;
  for (const auto& connection : CopyConnections()) {
    connection->StartDraining();
  }
}

void HttpListener::CloseIdleConnections(absl::Time now) {
  for (const auto& connection : CopyConnections()) {
    connection->CloseIfIdle(now);
  }
}

void HttpListener::StopAccepting() {
  error_code ignored;  // The acceptor is not used again.
  acceptor_.close(ignored);
}

void HttpListener::CloseAllConnections() {
  for (const auto& connection : CopyConnections()) {
    connection->Close();
  }
}

std::vector<std::shared_ptr<HttpListener::Connection>>
HttpListener::CopyConnections() const {
  std::vector<std::shared_ptr<Connection>> copy;
  for (const auto& [key, connection] : connections_) {
    copy.push_back(connection);
  }
  return copy;
}

void HttpListener::OnTick(absl::Time now) {
  for (const auto& connection : CopyConnections()) {
    connection->OnTick(now);
  }
}

}  // namespace baobabwall::edge
