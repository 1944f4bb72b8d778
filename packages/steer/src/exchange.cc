#include "steer/src/exchange.h"

namespace baobabwall::steer {

bool Exchange::OnHead(Framing framing, int64_t length, bool closes_connection) {
  if (state_ != State::kHead) {
    has_excess_bytes_ = true;
    return false;
  }
  framing_ = framing;
  length_ = length;
  closes_connection_ = closes_connection;
  if (framing == Framing::kLength &&
      (length < 0 || length > max_answer_bytes_)) {
    state_ = State::kOversized;
    return false;
  }
  const bool is_empty = framing == Framing::kNoBody ||
                        (framing == Framing::kLength && length == 0);
  state_ = is_empty ? State::kComplete : State::kBody;
  return true;
}

bool Exchange::OnBytes(int64_t count) {
  if (state_ != State::kBody) {
    has_excess_bytes_ = true;
    return false;
  }
  if (framing_ == Framing::kLength && count > length_ - bytes_) {
    // Bytes beyond the declared length belong to no known exchange.
    has_excess_bytes_ = true;
    state_ = State::kTruncated;
    return false;
  }
  if (count > max_answer_bytes_ - bytes_) {
    state_ = State::kOversized;
    return false;
  }
  bytes_ += count;
  if (framing_ == Framing::kLength && bytes_ == length_) {
    state_ = State::kComplete;
  }
  return true;
}

void Exchange::OnLastChunk() {
  if (state_ == State::kBody && framing_ == Framing::kChunked) {
    state_ = State::kComplete;
  } else {
    has_excess_bytes_ = true;
  }
}

void Exchange::OnConnectionEnd() {
  closes_connection_ = true;
  if (state_ == State::kHead) {
    state_ = State::kBroken;
  } else if (state_ == State::kBody) {
    state_ = State::kTruncated;
  }
}

void Exchange::OnTimeout() {
  closes_connection_ = true;
  if (state_ == State::kHead) {
    state_ = State::kTimedOut;
  } else if (state_ == State::kBody) {
    state_ = State::kTruncated;
  }
}

AttemptResult Exchange::result() const {
  switch (state_) {
    case State::kComplete:
      return AttemptResult::kCompleted;
    case State::kTimedOut:
      return AttemptResult::kTimedOut;
    case State::kTruncated:
    case State::kBody:
      return AttemptResult::kTruncated;
    case State::kOversized:
      return AttemptResult::kOversized;
    case State::kHead:
    case State::kBroken:
      break;
  }
  return AttemptResult::kBroken;
}

}  // namespace baobabwall::steer
