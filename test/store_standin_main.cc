#include <chrono>
#include <condition_variable>
#include <csignal>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/escaping.h"
#include "absl/time/clock.h"
#include "nlohmann/json.hpp"
#include "transport/transport.h"

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(int, port, 0, "port to listen on");
ABSL_FLAG(int, threads, 64, "worker threads; a pending watch takes one");
ABSL_FLAG(std::string, data, "", "file that keeps the writes over a restart");
ABSL_FLAG(std::string, instances, "", "JSON file with the platform's list");

namespace baobabwall::test {
namespace {

using nlohmann::json;

constexpr char kUsage[] =
    R"(Stand-in for the platform's key-value service and its list of instances.
usage: store_standin --port=N [--data=FILE] [--instances=FILE]

POST /v1/store/{get,range,cas,grant,keepalive,watch}  as HttpStoreClient sends
GET  /v1/instances   the platform's list
POST /v1/instances   sets it: {"instances": [{"name", "zone", "region",
                     "address", "callerPort", "peerPort", "leaving"}],
                     "backendServers": [{"name", "leaving"}]}
POST /control        sets faults; absent fields stay as they are:
                     {"outage": bool        no call gets an answer,
                      "delayMs": n          before each answer,
                      "loseAnswers": n      of the next n writes, after they
                                            took effect,
                      "staleReads": bool    reads show the state of now,
                      "listLagMs": n        age of the list that is served}
GET  /control        numbers of calls, by kind)";

constexpr absl::Duration kWatchPoll = absl::Milliseconds(20);

class Standin {
 public:
  explicit Standin(std::string data_file) : data_file_(std::move(data_file)) {
    std::ifstream stream(data_file_);
    for (std::string line; std::getline(stream, line);) {
      const json record = json::parse(line, nullptr, false);
      if (record.is_discarded()) {
        break;  // The last line was cut when the process was killed.
      }
      control::StoreCompareAndSwap swap = ParseSwap(record);
      const control::StoreAnswer present = state_.Get({swap.key});
      swap.expected_revision =
          present.key_values.empty() ? 0 : present.key_values[0].revision;
      swap.lease = 0;
      state_.CompareAndSwap(swap);
    }
  }

  void SetList(json list) {
    std::lock_guard<std::mutex> lock(mutex_);
    lists_.emplace_back(absl::Now(), std::move(list));
  }

  void Instances(transport::HttpExchange* exchange) {
    std::string body;
    if (exchange->method() == "POST") {
      exchange->ReadWholeBody(1 << 20, &body);
      SetList(json::parse(body, nullptr, false));
      exchange->Answer(200, {}, "{}");
      return;
    }
    json list = {{"instances", json::array()},
                 {"backendServers", json::array()}};
    {
      std::lock_guard<std::mutex> lock(mutex_);
      ++calls_["list"];
      if (is_out_) {
        exchange->CloseAfter();
        return;
      }
      for (const auto& [set_at, value] : lists_) {
        if (set_at <= absl::Now() - list_lag_) {
          list = value;
        }
      }
    }
    exchange->Answer(200, {{"Content-Type", "application/json"}}, list.dump());
  }

  void Control(transport::HttpExchange* exchange) {
    std::string body;
    exchange->ReadWholeBody(1 << 20, &body);
    const json request = json::parse(body, nullptr, false);
    std::lock_guard<std::mutex> lock(mutex_);
    if (request.is_object()) {
      is_out_ = request.value("outage", is_out_);
      delay_ = absl::Milliseconds(
          request.value("delayMs", absl::ToInt64Milliseconds(delay_)));
      lose_answers_ = request.value("loseAnswers", lose_answers_);
      list_lag_ = absl::Milliseconds(
          request.value("listLagMs", absl::ToInt64Milliseconds(list_lag_)));
      const bool is_stale = request.value("staleReads", is_stale_);
      if (is_stale && !is_stale_) {
        stale_ = state_;
      }
      is_stale_ = is_stale;
    }
    exchange->Answer(
        200, {{"Content-Type", "application/json"}},
        json({{"calls", calls_}, {"revision", state_.revision()}}).dump());
  }

  void Store(transport::HttpExchange* exchange) {
    const std::string kind(exchange->path().substr(strlen("/v1/store/")));
    std::string body;
    if (!exchange->ReadWholeBody(4 << 20, &body)) {
      exchange->CloseAfter();
      return;
    }
    const json request = json::parse(body, nullptr, false);
    if (!request.is_object()) {
      exchange->Answer(400, {}, R"({"reason": "not a JSON object"})");
      return;
    }
    absl::Duration delay;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      ++calls_[kind];
      delay = delay_;
      if (is_out_) {
        exchange->CloseAfter();  // Ends the connection without an answer.
        return;
      }
    }
    absl::SleepFor(delay);
    bool is_lost = false;
    const control::StoreAnswer answer = Execute(kind, request, &is_lost);
    if (is_lost) {
      exchange->CloseAfter();
      return;
    }
    exchange->Answer(200, {{"Content-Type", "application/json"}},
                     ToJson(answer).dump());
  }

 private:
  static control::StoreCompareAndSwap ParseSwap(const json& request) {
    control::StoreCompareAndSwap swap;
    swap.key = request.value("key", "");
    swap.expected_revision = request.value("expectedRevision", int64_t{0});
    absl::Base64Unescape(request.value("value", ""), &swap.value);
    swap.is_delete = request.value("delete", false);
    swap.lease = request.value("lease", uint64_t{0});
    return swap;
  }

  static json ToJson(const control::StoreAnswer& answer) {
    json key_values = json::array();
    for (const control::StoreKeyValue& item : answer.key_values) {
      key_values.push_back({{"key", item.key},
                            {"value", absl::Base64Escape(item.value)},
                            {"revision", item.revision},
                            {"deleted", item.is_deleted}});
    }
    const char* status = answer.status == control::StoreStatus::kOk ? "ok"
                         : answer.status == control::StoreStatus::kConflict
                             ? "conflict"
                             : "not-found";
    return {{"status", status},
            {"revision", answer.revision},
            {"lease", answer.lease},
            {"keyValues", key_values}};
  }

  control::StoreAnswer Execute(const std::string& kind,
                               const json& request,
                               bool* is_lost) {
    const absl::Time now = absl::Now();
    std::unique_lock<std::mutex> lock(mutex_);
    state_.ExpireLeases(now);
    const transport::KeyValueState& shown = is_stale_ ? stale_ : state_;
    if (kind == "get") {
      return shown.Get({request.value("key", "")});
    }
    if (kind == "range") {
      return shown.Range({request.value("prefix", ""),
                          request.value("first", ""),
                          request.value("limit", 100)});
    }
    if (kind == "grant") {
      return state_.Grant(
          {absl::Milliseconds(request.value("ttlMs", int64_t{0}))}, now);
    }
    if (kind == "keepalive") {
      return state_.KeepAlive({request.value("lease", uint64_t{0})}, now);
    }
    if (kind == "endlease") {
      const control::StoreLeaseEnd end = {request.value("lease", uint64_t{0})};
      const control::StoreAnswer answer = state_.EndLease(end, now);
      changed_.notify_all();
      return answer;
    }
    if (kind == "watch") {
      return Watch(request, &lock, is_lost);
    }
    const control::StoreAnswer answer =
        state_.CompareAndSwap(ParseSwap(request));
    if (answer.status == control::StoreStatus::kOk) {
      if (!data_file_.empty()) {
        std::ofstream(data_file_, std::ios::app) << request.dump() << std::endl;
      }
      changed_.notify_all();
    }
    if (lose_answers_ > 0) {
      --lose_answers_;
      *is_lost = true;
    }
    return answer;
  }

  control::StoreAnswer Watch(const json& request,
                             std::unique_lock<std::mutex>* lock,
                             bool* is_lost) {
    const control::StoreWatch watch = {
        request.value("prefix", ""), request.value("afterRevision", int64_t{0}),
        absl::Milliseconds(request.value("timeoutMs", int64_t{0}))};
    const absl::Time end = absl::Now() + watch.timeout;
    while (true) {
      const transport::KeyValueState& shown = is_stale_ ? stale_ : state_;
      const control::StoreAnswer answer = shown.Changes(watch);
      *is_lost = is_out_;
      if (is_out_ || !answer.key_values.empty() || absl::Now() >= end) {
        return answer;
      }
      changed_.wait_for(*lock, absl::ToChronoMilliseconds(kWatchPoll));
    }
  }

  std::string data_file_;
  std::mutex mutex_;
  std::condition_variable changed_;
  transport::KeyValueState state_;
  transport::KeyValueState stale_;
  std::vector<std::pair<absl::Time, json>> lists_;
  std::map<std::string, int64_t> calls_;
  bool is_out_ = false;
  bool is_stale_ = false;
  absl::Duration delay_;
  absl::Duration list_lag_;
  int lose_answers_ = 0;
};

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsage);
  absl::ParseCommandLine(argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Standin standin(absl::GetFlag(FLAGS_data));
  if (!absl::GetFlag(FLAGS_instances).empty()) {
    std::ifstream stream(absl::GetFlag(FLAGS_instances));
    std::stringstream text;
    text << stream.rdbuf();
    standin.SetList(json::parse(text.str(), nullptr, false));
  }
  const auto server =
      transport::HttpServer::Builder()
          .Address(absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_port))
          .Threads(absl::GetFlag(FLAGS_threads))
          .Handle("/v1/store/", [&](auto* e) { standin.Store(e); })
          .Handle("/v1/instances", [&](auto* e) { standin.Instances(e); })
          .Handle("/control", [&](auto* e) { standin.Control(e); })
          .Start();
  if (server == nullptr) {
    std::cerr << "cannot open port " << absl::GetFlag(FLAGS_port) << "\n";
    return 1;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

}  // namespace
}  // namespace baobabwall::test

int main(int argc, char** argv) {
  return baobabwall::test::Main(argc, argv);
}
