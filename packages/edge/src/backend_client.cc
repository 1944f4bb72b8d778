#include "edge/src/backend_client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <utility>

#include "base/base.h"
#include "edge/src/incoming.h"
#include "edge/src/socket_options.h"
#include "transport/transport.h"

namespace baobabwall::edge {

using Parser = http::response_parser<http::string_body>;
using boost::system::error_code;
using gateway::AttemptResult;

/// A connection to a backend server. While the connection is idle, a wait for
/// incoming data is pending; data or an end of the stream makes the connection
/// unusable.
struct BackendClient::Connection {
  Connection(asio::io_context* io) : socket(*io) {}

  tcp::socket socket;
  gateway::Endpoint endpoint;
  absl::Time idle_since;
  absl::Duration max_idle_time = kDefaultKeepAliveTime * kKeepAliveFraction;
  /// Hashes of the ids of the requests that the server refused on this
  /// connection. A late copy of a refusal could be taken for the answer to a
  /// later request with the same id.
  std::vector<uint64_t> refused_request_ids;
};

class BackendClient::Attempt
    : public std::enable_shared_from_this<BackendClient::Attempt> {
 public:
  Attempt(BackendClient* client,
          const gateway::StartAttempt& start,
          std::shared_ptr<const HttpRequest> request,
          std::string request_id)
      : client_(client),
        start_(start),
        request_(std::move(request)),
        request_id_(std::move(request_id)),
        deadline_(transport::SteadyNow() + start.time_left),
        timer_(*client->io_),
        answer_memory_(client->budget_, MemoryBudget::Use::kAnswer) {}

  void Run() {
    // On a reused connection, a late answer to an earlier request can only be
    // recognized by the id of the request.
    if (!request_id_.empty()) {
      connection_ = client_->TakeIdleConnection(start_, request_id_);
    }
    if (connection_ != nullptr) {
      is_connection_reused_ = true;
      Send();
      return;
    }
    Connect();
  }

  void Abort() {
    is_finished_ = true;
    timer_.cancel();
    CloseConnection();
    SetBufferedBytes(0);
  }

  /// Ends the attempt because its answer is too large.
  void GiveUpAnswer() { Finish(AttemptResult::kOversized); }

  uint64_t buffered_bytes() const { return buffered_bytes_; }

 private:
  using ForwardedRequest = http::request<http::span_body<const char>>;

  /// State of a read; lives as long as the read is pending.
  struct PendingRead {
    boost::beast::flat_buffer buffer{kMaxHeaderBytes};
    std::optional<Parser> parser;
  };

  void Connect() {
    is_connection_reused_ = false;
    connection_ = std::make_shared<Connection>(client_->io_);
    connection_->endpoint = start_.endpoint;
    const auto endpoint = ToAsio<tcp>(start_.endpoint);
    if (!endpoint) {
      FailLater();
      return;
    }
    ++client_->opened_connections_;
    connect_start_ = transport::SteadyNow();
    timer_.expires_after(std::chrono::microseconds(
        absl::ToInt64Microseconds(start_.connect_timeout)));
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error && !self->is_finished_ && !self->is_connected_) {
        self->Finish(AttemptResult::kConnectFailed);
      }
    });
    connection_->socket.async_connect(
        *endpoint, [self = shared_from_this()](error_code error) {
          self->OnConnected(error);
        });
  }

  /// Ends the attempt before anything was sent. The caller of Start() does not
  /// expect the attempt to end within that call.
  void FailLater() {
    asio::post(*client_->io_, [self = shared_from_this()] {
      if (!self->is_finished_) {
        self->Finish(AttemptResult::kConnectFailed);
      }
    });
  }

  void OnConnected(error_code error) {
    if (is_finished_) {
      return;
    }
    timer_.cancel();
    if (error) {
      Finish(AttemptResult::kConnectFailed);
      return;
    }
    is_connected_ = true;
    attempt_end_.connect_time = transport::SteadyNow() - connect_start_;
    SetStreamOptions(&connection_->socket);
    Send();
  }

  void Send() {
    is_connected_ = true;
    if (transport::SteadyNow() >= deadline_) {
      // The process may have been suspended since the attempt was started. The
      // caller no longer waits for the answer.
      FailLater();
      return;
    }
    PrepareRequest();
    http::async_write(
        connection_->socket, forwarded_request_,
        [self = shared_from_this()](error_code error, size_t bytes) {
          self->OnSent(error, bytes);
        });
    pending_read_ = std::make_shared<PendingRead>();
    ReadAnswer();
  }

  /// The body is sent from the caller's request; only the head is copied.
  void PrepareRequest() {
    HttpRequest head = client_->dialect_->forward_request(
        HttpRequest(request_->base()),
        {start_.server, deadline_ - transport::SteadyNow(), start_.identity});
    if (!request_->body().empty()) {
      head.content_length(request_->body().size());
    }
    forwarded_request_ = ForwardedRequest(std::move(head.base()));
    forwarded_request_.body() = {request_->body().data(),
                                 request_->body().size()};
  }

  void OnSent(error_code error, size_t bytes) {
    if (is_finished_) {
      return;
    }
    is_sent_ = !error;
    if (!error) {
      return;
    }
    if (bytes > 0 || !is_connection_reused_) {
      Finish(bytes > 0 ? AttemptResult::kBroken
                       : AttemptResult::kConnectFailed);
      return;
    }
    // The server closed the reused connection before any byte was sent. A new
    // connection is safe here even for requests that must not run twice.
    CloseConnection();
    Connect();
  }

  void ReadAnswer() {
    Parser& parser = pending_read_->parser.emplace();
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(kMaxAnswerBytes);
    parser.eager(true);
    parser.skip(request_->method() == http::verb::head);
    SetBufferedBytes(0);
    ReadSome();
  }

  void ReadSome() {
    http::async_read_some(
        connection_->socket, pending_read_->buffer, *pending_read_->parser,
        [self = shared_from_this(), pending_read = pending_read_](
            error_code error, size_t) {
          // The result is ignored if the connection was replaced.
          if (pending_read == self->pending_read_) {
            self->OnRead(error);
          }
        });
  }

  void OnRead(error_code error) {
    if (is_finished_) {
      return;
    }
    if (error || pending_read_->parser->is_done()) {
      OnAnswer(error);
      return;
    }
    SetBufferedBytes(pending_read_->parser->get().body().size());
    client_->EnforceBufferLimit();
    if (!is_finished_) {
      ReadSome();
    }
  }

  void SetBufferedBytes(uint64_t bytes) {
    client_->buffered_bytes_ += bytes - buffered_bytes_;
    buffered_bytes_ = bytes;
    answer_memory_.Resize(bytes);
  }

  void OnAnswer(error_code error) {
    if (error) {
      if (is_connection_reused_ && !is_sent_) {
        return;  // OnSent() decides whether to open a new connection.
      }
      const bool is_oversized = error == http::error::body_limit ||
                                error == http::error::header_limit ||
                                error == http::error::buffer_overflow;
      if (is_oversized) {
        GiveUpAnswer();
        return;
      }
      const bool has_partial_answer = pending_read_->parser->got_some();
      RecordNoticeOfPartialAnswer();
      Finish(has_partial_answer ? AttemptResult::kTruncated
                                : AttemptResult::kBroken);
      return;
    }
    HttpResponse answer = pending_read_->parser->release();
    const BackendAnswer decoded = client_->dialect_->read_answer(answer);
    const bool is_interim = http::to_status_class(answer.result()) ==
                            http::status_class::informational;
    const bool is_expected_answer =
        request_id_.empty() || decoded.request_id == request_id_;
    if (is_interim || !is_expected_answer) {
      // The answer belongs to an earlier request of this connection.
      has_foreign_answer_ = has_foreign_answer_ || !is_interim;
      if (++skipped_answers_ > kMaxSkippedAnswers) {
        Finish(AttemptResult::kBroken);
        return;
      }
      ReadAnswer();
      return;
    }
    attempt_end_.status = answer.result_int();
    attempt_end_.is_other_server = decoded.is_other_server;
    attempt_end_.load = decoded.load;
    attempt_end_.cold_left = decoded.cold_left;
    attempt_end_.is_server_leaving = decoded.is_leaving;
    attempt_end_.requested_pause = decoded.requested_pause;
    attempt_end_.limit = decoded.limit;
    if (decoded.keep_alive) {
      connection_->max_idle_time = *decoded.keep_alive * kKeepAliveFraction;
    }
    const bool is_success = http::to_status_class(answer.result()) ==
                            http::status_class::successful;
    if (!IsValidStatus(answer) || (is_success && !decoded.is_signed)) {
      Finish(AttemptResult::kTruncated);
      return;
    }
    const bool is_not_run = decoded.is_not_run || decoded.is_other_server;
    std::vector<uint64_t>& refused_ids = connection_->refused_request_ids;
    if (is_not_run) {
      refused_ids.push_back(base::StableHash(request_id_));
    }
    const bool is_reusable = answer.keep_alive() && !answer.need_eof() &&
                             is_sent_ && !has_foreign_answer_ &&
                             pending_read_->buffer.size() == 0 &&
                             !decoded.is_other_server &&
                             refused_ids.size() < kMaxRefusalsPerConnection;
    if (is_reusable) {
      client_->KeepIdleConnection(start_.server, std::move(connection_));
    }
    Finish(is_not_run ? AttemptResult::kRefused : AttemptResult::kCompleted,
           std::move(answer));
  }

  /// The parser accepts any three digits.
  static bool IsValidStatus(const HttpResponse& answer) {
    constexpr unsigned min_status = 100;
    constexpr unsigned max_status = 599;
    return answer.result_int() >= min_status &&
           answer.result_int() <= max_status;
  }

  /// A server that breaks off may have announced in the header that it leaves,
  /// or named a limit.
  void RecordNoticeOfPartialAnswer() {
    if (!pending_read_->parser->is_header_done()) {
      return;
    }
    const BackendAnswer decoded =
        client_->dialect_->read_answer(pending_read_->parser->get());
    if (decoded.request_id != request_id_) {
      return;
    }
    attempt_end_.is_server_leaving = decoded.is_leaving;
    attempt_end_.limit = decoded.limit;
  }

  void Finish(AttemptResult result,
              std::optional<HttpResponse> answer = std::nullopt) {
    const auto self = shared_from_this();
    Abort();
    client_->attempts_.erase(start_.attempt);
    attempt_end_.attempt = start_.attempt;
    attempt_end_.result = result;
    client_->on_done_(attempt_end_, std::move(answer));
  }

  void CloseConnection() {
    if (connection_ == nullptr) {
      return;
    }
    error_code ignored;  // The connection is discarded in any case.
    connection_->socket.close(ignored);
  }

  BackendClient* client_;
  gateway::StartAttempt start_;
  std::shared_ptr<const HttpRequest> request_;
  std::string request_id_;
  absl::Time deadline_;
  asio::steady_timer timer_;
  std::shared_ptr<Connection> connection_;
  ForwardedRequest forwarded_request_;
  MemoryBudget::Reservation answer_memory_;
  std::shared_ptr<PendingRead> pending_read_;
  gateway::AttemptEnd attempt_end_;
  absl::Time connect_start_;
  uint64_t buffered_bytes_ = 0;
  int skipped_answers_ = 0;
  bool is_connection_reused_ = false;
  bool is_connected_ = false;
  bool is_sent_ = false;
  bool has_foreign_answer_ = false;  ///< Received another request's answer.
  bool is_finished_ = false;
};

BackendClient::BackendClient(asio::io_context* io,
                             const Dialect* dialect,
                             DoneCallback on_done)
    : io_(io), dialect_(dialect), on_done_(std::move(on_done)) {}

BackendClient::~BackendClient() = default;

void BackendClient::Start(const gateway::StartAttempt& start,
                          std::shared_ptr<const HttpRequest> request,
                          std::string request_id) {
  auto attempt = std::make_shared<Attempt>(this, start, std::move(request),
                                           std::move(request_id));
  attempts_.emplace(start.attempt, attempt);
  attempt->Run();
}

void BackendClient::Abort(gateway::AttemptId attempt) {
  const auto entry = attempts_.find(attempt);
  if (entry == attempts_.end()) {
    return;
  }
  const std::shared_ptr<Attempt> attempt_to_abort = entry->second;
  attempts_.erase(entry);
  attempt_to_abort->Abort();
}

void BackendClient::EnforceBufferLimit() {
  uint64_t max_bytes = kMaxBufferedBytes;
  if (budget_ != nullptr) {
    max_bytes = std::min(max_bytes, budget_->limit() / kBudgetDivisor);
  }
  while (buffered_bytes_ > max_bytes) {
    const auto largest = std::max_element(
        attempts_.begin(), attempts_.end(), [](const auto& a, const auto& b) {
          return a.second->buffered_bytes() < b.second->buffered_bytes();
        });
    const std::shared_ptr<Attempt> attempt = largest->second;
    attempt->GiveUpAnswer();
  }
}

std::shared_ptr<BackendClient::Connection> BackendClient::TakeIdleConnection(
    const gateway::StartAttempt& start,
    absl::string_view request_id) {
  const auto entry = idle_connections_.find(start.server);
  if (entry == idle_connections_.end()) {
    return nullptr;
  }
  const absl::Time now = transport::SteadyNow();
  const uint64_t id_hash = base::StableHash(request_id);
  std::vector<std::shared_ptr<Connection>>& connections = entry->second;
  while (!connections.empty()) {
    // The most recently used connection is taken first, so that connections
    // that are not needed stay idle and expire.
    std::shared_ptr<Connection> connection = std::move(connections.back());
    connections.pop_back();
    const absl::Duration idle_time = now - connection->idle_since;
    const absl::Duration max_idle_time =
        start.is_idempotent
            ? connection->max_idle_time
            : std::min(connection->max_idle_time, kMaxIdleTimeNonIdempotent);
    const std::vector<uint64_t>& refused_ids = connection->refused_request_ids;
    const bool was_refused_here =
        std::find(refused_ids.begin(), refused_ids.end(), id_hash) !=
        refused_ids.end();
    if (idle_time > max_idle_time || was_refused_here ||
        !(connection->endpoint == start.endpoint)) {
      continue;
    }
    error_code ignored;  // Without a pending wait there is nothing to cancel.
    connection->socket.cancel(ignored);
    if (PeekIncomingData(&connection->socket) == IncomingData::kNoData) {
      return connection;
    }
  }
  return nullptr;
}

void BackendClient::KeepIdleConnection(const std::string& server,
                                       std::shared_ptr<Connection> connection) {
  connection->idle_since = transport::SteadyNow();
  std::weak_ptr<Connection> weak_connection = connection;
  connection->socket.async_wait(
      tcp::socket::wait_read,
      [this, weak_connection, server](error_code error) {
        const std::shared_ptr<Connection> closed = weak_connection.lock();
        if (error || closed == nullptr) {
          return;
        }
        std::vector<std::shared_ptr<Connection>>& connections =
            idle_connections_[server];
        connections.erase(
            std::remove(connections.begin(), connections.end(), closed),
            connections.end());
      });
  idle_connections_[server].push_back(std::move(connection));
}

void BackendClient::RetainServers(const gateway::BackendSet& backends) {
  for (auto connections = idle_connections_.begin();
       connections != idle_connections_.end();) {
    const bool is_kept = backends.Find(connections->first) != nullptr;
    connections =
        is_kept ? std::next(connections) : idle_connections_.erase(connections);
  }
}

void BackendClient::OnTick(absl::Time now) {
  for (auto& [server, connections] : idle_connections_) {
    connections.erase(
        std::remove_if(connections.begin(), connections.end(),
                       [&](const std::shared_ptr<Connection>& connection) {
                         return now - connection->idle_since >
                                connection->max_idle_time;
                       }),
        connections.end());
  }
}

size_t BackendClient::idle_connection_count() const {
  size_t count = 0;
  for (const auto& [server, connections] : idle_connections_) {
    count += connections.size();
  }
  return count;
}

}  // namespace baobabwall::edge
