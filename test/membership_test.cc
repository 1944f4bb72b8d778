#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "fake_cluster.h"

namespace baobabwall::test {
namespace {

void StartInstances(FakeCluster* cluster, int count) {
  for (int i = 0; i < count; ++i) {
    cluster->Start(absl::StrCat("i-", i), absl::StrCat("amba-", i % 3));
  }
}

/// \returns the number of instances whose member list differs from the set of
/// running instances.
int CountDivergedInstances(FakeCluster* cluster) {
  int count = 0;
  for (const auto& [name, process] : cluster->processes()) {
    const control::Membership& members = process->node->membership();
    bool is_equal = members.members().size() + 1 == cluster->processes().size();
    for (const auto& [other, member] : members.members()) {
      is_equal = is_equal && cluster->processes().count(other) > 0 &&
                 member.state == control::MemberState::kAlive;
    }
    count += is_equal ? 0 : 1;
  }
  return count;
}

// Guards against instances that never discover each other.
TEST_CASE("instances that start simultaneously discover each other") {
  FakeCluster cluster(1);
  StartInstances(&cluster, 12);
  cluster.RunFor(absl::Seconds(15));
  CHECK(CountDivergedInstances(&cluster) == 0);
}

// Guards against dead members that are never removed and leave state behind.
TEST_CASE("a stopped member is declared dead and then removed") {
  FakeCluster cluster(2);
  StartInstances(&cluster, 12);
  cluster.RunFor(absl::Seconds(15));
  cluster.Kill("i-3");
  cluster.RunFor(absl::Seconds(25));
  for (const auto& [name, process] : cluster.processes()) {
    const control::Member* dead_member =
        process->node->membership().Find("i-3");
    REQUIRE(dead_member != nullptr);
    CHECK(dead_member->state == control::MemberState::kDead);
  }
  cluster.RunFor(absl::Seconds(80));
  CHECK(CountDivergedInstances(&cluster) == 0);
}

// Guards against members that alternate between dead and alive on unreliable
// links.
TEST_CASE("lossy and asymmetric links cause no member to be declared dead") {
  const bool is_asymmetric = GENERATE(false, true);
  FakeCluster cluster(3);
  StartInstances(&cluster, 12);
  cluster.RunFor(absl::Seconds(15));
  cluster.network().faults().loss_ratio = is_asymmetric ? 0.02 : 0.1;
  if (is_asymmetric) {
    cluster.network().faults().is_cut = [](const control::Identity& from,
                                           const control::Identity& to) {
      return from.zone == "amba-0" && to.zone == "amba-1";
    };
  }
  int dead_count = 0;
  for (int second = 0; second < 120; ++second) {
    cluster.RunFor(absl::Seconds(1));
    for (const auto& [name, process] : cluster.processes()) {
      for (const auto& [other, member] :
           process->node->membership().members()) {
        dead_count += member.is_live() ? 0 : 1;
      }
    }
  }
  CHECK(dead_count == 0);
}

// Guards against two groups that do not merge after a network partition ends.
TEST_CASE("all instances have the same member list after a partition ends") {
  FakeCluster cluster(4);
  StartInstances(&cluster, 12);
  cluster.RunFor(absl::Seconds(15));
  cluster.network().faults().is_cut = [](const control::Identity& from,
                                         const control::Identity& to) {
    return (from.zone == "amba-0") != (to.zone == "amba-0");
  };
  cluster.RunFor(absl::Seconds(200));
  CHECK(CountDivergedInstances(&cluster) == 12);
  cluster.network().faults().is_cut = nullptr;
  cluster.RunFor(absl::Seconds(30));
  CHECK(CountDivergedInstances(&cluster) == 0);
}

}  // namespace
}  // namespace baobabwall::test
