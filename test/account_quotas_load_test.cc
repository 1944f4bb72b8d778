#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "quota_world.h"

namespace baobabwall::gateway {
namespace {

constexpr size_t kZones = 6;
constexpr size_t kInstances = 82;
constexpr size_t kAccounts = 83;
constexpr double kRequestsPerS = 2000;
constexpr double kZipfExponent = 1.2;
/// Quota relative to the mean use.
constexpr double kQuotaRatio = 1.6;
constexpr absl::Duration kWarmUp = absl::Seconds(15);
constexpr absl::Duration kRunTime = absl::Seconds(72);
/// Demand of the zones rises and falls one after the other.
constexpr double kSwing = 0.55;
constexpr absl::Duration kSwingPeriod = absl::Seconds(36);
/// Targets for the part of the requests inside the quota that is refused.
constexpr double kMaxCalmRefused = 0.005;
constexpr double kMaxPartitionRefused = 0.02;

/// \brief The load of 83 accounts in a fleet with 12 holders.
class LoadedFleet {
 public:
  explicit LoadedFleet(uint64_t seed, const QuotaRules& rules = {})
      : world_(OptionsOf(seed, rules)) {
    for (size_t i = 0; i < kInstances; ++i) {
      // Two instances of each zone are large, so that they are the holders.
      const double cpu_share = i < 2 * kZones ? 2 : 0.25;
      world_.AddInstance(ZoneName(i % kZones), cpu_share);
    }
    double total = 0;
    for (size_t i = 0; i < kAccounts; ++i) {
      rates_.push_back(std::pow(i + 1, -kZipfExponent));
      total += rates_.back();
    }
    for (double& rate : rates_) {
      rate *= kRequestsPerS / total;
      world_.AddAccount(rate * kQuotaRatio, rate * kQuotaRatio);
    }
    factors_.assign(kAccounts, 1);
    fixed_callers_.resize(kAccounts);
    world_.Start();
    Run(kWarmUp);
    world_.ResetCounts();
    world_.CountBytes();
    counted_from_ = world_.now();
  }

  /// \brief Callers of the account sit at a few instances.
  void PlaceCallers(size_t account, size_t callers) {
    fixed_callers_[account].clear();
    for (size_t i = 0; i < callers; ++i) {
      fixed_callers_[account].push_back(
          RandomHolder(world_.random().Below(kZones)));
    }
  }

  void Run(absl::Duration duration) {
    const absl::Time end = world_.now() + duration;
    while (world_.now() < end) {
      world_.Step();
      UpdateHolders();
      for (size_t i = 0; i < kAccounts; ++i) {
        SendRequests(i);
      }
    }
  }

  /// \returns the part of the requests inside the quota that is refused.
  double RefusedInside(const std::string& pattern) const {
    double inside = 0;
    double refused = 0;
    double worst = 0;
    for (size_t i = 0; i < kAccounts; ++i) {
      const QuotaWorld::Count& count = world_.count(i);
      // Of an account beyond its quota, any requests may be refused.
      if (factors_[i] > kQuotaRatio) {
        continue;
      }
      inside += static_cast<double>(count.inside);
      refused += static_cast<double>(count.refused_inside);
      worst = std::max(
          worst, static_cast<double>(count.refused_inside) /
                     static_cast<double>(std::max<int64_t>(1, count.inside)));
    }
    const double bytes_per_s =
        static_cast<double>(world_.message_bytes()) /
        absl::ToDoubleSeconds(world_.now() - counted_from_);
    std::printf(
        "%s: refused inside the quota %.3f%%, worst account %.2f%%, "
        "%.0f bytes/s per holder\n",
        pattern.c_str(), 100 * refused / inside, 100 * worst,
        bytes_per_s / (2 * kZones));
    return refused / inside;
  }

  /// \returns the served part of the requests of one account.
  double Served(size_t account) const {
    const QuotaWorld::Count& count = world_.count(account);
    return 1 - static_cast<double>(count.refused) /
                   static_cast<double>(count.offered);
  }

  void SetFactor(size_t account, double factor) { factors_[account] = factor; }
  double rate(size_t account) const { return rates_[account]; }
  QuotaWorld& world() { return world_; }

  static std::string ZoneName(size_t zone) {
    return absl::StrCat("r", zone / 2, "-", zone);
  }

 private:
  static QuotaWorld::Options OptionsOf(uint64_t seed, const QuotaRules& rules) {
    QuotaWorld::Options options;
    options.seed = seed;
    options.rules = rules;
    options.loss = 0.002;
    return options;
  }

  void UpdateHolders() {
    holders_.assign(kZones, {});
    for (size_t i = 0; i < world_.instance_count(); ++i) {
      if (world_.is_holder(i)) {
        holders_[i % kZones].push_back(i);
      }
    }
  }

  size_t RandomHolder(size_t zone) {
    while (holders_[zone].empty()) {
      zone = world_.random().Below(kZones);
    }
    return holders_[zone][world_.random().Below(holders_[zone].size())];
  }

  double ZoneFactor(size_t zone) const {
    const double phase =
        absl::FDivDuration(world_.now() - absl::UnixEpoch(), kSwingPeriod) +
        static_cast<double>(zone) / kZones;
    return 1 + kSwing * std::sin(2 * M_PI * phase);
  }

  void SendRequests(size_t account) {
    base::Random& random = world_.random();
    double mean = rates_[account] * factors_[account] *
                  absl::ToDoubleSeconds(QuotaWorld::kStep);
    // Poisson arrivals, as the sum of exponential intervals.
    for (mean += std::log(1 - random.Unit()); mean > 0;
         mean += std::log(1 - random.Unit())) {
      SendRequest(account);
    }
  }

  void SendRequest(size_t account) {
    base::Random& random = world_.random();
    const std::vector<size_t>& fixed = fixed_callers_[account];
    if (!fixed.empty()) {
      const size_t instance = fixed[random.Below(fixed.size())];
      if (world_.is_up(instance)) {
        world_.Request(account, instance);
      }
      return;
    }
    size_t zone = random.Below(kZones);
    while (random.Unit() * (1 + kSwing) > ZoneFactor(zone)) {
      zone = random.Below(kZones);
    }
    world_.Request(account, RandomHolder(zone));
  }

  QuotaWorld world_;
  absl::Time counted_from_;
  std::vector<double> rates_;
  std::vector<double> factors_;
  std::vector<std::vector<size_t>> fixed_callers_;
  std::vector<std::vector<size_t>> holders_;
};

// Guards against refusals of ordinary requests because the tokens are at other
// instances than the requests.
TEST_CASE("evenly spread callers with swinging demand of the zones") {
  LoadedFleet fleet(1);
  fleet.Run(kRunTime);
  CHECK(fleet.RefusedInside("even") < kMaxCalmRefused);
  CHECK(fleet.world().violation() == "");
}

// Guards against small accounts that are refused because tokens do not follow
// their callers.
TEST_CASE("accounts with one to three callers that move") {
  LoadedFleet fleet(2);
  for (int i = 0; i < 6; ++i) {
    for (size_t account = 10; account < kAccounts; ++account) {
      if (fleet.world().random().Below(2) == 0) {
        fleet.PlaceCallers(account, 1 + fleet.world().random().Below(3));
      }
    }
    fleet.Run(kRunTime / 6);
  }
  CHECK(fleet.RefusedInside("moving callers") < kMaxCalmRefused);
  CHECK(fleet.world().violation() == "");
}

// Guards against a burst that takes tokens of other accounts, and against more
// than the quota for the account with the burst.
TEST_CASE("one account with 4 to 9 times its usual requests") {
  LoadedFleet fleet(3);
  constexpr size_t account = 4;
  for (const double factor : {4, 9, 6}) {
    fleet.SetFactor(account, factor);
    fleet.Run(kRunTime / 4);
  }
  CHECK(fleet.RefusedInside("burst") < kMaxCalmRefused);
  // Between 4 and 9 times the mean use is offered, 1.6 times is the quota.
  CHECK(fleet.Served(account) > 0.9 * kQuotaRatio / (19.0 / 3));
  CHECK(fleet.world().violation() == "");
}

// Guards against refusals on either side of a partition.
TEST_CASE("a zone that is cut off and returns") {
  LoadedFleet fleet(4);
  fleet.world().Cut([](size_t i) { return i % kZones == 0; }, true);
  fleet.Run(absl::Seconds(30));
  fleet.world().Heal();
  fleet.Run(absl::Seconds(30));
  CHECK(fleet.RefusedInside("zone cut off") < kMaxPartitionRefused);
  CHECK(fleet.world().violation() == "");
}

// Guards against more than the rate when both sides of a long partition count
// only their own holders.
TEST_CASE("a region that is cut off for longer than the lease") {
  LoadedFleet fleet(5);
  fleet.world().Cut([](size_t i) { return i % kZones < 2; }, true);
  // Every account would use more than its quota.
  for (size_t account = 0; account < kAccounts; ++account) {
    fleet.SetFactor(account, 3);
  }
  fleet.Run(absl::Seconds(60));
  CHECK(fleet.world().violation() == "");
}

// Guards against a pattern that does not detect the missing rule.
TEST_CASE("the partition detects departed holders that do not count") {
  QuotaRules rules;
  rules.count_departed_holders = false;
  LoadedFleet fleet(5, rules);
  fleet.world().Cut([](size_t i) { return i % kZones < 2; }, true);
  for (size_t account = 0; account < kAccounts; ++account) {
    fleet.SetFactor(account, 3);
  }
  fleet.Run(absl::Seconds(60));
  CHECK_FALSE(fleet.world().violation().empty());
}

// Guards against a restart that leaves the fleet without tokens.
TEST_CASE("a holder that is killed and back after 3 s") {
  LoadedFleet fleet(6);
  for (size_t i = 0; i < 6; ++i) {
    fleet.world().Kill(i);
    fleet.Run(absl::Seconds(3));
    fleet.world().Restart(i);
    fleet.Run(absl::Seconds(9));
  }
  CHECK(fleet.RefusedInside("holders restart") < kMaxCalmRefused);
  CHECK(fleet.world().violation() == "");
}

// Guards against the loss of a zone's part of the rate with its holders.
TEST_CASE("smaller instances take over when the holders of a zone die") {
  LoadedFleet fleet(7);
  fleet.world().Kill(0);
  fleet.world().Kill(kZones);
  fleet.Run(kRunTime);
  CHECK(fleet.RefusedInside("holders of a zone die") < kMaxPartitionRefused);
  CHECK(fleet.world().violation() == "");
}

}  // namespace
}  // namespace baobabwall::gateway
