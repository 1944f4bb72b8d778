#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "allocation_count.h"
#include "steer/steer.h"

// Measures the cost of a request in steer::Engine (arrival, answer start and
// attempt end) as a function of the number of backend servers and service
// classes, and the memory of the key table.
//
// Usage: engine_bench [REQUESTS]

namespace baobabwall::steer {
namespace {

const absl::Time kStartTime = absl::UnixEpoch() + absl::Hours(1000);
constexpr int kDefaultRequests = 200'000;
const char* const kClasses[] = {"interactive", "transactional", "bulk"};

std::shared_ptr<Snapshot> MakeSnapshot(int server_count, int class_count) {
  std::vector<model::Change> changes = {
      {{model::Kind::kRegion, "amba"}, R"({"declaredRate": 9})", {}},
      {{model::Kind::kZone, "amba-a"}, R"({"region": "amba"})", {}}};
  for (int i = 0; i < class_count; ++i) {
    changes.push_back({{model::Kind::kService, absl::StrCat("s", i)},
                       absl::StrCat(R"({"tenant": "t)", i, R"(", "class": ")",
                                    kClasses[i], R"("})"),
                       {}});
  }
  base::Findings findings;
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->configuration =
      model::Configuration::Empty()->Apply({"t", changes}, 1, &findings);
  snapshot->self = {"amba-a-1", 5};
  snapshot->zone = "amba-a";
  snapshot->region = "amba";
  snapshot->is_ready = true;
  for (int i = 0; i < server_count; ++i) {
    BackendView backend;
    backend.name = absl::StrCat("r", i);
    backend.service = absl::StrCat("s", i % class_count);
    backend.slot_share = 5;
    backend.health = HealthStatus::kHealthy;
    snapshot->backends.push_back(backend);
  }
  return snapshot;
}

struct RequestCost {
  double time_ns = 0;
  double allocation_count = 0;
};

RequestCost Measure(int server_count,
                    int class_count,
                    bool has_key,
                    int request_count) {
  const auto engine = Engine::Builder().KeyCapacity(10'000'000).Build();
  engine->Publish(MakeSnapshot(server_count, class_count), kStartTime);
  std::vector<RequestArrival> arrivals(static_cast<size_t>(request_count));
  const std::string prefix =
      IdempotencyKey::Prefix({"amba-a-1", 5}, kStartTime + absl::Minutes(5));
  for (int i = 0; i < request_count; ++i) {
    RequestArrival& arrival = arrivals[static_cast<size_t>(i)];
    arrival.id = static_cast<RequestId>(i) + 1;
    arrival.service = absl::StrCat("s", i % class_count);
    arrival.method = has_key ? "POST" : "GET";
    arrival.path = "/v1/rooms/5/free?day=2026-12-04";
    arrival.body_hash = 7;
    arrival.client_address = "192.0.2.7";
    arrival.deadline = kStartTime + absl::Seconds(2);
    if (has_key) {
      arrival.idempotency_key = absl::StrCat(prefix, ".", i);
    }
  }
  int unplaced_requests = 0;
  const int64_t initial_allocations = AllocationCount();
  const auto start_time = std::chrono::steady_clock::now();
  for (RequestArrival& arrival : arrivals) {
    const Actions actions = engine->OnArrival(std::move(arrival), kStartTime);
    const auto* start = std::get_if<StartAttempt>(&actions[0]);
    if (start == nullptr) {
      ++unplaced_requests;
      continue;
    }
    engine->OnAnswerStart(start->request, start->attempt);
    AttemptEnd end;
    end.request = start->request;
    end.attempt = start->attempt;
    end.result = AttemptResult::kCompleted;
    end.status = 200;
    end.was_answer_started = true;
    engine->OnAttemptEnd(end, kStartTime);
  }
  const auto end = std::chrono::steady_clock::now();
  if (unplaced_requests > 0) {
    std::printf("%d requests were not placed\n", unplaced_requests);
  }
  const double time_ns =
      std::chrono::duration<double, std::nano>(end - start_time).count();
  return {time_ns / request_count,
          static_cast<double>(AllocationCount() - initial_allocations) /
              request_count};
}

void MeasureKeyTable(int record_count) {
  const int64_t initial_bytes = HeapBytesInUse();
  KeyTable table(static_cast<size_t>(record_count) * 2);
  const std::string prefix =
      IdempotencyKey::Prefix({"amba-a-1", 5}, kStartTime + absl::Minutes(5));
  for (int i = 0; i < record_count; ++i) {
    const std::string key = absl::StrCat(prefix, ".", i);
    table.Begin(key, *IdempotencyKey::Parse(key), "t", 1, kStartTime);
  }
  const double running_bytes =
      static_cast<double>(HeapBytesInUse() - initial_bytes) / record_count;
  for (int i = 0; i < record_count; ++i) {
    KeyEnd end;
    end.outcome = base::Outcome::kRun;
    table.End(absl::StrCat(prefix, ".", i), std::move(end));
  }
  std::printf(
      "key table: %d records, %.0f bytes per running record, %.0f per ended\n",
      record_count, running_bytes,
      static_cast<double>(HeapBytesInUse() - initial_bytes) / record_count);
}

int Main(int argc, char** argv) {
  const int request_count = argc > 1 ? std::atoi(argv[1]) : kDefaultRequests;
  std::printf("servers classes  idempotent: ns allocs  keyed: ns allocs\n");
  for (int server_count : {3, 12, 48, 192}) {
    for (int class_count : {1, 3}) {
      const RequestCost without_key =
          Measure(server_count, class_count, false, request_count);
      const RequestCost with_key =
          Measure(server_count, class_count, true, request_count);
      std::printf("%7d %7d  %14.0f %6.1f  %9.0f %6.1f\n", server_count,
                  class_count, without_key.time_ns,
                  without_key.allocation_count, with_key.time_ns,
                  with_key.allocation_count);
    }
  }
  MeasureKeyTable(request_count);
  return 0;
}

}  // namespace
}  // namespace baobabwall::steer

int main(int argc, char** argv) {
  return baobabwall::steer::Main(argc, argv);
}
