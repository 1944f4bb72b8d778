// Measures the time of a configuration change and the memory of the
// configuration as functions of the number of backend servers and client
// blocks.

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "blocks_spec.h"
#include "model/model.h"

namespace baobabwall::model {
namespace {

constexpr int kZoneCount = 140;
constexpr int kBlocksPerChunk = 40'000;
constexpr int kMeasuredChanges = 20;

double ResidentMb() {
  malloc_trim(0);
  std::ifstream file("/proc/self/statm");
  int64_t total = 0;
  int64_t resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / 1e6;
}

std::string ZoneName(int i) {
  return absl::StrCat("site-", i % kZoneCount);
}

Change MakeChange(Kind kind, const std::string& name, const std::string& spec) {
  return {{kind, name}, spec, std::nullopt};
}

Change MakeServerChange(int i, int slots) {
  return MakeChange(
      Kind::kBackendServer, absl::StrCat("server-", i),
      absl::StrCat(R"({"service":"s","zone":")", ZoneName(i),
                   R"(","address":"10.9.)", i / 250 % 250, ".", i % 250 + 1,
                   R"(","port":8080,"slots":)", slots, "}"));
}

/// Makes a chunk of IPv4 /24 blocks. Adjacent blocks have different home zones.
Change MakeChunkChange(int chunk, int count, int zone_offset) {
  return MakeChange(
      Kind::kClientBlocks, absl::StrCat("chunk-", chunk),
      bench::MakeClientBlocksSpec(chunk * kBlocksPerChunk, count, zone_offset,
                                  kZoneCount, ZoneName));
}

std::shared_ptr<const Configuration> ApplyOrAbort(const Configuration& previous,
                                                  std::vector<Change> changes) {
  base::Findings findings;
  auto next = previous.Apply({"bench", std::move(changes)},
                             previous.revision() + 1, &findings);
  if (next == nullptr) {
    std::fprintf(stderr, "%s\n", findings.ToString().c_str());
    std::abort();
  }
  return next;
}

void MeasureConfiguration(int servers, int blocks) {
  const double initial_mb = ResidentMb();
  auto configuration = Configuration::Empty();
  std::vector<Change> changes = {
      MakeChange(Kind::kService, "s",
                 R"({"tenant":"t","class":"interactive"})"),
      MakeChange(Kind::kRegion, "r", R"({"declaredRate":1000})")};
  for (int i = 0; i < kZoneCount; ++i) {
    changes.push_back(
        MakeChange(Kind::kZone, ZoneName(i), R"({"region":"r"})"));
  }
  for (int i = 0; i < servers; ++i) {
    changes.push_back(MakeServerChange(i, 4));
  }
  configuration = ApplyOrAbort(*configuration, std::move(changes));
  for (int remaining_blocks = blocks, chunk = 0; remaining_blocks > 0;
       ++chunk) {
    const int count = std::min(remaining_blocks, kBlocksPerChunk);
    configuration =
        ApplyOrAbort(*configuration, {MakeChunkChange(chunk, count, 0)});
    remaining_blocks -= count;
  }
  const size_t range_count = configuration->client_blocks().range_count();
  const double configuration_mb = ResidentMb() - initial_mb;
  absl::Time start = absl::Now();
  for (int i = 0; i < kMeasuredChanges; ++i) {
    configuration = ApplyOrAbort(*configuration, {MakeServerChange(i, 5)});
  }
  const absl::Duration server_change_time =
      (absl::Now() - start) / kMeasuredChanges;
  absl::Duration chunk_change_time;
  if (blocks > 0) {
    const Change chunk =
        MakeChunkChange(0, std::min(blocks, kBlocksPerChunk), 1);
    start = absl::Now();
    configuration = ApplyOrAbort(*configuration, {chunk});
    (void)configuration->client_blocks().range_count();
    chunk_change_time = absl::Now() - start;
  }
  std::printf("%8d %9d %9zu %10.1f %14.3f %14.1f\n", servers, blocks,
              range_count, configuration_mb,
              absl::ToDoubleMilliseconds(server_change_time),
              absl::ToDoubleMilliseconds(chunk_change_time));
  std::fflush(stdout);
}

}  // namespace
}  // namespace baobabwall::model

int main() {
  std::printf("%8s %9s %9s %10s %14s %14s\n", "servers", "blocks", "ranges",
              "config MB", "server ms", "chunk ms");
  for (int servers : {100, 1000, 5000}) {
    baobabwall::model::MeasureConfiguration(servers, 0);
  }
  for (int blocks : {10'000, 100'000, 1'100'000}) {
    baobabwall::model::MeasureConfiguration(1000, blocks);
  }
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM", 0) == 0) {
      std::printf("peak resident memory: %s\n", line.c_str());
    }
  }
  return 0;
}
