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
constexpr size_t kMaxBufferedAnswerBytes = 64 * 1024;
// Idempotent request bodies up to this size are buffered, so that a retry can
// send them to another server.
constexpr size_t kMaxRetryableBodyBytes = 64 * 1024;
// The body of a non-idempotent request is buffered completely, because its hash
// covers the whole body.
constexpr size_t kMaxNonIdempotentBodyBytes = 16 * 1024 * 1024;
constexpr absl::Duration kDefaultDeadline = absl::Seconds(30);
// A long answer, such as a download, may continue after the request deadline.
// The attempt is aborted if no bytes arrive or are sent for this time.
constexpr absl::Duration kProgressTimeout = absl::Seconds(10);
// A connection to another instance that was idle for longer than this is not
// reused for a non-idempotent request.
constexpr absl::Duration kMaxIdleTimeNonIdempotent = absl::Seconds(1);
// The body of a refusal up to this size is read and discarded, so that the
// connection can be reused.
constexpr int64_t kMaxDiscardedBodyBytes = 4096;

void SendJson(transport::HttpExchange* exchange,
              int status,
              const nlohmann::json& body,
              std::vector<Header> headers = {}) {
  headers.emplace_back("Content-Type", "application/json");
  exchange->Answer(
      status, headers,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void SendEngineAnswer(transport::HttpExchange* exchange,
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
  SendJson(exchange, answer.status,
           {{"outcome", ToString(answer.outcome)}, {"reason", answer.reason}},
           std::move(headers));
}

const char* ServiceClassName(model::ServiceClass service_class) {
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

steer::Exchange::Framing AnswerFraming(
    absl::string_view method,
    const transport::HttpConnection& connection) {
  using Framing = steer::Exchange::Framing;
  if (HasNoBody(method, connection.status())) {
    return Framing::kNoBody;
  }
  const int length_header_count = connection.CountHeader("Content-Length");
  if (connection.is_chunked_answer()) {
    // An answer with both framings is ambiguous: the sender and the receiver
    // may disagree on where the body ends.
    return length_header_count == 0 ? Framing::kChunked : Framing::kUntilClose;
  }
  return length_header_count == 1 && connection.content_length() >= 0
             ? Framing::kLength
             : Framing::kUntilClose;
}

/// \returns a thread-local buffer of kBufferBytes bytes.
char* ThreadLocalBuffer() {
  thread_local std::unique_ptr<char[]> buffer(new char[kBufferBytes]);
  return buffer.get();
}

/// Watches the sockets of an attempt until the object is destroyed, which must
/// happen before the connection is closed.
class ScopedConnectionWatch {
 public:
  ScopedConnectionWatch(transport::ConnectionWatch* watch,
                        int target_socket,
                        int caller_socket,
                        absl::Time deadline)
      : watch_(watch),
        id_(watch->Add(target_socket, caller_socket, deadline)) {}
  ~ScopedConnectionWatch() { Stop(); }
  ScopedConnectionWatch(const ScopedConnectionWatch&) = delete;
  ScopedConnectionWatch& operator=(const ScopedConnectionWatch&) = delete;

  transport::ConnectionWatch::Id id() const { return id_; }
  transport::ConnectionWatch::AbortReason Stop() {
    return id_ == 0 ? transport::ConnectionWatch::AbortReason::kNone
                    : watch_->Remove(std::exchange(id_, 0));
  }

 private:
  transport::ConnectionWatch* watch_;
  transport::ConnectionWatch::Id id_;
};

}  // namespace internal

/// Body of a request: a buffered prefix and the rest, which is not yet read
/// from the caller.
struct CallerService::Body {
  std::string prefix;
  int64_t length = 0;  ///< Total length; transport::kChunked if unknown.
  bool is_fully_buffered = true;  ///< The prefix is the whole body.
  bool is_idempotent = false;
  /// The rest of the body was read, so the body cannot be sent again.
  bool is_rest_consumed = false;
};

/// Steps of the attempt that ReadAnswer() has already completed.
struct CallerService::Progress {
  bool is_attempt_reported = false;  ///< The engine has the attempt's result.
  bool is_request_ended = false;     ///< The engine has ended the request.
  bool is_caller_disconnected = false;
};

/// Lists a request as in flight until the registration is destroyed. The
/// request must outlive the registration.
class CallerService::InFlightRegistration {
 public:
  InFlightRegistration(CallerService* service,
                       const steer::RequestArrival& arrival)
      : service_(service), id_(arrival.id) {
    std::lock_guard<std::mutex> lock(service_->mutex_);
    service_->in_flight_[id_] = &arrival;
  }
  ~InFlightRegistration() {
    std::lock_guard<std::mutex> lock(service_->mutex_);
    service_->in_flight_.erase(id_);
  }
  InFlightRegistration(const InFlightRegistration&) = delete;
  InFlightRegistration& operator=(const InFlightRegistration&) = delete;

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
  // The request body may be unread, so the connection cannot be reused.
  exchange->CloseAfter();
  internal::SendEngineAnswer(exchange, answer);
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
    internal::SendJson(exchange, 404,
                       {{"reason", "the service is not declared"}}, not_run);
    return;
  }
  if (answer.status == steer::LookupAnswer::Status::kNotReady) {
    internal::SendJson(
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
  internal::SendJson(exchange, 200,
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
  arrival->idempotency_key =
      std::string(exchange->header(kIdempotencyKeyHeader));
  arrival->client_address = std::string(exchange->remote_address());
  const absl::string_view deadline_header = exchange->header(kDeadlineHeader);
  const auto remaining_time = deadline_header.empty()
                                  ? internal::kDefaultDeadline
                                  : ParseDeadline(deadline_header);
  if (!remaining_time) {
    Refuse(exchange, 400, "the deadline is not a number of ms");
    return false;
  }
  arrival->deadline = transport::SteadyNow() + *remaining_time;
  const bool is_chunked = exchange->is_chunked_request();
  if (exchange->CountHeader("Content-Length") > (is_chunked ? 0 : 1) ||
      exchange->CountHeader("Transfer-Encoding") > 1) {
    Refuse(exchange, 400, "the length of the body is ambiguous");
    return false;
  }
  if (const absl::string_view token = exchange->header(kRelayHeader);
      !token.empty()) {
    // Forwarding the request as an ordinary request could create a relay loop.
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
  const size_t max_buffered_bytes = is_idempotent
                                        ? internal::kMaxRetryableBodyBytes
                                        : internal::kMaxNonIdempotentBodyBytes;
  const int64_t declared_bytes =
      is_chunked ? transport::kChunked
                 : std::max<int64_t>(exchange->content_length(), 0);
  if (!is_idempotent &&
      declared_bytes > static_cast<int64_t>(max_buffered_bytes)) {
    Refuse(exchange, 413, "the body is too long");
    return false;
  }
  body->length = declared_bytes;
  if (declared_bytes != 0) {
    exchange->AcceptBody();
    char* const buffer = internal::ThreadLocalBuffer();
    while (body->prefix.size() <= max_buffered_bytes) {
      if (declared_bytes == static_cast<int64_t>(body->prefix.size())) {
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
      body->prefix.append(buffer, count);
    }
    const auto size = static_cast<int64_t>(body->prefix.size());
    body->is_fully_buffered = size <= static_cast<int64_t>(max_buffered_bytes);
    if (!is_idempotent && !body->is_fully_buffered) {
      Refuse(exchange, 413, "the body is too long");
      return false;
    }
    if (body->is_fully_buffered && declared_bytes >= 0 &&
        size != declared_bytes) {
      Refuse(exchange, 400, "the body broke off");
      return false;
    }
    if (body->is_fully_buffered) {
      body->length = size;
    }
  }
  arrival->body_hash =
      body->is_fully_buffered ? base::StableHash(body->prefix) : 0;
  arrival->body_bytes = std::max<int64_t>(body->length, 0);
  return true;
}

void CallerService::Request(transport::HttpExchange* exchange) {
  const absl::Time start_time = transport::SteadyNow();
  if (is_refusing_requests_) {
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
  arrival.id = traffic_->NewRequestId();
  const InFlightRegistration registration(this, arrival);
  base::Outcome outcome = base::Outcome::kRun;
  int attempts = 0;
  traffic_->SubmitRequest(arrival);
  while (true) {
    const std::optional<steer::Action> action =
        traffic_->NextAction(arrival.id);
    if (!action) {
      break;
    }
    if (const auto* answer = std::get_if<steer::AnswerCaller>(&*action)) {
      outcome = answer->outcome;
      if (!body.is_fully_buffered && !body.is_rest_consumed) {
        exchange->CloseAfter();  // The rest of the body is unread.
      }
      internal::SendEngineAnswer(exchange, *answer);
      break;
    }
    if (const auto* attempt = std::get_if<steer::StartAttempt>(&*action)) {
      if (++attempts > 1 && metrics_ != nullptr) {
        metrics_->Retried(arrival.service);
      }
      ++attempts_in_flight_;
      const bool is_request_ended =
          Forward(exchange, arrival, *attempt, &body, &outcome);
      --attempts_in_flight_;
      if (is_request_ended) {
        break;
      }
    }
  }
  const auto snapshot = traffic_->snapshot();
  const auto& services = snapshot->configuration->services();
  const auto service = services.find(arrival.service);
  if (metrics_ != nullptr && service != services.end()) {
    metrics_->RequestEnded(
        service->second.tenant,
        internal::ServiceClassName(service->second.service_class), outcome,
        transport::SteadyNow() - start_time);
  }
}

bool CallerService::SendRequest(transport::HttpConnection* connection,
                                transport::HttpExchange* exchange,
                                const steer::RequestArrival& arrival,
                                const steer::StartAttempt& attempt_start,
                                Body* body) {
  std::vector<internal::Header> headers = EndToEndHeaders(exchange->headers());
  const absl::Duration remaining_time = std::max(
      attempt_start.deadline - transport::SteadyNow(), absl::Milliseconds(1));
  headers.emplace_back(kDeadlineHeader,
                       absl::StrCat(absl::ToInt64Milliseconds(remaining_time)));
  std::string request_target = arrival.path;
  if (attempt_start.target.type == steer::Target::Type::kInstance) {
    headers.emplace_back(kRelayHeader, peer_token_);
    headers.emplace_back(kRelayMarkHeader, attempt_start.relay.ToString());
    headers.emplace_back(kHomeRegionHeader, attempt_start.home_region);
    request_target =
        absl::StrCat(kRequestPrefix, arrival.service, arrival.path);
  }
  connection->StartRequest(arrival.method, request_target, headers,
                           body->length);
  if (!connection->WriteBody(body->prefix)) {
    return false;
  }
  if (!body->is_fully_buffered) {
    body->is_rest_consumed = true;
    int64_t sent_bytes = static_cast<int64_t>(body->prefix.size());
    char* const buffer = internal::ThreadLocalBuffer();
    while (sent_bytes != body->length) {
      const int read_bytes = exchange->ReadBody(buffer, internal::kBufferBytes);
      if (read_bytes == 0 && body->length < 0) {
        break;
      }
      if (read_bytes <= 0 ||
          !connection->WriteBody({buffer, static_cast<size_t>(read_bytes)})) {
        // The unread rest of the body would be parsed as the caller's next
        // request.
        exchange->CloseAfter();
        return false;
      }
      sent_bytes += read_bytes;
    }
  }
  return connection->EndBody();
}

bool CallerService::Forward(transport::HttpExchange* exchange,
                            const steer::RequestArrival& arrival,
                            const steer::StartAttempt& attempt_start,
                            Body* body,
                            base::Outcome* outcome) {
  using AbortReason = transport::ConnectionWatch::AbortReason;
  steer::AttemptEnd attempt_end;
  attempt_end.request = attempt_start.request;
  attempt_end.attempt = attempt_start.attempt;
  if (body->is_rest_consumed) {
    // The body was consumed by an earlier attempt. The engine keeps the outcome
    // of that attempt.
    attempt_end.result = steer::AttemptResult::kConnectFailed;
    return traffic_->EndAttempt(attempt_end);
  }
  if (transport::SteadyNow() >= attempt_start.deadline) {
    // The deadline passed before the attempt was sent, for example because the
    // process was paused.
    attempt_end.result = steer::AttemptResult::kConnectFailed;
    return traffic_->EndAttempt(attempt_end);
  }
  const absl::Duration remaining_time = std::max(
      attempt_start.deadline - transport::SteadyNow(), absl::Milliseconds(1));
  const absl::Duration timeout =
      std::min(remaining_time, transport::kConnectTimeout);
  // A server may close an idle connection while a request is being sent. It is
  // then unknown whether the request ran, so a non-idempotent request to a
  // backend server gets a new connection. Instances close idle connections
  // after 5 s.
  const bool is_relay =
      attempt_start.target.type == steer::Target::Type::kInstance;
  std::unique_ptr<transport::HttpConnection> connection =
      body->is_idempotent || is_relay
          ? pool_.Acquire(
                attempt_start.target.address, attempt_start.target.port,
                body->is_idempotent ? transport::kMaxIdleTime
                                    : internal::kMaxIdleTimeNonIdempotent,
                timeout)
          : transport::HttpConnection::Open(attempt_start.target.address,
                                            attempt_start.target.port, timeout);
  if (connection == nullptr) {
    attempt_end.result = steer::AttemptResult::kConnectFailed;
    return traffic_->EndAttempt(attempt_end);
  }
  // A request with an idempotency key continues after its caller disconnects,
  // because the caller may ask for the answer later.
  const int caller_socket =
      arrival.idempotency_key.empty() ? exchange->socket() : -1;
  internal::ScopedConnectionWatch connection_watch(
      &watch_, connection->socket(), caller_socket, attempt_start.deadline);
  const bool is_sent =
      SendRequest(connection.get(), exchange, arrival, attempt_start, body);
  // The answer is read even if sending failed, because a server may refuse the
  // request before it has read the whole body.
  Progress progress;
  attempt_end.result = steer::AttemptResult::kBroken;
  if (connection->ReadAnswerHead(attempt_start.deadline -
                                 transport::SteadyNow())) {
    ReadAnswer(connection.get(), exchange, arrival, attempt_start,
               connection_watch.id(), &attempt_end, &progress);
  } else if (transport::SteadyNow() >= attempt_start.deadline) {
    attempt_end.result = steer::AttemptResult::kTimedOut;
  }
  const AbortReason watch_result = connection_watch.Stop();
  *outcome = attempt_end.result != steer::AttemptResult::kCompleted
                 ? base::Outcome::kUnknown
             : is_relay ? attempt_end.relayed_outcome
                        : base::Outcome::kRun;
  const bool has_complete_answer =
      attempt_end.result == steer::AttemptResult::kCompleted ||
      attempt_end.result == steer::AttemptResult::kRefused;
  if (has_complete_answer && is_sent && watch_result == AbortReason::kNone &&
      !internal::HasNoBody(arrival.method, attempt_end.status)) {
    connection->MarkComplete();
    pool_.Release(attempt_start.target.address, attempt_start.target.port,
                  std::move(connection));
  }
  if (progress.is_attempt_reported) {
    return progress.is_request_ended;
  }
  if (watch_result == AbortReason::kTimedOut &&
      attempt_end.result == steer::AttemptResult::kBroken) {
    attempt_end.result = steer::AttemptResult::kTimedOut;
  }
  if ((watch_result == AbortReason::kCallerDisconnected ||
       progress.is_caller_disconnected) &&
      !has_complete_answer) {
    exchange->CloseAfter();
    traffic_->OnCallerDisconnected(attempt_start.request);
    traffic_->EndAttempt(attempt_end);
    return true;
  }
  return traffic_->EndAttempt(attempt_end);
}

void CallerService::ReadAnswer(transport::HttpConnection* connection,
                               transport::HttpExchange* exchange,
                               const steer::RequestArrival& arrival,
                               const steer::StartAttempt& attempt_start,
                               transport::ConnectionWatch::Id watch,
                               steer::AttemptEnd* attempt_end,
                               Progress* progress) {
  const bool is_relay =
      attempt_start.target.type == steer::Target::Type::kInstance;
  attempt_end->status = connection->status();
  const std::string outcome_header(connection->header(kOutcomeHeader));
  char* const buffer = internal::ThreadLocalBuffer();
  // A backend server refuses only with status 503. An instance also refuses
  // with other statuses.
  if (outcome_header == "not-run" && (is_relay || attempt_end->status == 503)) {
    attempt_end->result = steer::AttemptResult::kRefused;
    if (connection->content_length() < 0 ||
        connection->content_length() > internal::kMaxDiscardedBodyBytes) {
      connection->ForbidReuse();
      return;
    }
    while (connection->ReadBody(buffer, internal::kBufferBytes) > 0) {
    }
    return;
  }
  if (is_relay) {
    attempt_end->relayed_outcome = base::OutcomeFromString(outcome_header);
  }
  steer::Exchange answer_state(attempt_start.max_answer_bytes);
  answer_state.OnRequestSent();
  const steer::Exchange::Framing framing =
      internal::AnswerFraming(arrival.method, *connection);
  const int64_t content_length = connection->content_length();
  if (!answer_state.OnHead(framing, content_length, false) ||
      framing == steer::Exchange::Framing::kUntilClose) {
    attempt_end->result = framing == steer::Exchange::Framing::kUntilClose
                              ? steer::AttemptResult::kTruncated
                              : answer_state.result();
    return;
  }
  attempt_end->answer_headers = EndToEndHeaders(connection->headers());
  std::vector<internal::Header> headers = attempt_end->answer_headers;
  headers.emplace_back(
      kOutcomeHeader,
      is_relay ? std::string(ToString(attempt_end->relayed_outcome)) : "run");
  const bool has_body = framing != steer::Exchange::Framing::kNoBody;
  // A short answer is buffered and forwarded when it is complete. If it is
  // truncated, the engine retries the request or sends its own error answer.
  const bool is_buffered =
      !has_body || (framing == steer::Exchange::Framing::kLength &&
                    content_length <= static_cast<int64_t>(
                                          internal::kMaxBufferedAnswerBytes));
  // A relayed answer without the outcome "run" was generated by the other
  // instance. It is not forwarded; the engine chooses the answer to the caller.
  const bool is_forwarded =
      !is_relay || attempt_end->relayed_outcome == base::Outcome::kRun;
  bool is_caller_connected = true;
  const auto start_answer = [&] {
    if (!traffic_->StartAnswer(attempt_start.request, attempt_start.attempt)) {
      return false;
    }
    attempt_end->was_answer_started = true;
    return true;
  };
  const bool is_streamed = is_forwarded && !is_buffered;
  if (is_streamed) {
    if (!start_answer()) {
      connection->ForbidReuse();
      return;
    }
    is_caller_connected = exchange->StartAnswer(
        attempt_end->status, headers,
        framing == steer::Exchange::Framing::kLength ? content_length
                                                     : transport::kChunked);
  }
  // The answer to a request with an idempotency key is read completely even if
  // the caller has disconnected, so that a repeated request gets the answer.
  while (!answer_state.is_complete() &&
         (is_caller_connected || !arrival.idempotency_key.empty())) {
    watch_.Extend(watch, transport::SteadyNow() + internal::kProgressTimeout);
    const int read_bytes = connection->ReadBody(buffer, internal::kBufferBytes);
    if (read_bytes == 0) {
      answer_state.OnLastChunk();
    }
    if (read_bytes <= 0) {
      if (!answer_state.is_complete()) {
        answer_state.OnConnectionEnd();
      }
      break;
    }
    if (!answer_state.OnBytes(read_bytes)) {
      break;
    }
    const absl::string_view body_part(buffer, read_bytes);
    if (answer_state.bytes() <=
        static_cast<int64_t>(internal::kMaxBufferedAnswerBytes)) {
      attempt_end->answer.append(body_part.data(), body_part.size());
    } else {
      attempt_end->answer.clear();
    }
    if (is_streamed && is_caller_connected) {
      watch_.Extend(watch, transport::SteadyNow() + internal::kProgressTimeout);
      is_caller_connected = exchange->WriteBody(body_part);
    }
  }
  attempt_end->result = answer_state.result();
  attempt_end->answer_bytes = answer_state.bytes();
  if (is_streamed) {
    if (answer_state.is_complete() && is_caller_connected) {
      is_caller_connected = exchange->EndBody();
    }
    if (!answer_state.is_complete() || !is_caller_connected) {
      // The caller detects the truncated answer only if its connection is
      // closed.
      exchange->CloseAfter();
    }
    progress->is_caller_disconnected = !is_caller_connected;
    return;
  }
  if (!answer_state.is_complete() || !is_forwarded) {
    return;
  }
  if (!start_answer()) {
    attempt_end->result = steer::AttemptResult::kBroken;
    return;
  }
  // The attempt ends before the answer is sent, so that the slot and the key
  // are already released when the caller sends its next request.
  progress->is_request_ended = traffic_->EndAttempt(*attempt_end);
  progress->is_attempt_reported = true;
  if (has_body) {
    exchange->Answer(attempt_end->status, headers, attempt_end->answer);
  } else {
    exchange->StartAnswer(attempt_end->status, headers,
                          arrival.method == "HEAD" && content_length >= 0
                              ? content_length
                              : transport::kNoBody);
  }
}

}  // namespace baobabwall::daemon
