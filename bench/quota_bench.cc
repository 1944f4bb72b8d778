#include <cstdio>
#include <ctime>

#include "absl/strings/str_cat.h"
#include "quota_world.h"

namespace baobabwall::gateway {
namespace {

constexpr size_t kAccounts = 88;
constexpr double kRequestsPerS = 2000;
constexpr absl::Duration kWarmUp = absl::Seconds(4);
constexpr absl::Duration kRunTime = absl::Seconds(4);

/// \brief Prints the bytes and the processor time per second and holder. The
/// time includes that of the simulated network.
void Measure(size_t instances, size_t holders) {
  QuotaWorld world({});
  for (size_t i = 0; i < instances; ++i) {
    // Two large instances are the holders of each zone.
    world.AddInstance(absl::StrCat("r-", i % (holders / 2)),
                      i < holders ? 4 : 0.25);
  }
  double total = 0;
  for (size_t i = 0; i < kAccounts; ++i) {
    total += 1.0 / static_cast<double>(i + 1);
  }
  std::vector<double> rates;
  for (size_t i = 0; i < kAccounts; ++i) {
    rates.push_back(kRequestsPerS / total / static_cast<double>(i + 1));
    world.AddAccount(rates.back() * 1.6, rates.back() * 1.6);
  }
  world.CountBytes();
  world.Start();
  const auto run = [&](absl::Duration duration) {
    const absl::Time end = world.now() + duration;
    while (world.now() < end) {
      world.Step();
      for (size_t i = 0; i < kAccounts; ++i) {
        const double expected =
            rates[i] * absl::ToDoubleSeconds(QuotaWorld::kStep);
        auto requests = static_cast<int>(expected + world.random().Unit());
        for (; requests > 0; --requests) {
          world.Request(i, world.random().Below(holders));
        }
      }
    }
  };
  run(kWarmUp);
  world.ResetCounts();
  const std::clock_t start = std::clock();
  run(kRunTime);
  const double cpu_ms = 1000.0 * static_cast<double>(std::clock() - start) /
                        static_cast<double>(CLOCKS_PER_SEC);
  const double holder_seconds =
      absl::ToDoubleSeconds(kRunTime) * static_cast<double>(holders);
  std::printf("%zu instances, %zu holders: %.0f bytes/s and %.2f ms/s\n",
              instances, holders,
              static_cast<double>(world.message_bytes()) / holder_seconds,
              cpu_ms / holder_seconds);
}

}  // namespace
}  // namespace baobabwall::gateway

int main() {
  baobabwall::gateway::Measure(82, 12);
  baobabwall::gateway::Measure(295, 44);
  baobabwall::gateway::Measure(800, 120);
  return 0;
}
