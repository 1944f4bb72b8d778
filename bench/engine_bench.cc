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

// Cost of one request in steer::Engine (arrival, answer start, attempt end)
// against the number of backend servers and of classes, and the memory of the
// key table.
// usage: engine_bench [REQUESTS]

namespace baobabwall::steer {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1000);
constexpr int kDefaultRequests = 200'000;
const char* const kClasses[] = {"interactive", "transactional", "bulk"};

std::shared_ptr<Snapshot> MakeSnapshot(int servers, int classes) {
  std::vector<model::Change> changes = {
      {{model::Kind::kRegion, "amba"}, R"({"declaredRate": 9})", {}},
      {{model::Kind::kZone, "amba-a"}, R"({"region": "amba"})", {}}};
  for (int i = 0; i < classes; ++i) {
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
  for (int i = 0; i < servers; ++i) {
    BackendView backend;
    backend.name = absl::StrCat("r", i);
    backend.service = absl::StrCat("s", i % classes);
    backend.slot_share = 5;
    backend.health = HealthStatus::kHealthy;
    snapshot->backends.push_back(backend);
  }
  return snapshot;
}

struct Cost {
  double ns = 0;
  double allocations = 0;
};

Cost Measure(int servers, int classes, bool keyed, int requests) {
  const auto engine = Engine::Builder().KeyCapacity(10'000'000).Build();
  engine->Publish(MakeSnapshot(servers, classes), kStart);
  std::vector<RequestArrival> arrivals(static_cast<size_t>(requests));
  const std::string prefix =
      IdempotencyKey::Prefix({"amba-a-1", 5}, kStart + absl::Minutes(5));
  for (int i = 0; i < requests; ++i) {
    RequestArrival& arrival = arrivals[static_cast<size_t>(i)];
    arrival.id = static_cast<RequestId>(i) + 1;
    arrival.service = absl::StrCat("s", i % classes);
    arrival.method = keyed ? "POST" : "GET";
    arrival.path = "/v1/rooms/5/free?day=2026-12-04";
    arrival.body_hash = 7;
    arrival.client_address = "192.0.2.7";
    arrival.deadline = kStart + absl::Seconds(2);
    if (keyed) {
      arrival.idempotency_key = absl::StrCat(prefix, ".", i);
    }
  }
  int lost = 0;
  const int64_t allocations = AllocationCount();
  const auto begin = std::chrono::steady_clock::now();
  for (RequestArrival& arrival : arrivals) {
    const Actions actions = engine->OnArrival(std::move(arrival), kStart);
    const auto* start = std::get_if<StartAttempt>(&actions[0]);
    if (start == nullptr) {
      ++lost;
      continue;
    }
    engine->OnAnswerStart(start->request, start->attempt);
    AttemptEnd end;
    end.request = start->request;
    end.attempt = start->attempt;
    end.result = AttemptResult::kCompleted;
    end.status = 200;
    end.was_answer_started = true;
    engine->OnAttemptEnd(end, kStart);
  }
  const auto end = std::chrono::steady_clock::now();
  if (lost > 0) {
    std::printf("%d requests were not placed\n", lost);
  }
  const double ns =
      std::chrono::duration<double, std::nano>(end - begin).count();
  return {ns / requests,
          static_cast<double>(AllocationCount() - allocations) / requests};
}

void MeasureKeyTable(int records) {
  const int64_t before = LiveBytes();
  KeyTable table(static_cast<size_t>(records) * 2);
  const std::string prefix =
      IdempotencyKey::Prefix({"amba-a-1", 5}, kStart + absl::Minutes(5));
  for (int i = 0; i < records; ++i) {
    const std::string text = absl::StrCat(prefix, ".", i);
    table.Begin(text, *IdempotencyKey::Parse(text), "t", 1, kStart);
  }
  const double running = static_cast<double>(LiveBytes() - before) / records;
  for (int i = 0; i < records; ++i) {
    KeyEnd end;
    end.outcome = base::Outcome::kRun;
    table.End(absl::StrCat(prefix, ".", i), std::move(end));
  }
  std::printf("key table: %d records, %.0f bytes each running, %.0f ended\n",
              records, running,
              static_cast<double>(LiveBytes() - before) / records);
}

int Main(int argc, char** argv) {
  const int requests = argc > 1 ? std::atoi(argv[1]) : kDefaultRequests;
  std::printf("servers classes  idempotent: ns allocs  keyed: ns allocs\n");
  for (int servers : {3, 12, 48, 192}) {
    for (int classes : {1, 3}) {
      const Cost plain = Measure(servers, classes, false, requests);
      const Cost keyed = Measure(servers, classes, true, requests);
      std::printf("%7d %7d  %14.0f %6.1f  %9.0f %6.1f\n", servers, classes,
                  plain.ns, plain.allocations, keyed.ns, keyed.allocations);
    }
  }
  MeasureKeyTable(requests);
  return 0;
}

}  // namespace
}  // namespace baobabwall::steer

int main(int argc, char** argv) {
  return baobabwall::steer::Main(argc, argv);
}
