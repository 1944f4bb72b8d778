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
#include "absl/time/clock.h"
#include "free_port.h"

namespace baobabwall::test {
namespace {

using edge::HttpRequest;
using edge::HttpResponse;
using nlohmann::json;

constexpr std::chrono::milliseconds kTick{20};

/// \returns the value of a query parameter; empty if the parameter is missing.
std::string QueryField(const HttpRequest& request, absl::string_view name) {
  const std::string target(request.target());
  const size_t query_begin = target.find('?');
  if (query_begin == std::string::npos) {
    return "";
  }
  for (absl::string_view pair :
       absl::StrSplit(target.substr(query_begin + 1), '&')) {
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

/// \returns the lease id at the end of a target; 0, which is never a valid
/// lease id, if there is none.
uint64_t ParseLease(const std::string& target) {
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

json ToJsonList(const control::StoreAnswer& answer) {
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
  absl::Time deadline;
};

struct PlatformStandin::Backend {
  std::string id;
  std::string service;
  std::string zone;
  absl::Duration work;
  int port = 0;
  int announced_port = 0;
  bool is_draining = false;
  bool is_crashed = false;
  int sequence = 0;  ///< Number of changes of the entry in the store.
  bool is_full = false;
  bool announces_leaving = false;
  std::string retry_after;    ///< Of refusals; empty for none.
  std::string request_limit;  ///< Of all answers; empty for none.
  int arrivals = 0;
  int dropped_answer_period = 0;
  int runs = 0;
  size_t min_answer_size = 0;
  std::unique_ptr<edge::HttpListener> listener;
};

PlatformStandin::PlatformStandin()
    : work_guard_(edge::asio::make_work_guard(io_)),
      timer_(io_),
      store_port_(FreePort()),
      store_(&io_,
             {[this](edge::ExchangeId exchange, const HttpRequest& request) {
                OnStoreRequest(exchange, request);
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

void PlatformStandin::RunOnLoop(std::function<void()> action) const {
  std::promise<void> done;
  edge::asio::post(io_, [&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

void PlatformStandin::Put(const std::string& key, const std::string& value) {
  RunOnLoop([&] {
    const control::StoreAnswer current = state_.Get({key});
    control::StoreCompareAndSwap put;
    put.key = key;
    put.value = value;
    put.expected_revision =
        current.key_values.empty() ? 0 : current.key_values.front().revision;
    state_.CompareAndSwap(put);
    AnswerPendingWatches();
  });
}

void PlatformStandin::Delete(const std::string& key) {
  RunOnLoop([&] {
    const control::StoreAnswer current = state_.Get({key});
    if (current.key_values.empty()) {
      return;
    }
    control::StoreCompareAndSwap remove;
    remove.key = key;
    remove.expected_revision = current.key_values.front().revision;
    remove.is_delete = true;
    state_.CompareAndSwap(remove);
    AnswerPendingWatches();
  });
}

void PlatformStandin::SetStoreMode(StoreMode mode) {
  RunOnLoop([&] {
    store_mode_ = mode;
    AnswerPendingWatches();
  });
}

void PlatformStandin::SaveStore() {
  RunOnLoop([&] { saved_state_ = state_; });
}

void PlatformStandin::RestoreStore() {
  RunOnLoop([&] {
    state_ = saved_state_;
    ++era_;
    pending_watches_.clear();
  });
}

void PlatformStandin::CompactHistory() {
  RunOnLoop([&] {
    oldest_revision_ = state_.revision();
    AnswerPendingWatches();
  });
}

void PlatformStandin::Tick() {
  const absl::Time now = transport::SteadyNow();
  if (state_.ExpireLeases(now)) {
    AnswerPendingWatches();
  }
  std::vector<Watch> pending_watches;
  for (Watch& watch : pending_watches_) {
    if (now < watch.deadline || store_mode_ == StoreMode::kSilent) {
      pending_watches.push_back(std::move(watch));
      continue;
    }
    AnswerStore(watch.exchange, 200,
                json{{"events", json::array()},
                     {"current_rev", watch.watch.after_revision}}
                    .dump());
  }
  pending_watches_ = std::move(pending_watches);
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
  answer.set("Store-Era", absl::StrCat(era_));
  answer.body() = std::move(body);
  answer.prepare_payload();
  store_.Answer(exchange, std::move(answer));
}

void PlatformStandin::AnswerPendingWatches() {
  std::vector<Watch> pending_watches;
  for (Watch& watch : pending_watches_) {
    if (store_mode_ == StoreMode::kSilent || !AnswerWatch(watch)) {
      pending_watches.push_back(std::move(watch));
    }
  }
  pending_watches_ = std::move(pending_watches);
}

/// \returns false if the watch must stay pending.
bool PlatformStandin::AnswerWatch(const Watch& watch) {
  if (store_mode_ == StoreMode::kRefusing) {
    AnswerStore(watch.exchange, 503, "");
    return true;
  }
  if (watch.watch.after_revision < oldest_revision_ ||
      watch.watch.after_revision > state_.revision()) {
    AnswerStore(watch.exchange, 410, "");
    return true;
  }
  const control::StoreAnswer changes = state_.Changes(watch.watch);
  if (changes.key_values.empty()) {
    return false;
  }
  AnswerStore(
      watch.exchange, 200,
      json{{"events", ToJsonList(changes)}, {"current_rev", changes.revision}}
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
  watch.deadline = transport::SteadyNow() + absl::Milliseconds(wait_ms);
  if (!AnswerWatch(watch)) {
    pending_watches_.push_back(std::move(watch));
  }
}

void PlatformStandin::OnStoreRequest(edge::ExchangeId exchange,
                                     const HttpRequest& request) {
  if (store_mode_ == StoreMode::kSilent) {
    return;
  }
  if (store_mode_ == StoreMode::kRefusing) {
    AnswerStore(exchange, 503, "");
    return;
  }
  const absl::Time now = transport::SteadyNow();
  const std::string target(request.target());
  const bool sends_answer = store_mode_ != StoreMode::kDropsWriteAnswers;
  if (absl::StartsWith(target, "/baobabwall/kv-watch")) {
    OnWatch(exchange, request);
  } else if (absl::StartsWith(target, "/baobabwall/kv-range")) {
    control::StoreRange range;
    range.prefix = QueryField(request, "prefix");
    range.after = QueryField(request, "after");
    range.limit = 500;
    const control::StoreAnswer answer = state_.Range(range);
    AnswerStore(exchange, 200,
                json{{"items", ToJsonList(answer)},
                     {"more_pages", answer.has_more},
                     {"current_rev", answer.revision}}
                    .dump());
  } else if (target == "/baobabwall/kv-lease") {
    const json body = json::parse(request.body(), nullptr, false);
    const control::StoreAnswer grant = state_.Grant(
        {absl::Milliseconds(body.value("ttl_ms", int64_t{1000}))}, now);
    if (sends_answer) {
      AnswerStore(exchange, 200, json{{"lease", grant.lease}}.dump());
    }
  } else if (absl::StartsWith(target, "/baobabwall/kv-keep/")) {
    const auto kept = state_.KeepAlive({ParseLease(target)}, now);
    const bool is_kept = kept.status == control::StoreStatus::kOk;
    AnswerStore(exchange, is_kept ? 200 : 404, "{}");
  } else if (absl::StartsWith(target, "/baobabwall/kv-lease-end/")) {
    state_.EndLease({ParseLease(target)}, now);
    AnswerPendingWatches();
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
    AnswerPendingWatches();
    const bool is_written = written.status == control::StoreStatus::kOk;
    if (sends_answer) {
      AnswerStore(exchange, is_written ? 200 : 412,
                  json{{"rev", written.revision}}.dump());
    }
  } else {
    AnswerStore(exchange, 404, "");
  }
}

void PlatformStandin::PutServerEntry(const Backend& backend) {
  const json entry = {
      {"service", backend.service},
      {"address", absl::StrCat("127.0.0.1:", backend.announced_port)},
      {"zone", backend.zone},
      {"version", "v1"},
      {"capacity_slots", 5},
      {"state", backend.is_draining ? "draining" : "ready"},
      {"warmup_left_ms", 0},
      {"sequence", backend.sequence},
      {"born", 1},
  };
  Put(absl::StrCat("servers/", backend.id), entry.dump());
}

void PlatformStandin::WriteServerEntriesAgain() {
  std::vector<Backend*> backends;
  RunOnLoop([&] {
    for (const auto& [id, backend] : backends_) {
      backends.push_back(backend.get());
    }
  });
  for (const Backend* backend : backends) {
    if (backend->is_crashed) {
      Delete(absl::StrCat("servers/", backend->id));
    } else {
      PutServerEntry(*backend);
    }
  }
}

void PlatformStandin::AddBackend(const std::string& id,
                                 const std::string& service,
                                 const std::string& zone,
                                 absl::Duration work) {
  auto new_backend = std::make_unique<Backend>();
  Backend* backend = new_backend.get();
  backend->id = id;
  backend->service = service;
  backend->zone = zone;
  backend->work = work;
  backend->port = FreePort();
  backend->announced_port = announced_port_(backend->port);
  RunOnLoop([&] {
    backend->listener = std::make_unique<edge::HttpListener>(
        &io_, edge::HttpListener::Hooks{
                  [this, backend](edge::ExchangeId exchange,
                                  const HttpRequest& request) {
                    OnBackendRequest(backend, exchange, request);
                  },
                  [](edge::ExchangeId) {}});
    backend->listener->Open(
        {"127.0.0.1", static_cast<uint16_t>(backend->port)});
    ++backend->sequence;
    backends_[id] = std::move(new_backend);
  });
  PutServerEntry(*backend);
}

void PlatformStandin::OnBackendRequest(Backend* backend,
                                       edge::ExchangeId exchange,
                                       const HttpRequest& request) {
  const std::string id(request["X-Request-Id"]);
  HttpResponse answer(edge::http::status::ok, 11);
  answer.set("X-Request-Id", id);
  answer.set("X-Server-Load", "1,0,5");
  if (backend->announces_leaving) {
    answer.set("Server-Leaving", "1");
  }
  if (!backend->request_limit.empty()) {
    answer.set("Server-Limit", backend->request_limit);
  }
  if (request["X-Expect-Instance"] != backend->id) {
    answer.result(421);
    answer.prepare_payload();
    backend->listener->Answer(exchange, std::move(answer));
    return;
  }
  ++backend->arrivals;
  BackendArrival& arrival = arrivals_.emplace_back();
  arrival.server = backend->id;
  arrival.id = id;
  arrival.at = absl::Now();
  double limit = 0;
  if (absl::SimpleAtod(backend->request_limit, &limit)) {
    arrival.request_limit = limit;
  }
  arrival.credential_count =
      static_cast<int>(request.count(edge::http::field::authorization));
  const auto [first, last] = request.equal_range("X-Tenant");
  for (auto header = first; header != last; ++header) {
    arrival.accounts.emplace_back(header->value());
  }
  if (backend->is_full) {
    answer.result(503);
    answer.set("X-Not-Executed", "1");
    if (!backend->retry_after.empty()) {
      answer.set("Retry-After", backend->retry_after);
      double seconds = 0;
      if (absl::SimpleAtod(backend->retry_after, &seconds)) {
        arrival.requested_pause = absl::Seconds(seconds);
      }
    }
    answer.prepare_payload();
    backend->listener->Answer(exchange, std::move(answer));
    return;
  }
  ExecutedRequest& executed = executed_requests_[id];
  ++executed.runs;
  executed.body = request.body();
  ++backend->runs;
  if (backend->dropped_answer_period > 0 &&
      backend->runs % backend->dropped_answer_period == 0) {
    return;
  }
  answer.set("X-Server-Stamp", absl::StrCat(backend->id, ".", id));
  answer.body() = absl::StrCat(backend->id, " ran ", id, " ",
                               std::string(request.target()));
  if (answer.body().size() < backend->min_answer_size) {
    answer.body().resize(backend->min_answer_size, ' ');
  }
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
  RunOnLoop([&] {
    backend = backends_.at(id).get();
    backend->is_draining = true;
    ++backend->sequence;
  });
  PutServerEntry(*backend);
}

void PlatformStandin::Crash(const std::string& id) {
  RunOnLoop([&] {
    Backend* backend = backends_.at(id).get();
    backend->is_crashed = true;
    backend->listener->StopAccepting();
    backend->listener->CloseAllConnections();
  });
}

void PlatformStandin::DropEachNthAnswer(const std::string& id, int n) {
  RunOnLoop([&] { backends_.at(id)->dropped_answer_period = n; });
}

void PlatformStandin::SetFull(const std::string& id,
                              bool is_full,
                              const std::string& retry_after) {
  RunOnLoop([&] {
    backends_.at(id)->is_full = is_full;
    backends_.at(id)->retry_after = retry_after;
  });
}

void PlatformStandin::SetAnswerSize(const std::string& id, size_t size) {
  RunOnLoop([&] { backends_.at(id)->min_answer_size = size; });
}

void PlatformStandin::AnnounceLeaving(const std::string& id) {
  RunOnLoop([&] { backends_.at(id)->announces_leaving = true; });
}

void PlatformStandin::SetRequestLimit(const std::string& id,
                                      const std::string& limit) {
  RunOnLoop([&] { backends_.at(id)->request_limit = limit; });
}

std::map<std::string, ExecutedRequest> PlatformStandin::executed_requests()
    const {
  std::map<std::string, ExecutedRequest> copy;
  RunOnLoop([&] { copy = executed_requests_; });
  return copy;
}

std::vector<BackendArrival> PlatformStandin::arrivals() const {
  std::vector<BackendArrival> copy;
  RunOnLoop([&] { copy = arrivals_; });
  return copy;
}

std::string PlatformStandin::BackendAddress(const std::string& id) const {
  int port = 0;
  RunOnLoop([&] { port = backends_.at(id)->announced_port; });
  return absl::StrCat("127.0.0.1:", port);
}

int PlatformStandin::arrival_count(const std::string& id) const {
  int arrivals = 0;
  RunOnLoop([&] { arrivals = backends_.at(id)->arrivals; });
  return arrivals;
}

int PlatformStandin::run_count(const std::string& id) const {
  int runs = 0;
  RunOnLoop([&] { runs = backends_.at(id)->runs; });
  return runs;
}

}  // namespace baobabwall::test
