#include "daemon/src/caller_service.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "daemon/src/http_headers.h"
#include "nlohmann/json.hpp"

namespace baobabwall::daemon {
namespace internal {

using transport::Header;

constexpr size_t kMaxIdleConnections = 64;
constexpr size_t kBufferBytes = 64 * 1024;
constexpr size_t kMaxReplayBytes = 64 * 1024;
// Bodies up to this size can be sent again to another server.
constexpr size_t kMaxRepeatableBytes = 64 * 1024;
// The fingerprint of a non-idempotent request needs its whole body.
constexpr size_t kMaxBufferedBytes = 16 * 1024 * 1024;
constexpr absl::Duration kDefaultDeadline = absl::Seconds(30);
// An answer that has begun may outlast the deadline, a download for example,
// but not stand still for longer than this.
constexpr absl::Duration kStallTimeout = absl::Seconds(10);
// Idle time of a connection to an instance that may carry a non-idempotent
// request.
constexpr absl::Duration kLongestIdleUnsafe = absl::Seconds(1);
// An answer that refuses is read to its end if it is short, to keep the
// connection.
constexpr int64_t kMaxSkippedBytes = 4096;

void AnswerJson(transport::HttpExchange* exchange,
                int status,
                const nlohmann::json& body,
                std::vector<Header> headers = {}) {
  headers.emplace_back("Content-Type", "application/json");
  exchange->Answer(
      status, headers,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void AnswerOwn(transport::HttpExchange* exchange,
               const steer::AnswerCaller& answer) {
  std::vector<Header> headers = {
      {std::string(kOutcomeHeader), std::string(ToString(answer.outcome))}};
  if (answer.retry_after > absl::ZeroDuration()) {
    headers.emplace_back(
        "Retry-After", absl::StrCat(absl::ToInt64Seconds(
                           absl::Ceil(answer.retry_after, absl::Seconds(1)))));
  }
  if (answer.is_replay) {
    headers.insert(headers.end(), answer.headers.begin(), answer.headers.end());
    exchange->Answer(answer.status, headers, answer.body);
    return;
  }
  AnswerJson(exchange, answer.status,
             {{"outcome", ToString(answer.outcome)}, {"reason", answer.reason}},
             std::move(headers));
}

const char* ClassName(model::ServiceClass service_class) {
  switch (service_class) {
    case model::ServiceClass::kInteractive:
      return "interactive";
    case model::ServiceClass::kTransactional:
      return "transactional";
    case model::ServiceClass::kBulk:
      break;
  }
  return "bulk";
}

bool HasNoBody(absl::string_view method, int status) {
  return method == "HEAD" || status == 204 || status == 304;
}

steer::Exchange::Framing FramingOf(
    absl::string_view method,
    const transport::HttpConnection& connection) {
  using Framing = steer::Exchange::Framing;
  if (HasNoBody(method, connection.status())) {
    return Framing::kNoBody;
  }
  const int lengths = connection.CountHeader("Content-Length");
  if (connection.is_chunked_answer()) {
    // Both framings at once: the two ends may disagree on where it ends.
    return lengths == 0 ? Framing::kChunked : Framing::kUntilClose;
  }
  return lengths == 1 && connection.content_length() >= 0
             ? Framing::kLength
             : Framing::kUntilClose;
}

/// \returns a buffer of kBufferBytes of this thread.
char* ThreadBuffer() {
  thread_local std::unique_ptr<char[]> buffer(new char[kBufferBytes]);
  return buffer.get();
}

/// Ends the watch of an exchange before its connection is closed.
class Watched {
 public:
  Watched(transport::ConnectionWatch* watch,
          int target_socket,
          int caller_socket,
          absl::Time deadline)
      : watch_(watch),
        id_(watch->Add(target_socket, caller_socket, deadline)) {}
  ~Watched() { End(); }
  Watched(const Watched&) = delete;
  Watched& operator=(const Watched&) = delete;

  transport::ConnectionWatch::Id id() const { return id_; }
  transport::ConnectionWatch::AbortReason End() {
    return id_ == 0 ? transport::ConnectionWatch::AbortReason::kNone
                    : watch_->Remove(std::exchange(id_, 0));
  }

 private:
  transport::ConnectionWatch* watch_;
  transport::ConnectionWatch::Id id_;
};

}  // namespace internal

/// Body of a request: its beginning in memory, the rest still at the caller.
struct CallerService::Body {
  std::string start;
  int64_t length = 0;  ///< Of all; transport::kChunked if it is not known.
  bool is_whole = true;
  bool is_idempotent = false;
  bool is_consumed = false;  ///< The rest was read; it cannot be sent again.
};

/// What ReadAnswer() leaves to be done.
struct CallerService::Progress {
  bool is_ended = false;  ///< The engine knows of the end of the attempt.
  bool is_over = false;   ///< And of the request.
  bool is_caller_gone = false;
};

/// Names a request, which must outlive it, while it is in flight.
class CallerService::Registration {
 public:
  Registration(CallerService* service, const steer::RequestArrival& arrival)
      : service_(service), id_(arrival.id) {
    std::lock_guard<std::mutex> lock(service_->mutex_);
    service_->in_flight_[id_] = &arrival;
  }
  ~Registration() {
    std::lock_guard<std::mutex> lock(service_->mutex_);
    service_->in_flight_.erase(id_);
  }
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

 private:
  CallerService* service_;
  steer::RequestId id_;
};

CallerService::CallerService(Traffic* traffic,
                             std::string peer_token,
                             transport::Metrics* metrics)
    : traffic_(traffic),
      peer_token_(std::move(peer_token)),
      metrics_(metrics),
      pool_(internal::kMaxIdleConnections) {}

size_t CallerService::in_flight() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return in_flight_.size();
}

std::vector<std::string> CallerService::DescribeInFlight() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> texts;
  for (const auto& [id, arrival] : in_flight_) {
    texts.push_back(absl::StrCat("request=", id, " service=", arrival->service,
                                 " method=", arrival->method,
                                 " key=", arrival->idempotency_key));
  }
  return texts;
}

std::pair<std::vector<transport::Header>, std::string>
CallerService::ErrorAnswer(int status) {
  std::vector<transport::Header> headers = {
      {std::string(kOutcomeHeader), "not-run"},
      {"Content-Type", "application/json"}};
  if (status >= 500) {
    headers.emplace_back("Retry-After", "1");
  }
  return {headers, R"({"outcome":"not-run","reason":"the request was not )"
                   R"(understood"})"};
}

void CallerService::Refuse(transport::HttpExchange* exchange,
                           int status,
                           absl::string_view reason) const {
  steer::AnswerCaller answer;
  answer.status = status;
  answer.outcome = base::Outcome::kNotRun;
  answer.reason = std::string(reason);
  if (status >= 500) {
    answer.retry_after = absl::Seconds(1);
  }
  // The body, if there is one, was not read.
  exchange->CloseAfter();
  internal::AnswerOwn(exchange, answer);
}

void CallerService::Lookup(transport::HttpExchange* exchange) {
  const absl::string_view service =
      exchange->path().substr(kLookupPrefix.size());
  std::string client = exchange->QueryValue("client");
  if (client.empty()) {
    client = std::string(exchange->remote_address());
  }
  if (is_leaving_) {
    exchange->CloseAfter();
  }
  const std::vector<internal::Header> not_run = {
      {std::string(kOutcomeHeader), "not-run"}};
  const steer::LookupAnswer answer = steer::Lookup(
      *traffic_->snapshot(), service, client, transport::SteadyNow());
  if (answer.status == steer::LookupAnswer::Status::kUnknownService) {
    internal::AnswerJson(exchange, 404,
                         {{"reason", "the service is not declared"}}, not_run);
    return;
  }
  if (answer.status == steer::LookupAnswer::Status::kNotReady) {
    internal::AnswerJson(
        exchange, 503, {{"reason", "the instance is not ready"}},
        {{std::string(kOutcomeHeader), "not-run"}, {"Retry-After", "1"}});
    return;
  }
  nlohmann::json entries = nlohmann::json::array();
  for (const steer::LookupEntry& entry : answer.entries) {
    entries.push_back({{"instance", entry.instance},
                       {"address", entry.address},
                       {"port", entry.port},
                       {"keyPrefix", entry.key_prefix}});
  }
  const int64_t ttl_s = absl::ToInt64Seconds(answer.ttl);
  internal::AnswerJson(exchange, 200,
                       {{"service", service},
                        {"revision", answer.revision},
                        {"ttlMs", absl::ToInt64Milliseconds(answer.ttl)},
                        {"entries", entries}},
                       {{"Cache-Control", absl::StrCat("max-age=", ttl_s)}});
}

bool CallerService::ReadArrival(transport::HttpExchange* exchange,
                                steer::RequestArrival* arrival,
                                Body* body) {
  if (!SplitRequestPath(exchange->unnormalized_path(), &arrival->service,
                        &arrival->path)) {
    Refuse(exchange, 400, "the path names no service");
    return false;
  }
  if (!exchange->query().empty()) {
    absl::StrAppend(&arrival->path, "?", exchange->query());
  }
  arrival->method = std::string(exchange->method());
  arrival->idempotency_key = std::string(exchange->header(kKeyHeader));
  arrival->client_address = std::string(exchange->remote_address());
  const absl::string_view deadline = exchange->header(kDeadlineHeader);
  const auto left =
      deadline.empty() ? internal::kDefaultDeadline : ParseDeadline(deadline);
  if (!left) {
    Refuse(exchange, 400, "the deadline is not a number of ms");
    return false;
  }
  arrival->deadline = transport::SteadyNow() + *left;
  const bool is_chunked = exchange->is_chunked_request();
  if (exchange->CountHeader("Content-Length") > (is_chunked ? 0 : 1) ||
      exchange->CountHeader("Transfer-Encoding") > 1) {
    Refuse(exchange, 400, "the length of the body is ambiguous");
    return false;
  }
  if (const absl::string_view token = exchange->header(kRelayHeader);
      !token.empty()) {
    // Passing it on as an ordinary request could relay it in a circle.
    if (!transport::Token(peer_token_).IsEqual(token)) {
      Refuse(exchange, 403, "the relay is not authenticated");
      return false;
    }
    arrival->is_relayed = true;
    arrival->relay = steer::RelayMark::Parse(exchange->header(kRelayMarkHeader))
                         .value_or(steer::RelayMark());
    arrival->relayed_region = std::string(exchange->header(kHomeRegionHeader));
  }

  const auto snapshot = traffic_->snapshot();
  const auto& services = snapshot->configuration->services();
  const auto service = services.find(arrival->service);
  const bool is_idempotent =
      service != services.end() &&
      std::count(service->second.idempotent_methods.begin(),
                 service->second.idempotent_methods.end(), arrival->method) > 0;
  body->is_idempotent = is_idempotent;
  const size_t limit = is_idempotent ? internal::kMaxRepeatableBytes
                                     : internal::kMaxBufferedBytes;
  const int64_t declared =
      is_chunked ? transport::kChunked
                 : std::max<int64_t>(exchange->content_length(), 0);
  if (!is_idempotent && declared > static_cast<int64_t>(limit)) {
    Refuse(exchange, 413, "the body is too long");
    return false;
  }
  body->length = declared;
  if (declared != 0) {
    exchange->AcceptBody();
    char* const buffer = internal::ThreadBuffer();
    while (body->start.size() <= limit) {
      if (declared == static_cast<int64_t>(body->start.size())) {
        break;
      }
      const int count = exchange->ReadBody(buffer, internal::kBufferBytes);
      if (count < 0) {
        Refuse(exchange, 400, "the body broke off");
        return false;
      }
      if (count == 0) {
        break;
      }
      body->start.append(buffer, count);
    }
    const auto size = static_cast<int64_t>(body->start.size());
    body->is_whole = size <= static_cast<int64_t>(limit);
    if (!is_idempotent && !body->is_whole) {
      Refuse(exchange, 413, "the body is too long");
      return false;
    }
    if (body->is_whole && declared >= 0 && size != declared) {
      Refuse(exchange, 400, "the body broke off");
      return false;
    }
    if (body->is_whole) {
      body->length = size;
    }
  }
  arrival->body_hash = body->is_whole ? base::StableHash(body->start) : 0;
  arrival->body_bytes = std::max<int64_t>(body->length, 0);
  return true;
}

void CallerService::Request(transport::HttpExchange* exchange) {
  const absl::Time start = transport::SteadyNow();
  if (is_closed_) {
    Refuse(exchange, 503, "the instance is shutting down");
    return;
  }
  if (is_leaving_) {
    exchange->CloseAfter();
  }
  steer::RequestArrival arrival;
  Body body;
  if (!ReadArrival(exchange, &arrival, &body)) {
    return;
  }
  arrival.id = traffic_->NextId();
  const Registration registration(this, arrival);
  base::Outcome outcome = base::Outcome::kRun;
  int attempts = 0;
  traffic_->Arrive(arrival);
  while (true) {
    const std::optional<steer::Action> action = traffic_->Next(arrival.id);
    if (!action) {
      break;
    }
    if (const auto* answer = std::get_if<steer::AnswerCaller>(&*action)) {
      outcome = answer->outcome;
      if (!body.is_whole && !body.is_consumed) {
        exchange->CloseAfter();  // The rest of the body is still to come.
      }
      internal::AnswerOwn(exchange, *answer);
      break;
    }
    if (const auto* attempt = std::get_if<steer::StartAttempt>(&*action)) {
      if (++attempts > 1 && metrics_ != nullptr) {
        metrics_->Retried(arrival.service);
      }
      ++attempts_;
      const bool is_over =
          Forward(exchange, arrival, *attempt, &body, &outcome);
      --attempts_;
      if (is_over) {
        break;
      }
    }
  }
  const auto snapshot = traffic_->snapshot();
  const auto& services = snapshot->configuration->services();
  const auto service = services.find(arrival.service);
  if (metrics_ != nullptr && service != services.end()) {
    metrics_->RequestEnded(service->second.tenant,
                           internal::ClassName(service->second.service_class),
                           outcome, transport::SteadyNow() - start);
  }
}

bool CallerService::SendRequest(transport::HttpConnection* connection,
                                transport::HttpExchange* exchange,
                                const steer::RequestArrival& arrival,
                                const steer::StartAttempt& start,
                                Body* body) {
  std::vector<internal::Header> headers = EndToEndHeaders(exchange->headers());
  const absl::Duration left =
      std::max(start.deadline - transport::SteadyNow(), absl::Milliseconds(1));
  headers.emplace_back(kDeadlineHeader,
                       absl::StrCat(absl::ToInt64Milliseconds(left)));
  std::string target = arrival.path;
  if (start.target.type == steer::Target::Type::kInstance) {
    headers.emplace_back(kRelayHeader, peer_token_);
    headers.emplace_back(kRelayMarkHeader, start.relay.ToString());
    headers.emplace_back(kHomeRegionHeader, start.home_region);
    target = absl::StrCat(kRequestPrefix, arrival.service, arrival.path);
  }
  connection->StartRequest(arrival.method, target, headers, body->length);
  if (!connection->WriteBody(body->start)) {
    return false;
  }
  if (!body->is_whole) {
    body->is_consumed = true;
    int64_t sent = static_cast<int64_t>(body->start.size());
    char* const buffer = internal::ThreadBuffer();
    while (sent != body->length) {
      const int count = exchange->ReadBody(buffer, internal::kBufferBytes);
      if (count == 0 && body->length < 0) {
        break;
      }
      if (count <= 0 ||
          !connection->WriteBody({buffer, static_cast<size_t>(count)})) {
        // The rest of the body would be taken for the caller's next request.
        exchange->CloseAfter();
        return false;
      }
      sent += count;
    }
  }
  return connection->EndBody();
}

bool CallerService::Forward(transport::HttpExchange* exchange,
                            const steer::RequestArrival& arrival,
                            const steer::StartAttempt& start,
                            Body* body,
                            base::Outcome* outcome) {
  using AbortReason = transport::ConnectionWatch::AbortReason;
  steer::AttemptEnd end;
  end.request = start.request;
  end.attempt = start.attempt;
  if (body->is_consumed) {
    // The engine keeps the outcome of the attempt that took the body.
    end.result = steer::AttemptResult::kConnectFailed;
    return traffic_->EndAttempt(end);
  }
  if (transport::SteadyNow() >= start.deadline) {
    // The process was paused between the decision and the sending.
    end.result = steer::AttemptResult::kConnectFailed;
    return traffic_->EndAttempt(end);
  }
  const absl::Duration left =
      std::max(start.deadline - transport::SteadyNow(), absl::Milliseconds(1));
  const absl::Duration timeout = std::min(left, transport::kConnectTimeout);
  // A server may close an idle connection while a request is on its way, after
  // which nobody knows whether it ran. Instances close theirs after 5 s.
  const bool is_relay = start.target.type == steer::Target::Type::kInstance;
  std::unique_ptr<transport::HttpConnection> connection =
      body->is_idempotent || is_relay
          ? pool_.Acquire(start.target.address, start.target.port,
                          body->is_idempotent ? transport::kLongestIdle
                                              : internal::kLongestIdleUnsafe,
                          timeout)
          : transport::HttpConnection::Open(start.target.address,
                                            start.target.port, timeout);
  if (connection == nullptr) {
    end.result = steer::AttemptResult::kConnectFailed;
    return traffic_->EndAttempt(end);
  }
  // The run of a key goes on without its caller, who may ask for the answer.
  const int caller_socket =
      arrival.idempotency_key.empty() ? exchange->socket() : -1;
  internal::Watched watched(&watch_, connection->socket(), caller_socket,
                            start.deadline);
  const bool is_sent =
      SendRequest(connection.get(), exchange, arrival, start, body);
  // A server may refuse before it has read the whole body.
  Progress progress;
  end.result = steer::AttemptResult::kBroken;
  if (connection->ReadAnswerHead(start.deadline - transport::SteadyNow())) {
    ReadAnswer(connection.get(), exchange, arrival, start, watched.id(), &end,
               &progress);
  } else if (transport::SteadyNow() >= start.deadline) {
    end.result = steer::AttemptResult::kTimedOut;
  }
  const AbortReason cut = watched.End();
  *outcome = end.result != steer::AttemptResult::kCompleted
                 ? base::Outcome::kUnknown
             : is_relay ? end.relayed_outcome
                        : base::Outcome::kRun;
  const bool is_whole = end.result == steer::AttemptResult::kCompleted ||
                        end.result == steer::AttemptResult::kRefused;
  if (is_whole && is_sent && cut == AbortReason::kNone &&
      !internal::HasNoBody(arrival.method, end.status)) {
    connection->MarkComplete();
    pool_.Release(start.target.address, start.target.port,
                  std::move(connection));
  }
  if (progress.is_ended) {
    return progress.is_over;
  }
  if (cut == AbortReason::kTimedOut &&
      end.result == steer::AttemptResult::kBroken) {
    end.result = steer::AttemptResult::kTimedOut;
  }
  if ((cut == AbortReason::kCallerDisconnected || progress.is_caller_gone) &&
      !is_whole) {
    exchange->CloseAfter();
    traffic_->CallerGone(start.request);
    traffic_->EndAttempt(end);
    return true;
  }
  return traffic_->EndAttempt(end);
}

void CallerService::ReadAnswer(transport::HttpConnection* connection,
                               transport::HttpExchange* exchange,
                               const steer::RequestArrival& arrival,
                               const steer::StartAttempt& start,
                               transport::ConnectionWatch::Id watch,
                               steer::AttemptEnd* end,
                               Progress* progress) {
  const bool is_relay = start.target.type == steer::Target::Type::kInstance;
  end->status = connection->status();
  const std::string outcome(connection->header(kOutcomeHeader));
  char* const buffer = internal::ThreadBuffer();
  // Only 503 refuses on behalf of a backend server; an instance has others.
  if (outcome == "not-run" && (is_relay || end->status == 503)) {
    end->result = steer::AttemptResult::kRefused;
    if (connection->content_length() < 0 ||
        connection->content_length() > internal::kMaxSkippedBytes) {
      connection->ForbidReuse();
      return;
    }
    while (connection->ReadBody(buffer, internal::kBufferBytes) > 0) {
    }
    return;
  }
  if (is_relay) {
    end->relayed_outcome = base::OutcomeFromString(outcome);
  }
  steer::Exchange state(start.max_answer_bytes);
  state.OnRequestSent();
  const steer::Exchange::Framing framing =
      internal::FramingOf(arrival.method, *connection);
  const int64_t length = connection->content_length();
  if (!state.OnHead(framing, length, false) ||
      framing == steer::Exchange::Framing::kUntilClose) {
    end->result = framing == steer::Exchange::Framing::kUntilClose
                      ? steer::AttemptResult::kTruncated
                      : state.result();
    return;
  }
  end->answer_headers = EndToEndHeaders(connection->headers());
  std::vector<internal::Header> headers = end->answer_headers;
  headers.emplace_back(
      kOutcomeHeader,
      is_relay ? std::string(ToString(end->relayed_outcome)) : "run");
  const bool has_body = framing != steer::Exchange::Framing::kNoBody;
  // A short answer is passed on once it is whole: if it is cut, the caller gets
  // a clean answer of this instance, or another attempt.
  const bool is_short =
      !has_body || (framing == steer::Exchange::Framing::kLength &&
                    length <= static_cast<int64_t>(internal::kMaxReplayBytes));
  // Another instance that does not know whether the request ran answers for
  // itself; the engine decides what the caller is told.
  const bool is_passed_on =
      !is_relay || end->relayed_outcome == base::Outcome::kRun;
  bool is_caller_there = true;
  const auto start_answer = [&] {
    if (!traffic_->StartAnswer(start.request, start.attempt)) {
      return false;
    }
    end->was_answer_started = true;
    return true;
  };
  const bool is_streamed = is_passed_on && !is_short;
  if (is_streamed) {
    if (!start_answer()) {
      connection->ForbidReuse();
      return;
    }
    is_caller_there = exchange->StartAnswer(
        end->status, headers,
        framing == steer::Exchange::Framing::kLength ? length
                                                     : transport::kChunked);
  }
  // The answer of a key is read to its end even if its caller is gone, so that
  // a later send of the key gets it.
  while (!state.is_complete() &&
         (is_caller_there || !arrival.idempotency_key.empty())) {
    watch_.Extend(watch, transport::SteadyNow() + internal::kStallTimeout);
    const int count = connection->ReadBody(buffer, internal::kBufferBytes);
    if (count == 0) {
      state.OnLastChunk();
    }
    if (count <= 0) {
      if (!state.is_complete()) {
        state.OnConnectionEnd();
      }
      break;
    }
    if (!state.OnBytes(count)) {
      break;
    }
    const absl::string_view data(buffer, count);
    if (state.bytes() <= static_cast<int64_t>(internal::kMaxReplayBytes)) {
      end->answer.append(data.data(), data.size());
    } else {
      end->answer.clear();
    }
    if (is_streamed && is_caller_there) {
      watch_.Extend(watch, transport::SteadyNow() + internal::kStallTimeout);
      is_caller_there = exchange->WriteBody(data);
    }
  }
  end->result = state.result();
  end->answer_bytes = state.bytes();
  if (is_streamed) {
    if (state.is_complete() && is_caller_there) {
      is_caller_there = exchange->EndBody();
    }
    if (!state.is_complete() || !is_caller_there) {
      // The caller sees the cut only if its connection ends here.
      exchange->CloseAfter();
    }
    progress->is_caller_gone = !is_caller_there;
    return;
  }
  if (!state.is_complete() || !is_passed_on) {
    return;
  }
  if (!start_answer()) {
    end->result = steer::AttemptResult::kBroken;
    return;
  }
  // The slot and the key are free before the caller has the answer, so that
  // its next request finds them so.
  progress->is_over = traffic_->EndAttempt(*end);
  progress->is_ended = true;
  if (has_body) {
    exchange->Answer(end->status, headers, end->answer);
  } else {
    exchange->StartAnswer(
        end->status, headers,
        arrival.method == "HEAD" && length >= 0 ? length : transport::kNoBody);
  }
}

}  // namespace baobabwall::daemon
