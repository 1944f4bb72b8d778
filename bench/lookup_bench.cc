// Measures lookups as a function of the number of instances and client blocks.
//
// Usage: lookup_bench [INSTANCES [BLOCKS]]
// The largest default case has 800 instances in 30 zones and 1.1 million
// blocks, which is the target scale of docs/design.md, section 1.3.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "model/model.h"
#include "steer/steer.h"

namespace baobabwall::steer {
namespace {

constexpr int kRegionCount = 3;
constexpr int kZonesPerRegion = 10;
constexpr int kBlocksPerChunk = 10'000;
constexpr int kIndexedLookups = 200'000;
constexpr int kAddressCount = 4'096;

std::string ZoneName(int zone) {
  return absl::StrCat("r", zone % kRegionCount, "-z", zone / kRegionCount);
}

/// Every tenth block is an IPv6 /48; the other blocks are IPv4 /24, starting at
/// 1.0.0.0.
std::string BlockPrefix(int block) {
  if (block % 10 == 9) {
    return absl::StrCat("2001:", absl::Hex(block >> 16), ":",
                        absl::Hex(block & 0xffff), "::/48");
  }
  const int network = block + (1 << 16);
  return absl::StrCat(network >> 16, ".", network >> 8 & 255, ".",
                      network & 255, ".0/24");
}

std::string AddressInBlock(int block) {
  std::string prefix = BlockPrefix(block);
  prefix.resize(prefix.find('/'));
  return absl::StrCat(prefix, prefix.back() == ':' ? "7" : "");
}

double SteadyClockSeconds() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void Measure(int instances, int blocks) {
  using model::Kind;
  model::ChangeBatch batch{"bench", {}};
  const auto add_change = [&](Kind kind, std::string name, std::string spec) {
    batch.changes.push_back({{kind, std::move(name)}, std::move(spec), {}});
  };
  for (int region = 0; region < kRegionCount; ++region) {
    add_change(Kind::kRegion, absl::StrCat("r", region),
               R"({"declaredRate":100})");
  }
  const int zone_count = kRegionCount * kZonesPerRegion;
  for (int zone = 0; zone < zone_count; ++zone) {
    add_change(Kind::kZone, ZoneName(zone),
               absl::StrCat(R"({"region":"r)", zone % kRegionCount, "\"}"));
  }
  add_change(Kind::kService, "disponible",
             R"({"tenant":"cantaloma","class":"interactive"})");
  for (int first_block = 0; first_block < blocks;
       first_block += kBlocksPerChunk) {
    std::vector<std::string> prefixes(static_cast<size_t>(zone_count));
    for (int block = first_block;
         block < std::min(blocks, first_block + kBlocksPerChunk); ++block) {
      std::string& zone_prefixes =
          prefixes[static_cast<size_t>(block % zone_count)];
      absl::StrAppend(&zone_prefixes, zone_prefixes.empty() ? "\"" : ",\"",
                      BlockPrefix(block), "\"");
    }
    std::string spec = R"({"blocks":{)";
    for (int zone = 0; zone < zone_count; ++zone) {
      absl::StrAppend(&spec, zone == 0 ? "\"" : ",\"", ZoneName(zone), "\":[",
                      prefixes[static_cast<size_t>(zone)], "]");
    }
    add_change(Kind::kClientBlocks, absl::StrCat("chunk", first_block),
               spec + "}}");
  }
  base::Findings findings;
  Snapshot snapshot;
  const double apply_start_s = SteadyClockSeconds();
  snapshot.configuration =
      model::Configuration::Empty()->Apply(batch, 1, &findings);
  const double apply_s = SteadyClockSeconds() - apply_start_s;
  if (snapshot.configuration == nullptr) {
    std::printf("%s\n", findings.ToString().substr(0, 500).c_str());
    return;
  }
  snapshot.is_ready = true;
  snapshot.zone = ZoneName(0);
  snapshot.region = "r0";
  for (int i = 0; i < instances; ++i) {
    InstanceView view;
    view.id = {absl::StrCat("instance-", i), 1'790'000'000'000 + i};
    view.zone = ZoneName(i % zone_count);
    view.region = absl::StrCat("r", i % kRegionCount);
    view.address = absl::StrCat("10.0.", i / 256, ".", i % 256);
    view.caller_port = 8080;
    snapshot.instances.push_back(view);
  }
  std::vector<std::string> addresses;
  base::Random random(3);
  addresses.reserve(kAddressCount);
  for (int i = 0; i < kAddressCount; ++i) {
    addresses.push_back(AddressInBlock(
        static_cast<int>(random.Below(static_cast<uint64_t>(blocks)))));
  }
  const absl::Time now = absl::FromUnixSeconds(1'790'000'000);
  const auto measure_lookup_ns = [&](int count) {
    size_t entry_count = 0;
    const double start_s = SteadyClockSeconds();
    for (int i = 0; i < count; ++i) {
      entry_count +=
          Lookup(snapshot, "disponible", addresses[i % kAddressCount], now)
              .entries.size();
    }
    const double elapsed_s = SteadyClockSeconds() - start_s;
    if (entry_count != static_cast<size_t>(count) * LookupIndex::kMaxEntries) {
      std::printf("unexpected number of lookup entries: %zu\n", entry_count);
    }
    return elapsed_s / count * 1e9;
  };
  const double unindexed_lookup_ns = measure_lookup_ns(2'000);
  const double index_build_start_s = SteadyClockSeconds();
  snapshot.lookup_index = std::make_shared<LookupIndex>(snapshot);
  const double index_build_us =
      (SteadyClockSeconds() - index_build_start_s) * 1e6;
  const double index_reuse_start_s = SteadyClockSeconds();
  snapshot.lookup_index = LookupIndex::Make(snapshot, snapshot.lookup_index);
  const double index_reuse_us =
      (SteadyClockSeconds() - index_reuse_start_s) * 1e6;
  const double indexed_lookup_ns = measure_lookup_ns(kIndexedLookups);
  const model::ClientBlockTable& table =
      snapshot.configuration->client_blocks();
  std::printf("%9d %9d %10zu %8.2f %8.2f %9.0f %9.0f %11.0f %10.0f %12.0f\n",
              instances, blocks, table.range_count(),
              static_cast<double>(table.memory_bytes()) / 1048576.0, apply_s,
              index_build_us, index_reuse_us, unindexed_lookup_ns,
              indexed_lookup_ns, 1e9 / indexed_lookup_ns);
}

}  // namespace
}  // namespace baobabwall::steer

int main(int argc, char** argv) {
  std::printf("%9s %9s %10s %8s %8s %9s %9s %11s %10s %12s\n", "instances",
              "blocks", "ranges", "MiB", "apply s", "index us", "reuse us",
              "no index ns", "lookup ns", "lookups/s");
  if (argc > 1) {
    baobabwall::steer::Measure(std::atoi(argv[1]),
                               argc > 2 ? std::atoi(argv[2]) : 1'100'000);
    return 0;
  }
  for (const int instances : {10, 100, 800}) {
    for (const int blocks : {1'000, 100'000, 1'100'000}) {
      baobabwall::steer::Measure(instances, blocks);
    }
  }
  return 0;
}
