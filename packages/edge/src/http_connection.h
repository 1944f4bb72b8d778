#ifndef EDGE_SRC_HTTP_CONNECTION_H_
#define EDGE_SRC_HTTP_CONNECTION_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
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

 private:
  using Parser = http::request_parser<http::buffer_body>;
  using error_code = boost::system::error_code;

  struct PendingExchange {
    ExchangeId exchange = 0;
    /// The write operation shares the answer because the write may outlive this
    /// exchange.
    std::shared_ptr<HttpResponse> answer;
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
  void OnHead(bool has_more_data);
  void RefuseByHead(HttpResponse answer, bool waits_for_continue);
  void OnBodyPiece(absl::string_view piece);
  /// Closes the connection after the answer to the refused request.
  void StopDiscarding();
  void SendContinue();
  void OnRequestRead();
  /// Queues an answer that the listener itself gives.
  void QueueAnswer(HttpResponse answer);
  /// Sends an error answer to a request that was not read completely, then
  /// closes the connection.
  void Reject(http::status status);
  void WriteNextAnswer();
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
  std::string body_;
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
  absl::Time header_start_ = absl::InfiniteFuture();
  absl::Time linger_deadline_ = absl::InfiniteFuture();
  absl::Time max_linger_deadline_ = absl::InfiniteFuture();
};

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_HTTP_CONNECTION_H_
