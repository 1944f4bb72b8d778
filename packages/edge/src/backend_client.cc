#include "edge/src/backend_client.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <utility>

#include "edge/src/incoming.h"
#include "edge/src/socket_options.h"
#include "transport/transport.h"

namespace baobabwall::edge {

using Parser = http::response_parser<http::string_body>;
using boost::system::error_code;
using gateway::AttemptResult;

/// A kept connection. While it is idle a wait for bytes is pending; bytes or
/// an end make it unusable.
struct BackendClient::Idle {
  Idle(asio::io_context* io) : socket(*io) {}

  tcp::socket socket;
  gateway::Endpoint endpoint;
  absl::Time since;
  absl::Duration longest_idle = kDefaultKeepAlive * kKeepAlivePart;
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
        timer_(*client->io_) {}

  void Run() {
    connection_ = client_->TakeIdle(start_);
    if (connection_ != nullptr) {
      is_kept_ = true;
      Send();
      return;
    }
    Connect();
  }

  void Abort() {
    is_over_ = true;
    timer_.cancel();
    CloseConnection();
  }

 private:
  /// Lives as long as a read of its connection is pending.
  struct Reading {
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
  };

  void Connect() {
    is_kept_ = false;
    connection_ = std::make_shared<Idle>(client_->io_);
    connection_->endpoint = start_.endpoint;
    const auto endpoint = ToAsio<tcp>(start_.endpoint);
    if (!endpoint) {
      // Not from within Start(): its caller does not expect the end yet.
      asio::post(*client_->io_, [self = shared_from_this()] {
        if (!self->is_over_) {
          self->Finish(AttemptResult::kConnectFailed);
        }
      });
      return;
    }
    ++client_->opened_;
    connect_start_ = transport::SteadyNow();
    timer_.expires_after(std::chrono::microseconds(
        absl::ToInt64Microseconds(start_.connect_timeout)));
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error && !self->is_over_ && !self->is_connected_) {
        self->Finish(AttemptResult::kConnectFailed);
      }
    });
    connection_->socket.async_connect(
        *endpoint, [self = shared_from_this()](error_code error) {
          self->OnConnected(error);
        });
  }

  void OnConnected(error_code error) {
    if (is_over_) {
      return;
    }
    timer_.cancel();
    if (error) {
      Finish(AttemptResult::kConnectFailed);
      return;
    }
    is_connected_ = true;
    end_.connect_time = transport::SteadyNow() - connect_start_;
    SetStreamOptions(&connection_->socket);
    Send();
  }

  void Send() {
    is_connected_ = true;
    forward_ = client_->dialect_->forward_request(
        *request_, start_.server, deadline_ - transport::SteadyNow());
    http::async_write(
        connection_->socket, forward_,
        [self = shared_from_this()](error_code error, size_t bytes) {
          self->OnSent(error, bytes);
        });
    reading_ = std::make_shared<Reading>();
    ReadAnswer();
  }

  void OnSent(error_code error, size_t bytes) {
    if (is_over_) {
      return;
    }
    is_sent_ = !error;
    if (!error) {
      return;
    }
    if (bytes > 0 || !is_kept_) {
      Finish(bytes > 0 ? AttemptResult::kBroken
                       : AttemptResult::kConnectFailed);
      return;
    }
    // The kept connection had ended before a byte was sent: a new one is as
    // good, also for requests that may not run twice.
    CloseConnection();
    Connect();
  }

  void ReadAnswer() {
    Parser& parser = reading_->parser.emplace();
    parser.body_limit(kMaxAnswerBytes);
    parser.skip(request_->method() == http::verb::head);
    http::async_read(connection_->socket, reading_->buffer, parser,
                     [self = shared_from_this(), reading = reading_](
                         error_code error, size_t) {
                       // A read of a connection that was replaced is void.
                       if (reading == self->reading_) {
                         self->OnAnswer(error);
                       }
                     });
  }

  void OnAnswer(error_code error) {
    if (is_over_) {
      return;
    }
    if (error) {
      if (is_kept_ && !is_sent_) {
        return;  // OnSent() decides whether a new connection may be used.
      }
      const bool has_part = reading_->parser->got_some();
      Finish(has_part ? AttemptResult::kTruncated : AttemptResult::kBroken);
      return;
    }
    HttpResponse answer = reading_->parser->release();
    const BackendAnswer read = client_->dialect_->read_answer(answer);
    const bool is_interim = http::to_status_class(answer.result()) ==
                            http::status_class::informational;
    const bool is_ours = request_id_.empty() || read.request_id == request_id_;
    if (is_interim || !is_ours) {
      // It belongs to an earlier request of this connection.
      is_spoiled_ = is_spoiled_ || !is_interim;
      ReadAnswer();
      return;
    }
    end_.status = answer.result_int();
    end_.is_other_server = read.is_other_server;
    end_.load = read.load;
    end_.cold_left = read.cold_left;
    if (read.keep_alive) {
      connection_->longest_idle = *read.keep_alive * kKeepAlivePart;
    }
    const bool is_success = http::to_status_class(answer.result()) ==
                            http::status_class::successful;
    if (is_success && !read.is_signed) {
      Finish(AttemptResult::kTruncated);
      return;
    }
    const bool is_reusable =
        answer.keep_alive() && !answer.need_eof() && is_sent_ && !is_spoiled_ &&
        reading_->buffer.size() == 0 && !read.is_other_server;
    if (is_reusable) {
      client_->Keep(start_.server, std::move(connection_));
    }
    const bool is_not_run = read.is_not_run || read.is_other_server;
    Finish(is_not_run ? AttemptResult::kRefused : AttemptResult::kCompleted,
           std::move(answer));
  }

  void Finish(AttemptResult result,
              std::optional<HttpResponse> answer = std::nullopt) {
    const auto self = shared_from_this();
    Abort();
    client_->attempts_.erase(start_.attempt);
    end_.attempt = start_.attempt;
    end_.result = result;
    client_->done_(end_, std::move(answer));
  }

  void CloseConnection() {
    if (connection_ == nullptr) {
      return;
    }
    error_code ignored;  // The connection is given up either way.
    connection_->socket.close(ignored);
  }

  BackendClient* client_;
  gateway::StartAttempt start_;
  std::shared_ptr<const HttpRequest> request_;
  std::string request_id_;
  absl::Time deadline_;
  asio::steady_timer timer_;
  std::shared_ptr<Idle> connection_;
  HttpRequest forward_;
  std::shared_ptr<Reading> reading_;
  gateway::AttemptEnd end_;
  absl::Time connect_start_;
  bool is_kept_ = false;
  bool is_connected_ = false;
  bool is_sent_ = false;
  bool is_spoiled_ = false;  ///< Answers to other requests came.
  bool is_over_ = false;
};

BackendClient::BackendClient(asio::io_context* io,
                             const Dialect* dialect,
                             Done done)
    : io_(io), dialect_(dialect), done_(std::move(done)) {}

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
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const std::shared_ptr<Attempt> aborted = found->second;
  attempts_.erase(found);
  aborted->Abort();
}

std::shared_ptr<BackendClient::Idle> BackendClient::TakeIdle(
    const gateway::StartAttempt& start) {
  const auto found = idle_.find(start.server);
  if (found == idle_.end()) {
    return nullptr;
  }
  const absl::Time now = transport::SteadyNow();
  std::vector<std::shared_ptr<Idle>>& kept = found->second;
  while (!kept.empty()) {
    // The latest one first: the others may then grow old and go.
    std::shared_ptr<Idle> idle = std::move(kept.back());
    kept.pop_back();
    const absl::Duration age = now - idle->since;
    const absl::Duration longest =
        start.is_idempotent ? idle->longest_idle
                            : std::min(idle->longest_idle, kFreshIdle);
    if (age > longest || !(idle->endpoint == start.endpoint)) {
      continue;
    }
    error_code ignored;  // Without a pending wait there is nothing to cancel.
    idle->socket.cancel(ignored);
    if (PeekIncoming(&idle->socket) == Incoming::kNothing) {
      return idle;
    }
  }
  return nullptr;
}

void BackendClient::Keep(const std::string& server,
                         std::shared_ptr<Idle> idle) {
  idle->since = transport::SteadyNow();
  std::weak_ptr<Idle> weak = idle;
  idle->socket.async_wait(
      tcp::socket::wait_read, [this, weak, server](error_code error) {
        const std::shared_ptr<Idle> ended = weak.lock();
        if (error || ended == nullptr) {
          return;
        }
        std::vector<std::shared_ptr<Idle>>& kept = idle_[server];
        kept.erase(std::remove(kept.begin(), kept.end(), ended), kept.end());
      });
  idle_[server].push_back(std::move(idle));
}

void BackendClient::KeepServers(const std::set<std::string>& ids) {
  for (auto kept = idle_.begin(); kept != idle_.end();) {
    kept = ids.count(kept->first) > 0 ? std::next(kept) : idle_.erase(kept);
  }
}

void BackendClient::OnTick(absl::Time now) {
  for (auto& [server, kept] : idle_) {
    kept.erase(std::remove_if(kept.begin(), kept.end(),
                              [&](const std::shared_ptr<Idle>& idle) {
                                return now - idle->since > idle->longest_idle;
                              }),
               kept.end());
  }
}

size_t BackendClient::idle_count() const {
  size_t count = 0;
  for (const auto& [server, kept] : idle_) {
    count += kept.size();
  }
  return count;
}

}  // namespace baobabwall::edge
