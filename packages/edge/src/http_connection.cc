#include "edge/src/http_connection.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "edge/src/incoming.h"
#include "edge/src/socket_options.h"
#include "transport/transport.h"

namespace baobabwall::edge {
namespace internal {

/// Time after which memory is likely available again.
constexpr char kRetryAfterSeconds[] = "1";

/// Smallest space for received data behind data that is not parsed yet.
constexpr size_t kMinReceiveBytes = 512;

bool ExpectsContinue(const RequestHead& head) {
  return boost::beast::iequals(head[http::field::expect], "100-continue");
}

}  // namespace internal

HttpListener::Connection::Connection(HttpListener* listener, tcp::socket socket)
    : listener_(listener),
      socket_(std::move(socket)),
      connection_memory_(listener->client_limits_.budget,
                         MemoryBudget::Use::kAnswer),
      last_activity_(transport::SteadyNow()),
      progress_time_(last_activity_) {}

void HttpListener::Connection::Start() {
  const ClientLimits& limits = listener_->client_limits_;
  if (limits.budget != nullptr) {
    // The progress timeout bounds callers that read slowly.
    SetStreamOptions(&socket_, limits.progress_timeout);
    SetBufferSizes(&socket_, kReceiveBufferBytes, kSendBufferBytes);
    connection_memory_.Resize(kConnectionBytes);
  } else {
    SetStreamOptions(&socket_);
  }
  error_code ignored;  // A socket without this mode fails at its first read.
  socket_.non_blocking(true, ignored);
  if (listener_->is_draining_) {
    is_next_request_last_ = true;
  }
  ReadRequest();
}

void HttpListener::Connection::Answer(ExchangeId exchange,
                                      HttpResponse answer) {
  for (PendingExchange& pending : pending_exchanges_) {
    if (pending.exchange != exchange) {
      continue;
    }
    SetAnswer(&pending, std::move(answer));
    break;
  }
  WriteNextAnswer();
}

void HttpListener::Connection::StartDraining() {
  if (IsIdle() || HasPartialRequest()) {
    is_next_request_last_ = true;
  } else {
    StopReading();
  }
}

void HttpListener::Connection::CloseIfIdle(absl::Time now) {
  const bool may_send_first_request =
      !has_sent_answer_ &&
      now - last_activity_ <= HttpListener::kFirstRequestTimeout;
  if (IsIdle() && !may_send_first_request) {
    StopReading();
  }
}

void HttpListener::Connection::OnTick(absl::Time now) {
  if (is_closing_) {
    if (now >= std::min(linger_deadline_, max_linger_deadline_)) {
      Close();
    }
    return;
  }
  CheckProgress(now);
  if (is_closing_) {
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

void HttpListener::Connection::Close() {
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  error_code ignored;  // The connection is discarded in any case.
  socket_.close(ignored);
  ReportDisconnect();
  body_memory_.Release();
  connection_memory_.Release();
  listener_->connections_.erase(this);
  listener_->ResumeAccepting();
}

MemoryBudget::Reservation HttpListener::Connection::TakeReservation(
    ExchangeId exchange) {
  for (PendingExchange& pending : pending_exchanges_) {
    if (pending.exchange == exchange) {
      return std::move(pending.request_memory);
    }
  }
  return {};
}

void HttpListener::Connection::StopReading() {
  if (is_closing_) {
    return;
  }
  is_read_stopped_ = true;
  WriteNextAnswer();
}

void HttpListener::Connection::ReadRequest() {
  if (!MayRead() || !StartRequest()) {
    return;
  }
  if (buffer_.size() > 0) {
    const auto self = shared_from_this();
    buffer_.consume(Parse(buffer_.cdata()));
  }
  ContinueReading();
}

void HttpListener::Connection::ContinueReading() {
  if (is_closed_) {
    return;
  }
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();
  }
  // While reading is paused, the kernel's buffer fills up.
  connection_memory_.Resize(kConnectionBytes + buffer_.capacity() +
                            (is_paused_ ? 2 * kReceiveBufferBytes : 0));
  if (!is_paused_) {
    WaitForData();
  }
}

void HttpListener::Connection::WaitForData() {
  if (is_waiting_) {
    return;
  }
  is_waiting_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       self->is_waiting_ = false;
                       self->OnReadable(error);
                     });
}

void HttpListener::Connection::OnReadable(error_code error) {
  if (is_closed_) {
    return;
  }
  if (error) {
    Close();
  } else if (is_closing_) {
    DiscardInput();
  } else if (MayRead() && StartRequest()) {
    Receive();
  } else if (PeekIncomingData(&socket_) == IncomingData::kClosed) {
    Close();
  }
}

void HttpListener::Connection::Receive() {
  std::vector<char>& space = listener_->receive_space_;
  space.resize(kReadPieceBytes);
  error_code error;
  if (buffer_.size() == 0) {
    const size_t size = socket_.read_some(asio::buffer(space), error);
    if (!error) {
      const size_t parsed = Parse(asio::buffer(space.data(), size));
      const size_t left = size - parsed;
      buffer_.commit(asio::buffer_copy(
          buffer_.prepare(left), asio::buffer(space.data() + parsed, left)));
    }
  } else if (buffer_.size() == buffer_.max_size()) {
    Reject(http::status::request_header_fields_too_large);
  } else {
    const size_t room =
        std::min(buffer_.max_size() - buffer_.size(),
                 std::clamp(buffer_.size(), internal::kMinReceiveBytes,
                            kReadPieceBytes));
    buffer_.commit(socket_.read_some(buffer_.prepare(room), error));
    if (!error) {
      buffer_.consume(Parse(buffer_.cdata()));
    }
  }
  if (error && error != asio::error::would_block) {
    Close();
  } else {
    ContinueReading();
  }
}

bool HttpListener::Connection::StartRequest() {
  if (parser_) {
    return true;
  }
  const ClientLimits& limits = listener_->client_limits_;
  const bool is_pipelining_limited =
      (limits.budget != nullptr && limits.budget->IsFull()) ||
      listener_->connection_by_exchange_.size() >=
          limits.max_pipelined_requests;
  if (pending_exchanges_.size() >= kMaxPipelinedRequests ||
      (!pending_exchanges_.empty() && is_pipelining_limited)) {
    return false;
  }
  chunked_head_.reset();
  parser_.emplace();
  parser_->header_limit(listener_->limits_.header_bytes);
  parser_->body_limit(listener_->limits_.body_bytes);
  is_head_checked_ = false;
  is_discarding_body_ = false;
  return true;
}

size_t HttpListener::Connection::Parse(asio::const_buffer data) {
  const size_t size = data.size();
  while (data.size() > 0 && MayRead() && StartRequest() && ParsePart(&data)) {
  }
  if (MayRead()) {
    StartRequest();
  }
  return size - data.size();
}

bool HttpListener::Connection::ParsePart(asio::const_buffer* data) {
  if (is_head_checked_ &&
      !ReserveBody(std::min<size_t>(data->size(), kReadPieceBytes))) {
    return false;
  }
  std::vector<char>& space = listener_->decode_space_;
  space.resize(kReadPieceBytes);
  http::buffer_body::value_type& decoded = parser_->get().body();
  decoded.data = space.data();
  decoded.size = space.size();
  decoded.more = true;
  error_code error;
  *data += parser_->put(*data, error);
  if (error == http::error::need_more) {
    return false;
  }
  if (error && error != http::error::need_buffer) {
    OnParseError(error);
    return false;
  }
  const absl::string_view piece(space.data(), space.size() - decoded.size);
  if (parser_->is_header_done() && !is_head_checked_) {
    is_head_checked_ = true;
    body_start_ = last_body_time_ = progress_time_ = transport::SteadyNow();
    progress_mark_ = progress_bytes_;
    OnHead(data->size() > 0);
  } else {
    OnBodyPiece(piece);
  }
  if (MayRead() && parser_->is_done()) {
    OnRequestRead();
  }
  return true;
}

void HttpListener::Connection::OnParseError(error_code error) {
  if (is_discarding_body_) {
    StopDiscarding();
  } else if (error == http::error::header_limit ||
             error == http::error::buffer_overflow) {
    Reject(http::status::request_header_fields_too_large);
  } else if (error == http::error::body_limit) {
    Reject(http::status::payload_too_large);
  } else {
    Reject(http::status::bad_request);
  }
}

void HttpListener::Connection::OnHead(bool has_more_data) {
  const RequestHead& head = parser_->get().base();
  if (parser_->chunked()) {
    // Beast adds the fields of a trailer to those of the head. They must not
    // replace or repeat credentials that the head has shown.
    chunked_head_ = head;
  }
  const bool waits_for_continue =
      internal::ExpectsContinue(head) && !parser_->is_done() && !has_more_data;
  std::optional<HttpResponse> refusal;
  if (listener_->hooks_.on_request_head) {
    refusal = listener_->hooks_.on_request_head(head);
  }
  if (refusal) {
    RefuseByHead(*std::move(refusal), waits_for_continue);
  } else if (waits_for_continue) {
    SendContinue();
  }
}

void HttpListener::Connection::RefuseByHead(HttpResponse answer,
                                            bool waits_for_continue) {
  const auto body_size = parser_->content_length();
  // A caller that waits for "100 Continue" may send its body or the next
  // request after the answer; the two cannot be told apart.
  const bool is_body_too_large =
      waits_for_continue || (body_size && *body_size > kMaxDiscardedBodyBytes);
  is_discarding_body_ = true;
  discarded_body_bytes_ = 0;
  if (is_body_too_large || !parser_->get().keep_alive() ||
      is_next_request_last_) {
    is_read_stopped_ = true;
    is_last_answer_chosen_ = true;
  }
  QueueAnswer(std::move(answer));
}

void HttpListener::Connection::OnBodyPiece(absl::string_view piece) {
  progress_bytes_ += piece.size();
  last_body_time_ = transport::SteadyNow();
  if (!is_discarding_body_) {
    body_.append(piece.data(), piece.size());
    return;
  }
  discarded_body_bytes_ += piece.size();
  if (discarded_body_bytes_ > kMaxDiscardedBodyBytes) {
    StopDiscarding();
  }
}

void HttpListener::Connection::StopDiscarding() {
  is_last_answer_chosen_ = true;
  StopReading();
}

void HttpListener::Connection::OnRequestRead() {
  last_activity_ = transport::SteadyNow();
  if (is_discarding_body_) {
    parser_.reset();
    return;
  }
  HttpRequest request(chunked_head_ ? *std::exchange(chunked_head_, {})
                                    : std::move(parser_->release().base()));
  request.body() = std::exchange(body_, {});
  parser_.reset();
  PendingExchange pending;
  pending.exchange = ++listener_->last_exchange_id_;
  pending.request_memory = std::move(body_memory_);
  CountHead(request, &pending.request_memory);
  if (!request.keep_alive() || is_next_request_last_) {
    is_read_stopped_ = true;
  }
  const ExchangeId exchange = pending.exchange;
  pending_exchanges_.push_back(std::move(pending));
  listener_->connection_by_exchange_.emplace(exchange, this);
  listener_->hooks_.on_request(exchange, std::move(request));
}

void HttpListener::Connection::Reject(http::status status) {
  is_read_stopped_ = true;
  is_last_answer_chosen_ = true;
  is_paused_ = false;
  body_ = {};
  body_memory_.Release();
  HttpResponse answer(status, 11);
  if (status == http::status::service_unavailable) {
    answer.set(http::field::retry_after, internal::kRetryAfterSeconds);
  }
  QueueAnswer(std::move(answer));
}

void HttpListener::Connection::ReportDisconnect() {
  is_closing_ = true;
  std::deque<PendingExchange> aborted_exchanges = std::move(pending_exchanges_);
  pending_exchanges_.clear();
  for (const PendingExchange& pending : aborted_exchanges) {
    if (listener_->connection_by_exchange_.erase(pending.exchange) > 0 &&
        pending.answer == nullptr) {
      listener_->hooks_.on_caller_disconnected(pending.exchange);
    }
  }
}

}  // namespace baobabwall::edge
