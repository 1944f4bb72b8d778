#ifndef EDGE_SRC_HTTP_CONNECTION_H_
#define EDGE_SRC_HTTP_CONNECTION_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "edge/src/http_listener.h"

namespace baobabwall::edge {

/// A connection of one caller. More requests are read while earlier ones are
/// being answered; answers are written one after the other.
class HttpListener::Connection
    : public std::enable_shared_from_this<HttpListener::Connection> {
 public:
  Connection(HttpListener* listener, tcp::socket socket);

  void Start();
  void Answer(ExchangeId exchange, HttpResponse answer);
  /// Closes the connection once all answers are sent. An idle connection serves
  /// one more request, because the caller may already have sent the request.
  void StartDraining();
  void CloseIfIdle(absl::Time now);
  void OnTick(absl::Time now);
  void Close();

  MemoryBudget::Reservation TakeReservation(ExchangeId exchange);
  /// \returns whether no complete request was received since the last answer.
  bool IsUnused() const {
    return pending_exchanges_.empty() && !is_writing_ &&
           (!parser_ || !parser_->is_header_done());
  }
  /// Order in which unused connections are closed: those without a request
  /// first, then the one whose last activity is longest ago.
  bool IsLessUsedThan(const Connection& other) const;
  bool HoldsIncompleteBody() const {
    return MayRead() && !is_discarding_body_ && is_head_checked_ && parser_ &&
           parser_->is_header_done();
  }
  /// Order in which incomplete requests are refused: those that make no
  /// progress first, then by size and age, large and new requests first.
  bool IsShedBefore(const Connection& other, absl::Time now) const;
  /// Refuses the request that is being read.
  void Shed(ShedCause cause);
  void ResumeReading();
  /// \returns whether an answer is being written that the caller does not read.
  bool IsAnswerStalled(absl::Time now) const;
  /// \returns the memory of the answers that are not sent.
  uint64_t answer_bytes() const;
  absl::Time pause_start() const { return pause_start_; }

 private:
  using Parser = http::request_parser<http::buffer_body>;
  using error_code = boost::system::error_code;

  struct PendingExchange {
    ExchangeId exchange = 0;
    /// The write operation shares the answer because the write may outlive this
    /// exchange.
    std::shared_ptr<HttpResponse> answer;
    MemoryBudget::Reservation request_memory;
    MemoryBudget::Reservation answer_memory;
  };

  bool HasPartialRequest() const { return parser_ && parser_->got_some(); }
  bool IsIdle() const {
    return pending_exchanges_.empty() && !HasPartialRequest();
  }

  /// \returns whether a request may be read. A request whose read was started
  /// is accepted until the last answer is chosen.
  bool MayRead() const {
    return !is_closing_ && !is_last_answer_chosen_ &&
           (parser_ || !is_read_stopped_);
  }

  void StopReading();
  void ReadRequest();
  /// Waits until data is received or the caller disconnects. No memory is held
  /// for receiving meanwhile.
  void WaitForData();
  /// Waits for more data unless reading is paused.
  void ContinueReading();
  void OnReadable(error_code error);
  void Receive();
  /// Prepares the parser for the next request.
  /// \returns false if too many requests wait for their answers.
  bool StartRequest();
  /// Parses data until it ends or needs to be continued.
  /// \returns the number of parsed bytes.
  size_t Parse(asio::const_buffer data);
  /// Parses the next part of a request: its head, or a piece of its body.
  /// \returns false if nothing more can be parsed.
  bool ParsePart(asio::const_buffer* data);
  void OnParseError(error_code error);
  /// Reserves memory for the next piece of the body.
  /// \returns false if there is none; reading is paused then.
  bool ReserveBody(size_t piece);
  /// \returns whether the caller has closed a connection whose reading is
  /// paused.
  bool HasHungUp();
  void OnHead(bool has_more_data);
  void RefuseByHead(HttpResponse answer, bool waits_for_continue);
  void OnBodyPiece(absl::string_view piece);
  /// Closes the connection after the answer to the refused request.
  void StopDiscarding();
  void SendContinue();
  void OnRequestRead();
  void CountHead(const RequestHead& head,
                 MemoryBudget::Reservation* memory) const;
  /// Queues an answer that the listener itself gives.
  void QueueAnswer(HttpResponse answer);
  void SetAnswer(PendingExchange* pending, HttpResponse answer);
  /// Sends an error answer to a request that was not read completely, then
  /// closes the connection.
  void Reject(http::status status);
  void WriteNextAnswer();
  void WriteAnswerPart();
  void CheckProgress(absl::Time now);
  void OnAnswerWritten(error_code error);
  /// Shuts down the sending side, then waits until the caller closes the
  /// connection.
  void StartClosing();
  void DiscardInput();
  void ReportDisconnect();

  HttpListener* listener_;
  tcp::socket socket_;
  /// Received data that is not parsed yet. Its bound also holds for data that
  /// cannot be parsed in parts, for example an extension of a chunk.
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<Parser> parser_;
  /// Head of the chunked request that is being read, without the trailer.
  std::optional<RequestHead> chunked_head_;
  std::string body_;
  MemoryBudget::Reservation body_memory_;
  MemoryBudget::Reservation connection_memory_;
  std::shared_ptr<HttpResponse> written_answer_;
  std::optional<http::response_serializer<http::string_body>> serializer_;
  absl::Time write_time_;
  absl::Time body_start_;
  absl::Time last_body_time_;
  absl::Time pause_start_ = absl::InfiniteFuture();
  bool is_paused_ = false;
  uint64_t discarded_body_bytes_ = 0;
  std::deque<PendingExchange> pending_exchanges_;
  bool is_waiting_ = false;
  bool is_writing_ = false;
  bool is_read_stopped_ = false;
  bool is_next_request_last_ = false;
  /// Whether the head of the request that is being read was handled.
  bool is_head_checked_ = false;
  /// Whether the request that is being read was refused by its head.
  bool is_discarding_body_ = false;
  /// Whether the answer that ends the connection is queued or being written, or
  /// no further answer follows. Data that is received then is discarded.
  bool is_last_answer_chosen_ = false;
  bool has_sent_answer_ = false;
  bool is_closing_ = false;
  bool is_closed_ = false;
  absl::Time last_activity_;
  /// Bytes of bodies received and of answers sent.
  uint64_t progress_bytes_ = 0;
  /// Value of `progress_bytes_` at `progress_time_`.
  uint64_t progress_mark_ = 0;
  absl::Time progress_time_;
  absl::Time header_start_ = absl::InfiniteFuture();
  absl::Time linger_deadline_ = absl::InfiniteFuture();
  absl::Time max_linger_deadline_ = absl::InfiniteFuture();
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_HTTP_CONNECTION_H_
