// Answers of a connection: order, sending and the end of the connection.
#include "edge/src/http_connection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "transport/transport.h"

namespace baobabwall::edge {
namespace internal {

constexpr absl::string_view kContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace internal

void HttpListener::Connection::SendContinue() {
  if (!pending_exchanges_.empty() || is_writing_) {
    // The caller sends its body after a while without an interim answer.
    return;
  }
  is_writing_ = true;
  asio::async_write(socket_,
                    asio::buffer(internal::kContinueAnswer.data(),
                                 internal::kContinueAnswer.size()),
                    [self = shared_from_this()](error_code error, size_t) {
                      self->is_writing_ = false;
                      if (error) {
                        self->Close();
                      } else {
                        self->WriteNextAnswer();
                      }
                    });
}

void HttpListener::Connection::QueueAnswer(HttpResponse answer) {
  PendingExchange pending;
  SetAnswer(&pending, std::move(answer));
  pending_exchanges_.push_back(std::move(pending));
  WriteNextAnswer();
}

void HttpListener::Connection::SetAnswer(PendingExchange* pending,
                                         HttpResponse answer) {
  pending->request_memory.Release();
  pending->answer_memory = MemoryBudget::Reservation(
      listener_->client_limits_.budget, MemoryBudget::Use::kAnswer);
  // The kernel holds a copy of what it is sending.
  const uint64_t size = answer.body().size();
  pending->answer_memory.Resize(size +
                                std::min<uint64_t>(size, 2 * kSendBufferBytes));
  pending->answer = std::make_shared<HttpResponse>(std::move(answer));
}

void HttpListener::Connection::WriteNextAnswer() {
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
  written_answer_ = pending.answer;
  serializer_.emplace(*written_answer_);
  write_time_ = transport::SteadyNow();
  progress_mark_ = progress_bytes_;
  progress_time_ = transport::SteadyNow();
  WriteAnswerPart();
}

void HttpListener::Connection::WriteAnswerPart() {
  http::async_write_some(
      socket_, *serializer_,
      [self = shared_from_this()](error_code error, size_t size) {
        self->progress_bytes_ += size;
        self->write_time_ = transport::SteadyNow();
        if (error || self->serializer_->is_done()) {
          self->OnAnswerWritten(error);
        } else {
          self->WriteAnswerPart();
        }
      });
}

void HttpListener::Connection::OnAnswerWritten(error_code error) {
  is_writing_ = false;
  serializer_.reset();
  written_answer_.reset();
  if (is_closing_) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  last_activity_ = transport::SteadyNow();
  has_sent_answer_ = true;
  const bool was_last_answer = !pending_exchanges_.front().answer->keep_alive();
  listener_->connection_by_exchange_.erase(pending_exchanges_.front().exchange);
  pending_exchanges_.pop_front();
  if (was_last_answer) {
    StartClosing();
    return;
  }
  WriteNextAnswer();
  ReadRequest();
}

void HttpListener::Connection::StartClosing() {
  is_closing_ = true;
  is_last_answer_chosen_ = true;
  const absl::Time now = transport::SteadyNow();
  linger_deadline_ = now + kLingerTime;
  max_linger_deadline_ = now + kMaxLingerTime;
  error_code ignored;  // A disconnected caller cannot receive anything.
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  WaitForData();
}

void HttpListener::Connection::DiscardInput() {
  std::vector<char>& space = listener_->receive_space_;
  space.resize(kReadPieceBytes);
  error_code error;
  socket_.read_some(asio::buffer(space), error);
  if (error && error != asio::error::would_block) {
    Close();
    return;
  }
  linger_deadline_ = transport::SteadyNow() + kLingerTime;
  WaitForData();
}

}  // namespace baobabwall::edge
