#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "base/base.h"
#include "nlohmann/json.hpp"
#include "transport/transport.h"

ABSL_FLAG(std::string, entries, "", "ports for lookups, comma-separated");
ABSL_FLAG(std::string, services, "", "SERVICE:CLASS pairs, comma-separated");
ABSL_FLAG(std::string,
          clients,
          "",
          "IP addresses of the callers, comma-separated");
ABSL_FLAG(int, callers, 24, "number of concurrent callers");
ABSL_FLAG(int, rate, 200, "total requests per second of all callers");
ABSL_FLAG(int, seconds, 10, "duration of the load in seconds");
ABSL_FLAG(int, seed, 1, "seed of all random numbers");
ABSL_FLAG(std::string, book, "", "file for the request log");

namespace baobabwall::test {
namespace {

using nlohmann::json;

constexpr char kUsage[] = R"(Sends a mixed load in the same way as callers.
usage: load_generator --entries=21101,21102 --services=reservas:transactional
                      --clients=10.0.0.1 --book=FILE

Looks up the instances to use and caches the result. Sends POST requests with an
idempotency key to transactional services, GET requests with large answers to
bulk services, and small GET requests to all other services. Retries after an
incomplete answer. The request log (--book) has one JSON line for each request:
{"service", "id", "keyed", "outcome", "tries", "ms", "fault"}. For a request
with a key, `id` is the key. For a request without a key, `runs` maps the
X-Run-Id of each attempt to its outcome. `fault` describes an incorrect answer.)";

constexpr char kLoopbackAddress[] = "127.0.0.1";
constexpr int kMaxAttempts = 4;
constexpr int kBulkAnswerBytes = 200'000;
constexpr absl::Duration kAttemptTimeout = absl::Seconds(5);

struct Service {
  std::string name;
  std::string service_class;
};

struct LookupEntry {
  std::string address;
  int port = 0;
  std::string key_prefix;
};

struct CachedLookup {
  std::vector<LookupEntry> entries;
  absl::Time expiry_time = absl::InfinitePast();
};

std::string HeaderValue(const transport::HttpAnswer& answer,
                        absl::string_view name) {
  for (const auto& [key, value] : answer.headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

/// A caller with a lookup cache and a connection pool.
class Caller {
 public:
  Caller(int caller_index, std::string client, std::vector<int> lookup_ports)
      : caller_index_(caller_index),
        client_(std::move(client)),
        lookup_ports_(std::move(lookup_ports)),
        random_(absl::GetFlag(FLAGS_seed) * 1000 + caller_index),
        pool_(4) {}

  json Send(const Service& service) {
    const absl::Time start_time = absl::Now();
    json record = {{"service", service.name},
                   {"keyed", service.service_class == "transactional"},
                   {"outcome", "not-run"},
                   {"tries", 0},
                   {"at", absl::ToUnixMillis(start_time)}};
    const std::vector<LookupEntry> entries = LookUpEntries(service.name);
    const std::string id = absl::StrCat("c", caller_index_, "-", ++sent_count_,
                                        "-", absl::GetFlag(FLAGS_seed));
    if (entries.empty()) {
      record["id"] = id;
      record["fault"] = "";
      record["reason"] = "lookup failed";
    } else if (record["keyed"] == true) {
      SendWithKey(service, entries, id, &record);
    } else {
      SendWithoutKey(service, entries, id, &record);
    }
    record["ms"] = absl::ToDoubleMilliseconds(absl::Now() - start_time);
    return record;
  }

  double RandomUnit() { return random_.Unit(); }

 private:
  std::vector<LookupEntry> LookUpEntries(const std::string& service) {
    CachedLookup& cached = lookup_cache_[service];
    if (absl::Now() < cached.expiry_time) {
      return cached.entries;
    }
    for (size_t i = 0; i < lookup_ports_.size(); ++i) {
      const int port =
          lookup_ports_[(caller_index_ + i) % lookup_ports_.size()];
      transport::HttpAnswer answer;
      if (!transport::Fetch(
              &pool_, kLoopbackAddress, port, "GET",
              absl::StrCat("/lookup/", service, "?client=", client_), {}, "",
              absl::Seconds(1), &answer) ||
          answer.status != 200) {
        continue;
      }
      const json body = json::parse(answer.body, nullptr, false);
      cached.entries.clear();
      for (const json& entry : body["entries"]) {
        cached.entries.push_back(
            {entry["address"], entry["port"], entry["keyPrefix"]});
      }
      cached.expiry_time =
          absl::Now() + absl::Milliseconds(body["ttlMs"].get<int64_t>());
      break;
    }
    return cached.entries;
  }

  /// Sends one attempt. \returns the outcome, or "lost" if no complete answer
  /// was received.
  std::string SendAttempt(const LookupEntry& entry,
                          const std::string& method,
                          const std::string& path,
                          const transport::Header& id,
                          const std::string& body,
                          transport::HttpAnswer* answer) {
    *answer = {};
    if (!transport::Fetch(&pool_, entry.address, entry.port, method, path,
                          {id, {"X-Request-Deadline-Ms", "4000"}}, body,
                          kAttemptTimeout, answer)) {
      return "lost";
    }
    const std::string outcome = HeaderValue(*answer, "X-Request-Outcome");
    return outcome.empty() ? "unknown" : outcome;
  }

  void SendWithKey(const Service& service,
                   const std::vector<LookupEntry>& entries,
                   const std::string& id,
                   json* record) {
    const std::string key = absl::StrCat(entries[0].key_prefix, ".", id);
    const std::string body(10 + random_.Below(200), 'b');
    const std::string path = absl::StrCat("/s/", service.name, "/book/", id);
    const std::string expected_body =
        absl::StrCat("POST /book/", id, " ", body.size(), "\n");
    (*record)["id"] = key;
    (*record)["fault"] = "";
    for (int i = 0; i < kMaxAttempts; ++i) {
      // The first two attempts use the instance that owns the key; any other
      // instance relays the request to the owner.
      const LookupEntry& entry = entries[i < 2 ? 0 : i % entries.size()];
      transport::HttpAnswer answer;
      const std::string outcome = SendAttempt(
          entry, "POST", path, {"Idempotency-Key", key}, body, &answer);
      (*record)["tries"] = i + 1;
      (*record)["outcome"] = outcome == "lost" ? "unknown" : outcome;
      if (outcome == "run" && answer.status == 200) {
        CheckAnswer(answer, key, expected_body, record);
      }
      if (outcome == "run" || outcome == "not-run") {
        return;
      }
      absl::SleepFor(absl::Milliseconds(100));
    }
  }

  void SendWithoutKey(const Service& service,
                      const std::vector<LookupEntry>& entries,
                      const std::string& id,
                      json* record) {
    const bool is_bulk = service.service_class == "bulk";
    const std::string path =
        is_bulk ? absl::StrCat("/bytes/", kBulkAnswerBytes) : "/list/" + id;
    const std::string expected_body = is_bulk
                                          ? std::string(kBulkAnswerBytes, 'x')
                                          : absl::StrCat("GET ", path, " 0\n");
    (*record)["id"] = id;
    (*record)["fault"] = "";
    (*record)["runs"] = json::object();
    for (int i = 0; i < kMaxAttempts; ++i) {
      const std::string run_id = absl::StrCat(id, ".", i);
      transport::HttpAnswer answer;
      const std::string outcome =
          SendAttempt(entries[i % entries.size()], "GET",
                      absl::StrCat("/s/", service.name, path),
                      {"X-Run-Id", run_id}, "", &answer);
      (*record)["tries"] = i + 1;
      (*record)["runs"][run_id] = outcome;
      (*record)["outcome"] = outcome == "lost" ? "unknown" : outcome;
      if (outcome == "run") {
        if (answer.status == 200) {
          CheckAnswer(answer, run_id, expected_body, record);
        }
        return;
      }
      absl::SleepFor(absl::Milliseconds(100));
    }
  }

  static void CheckAnswer(const transport::HttpAnswer& answer,
                          const std::string& id,
                          const std::string& expected_body,
                          json* record) {
    const std::string answered_id = HeaderValue(answer, "X-Run-Id");
    // A replayed answer lacks the headers of the original answer.
    if (!answered_id.empty() && answered_id != id) {
      (*record)["fault"] = "an answer with the run id " + answered_id;
    } else if (answer.body != expected_body) {
      (*record)["fault"] =
          absl::StrCat("an answer body of ", answer.body.size(),
                       " bytes, expected ", expected_body.size());
    }
  }

  int caller_index_;
  std::string client_;
  std::vector<int> lookup_ports_;
  base::Random random_;
  transport::ConnectionPool pool_;
  std::map<std::string, CachedLookup> lookup_cache_;
  int sent_count_ = 0;
};

int Main(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsage);
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<int> ports;
  for (absl::string_view text :
       absl::StrSplit(absl::GetFlag(FLAGS_entries), ',')) {
    int port = 0;
    if (!absl::SimpleAtoi(text, &port)) {
      std::cerr << "--entries must be a comma-separated list of ports\n";
      return 2;
    }
    ports.push_back(port);
  }
  std::vector<Service> services;
  for (absl::string_view text :
       absl::StrSplit(absl::GetFlag(FLAGS_services), ',')) {
    const std::pair<std::string, std::string> name_and_class =
        absl::StrSplit(text, absl::MaxSplits(':', 1));
    services.push_back({name_and_class.first, name_and_class.second});
  }
  const std::vector<std::string> clients =
      absl::StrSplit(absl::GetFlag(FLAGS_clients), ',');
  std::ofstream request_log(absl::GetFlag(FLAGS_book));
  if (!request_log) {
    std::cerr << "cannot write to the request log\n";
    return 2;
  }
  std::mutex mutex;
  const int caller_count = absl::GetFlag(FLAGS_callers);
  const absl::Duration send_interval =
      absl::Seconds(1) * caller_count / std::max(1, absl::GetFlag(FLAGS_rate));
  const absl::Time end_time =
      absl::Now() + absl::Seconds(absl::GetFlag(FLAGS_seconds));
  std::vector<std::thread> threads;
  for (int i = 0; i < caller_count; ++i) {
    threads.emplace_back([&, i] {
      Caller caller(i, clients[i % clients.size()], ports);
      absl::Time next_send_time =
          absl::Now() + send_interval * caller.RandomUnit();
      while (next_send_time < end_time) {
        absl::SleepFor(next_send_time - absl::Now());
        next_send_time += send_interval;
        const size_t service_index =
            static_cast<size_t>(caller.RandomUnit() * services.size());
        const json record =
            caller.Send(services[service_index % services.size()]);
        std::lock_guard<std::mutex> lock(mutex);
        request_log << record.dump() << "\n";
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return 0;
}

}  // namespace
}  // namespace baobabwall::test

int main(int argc, char** argv) {
  return baobabwall::test::Main(argc, argv);
}
