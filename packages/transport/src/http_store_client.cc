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
// A call that waits behind this many others would miss its time-out anyway.
constexpr size_t kMostWaiting = 256;
constexpr size_t kMostIdle = kCallThreads + kWatchThreads;
constexpr int kOk = 200;
constexpr int kMaxPort = 65535;

/// A request as the service understands it.
struct WireCall {
  const char* kind;
  json body;
  absl::Duration wait;  ///< The service itself waits so long.
};

struct Encoder {
  WireCall operator()(const control::StoreGet& r) const {
    return {"get", {{"key", r.key}}, {}};
  }
  WireCall operator()(const control::StoreRange& r) const {
    return {"range",
            {{"prefix", r.prefix}, {"first", r.first}, {"limit", r.limit}},
            {}};
  }
  WireCall operator()(const control::StoreCompareAndSwap& r) const {
    return {"cas",
            {{"key", r.key},
             {"expectedRevision", r.expected_revision},
             {"value", absl::Base64Escape(r.value)},
             {"delete", r.is_delete},
             {"lease", r.lease}},
            {}};
  }
  WireCall operator()(const control::StoreLeaseGrant& r) const {
    return {"grant", {{"ttlMs", absl::ToInt64Milliseconds(r.ttl)}}, {}};
  }
  WireCall operator()(const control::StoreLeaseKeepAlive& r) const {
    return {"keepalive", {{"lease", r.lease}}, {}};
  }
  WireCall operator()(const control::StoreLeaseEnd& r) const {
    return {"endlease", {{"lease", r.lease}}, {}};
  }
  WireCall operator()(const control::StoreWatch& r) const {
    return {"watch",
            {{"prefix", r.prefix},
             {"afterRevision", r.after_revision},
             {"timeoutMs", absl::ToInt64Milliseconds(r.timeout)}},
            r.timeout};
  }
};

std::optional<json> Parse(absl::string_view text, base::Findings* findings) {
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
  base::Findings own;
  control::StoreAnswer answer;
  if (const auto value = internal::Parse(text, &own)) {
    JsonReader reader(*value, "answer", &own);
    const std::string status = reader.Text("status");
    if (status == "ok") {
      answer.status = control::StoreStatus::kOk;
    } else if (status == "conflict") {
      answer.status = control::StoreStatus::kConflict;
    } else if (status == "not-found") {
      answer.status = control::StoreStatus::kNotFound;
    } else {
      reader.Refuse("status", "ok, conflict or not-found");
    }
    answer.revision = reader.Integer("revision", 0);
    answer.lease = reader.Has("lease") ? reader.Unsigned("lease") : 0;
    reader.Each("keyValues", [&](JsonReader* item) {
      control::StoreKeyValue key_value;
      key_value.key = item->Text("key");
      key_value.value = item->Bytes("value");
      key_value.revision = item->Integer("revision", 0);
      key_value.is_deleted = item->Flag("deleted", false);
      answer.key_values.push_back(std::move(key_value));
    });
  }
  findings->Append(own);
  if (!own.empty()) {
    return std::nullopt;
  }
  return answer;
}

std::optional<control::InstanceList> DecodeInstanceList(
    absl::string_view text,
    base::Findings* findings) {
  base::Findings own;
  control::InstanceList list;
  if (const auto value = internal::Parse(text, &own)) {
    JsonReader reader(*value, "list", &own);
    reader.Each("instances", [&](JsonReader* item) {
      control::ListedInstance listed;
      listed.identity.id.name = item->Text("name");
      listed.identity.zone = item->Text("zone");
      listed.identity.region = item->Text("region");
      listed.identity.address = item->Text("address");
      listed.identity.caller_port =
          static_cast<int>(item->Integer("callerPort", 1, internal::kMaxPort));
      listed.identity.peer_port =
          static_cast<int>(item->Integer("peerPort", 1, internal::kMaxPort));
      listed.is_leaving = item->Flag("leaving", false);
      list.instances.push_back(std::move(listed));
    });
    reader.Each("backendServers", [&](JsonReader* item) {
      control::ListedBackendServer listed;
      listed.name = item->Text("name");
      listed.is_leaving = item->Flag("leaving", false);
      list.backend_servers.push_back(std::move(listed));
    });
  }
  findings->Append(own);
  if (!own.empty()) {
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
  hook_ = std::move(hook);
  return *this;
}

std::unique_ptr<HttpStoreClient> HttpStoreClient::Builder::Build() const {
  return std::unique_ptr<HttpStoreClient>(new HttpStoreClient(*this));
}

/// Calls `done` exactly once: with the answer, or as kUnknown when the work is
/// dropped.
struct HttpStoreClient::Pending {
  Pending(control::StoreCall pending_call, Done pending_done)
      : call(std::move(pending_call)), done(std::move(pending_done)) {}
  ~Pending() {
    answer.id = call.id;
    done(std::move(answer));
  }

  control::StoreCall call;
  Done done;
  control::StoreAnswer answer;
};

HttpStoreClient::HttpStoreClient(const Builder& builder)
    : settings_(builder),
      pool_(internal::kMostIdle),
      calls_(internal::kCallThreads, internal::kMostWaiting),
      watches_(internal::kWatchThreads, internal::kMostWaiting) {}

HttpStoreClient::~HttpStoreClient() {
  calls_.Close();
  watches_.Close();
  watch_.CutAll();
}

void HttpStoreClient::Start(control::StoreCall call, Done done) {
  const bool is_watch =
      std::holds_alternative<control::StoreWatch>(call.request);
  const auto pending =
      std::make_shared<Pending>(std::move(call), std::move(done));
  (is_watch ? watches_ : calls_).Add([this, pending] {
    pending->answer = Call(pending->call.request);
  });
}

bool HttpStoreClient::Post(absl::string_view method,
                           absl::string_view target,
                           absl::string_view body,
                           absl::Duration timeout,
                           HttpAnswer* answer) {
  const std::vector<Header> headers = {{"Content-Type", "application/json"}};
  return Fetch(&pool_, settings_.address_, settings_.port_, method, target,
               headers, body, timeout, answer, &watch_) &&
         answer->status == internal::kOk;
}

control::StoreAnswer HttpStoreClient::Call(
    const control::StoreRequest& request) {
  const internal::WireCall call = std::visit(internal::Encoder(), request);
  const std::string body =
      call.body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  control::StoreAnswer answer;
  HttpAnswer http;
  if (Post("POST", absl::StrCat("/v1/store/", call.kind), body,
           settings_.timeout_ + call.wait, &http)) {
    base::Findings findings;
    if (auto decoded = DecodeStoreAnswer(http.body, &findings)) {
      answer = *std::move(decoded);
    } else {
      LOG_EVERY_N(WARNING, 100) << "store: malformed answer kind=" << call.kind
                                << " findings=" << findings.ToString();
    }
  }
  settings_.hook_(call.kind, answer.status);
  return answer;
}

void HttpStoreClient::ReadList(ListDone done) {
  calls_.Add([this, done = std::move(done)] {
    HttpAnswer http;
    const bool is_read =
        Post("GET", "/v1/instances", "", settings_.timeout_, &http);
    settings_.hook_("list", is_read ? control::StoreStatus::kOk
                                    : control::StoreStatus::kUnknown);
    base::Findings findings;
    if (!is_read) {
      return;
    }
    if (auto list = DecodeInstanceList(http.body, &findings)) {
      done(*std::move(list));
    } else {
      LOG_EVERY_N(WARNING, 100)
          << "store: malformed list findings=" << findings.ToString();
    }
  });
}

}  // namespace baobabwall::transport
