#include "transport/src/http_store_client.h"

#include <atomic>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "glog/logging.h"
#include "nlohmann/json.hpp"
#include "transport/src/json_reader.h"

namespace baobabwall::transport {
namespace internal {

using nlohmann::json;

constexpr int kCallThreads = 4;
constexpr int kWatchThreads = 4;
// Maximum number of queued calls. If 256 calls were already queued, a further
// call would not complete within its timeout.
constexpr size_t kMaxQueuedCalls = 256;
constexpr size_t kMaxIdleConnections = kCallThreads + kWatchThreads;
constexpr int kHttpOk = 200;
constexpr int kMaxPort = 65535;

/// A request in the encoding of the key-value service.
struct EncodedCall {
  const char* kind;
  json body;
  /// Time for which the service may delay the answer.
  absl::Duration server_wait_time;
};

struct CallEncoder {
  EncodedCall operator()(const control::StoreGet& request) const {
    return {"get", {{"key", request.key}}, {}};
  }
  EncodedCall operator()(const control::StoreRange& request) const {
    return {"range",
            {{"prefix", request.prefix},
             {"first", request.first},
             {"limit", request.limit}},
            {}};
  }
  EncodedCall operator()(const control::StoreCompareAndSwap& request) const {
    return {"cas",
            {{"key", request.key},
             {"expectedRevision", request.expected_revision},
             {"value", absl::Base64Escape(request.value)},
             {"delete", request.is_delete},
             {"lease", request.lease}},
            {}};
  }
  EncodedCall operator()(const control::StoreLeaseGrant& request) const {
    return {"grant", {{"ttlMs", absl::ToInt64Milliseconds(request.ttl)}}, {}};
  }
  EncodedCall operator()(const control::StoreLeaseKeepAlive& request) const {
    return {"keepalive", {{"lease", request.lease}}, {}};
  }
  EncodedCall operator()(const control::StoreLeaseEnd& request) const {
    return {"endlease", {{"lease", request.lease}}, {}};
  }
  EncodedCall operator()(const control::StoreWatch& request) const {
    return {"watch",
            {{"prefix", request.prefix},
             {"afterRevision", request.after_revision},
             {"timeoutMs", absl::ToInt64Milliseconds(request.timeout)}},
            request.timeout};
  }
};

std::optional<json> ParseObject(absl::string_view text,
                                base::Findings* findings) {
  json value = json::parse(text.begin(), text.end(), nullptr, false);
  if (value.is_discarded() || !value.is_object()) {
    findings->Add("answer", "is not a JSON object");
    return std::nullopt;
  }
  return value;
}

}  // namespace internal

std::optional<control::StoreAnswer> DecodeStoreAnswer(
    absl::string_view text,
    base::Findings* findings) {
  base::Findings new_findings;
  control::StoreAnswer answer;
  if (const auto value = internal::ParseObject(text, &new_findings)) {
    JsonReader reader(*value, "answer", &new_findings);
    const std::string status = reader.ReadString("status");
    if (status == "ok") {
      answer.status = control::StoreStatus::kOk;
    } else if (status == "conflict") {
      answer.status = control::StoreStatus::kConflict;
    } else if (status == "not-found") {
      answer.status = control::StoreStatus::kNotFound;
    } else {
      reader.AddInvalidField("status", "ok, conflict or not-found");
    }
    answer.revision = reader.ReadInteger("revision", 0);
    answer.lease = reader.HasField("lease") ? reader.ReadUnsigned("lease") : 0;
    reader.ForEachElement("keyValues", [&](JsonReader* item) {
      control::StoreKeyValue key_value;
      key_value.key = item->ReadString("key");
      key_value.value = item->ReadBase64("value");
      key_value.revision = item->ReadInteger("revision", 0);
      key_value.is_deleted = item->ReadBool("deleted", false);
      answer.key_values.push_back(std::move(key_value));
    });
  }
  findings->Append(new_findings);
  if (!new_findings.empty()) {
    return std::nullopt;
  }
  return answer;
}

std::optional<control::InstanceList> DecodeInstanceList(
    absl::string_view text,
    base::Findings* findings) {
  base::Findings new_findings;
  control::InstanceList list;
  if (const auto value = internal::ParseObject(text, &new_findings)) {
    JsonReader reader(*value, "list", &new_findings);
    reader.ForEachElement("instances", [&](JsonReader* item) {
      control::ListedInstance listed;
      listed.identity.id.name = item->ReadString("name");
      listed.identity.zone = item->ReadString("zone");
      listed.identity.region = item->ReadString("region");
      listed.identity.address = item->ReadString("address");
      listed.identity.caller_port = static_cast<int>(
          item->ReadInteger("callerPort", 1, internal::kMaxPort));
      listed.identity.peer_port = static_cast<int>(
          item->ReadInteger("peerPort", 1, internal::kMaxPort));
      listed.is_leaving = item->ReadBool("leaving", false);
      list.instances.push_back(std::move(listed));
    });
    reader.ForEachElement("backendServers", [&](JsonReader* item) {
      control::ListedBackendServer listed;
      listed.name = item->ReadString("name");
      listed.is_leaving = item->ReadBool("leaving", false);
      list.backend_servers.push_back(std::move(listed));
    });
  }
  findings->Append(new_findings);
  if (!new_findings.empty()) {
    return std::nullopt;
  }
  return list;
}

HttpStoreClient::Builder& HttpStoreClient::Builder::Address(
    absl::string_view address,
    int port) {
  address_ = std::string(address);
  port_ = port;
  return *this;
}

HttpStoreClient::Builder& HttpStoreClient::Builder::Timeout(
    absl::Duration timeout) {
  timeout_ = timeout;
  return *this;
}

HttpStoreClient::Builder& HttpStoreClient::Builder::OnCallEnd(CallHook hook) {
  on_call_end_ = std::move(hook);
  return *this;
}

std::unique_ptr<HttpStoreClient> HttpStoreClient::Builder::Build() const {
  return std::unique_ptr<HttpStoreClient>(new HttpStoreClient(*this));
}

/// A store call that invokes `done` exactly once: with the answer of the
/// service, or with StoreStatus::kUnknown if the call is dropped from the
/// queue.
struct HttpStoreClient::PendingCall {
  PendingCall(control::StoreCall pending_call, Done pending_done)
      : call(std::move(pending_call)), done(std::move(pending_done)) {}
  ~PendingCall() {
    answer.id = call.id;
    done(std::move(answer));
  }

  control::StoreCall call;
  Done done;
  control::StoreAnswer answer;
};

HttpStoreClient::HttpStoreClient(const Builder& builder)
    : settings_(builder),
      connection_pool_(internal::kMaxIdleConnections),
      call_queue_(internal::kCallThreads, internal::kMaxQueuedCalls),
      watch_queue_(internal::kWatchThreads, internal::kMaxQueuedCalls) {}

HttpStoreClient::~HttpStoreClient() {
  call_queue_.Close();
  watch_queue_.Close();
  connection_watch_.AbortAll();
}

void HttpStoreClient::Start(control::StoreCall call, Done done) {
  const bool is_watch =
      std::holds_alternative<control::StoreWatch>(call.request);
  const auto pending_call =
      std::make_shared<PendingCall>(std::move(call), std::move(done));
  (is_watch ? watch_queue_ : call_queue_).Add([this, pending_call] {
    pending_call->answer = ExecuteCall(pending_call->call.request);
  });
}

bool HttpStoreClient::SendRequest(absl::string_view method,
                                  absl::string_view target,
                                  absl::string_view body,
                                  absl::Duration timeout,
                                  HttpAnswer* answer) {
  const std::vector<Header> headers = {{"Content-Type", "application/json"}};
  return Fetch(&connection_pool_, settings_.address_, settings_.port_, method,
               target, headers, body, timeout, answer, &connection_watch_) &&
         answer->status == internal::kHttpOk;
}

control::StoreAnswer HttpStoreClient::ExecuteCall(
    const control::StoreRequest& request) {
  const internal::EncodedCall call =
      std::visit(internal::CallEncoder(), request);
  const std::string body =
      call.body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  control::StoreAnswer answer;
  HttpAnswer http_answer;
  if (SendRequest("POST", absl::StrCat("/v1/store/", call.kind), body,
                  settings_.timeout_ + call.server_wait_time, &http_answer)) {
    base::Findings findings;
    if (auto decoded = DecodeStoreAnswer(http_answer.body, &findings)) {
      answer = *std::move(decoded);
    } else {
      LOG_EVERY_N(WARNING, 100) << "store: malformed answer kind=" << call.kind
                                << " findings=" << findings.ToString();
    }
  }
  settings_.on_call_end_(call.kind, answer.status);
  return answer;
}

void HttpStoreClient::ReadList(ListDone done) {
  call_queue_.Add([this, done = std::move(done)] {
    HttpAnswer http_answer;
    const bool is_read = SendRequest("GET", "/v1/instances", "",
                                     settings_.timeout_, &http_answer);
    settings_.on_call_end_("list", is_read ? control::StoreStatus::kOk
                                           : control::StoreStatus::kUnknown);
    base::Findings findings;
    if (!is_read) {
      return;
    }
    if (auto list = DecodeInstanceList(http_answer.body, &findings)) {
      done(*std::move(list));
    } else {
      LOG_EVERY_N(WARNING, 100)
          << "store: malformed list findings=" << findings.ToString();
    }
  });
}

}  // namespace baobabwall::transport
