// Memory and progress of a connection.
#include "edge/src/http_connection.h"

#include <poll.h>

#include <algorithm>
#include <utility>

#include "transport/transport.h"

namespace baobabwall::edge {
namespace internal {

/// Memory of a request and of each field of its head, beside their text.
constexpr uint64_t kRequestBytes = 1024;
constexpr uint64_t kFieldBytes = 64;

}  // namespace internal

bool HttpListener::Connection::IsLessUsedThan(const Connection& other) const {
  if (HasPartialRequest() != other.HasPartialRequest()) {
    return !HasPartialRequest();
  }
  return last_activity_ < other.last_activity_;
}

bool HttpListener::Connection::IsShedBefore(const Connection& other,
                                            absl::Time now) const {
  const auto is_stalled = [now](const Connection& connection) {
    return !connection.is_paused_ &&
           now - connection.last_body_time_ > kMaxReadPause;
  };
  const bool is_large = body_.size() > kSmallBodyBytes;
  const bool is_other_large = other.body_.size() > kSmallBodyBytes;
  if (is_large != is_other_large) {
    return is_large;
  }
  if (is_stalled(*this) != is_stalled(other)) {
    return is_stalled(*this);
  }
  if (body_memory_.bytes() != other.body_memory_.bytes()) {
    return body_memory_.bytes() > other.body_memory_.bytes();
  }
  return body_start_ > other.body_start_;
}

bool HttpListener::Connection::IsAnswerStalled(absl::Time now) const {
  return serializer_ && now - write_time_ > kMaxReadPause;
}

uint64_t HttpListener::Connection::answer_bytes() const {
  uint64_t bytes = 0;
  for (const PendingExchange& pending : pending_exchanges_) {
    bytes += pending.answer_memory.bytes();
  }
  return bytes;
}

void HttpListener::Connection::Shed(ShedCause cause) {
  listener_->CountShed(cause);
  Reject(cause == ShedCause::kSlowBody ? http::status::request_timeout
                                       : http::status::service_unavailable);
}

bool HttpListener::Connection::HasHungUp() {
  pollfd descriptor = {socket_.native_handle(), POLLRDHUP, 0};
  return poll(&descriptor, 1, 0) > 0;
}

void HttpListener::Connection::ResumeReading() {
  if (is_closed_ || !is_paused_) {
    return;
  }
  if (HasHungUp()) {
    Close();
    return;
  }
  is_paused_ = false;
  const absl::Time pause_start = pause_start_;
  ReadRequest();
  if (is_paused_) {
    pause_start_ = pause_start;
  }
}

bool HttpListener::Connection::ReserveBody(size_t piece) {
  MemoryBudget* budget = listener_->client_limits_.budget;
  const auto announced = parser_->content_length();
  uint64_t needed = body_.size() + piece;
  if (announced) {
    needed = std::min<uint64_t>(needed, *announced);
  }
  if (budget == nullptr || is_discarding_body_ || needed <= body_.capacity()) {
    return true;
  }
  // The capacity grows by doubling. Growing copies the body, but untouched
  // memory is not resident, so the new capacity also bounds the copy.
  uint64_t capacity = std::max<uint64_t>(needed, 2 * body_.capacity());
  if (announced) {
    capacity = std::min<uint64_t>(capacity, *announced);
  }
  const MemoryBudget::Use use = capacity <= kSmallBodyBytes
                                    ? MemoryBudget::Use::kSmallRequest
                                    : MemoryBudget::Use::kLargeRequest;
  MemoryBudget::Reservation larger(budget, use);
  const bool is_same_use =
      body_memory_.bytes() > 0 && body_memory_.use() == use;
  MemoryBudget::Reservation& memory = is_same_use ? body_memory_ : larger;
  if (memory.TryResize(capacity)) {
    if (!is_same_use) {
      body_memory_ = std::move(larger);
    }
    body_.reserve(capacity);
    return true;
  }
  is_paused_ = true;
  pause_start_ = transport::SteadyNow();
  listener_->paused_connections_.push_back(shared_from_this());
  return false;
}

void HttpListener::Connection::CheckProgress(absl::Time now) {
  const bool is_body_expected =
      MayRead() && parser_ && parser_->is_header_done() && !is_paused_;
  if (!is_body_expected && !serializer_) {
    progress_time_ = now;
    progress_mark_ = progress_bytes_;
    return;
  }
  if (progress_bytes_ - progress_mark_ >= kMinProgressBytes) {
    progress_time_ = now;
    progress_mark_ = progress_bytes_;
  }
  if (now - progress_time_ <= listener_->client_limits_.progress_timeout) {
    return;
  }
  if (serializer_) {
    listener_->CountShed(ShedCause::kSlowReader);
    Close();
  } else if (is_discarding_body_) {
    StopDiscarding();
  } else {
    Shed(ShedCause::kSlowBody);
  }
}

void HttpListener::Connection::CountHead(
    const RequestHead& head,
    MemoryBudget::Reservation* memory) const {
  MemoryBudget* budget = listener_->client_limits_.budget;
  if (budget == nullptr) {
    return;
  }
  if (memory->bytes() == 0) {
    *memory =
        MemoryBudget::Reservation(budget, MemoryBudget::Use::kSmallRequest);
  }
  uint64_t bytes = internal::kRequestBytes + head.target().size();
  for (const auto& field : head) {
    bytes += internal::kFieldBytes + field.name_string().size() +
             field.value().size();
  }
  memory->Resize(memory->bytes() + bytes);
}

}  // namespace baobabwall::edge
