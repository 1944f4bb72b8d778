// Measures the cost of the control nodes as a function of the number of
// instances, resources, client blocks and changes per day. The times until a
// change is applied are simulated. The CPU figures are the real time that the
// control code takes per simulated second. The byte counts are those of
// JSON-RPC over HTTP (see EncodedBytes).
//
// Usage: control_bench [INSTANCES]
// With an argument, the benchmark measures only a fleet of this size. A fleet
// of 800 instances takes several minutes.

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "blocks_spec.h"
#include "fake_cluster.h"

namespace baobabwall::test {
namespace {

constexpr int kZoneCount = 140;
constexpr int kMemberCount = 800;
constexpr int kBlockCount = 1'100'000;
constexpr int kBlocksPerChunk = 40'000;
constexpr absl::Duration kSimulationStep = absl::Milliseconds(20);

model::Change MakeChange(model::Kind kind, std::string name, std::string spec) {
  return {{kind, std::move(name)}, std::move(spec), std::nullopt};
}

std::string SiteName(int i) {
  return absl::StrCat("site-", i % kZoneCount);
}

model::Change MakeServerChange(int i, int slots) {
  return MakeChange(
      model::Kind::kBackendServer, absl::StrCat("server-", i),
      absl::StrCat(R"({"service":"s","zone":")", SiteName(i),
                   R"(","address":"10.9.)", i / 250 % 250, ".", i % 250 + 1,
                   R"(","port":8080,"slots":)", slots, "}"));
}

model::Change MakeChunkChange(int chunk, int count, int zone_offset) {
  return MakeChange(
      model::Kind::kClientBlocks, absl::StrCat("chunk-", chunk),
      bench::MakeClientBlocksSpec(chunk * kBlocksPerChunk, count, zone_offset,
                                  kZoneCount, SiteName));
}

class FleetBenchmark {
 public:
  explicit FleetBenchmark(int instances)
      : cluster_(7), instance_count_(instances) {
    for (int i = 0; i < instances; ++i) {
      StartInstance(i);
    }
    cluster_.RunFor(absl::Seconds(10));
    initial_reads_ = cluster_.store().reads();
    initial_peak_reads_per_s_ = cluster_.store().peak_reads_per_s();
    // Waits for the end of the gossip about the started members, which takes 3
    // messages per member and per doubling of the fleet. A fleet of 800
    // instances is measured during this gossip to bound the run time.
    cluster_.RunFor(absl::Seconds(instances > 100 ? 20 : 140));
  }

  void LoadConfiguration(int servers, int blocks) {
    std::vector<model::Change> changes = {
        MakeChange(model::Kind::kService, "s",
                   R"({"tenant":"t","class":"interactive"})"),
        MakeChange(model::Kind::kRegion, "r", R"({"declaredRate":1000})")};
    for (int i = 0; i < kZoneCount; ++i) {
      changes.push_back(
          MakeChange(model::Kind::kZone, SiteName(i), R"({"region":"r"})"));
    }
    for (int i = 0; i < servers; ++i) {
      changes.push_back(MakeServerChange(i, 4));
    }
    for (size_t i = 0; i < changes.size(); i += 1000) {
      const size_t end = std::min(changes.size(), i + 1000);
      ApplyChanges({changes.begin() + i, changes.begin() + end});
    }
    for (int remaining_blocks = blocks, chunk = 0; remaining_blocks > 0;
         ++chunk) {
      ApplyChanges({MakeChunkChange(
          chunk, std::min(remaining_blocks, kBlocksPerChunk), 0)});
      remaining_blocks -= std::min(remaining_blocks, kBlocksPerChunk);
    }
  }

  /// \returns the simulated time until every instance has applied the change.
  absl::Duration ApplyChanges(std::vector<model::Change> changes) {
    const absl::Time start = cluster_.queue().now();
    const std::string& name = cluster_.processes().begin()->first;
    cluster_.Send(
        name, {absl::StrCat("op-", ++operation_count_), std::move(changes)});
    ++revision_;
    while (true) {
      cluster_.RunFor(kSimulationStep);
      const bool is_in_force_everywhere = std::all_of(
          cluster_.processes().begin(), cluster_.processes().end(),
          [&](const auto& item) {
            return item.second->node->configuration().revision() >= revision_;
          });
      const absl::Duration elapsed = cluster_.queue().now() - start;
      if (is_in_force_everywhere || elapsed > absl::Seconds(60)) {
        return elapsed;
      }
    }
  }

  /// Applies `changes` changes at even intervals over `duration` and prints the
  /// costs in one line.
  void Measure(const std::string& label, int changes, absl::Duration duration) {
    cluster_.network().ResetCounts();
    const int64_t reads = cluster_.store().reads();
    const int64_t writes = cluster_.store().writes();
    for (auto& [name, process] : cluster_.processes()) {
      process->cpu = absl::ZeroDuration();
    }
    const absl::Time start = cluster_.queue().now();
    absl::Duration longest_change_time;
    for (int i = 0; i < changes; ++i) {
      longest_change_time = std::max(
          longest_change_time, ApplyChanges({MakeServerChange(i, 5 + i % 3)}));
      const absl::Duration next = duration * (i + 1) / changes;
      cluster_.RunFor(std::max(absl::ZeroDuration(),
                               start + next - cluster_.queue().now()));
    }
    if (changes == 0) {
      cluster_.RunFor(duration);
    }
    const double seconds =
        absl::ToDoubleSeconds(cluster_.queue().now() - start);
    double messages = 0;
    double bytes = 0;
    double max_instance_bytes = 0;
    for (const auto& [name, process] : cluster_.processes()) {
      const auto sent = TrafficOf(cluster_.network().sent(), name);
      const auto received = TrafficOf(cluster_.network().received(), name);
      messages += static_cast<double>(sent.messages + received.messages);
      bytes += static_cast<double>(sent.bytes + received.bytes);
      max_instance_bytes = std::max(
          max_instance_bytes, static_cast<double>(sent.bytes + received.bytes));
    }
    absl::Duration total_cpu;
    for (const auto& [name, process] : cluster_.processes()) {
      total_cpu += process->cpu;
    }
    std::printf(
        "%-34s %7.2f %7.1f %8.2f %8.2f %8.3f %9.1f %8.1f\n", label.c_str(),
        absl::ToDoubleSeconds(longest_change_time),
        messages / seconds / instance_count_,
        bytes / seconds / instance_count_ / 1e3,
        max_instance_bytes / seconds / 1e3,
        100 * absl::ToDoubleSeconds(total_cpu) / seconds / instance_count_,
        60.0 * static_cast<double>(cluster_.store().reads() - reads) / seconds,
        60.0 * static_cast<double>(cluster_.store().writes() - writes) /
            seconds);
    std::fflush(stdout);
  }

  /// Adds an instance that receives the whole configuration from its peers.
  /// \returns the heap of this instance in MB, and the simulated time until the
  /// instance is ready at the newest revision.
  std::pair<double, absl::Duration> MeasureAddedInstance() {
    malloc_trim(0);
    const size_t before = mallinfo2().uordblks;
    const absl::Time start = cluster_.queue().now();
    FakeCluster::Process& process = StartInstance(instance_count_);
    while (!process.node->is_ready() ||
           process.node->configuration().revision() < revision_) {
      cluster_.RunFor(kSimulationStep);
    }
    const absl::Duration elapsed = cluster_.queue().now() - start;
    (void)process.snapshot->configuration->client_blocks().range_count();
    cluster_.RunFor(absl::Seconds(40));
    const size_t after = mallinfo2().uordblks;
    return {(static_cast<double>(after) - static_cast<double>(before)) / 1e6,
            elapsed};
  }

  void PrintInitialReads() const {
    std::printf(
        "simultaneous start of %d instances: %lld store reads in 10 s, peak "
        "%lld/s\n",
        instance_count_, static_cast<long long>(initial_reads_),
        static_cast<long long>(initial_peak_reads_per_s_));
  }

 private:
  static FakeNetwork::Traffic TrafficOf(
      const std::map<std::string, FakeNetwork::Traffic>& traffic_by_instance,
      const std::string& name) {
    const auto found = traffic_by_instance.find(name);
    return found == traffic_by_instance.end() ? FakeNetwork::Traffic()
                                              : found->second;
  }

  FakeCluster::Process& StartInstance(int i) {
    // Deployments have six zones at present and ten zones at the target scale
    // for the next two years.
    const int zones = instance_count_ > 100 ? 10 : 6;
    const int zone = i % zones;
    return cluster_.Start(absl::StrCat("i-", i),
                          absl::StrCat("r", zone % 3, "-", zone));
  }

  FakeCluster cluster_;
  int instance_count_;
  int64_t revision_ = 0;
  int operation_count_ = 0;
  int64_t initial_reads_ = 0;
  int64_t initial_peak_reads_per_s_ = 0;
};

void PrintHeader() {
  std::printf("%-34s %7s %7s %8s %8s %8s %9s %8s\n", "", "apply s", "msg/s",
              "KB/s", "max KB/s", "CPU %", "reads/min", "writes/m");
}

double ProcessStatusMb(const std::string& field) {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (absl::StartsWith(line, field)) {
      return std::strtod(line.c_str() + field.size() + 1, nullptr) / 1e3;
    }
  }
  return 0;
}

/// Measures the memory of a process with a single node at the target scale for
/// the next two years: 800 members, 140 sites, 5,000 servers and 1.1 million
/// client blocks.
void MeasureMemory() {
  const auto member = [](int i) {
    control::Identity identity;
    identity.id = {absl::StrCat("instance-", i), 1'700'000'000'000 + i};
    identity.zone = absl::StrCat("zone-", i % 10);
    identity.region = absl::StrCat("region-", i % 3);
    identity.address = absl::StrCat("10.0.", i / 250, ".", i % 250 + 1);
    identity.caller_port = 8080;
    identity.peer_port = 9090;
    return identity;
  };
  const double empty_mb = ProcessStatusMb("VmRSS");
  const auto node =
      control::Node::Builder(member(0)).Peers({member(1)}).Build();
  absl::Time now = absl::FromUnixSeconds(1'700'000'000);
  std::shared_ptr<const steer::Snapshot> snapshot;
  int64_t revision = 0;
  std::function<void(const control::Event&)> handle =
      [&](const control::Event& event) {
        for (const control::Action& action : node->Handle(event, now)) {
          if (const auto* publish =
                  std::get_if<control::PublishSnapshot>(&action)) {
            snapshot = publish->snapshot;
          }
          const auto* send = std::get_if<control::SendPeer>(&action);
          const auto* ping = send == nullptr
                                 ? nullptr
                                 : std::get_if<control::Ping>(&send->payload);
          if (ping == nullptr) {
            continue;
          }
          control::Ack ack;
          ack.sequence = ping->sequence;
          ack.heartbeat.config_revision = revision;
          ack.updates = {{send->to, control::MemberState::kAlive, 0}};
          handle(control::PeerMessage{send->to, ack});
        }
      };
  const auto tick = [&](int count) {
    for (int i = 0; i < count; ++i) {
      now += control::kTickInterval;
      handle(control::Tick());
    }
  };
  const auto push = [&](std::vector<model::Change> changes) {
    ++revision;
    handle(control::PeerMessage{
        member(1),
        control::PushEntries{revision,
                             {model::EncodeBatch({absl::StrCat("op-", revision),
                                                  std::move(changes)})}}});
    tick(1);
  };
  tick(20);
  control::MemberList list;
  for (int i = 1; i < kMemberCount; ++i) {
    list.updates.push_back({member(i), control::MemberState::kAlive, 0});
  }
  handle(control::PeerMessage{member(1), list});
  tick(20);
  const double members_mb = ProcessStatusMb("VmRSS");
  std::vector<model::Change> first_changes = {
      MakeChange(model::Kind::kService, "s",
                 R"({"tenant":"t","class":"interactive"})"),
      MakeChange(model::Kind::kRegion, "r", R"({"declaredRate":1000})")};
  for (int i = 0; i < kZoneCount; ++i) {
    first_changes.push_back(
        MakeChange(model::Kind::kZone, SiteName(i), R"({"region":"r"})"));
  }
  push(std::move(first_changes));
  for (int i = 0; i < 5000; i += 1000) {
    std::vector<model::Change> servers;
    for (int j = i; j < i + 1000; ++j) {
      servers.push_back(MakeServerChange(j, 4));
    }
    push(std::move(servers));
  }
  for (int remaining_blocks = kBlockCount, chunk = 0; remaining_blocks > 0;
       ++chunk) {
    push({MakeChunkChange(chunk, std::min(remaining_blocks, kBlocksPerChunk),
                          0)});
    remaining_blocks -= std::min(remaining_blocks, kBlocksPerChunk);
  }
  const double loaded_mb = ProcessStatusMb("VmRSS");
  for (int i = 0; i < 3000; ++i) {
    push({MakeServerChange(i, 5)});
    if (i % 100 == 0) {
      push({MakeChunkChange(i / 100 % 27, kBlocksPerChunk, i)});
    }
  }
  std::printf(
      "One node, %zu members, 140 sites, 5,000 servers, %zu ranges of client "
      "blocks, revision %lld:\n  process %.1f MB empty, %.1f with members, "
      "%.1f loaded, %.1f after 3,030 changes, peak %.1f\n\n",
      snapshot->instances.size(),
      snapshot->configuration->client_blocks().range_count(),
      static_cast<long long>(node->configuration().revision()), empty_mb,
      members_mb, loaded_mb, ProcessStatusMb("VmRSS"),
      ProcessStatusMb("VmHWM"));
}

void MeasureFleet(int instances) {
  FleetBenchmark benchmark(instances);
  benchmark.LoadConfiguration(100, 0);
  benchmark.Measure(absl::StrCat(instances, " instances"), 2,
                    absl::Seconds(60));
  benchmark.PrintInitialReads();
}

void Main() {
  MeasureMemory();
  std::printf("By instances (100 servers; 2 changes in 60 s; per instance)\n");
  PrintHeader();
  for (int instances : {3, 10, 30, 80}) {
    MeasureFleet(instances);
  }
  std::printf("\nBy resources (10 instances)\n");
  PrintHeader();
  for (int servers : {100, 1000, 5000}) {
    FleetBenchmark benchmark(10);
    benchmark.LoadConfiguration(servers, 0);
    benchmark.Measure(absl::StrCat(servers, " servers"), 2, absl::Seconds(60));
    std::printf("  one instance uses %.1f MB\n",
                benchmark.MeasureAddedInstance().first);
  }
  std::printf("\nBy changes per day (10 instances, 100 servers)\n");
  PrintHeader();
  for (int changes : {0, 2, 20, 200}) {
    FleetBenchmark benchmark(10);
    benchmark.LoadConfiguration(100, 0);
    benchmark.Measure(absl::StrCat(changes * 1440, " changes/day"), changes,
                      absl::Seconds(60));
  }
  std::printf("\nBy client blocks (3 instances, 1,000 servers, 140 sites)\n");
  PrintHeader();
  for (int blocks : {0, 10'000, 100'000, 1'100'000}) {
    FleetBenchmark benchmark(3);
    benchmark.LoadConfiguration(1000, blocks);
    benchmark.Measure(absl::StrCat(blocks, " blocks"), 2, absl::Seconds(60));
    const auto [megabytes, elapsed] = benchmark.MeasureAddedInstance();
    std::printf(
        "  one instance uses %.1f MB; a new instance is ready after %.1f "
        "s\n",
        megabytes, absl::ToDoubleSeconds(elapsed));
  }
}

}  // namespace
}  // namespace baobabwall::test

int main(int argc, char** argv) {
  if (argc > 1) {
    baobabwall::test::PrintHeader();
    baobabwall::test::MeasureFleet(std::atoi(argv[1]));
    return 0;
  }
  baobabwall::test::Main();
  return 0;
}
