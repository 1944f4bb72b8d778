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

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 0, "port to listen on");
ABSL_FLAG(int,
          threads,
          64,
          "worker threads; each pending watch occupies a thread");
ABSL_FLAG(std::string,
          data,
          "",
          "file that preserves the writes across a restart");
ABSL_FLAG(std::string, instances, "", "JSON file with the list of instances");

namespace baobabwall::test {
namespace {

using nlohmann::json;

constexpr char kUsage[] =
    R"(Stand-in for the platform's key-value service and its list of instances.
usage: store_standin --port=N [--data=FILE] [--instances=FILE]

POST /v1/store/{get,range,cas,grant,keepalive,watch}  store calls
GET  /v1/instances   returns the platform's list of instances
POST /v1/instances   sets the list: {"instances": [{"name", "zone", "region",
                     "address", "callerPort", "peerPort", "leaving"}],
                     "backendServers": [{"name", "leaving"}]}
POST /control        sets faults; absent fields keep their value:
                     {"outage": bool        closes connections unanswered,
                      "delayMs": n          delay before each answer,
                      "loseAnswers": n      applies the next n writes but
                                            does not answer them,
                      "staleReads": bool    reads return the state at the
                                            time of this setting,
                      "listLagMs": n        age of the returned list}
GET  /control        returns the number of calls by kind)";

constexpr absl::Duration kWatchPollInterval = absl::Milliseconds(20);

class StoreStandin {
 public:
  explicit StoreStandin(std::string data_file)
      : data_file_(std::move(data_file)) {
    std::ifstream stream(data_file_);
    for (std::string line; std::getline(stream, line);) {
      const json record = json::parse(line, nullptr, false);
      if (record.is_discarded()) {
        break;  // The process was killed while writing the last line.
      }
      control::StoreCompareAndSwap compare_and_swap =
          ParseCompareAndSwap(record);
      const control::StoreAnswer current = state_.Get({compare_and_swap.key});
      compare_and_swap.expected_revision =
          current.key_values.empty() ? 0 : current.key_values[0].revision;
      compare_and_swap.lease = 0;
      state_.CompareAndSwap(compare_and_swap);
    }
  }

  void SetInstanceList(json list) {
    std::lock_guard<std::mutex> lock(mutex_);
    instance_lists_.emplace_back(absl::Now(), std::move(list));
  }

  void HandleInstances(transport::HttpExchange* exchange) {
    std::string body;
    if (exchange->method() == "POST") {
      exchange->ReadWholeBody(1 << 20, &body);
      SetInstanceList(json::parse(body, nullptr, false));
      exchange->Answer(200, {}, "{}");
      return;
    }
    json list = {{"instances", json::array()},
                 {"backendServers", json::array()}};
    {
      std::lock_guard<std::mutex> lock(mutex_);
      ++call_counts_["list"];
      if (has_outage_) {
        exchange->CloseAfter();
        return;
      }
      for (const auto& [set_at, value] : instance_lists_) {
        if (set_at <= absl::Now() - list_age_) {
          list = value;
        }
      }
    }
    exchange->Answer(200, {{"Content-Type", "application/json"}}, list.dump());
  }

  void HandleControl(transport::HttpExchange* exchange) {
    std::string body;
    exchange->ReadWholeBody(1 << 20, &body);
    const json request = json::parse(body, nullptr, false);
    std::lock_guard<std::mutex> lock(mutex_);
    if (request.is_object()) {
      has_outage_ = request.value("outage", has_outage_);
      answer_delay_ = absl::Milliseconds(
          request.value("delayMs", absl::ToInt64Milliseconds(answer_delay_)));
      answers_to_lose_ = request.value("loseAnswers", answers_to_lose_);
      list_age_ = absl::Milliseconds(
          request.value("listLagMs", absl::ToInt64Milliseconds(list_age_)));
      const bool serves_stale_reads =
          request.value("staleReads", serves_stale_reads_);
      if (serves_stale_reads && !serves_stale_reads_) {
        stale_state_ = state_;
      }
      serves_stale_reads_ = serves_stale_reads;
    }
    exchange->Answer(
        200, {{"Content-Type", "application/json"}},
        json({{"calls", call_counts_}, {"revision", state_.revision()}})
            .dump());
  }

  void HandleStore(transport::HttpExchange* exchange) {
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
      ++call_counts_[kind];
      delay = answer_delay_;
      if (has_outage_) {
        exchange->CloseAfter();  // Closes the connection without an answer.
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
  static control::StoreCompareAndSwap ParseCompareAndSwap(const json& request) {
    control::StoreCompareAndSwap compare_and_swap;
    compare_and_swap.key = request.value("key", "");
    compare_and_swap.expected_revision =
        request.value("expectedRevision", int64_t{0});
    absl::Base64Unescape(request.value("value", ""), &compare_and_swap.value);
    compare_and_swap.is_delete = request.value("delete", false);
    compare_and_swap.lease = request.value("lease", uint64_t{0});
    return compare_and_swap;
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
    const transport::KeyValueState& visible_state =
        serves_stale_reads_ ? stale_state_ : state_;
    if (kind == "get") {
      return visible_state.Get({request.value("key", "")});
    }
    if (kind == "range") {
      return visible_state.Range({request.value("prefix", ""),
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
      const control::StoreLeaseEnd lease_end = {
          request.value("lease", uint64_t{0})};
      const control::StoreAnswer answer = state_.EndLease(lease_end, now);
      state_changed_.notify_all();
      return answer;
    }
    if (kind == "watch") {
      return Watch(request, &lock, is_lost);
    }
    const control::StoreAnswer answer =
        state_.CompareAndSwap(ParseCompareAndSwap(request));
    if (answer.status == control::StoreStatus::kOk) {
      if (!data_file_.empty()) {
        std::ofstream(data_file_, std::ios::app) << request.dump() << std::endl;
      }
      state_changed_.notify_all();
    }
    if (answers_to_lose_ > 0) {
      --answers_to_lose_;
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
    const absl::Time deadline = absl::Now() + watch.timeout;
    while (true) {
      const transport::KeyValueState& visible_state =
          serves_stale_reads_ ? stale_state_ : state_;
      const control::StoreAnswer answer = visible_state.Changes(watch);
      *is_lost = has_outage_;
      if (has_outage_ || !answer.key_values.empty() ||
          absl::Now() >= deadline) {
        return answer;
      }
      state_changed_.wait_for(*lock,
                              absl::ToChronoMilliseconds(kWatchPollInterval));
    }
  }

  std::string data_file_;
  std::mutex mutex_;
  std::condition_variable state_changed_;
  transport::KeyValueState state_;
  transport::KeyValueState stale_state_;
  std::vector<std::pair<absl::Time, json>> instance_lists_;
  std::map<std::string, int64_t> call_counts_;
  bool has_outage_ = false;
  bool serves_stale_reads_ = false;
  absl::Duration answer_delay_;
  absl::Duration list_age_;
  int answers_to_lose_ = 0;
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
  StoreStandin store_standin(absl::GetFlag(FLAGS_data));
  if (!absl::GetFlag(FLAGS_instances).empty()) {
    std::ifstream stream(absl::GetFlag(FLAGS_instances));
    std::stringstream text;
    text << stream.rdbuf();
    store_standin.SetInstanceList(json::parse(text.str(), nullptr, false));
  }
  const auto server =
      transport::HttpServer::Builder()
          .Address(absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_port))
          .Threads(absl::GetFlag(FLAGS_threads))
          .Handle("/v1/store/",
                  [&](auto* exchange) { store_standin.HandleStore(exchange); })
          .Handle(
              "/v1/instances",
              [&](auto* exchange) { store_standin.HandleInstances(exchange); })
          .Handle(
              "/control",
              [&](auto* exchange) { store_standin.HandleControl(exchange); })
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
