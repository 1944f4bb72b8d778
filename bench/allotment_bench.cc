// Measures the run time of the allotment planner and the number of store writes
// for allotments.
//
// Usage: build/bench/allotment_bench

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>

#include "absl/strings/str_cat.h"
#include "fake_cluster.h"

namespace baobabwall {
namespace {

using control::AllotmentTable;
using control::PlanInput;

double MeasureMs(const std::function<void()>& work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

/// \brief Makes the planner input of a zone with `site_count` sites and four
/// services per site.
PlanInput MakeZoneInput(int instance_count,
                        int site_count,
                        int servers_per_service) {
  PlanInput input;
  for (int i = 0; i < instance_count; ++i) {
    input.holders[absl::StrCat("amba-a-", i, ".1796360026222")];
  }
  for (int site = 0; site < site_count; ++site) {
    for (int service = 0; service < 4; ++service) {
      const std::string name = absl::StrCat("site", site, "-", service);
      for (int i = 0; i < servers_per_service; ++i) {
        const int slots = service == 0 ? 5 : 3;
        input.totals[absl::StrCat("slots/", name, "-", i)] = {
            slots, slots, name, {}};
      }
    }
  }
  for (int cap = 0; cap < 2; ++cap) {
    input.totals[absl::StrCat("moved/cap-", cap)] = {
        100'000, 1'000'000, "", {}};
  }
  for (int link = 0; link < 2; ++link) {
    input.totals[absl::StrCat("link/l-", link, "/amba")] = {
        40'000'000, 400'000'000, "", {}};
  }
  input.is_acknowledged = [](auto...) { return true; };
  return input;
}

void MeasurePlan(int instance_count, int site_count, int servers_per_service) {
  PlanInput input =
      MakeZoneInput(instance_count, site_count, servers_per_service);
  AllotmentTable table;
  control::AllotmentPlan plan;
  const double first_ms =
      MeasureMs([&] { plan = control::PlanAllotments(table, input); });
  table = plan.table;
  double unchanged_ms = 1e9;
  for (int i = 0; i < 5; ++i) {
    unchanged_ms = std::min(unchanged_ms, MeasureMs([&] {
                              plan = control::PlanAllotments(table, input);
                            }));
  }
  input.holders["amba-a-new.1796360026222"];
  const double join_ms =
      MeasureMs([&] { plan = control::PlanAllotments(table, input); });
  // The table is largest after a join, between the step that shrinks the old
  // allotments and the step that grows the new allotments.
  const std::string encoded_table = control::EncodeAllotmentTable(plan.table);
  base::Findings findings;
  const double decode_ms = MeasureMs(
      [&] { control::DecodeAllotmentTable(encoded_table, &findings); });
  std::printf(
      "plan instances=%d servers=%d bytes=%zu first_ms=%.1f unchanged_ms=%.1f "
      "join_ms=%.1f decode_ms=%.1f\n",
      instance_count, site_count * 4 * servers_per_service,
      encoded_table.size(), first_ms, unchanged_ms, join_ms, decode_ms);
}

void RunWithTraffic(test::FakeCluster* cluster, absl::Duration duration) {
  for (; duration > absl::ZeroDuration(); duration -= absl::Seconds(1)) {
    for (const auto& [name, process] : cluster->processes()) {
      cluster->Handle(name, control::TrafficReported());
    }
    cluster->RunFor(absl::Seconds(1));
  }
}

void MeasureWrites(int instance_count, int server_count) {
  test::FakeCluster cluster(5);
  for (int i = 0; i < instance_count; ++i) {
    cluster.Start(absl::StrCat("i-", i), "amba-a");
  }
  RunWithTraffic(&cluster, absl::Seconds(30));
  model::ChangeBatch batch;
  batch.operation_id = "declare";
  const auto add_change = [&](model::Kind kind, const std::string& name,
                              const std::string& spec) {
    batch.changes.push_back({{kind, name}, spec, {}});
  };
  add_change(model::Kind::kRegion, "amba", R"({"declaredRate":100})");
  add_change(model::Kind::kRegion, "cuyo", R"({"declaredRate":100})");
  add_change(model::Kind::kZone, "amba-a", R"({"region":"amba"})");
  add_change(model::Kind::kZone, "cuyo-a", R"({"region":"cuyo"})");
  add_change(model::Kind::kCap, "cap",
             R"({"region":"cuyo","maxMovedPercent":20,"windowMs":60000})");
  add_change(model::Kind::kLink, "amba-cuyo",
             R"({"a":"amba","b":"cuyo","mbitPerS":4000})");
  add_change(model::Kind::kService, "s",
             R"({"tenant":"t","class":"interactive"})");
  for (int i = 0; i < server_count; ++i) {
    add_change(model::Kind::kBackendServer, absl::StrCat("s", i),
               R"({"service":"s","zone":"amba-a","address":"10.9.0.1","port":80,
            "slots":4})");
  }
  cluster.Send("i-0", batch);
  RunWithTraffic(&cluster, absl::Seconds(120));
  int64_t previous_writes = cluster.store().writes();
  const auto writes_since_last_call = [&] {
    const int64_t writes = cluster.store().writes() - previous_writes;
    previous_writes = cluster.store().writes();
    return writes;
  };
  RunWithTraffic(&cluster, absl::Seconds(120));
  const int64_t idle_writes = writes_since_last_call();
  cluster.Start("new", "amba-a");
  RunWithTraffic(&cluster, absl::Seconds(120));
  const int64_t join_writes = writes_since_last_call();
  cluster.Kill("new");
  RunWithTraffic(&cluster, absl::Seconds(240));
  const int64_t crash_writes = writes_since_last_call();
  cluster.Kill("i-1");
  RunWithTraffic(&cluster, absl::Seconds(2));
  cluster.Start("i-1", "amba-a");
  RunWithTraffic(&cluster, absl::Seconds(240));
  const int64_t restart_writes = writes_since_last_call();
  cluster.Handle("i-2", control::ShutdownRequested());
  RunWithTraffic(&cluster, absl::Seconds(25));
  cluster.Kill("i-2");
  RunWithTraffic(&cluster, absl::Seconds(240));
  const int64_t leave_writes = writes_since_last_call();
  std::printf(
      "writes instances=%d servers=%d idle_120s=%lld join=%lld crash=%lld "
      "restart=%lld leave=%lld\n",
      instance_count, server_count, static_cast<long long>(idle_writes),
      static_cast<long long>(join_writes), static_cast<long long>(crash_writes),
      static_cast<long long>(restart_writes),
      static_cast<long long>(leave_writes));
}

}  // namespace
}  // namespace baobabwall

int main() {
  for (const int instance_count : {10, 40, 80}) {
    baobabwall::MeasurePlan(instance_count, 2, 3);
    baobabwall::MeasurePlan(instance_count, 140, 1);
    baobabwall::MeasurePlan(instance_count, 140, 2);
  }
  for (const int instance_count : {10, 40, 80}) {
    for (const int server_count : {12, 120}) {
      baobabwall::MeasureWrites(instance_count, server_count);
    }
  }
  return 0;
}
