#ifndef STEER_SRC_EXCHANGE_H_
#define STEER_SRC_EXCHANGE_H_

#include <cstdint>

#include "steer/src/event.h"

namespace baobabwall::steer {

/// \brief Decides whether the answer of one HTTP exchange is complete.
///
/// The adapter reports the events of the connection in order. The exchange is
/// complete once the declared length or the last chunk was received. An answer
/// that ends only with the connection is never complete, because a crash of
/// the server also ends the connection.
class Exchange {
 public:
  enum class Framing {
    kNoBody,   ///< HEAD, 204 or 304.
    kLength,   ///< Content-Length.
    kChunked,  ///< Transfer-Encoding: chunked.
    kUntilClose,
  };

  /// \param max_answer_bytes maximum accepted size of the body.
  explicit Exchange(int64_t max_answer_bytes)
      : max_answer_bytes_(max_answer_bytes) {}

  /// \brief Records that the last byte of the request was written.
  void OnRequestSent() { is_request_sent_ = true; }

  /// \brief Records that the head of the final answer was read.
  /// \param length declared length in bytes; only for Framing::kLength.
  /// \param closes_connection whether the head announces that the connection
  /// will be closed.
  /// \returns false if the answer must not be forwarded because the answer is
  /// too large or a head was already read.
  bool OnHead(Framing framing, int64_t length, bool closes_connection);

  /// \brief Records bytes of the body, without the framing of chunks.
  /// \returns false if the bytes must not be forwarded because the body exceeds
  /// the declared length or max_answer_bytes.
  bool OnBytes(int64_t count);

  /// \brief Records that the last chunk was read.
  void OnLastChunk();

  /// \brief Records that the connection ended, failed or was abandoned by the
  /// adapter.
  void OnConnectionEnd();

  /// \brief Records that the deadline passed.
  void OnTimeout();

  bool is_complete() const { return state_ == State::kComplete; }

  /// \returns true if the connection can be used for another exchange.
  bool is_reusable() const {
    return is_complete() && is_request_sent_ && !closes_connection_ &&
           !has_excess_bytes_;
  }

  int64_t bytes() const { return bytes_; }

  /// \returns the result of the attempt; kBroken if the head of the answer was
  /// not read yet.
  AttemptResult result() const;

 private:
  enum class State {
    kHead,
    kBody,
    kComplete,
    kBroken,
    kTimedOut,
    kTruncated,
    kOversized,
  };

  int64_t max_answer_bytes_;
  State state_ = State::kHead;
  Framing framing_ = Framing::kNoBody;
  int64_t length_ = 0;
  int64_t bytes_ = 0;
  bool is_request_sent_ = false;
  bool closes_connection_ = false;
  bool has_excess_bytes_ = false;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_EXCHANGE_H_
