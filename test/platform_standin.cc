#include "platform_standin.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "free_port.h"

namespace baobabwall::test {
namespace {

using edge::HttpRequest;
using edge::HttpResponse;
using nlohmann::json;

constexpr std::chrono::milliseconds kTick{20};

/// \returns the value of a query field; empty if it is missing.
std::string QueryField(const HttpRequest& request, absl::string_view name) {
  const std::string target(request.target());
  const size_t mark = target.find('?');
  if (mark == std::string::npos) {
    return "";
  }
  for (absl::string_view pair : absl::StrSplit(target.substr(mark + 1), '&')) {
    if (absl::ConsumePrefix(&pair, name) && absl::ConsumePrefix(&pair, "=")) {
      std::string value;
      for (size_t i = 0; i < pair.size(); ++i) {
        if (pair[i] != '%') {
          value.push_back(pair[i]);
          continue;
        }
        value += absl::HexStringToBytes(pair.substr(i + 1, 2));
        i += 2;
      }
      return value;
    }
  }
  return "";
}

/// \returns the lease at the end of a target; 0, which none has, for others.
uint64_t LeaseOf(const std::string& target) {
  uint64_t lease = 0;
  const std::string text = target.substr(target.rfind('/') + 1);
  return absl::SimpleAtoi(text, &lease) ? lease : 0;
}

json ToJson(const control::StoreKeyValue& item) {
  if (item.is_deleted) {
    return {{"key", item.key}, {"rev", item.revision}, {"deleted", true}};
  }
  return {{"key", item.key},
          {"rev", item.revision},
          {"created_rev", item.revision},
          {"lease", 0},
          {"value", absl::Base64Escape(item.value)}};
}

json ListOf(const control::StoreAnswer& answer) {
  json list = json::array();
  for (const control::StoreKeyValue& item : answer.key_values) {
    list.push_back(ToJson(item));
  }
  return list;
}

}  // namespace

struct PlatformStandin::Watch {
  edge::ExchangeId exchange = 0;
  control::StoreWatch watch;
  absl::Time until;
};

struct PlatformStandin::Backend {
  std::string id;
  std::string service;
  std::string zone;
  absl::Duration work;
  int port = 0;
  int announced_port = 0;
  bool is_draining = false;
  bool is_full = false;
  int lose_each = 0;
  int runs = 0;
  std::unique_ptr<edge::HttpListener> listener;
};

PlatformStandin::PlatformStandin()
    : work_(edge::asio::make_work_guard(io_)),
      timer_(io_),
      store_port_(FreePort()),
      store_(&io_,
             {[this](edge::ExchangeId exchange, const HttpRequest& request) {
                OnStoreCall(exchange, request);
              },
              [](edge::ExchangeId) {}}) {
  store_.Open({"127.0.0.1", static_cast<uint16_t>(store_port_)});
  Tick();
  thread_ = std::thread([this] { io_.run(); });
}

PlatformStandin::~PlatformStandin() {
  io_.stop();
  thread_.join();
}

void PlatformStandin::Do(std::function<void()> action) const {
  std::promise<void> done;
  edge::asio::post(io_, [&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

void PlatformStandin::Put(const std::string& key, const std::string& value) {
  Do([&] {
    const control::StoreAnswer known = state_.Get({key});
    control::StoreCompareAndSwap put;
    put.key = key;
    put.value = value;
    put.expected_revision =
        known.key_values.empty() ? 0 : known.key_values.front().revision;
    state_.CompareAndSwap(put);
    Changed();
  });
}

void PlatformStandin::Delete(const std::string& key) {
  Do([&] {
    const control::StoreAnswer known = state_.Get({key});
    if (known.key_values.empty()) {
      return;
    }
    control::StoreCompareAndSwap remove;
    remove.key = key;
    remove.expected_revision = known.key_values.front().revision;
    remove.is_delete = true;
    state_.CompareAndSwap(remove);
    Changed();
  });
}

void PlatformStandin::SetStoreMode(StoreMode mode) {
  Do([&] {
    mode_ = mode;
    Changed();
  });
}

void PlatformStandin::ForgetHistory() {
  Do([&] {
    oldest_revision_ = state_.revision();
    Changed();
  });
}

void PlatformStandin::Tick() {
  const absl::Time now = transport::SteadyNow();
  if (state_.ExpireLeases(now)) {
    Changed();
  }
  std::vector<Watch> waiting;
  for (Watch& watch : watches_) {
    if (now < watch.until || mode_ == StoreMode::kSilent) {
      waiting.push_back(std::move(watch));
      continue;
    }
    AnswerStore(watch.exchange, 200,
                json{{"events", json::array()},
                     {"current_rev", watch.watch.after_revision}}
                    .dump());
  }
  watches_ = std::move(waiting);
  timer_.expires_after(kTick);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Tick();
    }
  });
}

void PlatformStandin::AnswerStore(edge::ExchangeId exchange,
                                  int status,
                                  std::string body) {
  HttpResponse answer(edge::http::int_to_status(status), 11);
  answer.body() = std::move(body);
  answer.prepare_payload();
  store_.Answer(exchange, std::move(answer));
}

void PlatformStandin::Changed() {
  std::vector<Watch> waiting;
  for (Watch& watch : watches_) {
    if (mode_ == StoreMode::kSilent || !AnswerWatch(watch)) {
      waiting.push_back(std::move(watch));
    }
  }
  watches_ = std::move(waiting);
}

/// \returns false if it has to wait on.
bool PlatformStandin::AnswerWatch(const Watch& watch) {
  if (mode_ == StoreMode::kRefusing) {
    AnswerStore(watch.exchange, 503, "");
    return true;
  }
  if (watch.watch.after_revision < oldest_revision_) {
    AnswerStore(watch.exchange, 410, "");
    return true;
  }
  const control::StoreAnswer changes = state_.Changes(watch.watch);
  if (changes.key_values.empty()) {
    return false;
  }
  AnswerStore(
      watch.exchange, 200,
      json{{"events", ListOf(changes)}, {"current_rev", changes.revision}}
          .dump());
  return true;
}

void PlatformStandin::OnWatch(edge::ExchangeId exchange,
                              const HttpRequest& request) {
  ++watch_calls_;
  int64_t after = 0;
  int64_t wait_ms = 0;
  if (!absl::SimpleAtoi(QueryField(request, "after"), &after) ||
      !absl::SimpleAtoi(QueryField(request, "wait_ms"), &wait_ms)) {
    AnswerStore(exchange, 400, "");
    return;
  }
  Watch watch;
  watch.exchange = exchange;
  watch.watch = {QueryField(request, "prefix"), after, absl::ZeroDuration()};
  watch.until = transport::SteadyNow() + absl::Milliseconds(wait_ms);
  if (!AnswerWatch(watch)) {
    watches_.push_back(std::move(watch));
  }
}

void PlatformStandin::OnStoreCall(edge::ExchangeId exchange,
                                  const HttpRequest& request) {
  if (mode_ == StoreMode::kSilent) {
    return;
  }
  if (mode_ == StoreMode::kRefusing) {
    AnswerStore(exchange, 503, "");
    return;
  }
  const absl::Time now = transport::SteadyNow();
  const std::string target(request.target());
  const bool answers = mode_ != StoreMode::kLosesAnswers;
  if (absl::StartsWith(target, "/baobabwall/kv-watch")) {
    OnWatch(exchange, request);
  } else if (absl::StartsWith(target, "/baobabwall/kv-range")) {
    control::StoreRange range;
    range.prefix = QueryField(request, "prefix");
    range.after = QueryField(request, "after");
    range.limit = 500;
    const control::StoreAnswer answer = state_.Range(range);
    AnswerStore(exchange, 200,
                json{{"items", ListOf(answer)},
                     {"more_pages", answer.has_more},
                     {"current_rev", answer.revision}}
                    .dump());
  } else if (target == "/baobabwall/kv-lease") {
    const json body = json::parse(request.body(), nullptr, false);
    const control::StoreAnswer grant = state_.Grant(
        {absl::Milliseconds(body.value("ttl_ms", int64_t{1000}))}, now);
    if (answers) {
      AnswerStore(exchange, 200, json{{"lease", grant.lease}}.dump());
    }
  } else if (absl::StartsWith(target, "/baobabwall/kv-keep/")) {
    const auto kept = state_.KeepAlive({LeaseOf(target)}, now);
    const bool is_kept = kept.status == control::StoreStatus::kOk;
    AnswerStore(exchange, is_kept ? 200 : 404, "{}");
  } else if (absl::StartsWith(target, "/baobabwall/kv-lease-end/")) {
    state_.EndLease({LeaseOf(target)}, now);
    Changed();
    AnswerStore(exchange, 200, "{}");
  } else if (target == "/baobabwall/kv-txn") {
    const json body = json::parse(request.body(), nullptr, false);
    control::StoreCompareAndSwap put;
    put.key = body["puts"][0]["key"].get<std::string>();
    absl::Base64Unescape(body["puts"][0]["value"].get<std::string>(),
                         &put.value);
    put.lease = body["puts"][0].value("lease", uint64_t{0});
    put.expected_revision = body["expect"][0]["rev"].get<int64_t>();
    const control::StoreAnswer written = state_.CompareAndSwap(put);
    Changed();
    const bool is_written = written.status == control::StoreStatus::kOk;
    if (answers) {
      AnswerStore(exchange, is_written ? 200 : 412,
                  json{{"rev", written.revision}}.dump());
    }
  } else {
    AnswerStore(exchange, 404, "");
  }
}

void PlatformStandin::PutEntry(const Backend& backend) {
  const json entry = {
      {"service", backend.service},
      {"address", absl::StrCat("127.0.0.1:", backend.announced_port)},
      {"zone", backend.zone},
      {"version", "v1"},
      {"capacity_slots", 5},
      {"state", backend.is_draining ? "draining" : "ready"},
      {"warmup_left_ms", 0},
      {"sequence", 1},
      {"born", 1},
  };
  Put(absl::StrCat("servers/", backend.id), entry.dump());
}

void PlatformStandin::AddBackend(const std::string& id,
                                 const std::string& service,
                                 const std::string& zone,
                                 absl::Duration work) {
  auto owned = std::make_unique<Backend>();
  Backend* backend = owned.get();
  backend->id = id;
  backend->service = service;
  backend->zone = zone;
  backend->work = work;
  backend->port = FreePort();
  backend->announced_port = announced_port_(backend->port);
  Do([&] {
    backend->listener = std::make_unique<edge::HttpListener>(
        &io_, edge::HttpListener::Hooks{
                  [this, backend](edge::ExchangeId exchange,
                                  const HttpRequest& request) {
                    OnBackendRequest(backend, exchange, request);
                  },
                  [](edge::ExchangeId) {}});
    backend->listener->Open(
        {"127.0.0.1", static_cast<uint16_t>(backend->port)});
    backends_[id] = std::move(owned);
  });
  PutEntry(*backend);
}

void PlatformStandin::OnBackendRequest(Backend* backend,
                                       edge::ExchangeId exchange,
                                       const HttpRequest& request) {
  const std::string id(request["X-Request-Id"]);
  HttpResponse answer(edge::http::status::ok, 11);
  answer.set("X-Request-Id", id);
  answer.set("X-Server-Load", "1,0,5");
  if (request["X-Expect-Instance"] != backend->id) {
    answer.result(421);
    answer.prepare_payload();
    backend->listener->Answer(exchange, std::move(answer));
    return;
  }
  if (backend->is_full) {
    answer.result(503);
    answer.set("X-Not-Executed", "1");
    answer.prepare_payload();
    backend->listener->Answer(exchange, std::move(answer));
    return;
  }
  SeenRequest& seen = seen_[id];
  ++seen.runs;
  seen.body = request.body();
  ++backend->runs;
  if (backend->lose_each > 0 && backend->runs % backend->lose_each == 0) {
    return;
  }
  answer.set("X-Server-Stamp", absl::StrCat(backend->id, ".", id));
  answer.body() = absl::StrCat(backend->id, " ran ", id, " ",
                               std::string(request.target()));
  answer.prepare_payload();
  auto timer = std::make_shared<edge::asio::steady_timer>(io_);
  timer->expires_after(
      std::chrono::milliseconds(absl::ToInt64Milliseconds(backend->work)));
  timer->async_wait(
      [timer, backend, exchange, answer](boost::system::error_code) mutable {
        backend->listener->Answer(exchange, std::move(answer));
      });
}

void PlatformStandin::Drain(const std::string& id) {
  Backend* backend = nullptr;
  Do([&] {
    backend = backends_.at(id).get();
    backend->is_draining = true;
  });
  PutEntry(*backend);
}

void PlatformStandin::Crash(const std::string& id) {
  Do([&] {
    Backend* backend = backends_.at(id).get();
    backend->listener->StopAccepting();
    backend->listener->CloseAll();
  });
}

void PlatformStandin::LoseEachAnswer(const std::string& id, int n) {
  Do([&] { backends_.at(id)->lose_each = n; });
}

void PlatformStandin::SetFull(const std::string& id, bool is_full) {
  Do([&] { backends_.at(id)->is_full = is_full; });
}

std::map<std::string, SeenRequest> PlatformStandin::seen() const {
  std::map<std::string, SeenRequest> copy;
  Do([&] { copy = seen_; });
  return copy;
}

int PlatformStandin::runs_at(const std::string& id) const {
  int runs = 0;
  Do([&] { runs = backends_.at(id)->runs; });
  return runs;
}

}  // namespace baobabwall::test
