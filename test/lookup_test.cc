#include <rapidcheck.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "steer_fixture.h"

namespace baobabwall::steer {
namespace {

std::shared_ptr<Snapshot> LookupSnapshot(int per_zone) {
  auto snapshot = TestSnapshot(1);
  for (const char* zone : {"amba-a-", "amba-b-", "cuyo-a-"}) {
    for (int i = 1; i <= per_zone; ++i) {
      AddInstance(snapshot.get(), zone + std::to_string(i), 0);
    }
  }
  return snapshot;
}

std::vector<std::string> LookUpNames(const Snapshot& snapshot, int client) {
  std::vector<std::string> names;
  const LookupAnswer answer = Lookup(
      snapshot, "reservas", "10.0.0." + std::to_string(client), kTestStart);
  for (const LookupEntry& entry : answer.entries) {
    names.push_back(entry.instance);
  }
  return names;
}

// Guards against leaving instances, duplicates and missing entries in lookups
// for any set of instances, with and without the index.
TEST_CASE("a lookup returns distinct live instances, the nearest first") {
  CHECK(rc::check([](const std::vector<uint8_t>& kinds, uint8_t client) {
    auto snapshot = TestSnapshot(1);
    std::set<std::string> live;
    std::set<std::string> unsuspected;
    for (size_t i = 0; i < kinds.size(); ++i) {
      const char* zones[] = {"amba-a-", "amba-b-", "cuyo-a-"};
      AddInstance(snapshot.get(), zones[kinds[i] % 3] + std::to_string(i), 0);
      InstanceView& view = snapshot->instances.back();
      view.is_leaving = kinds[i] / 3 % 4 == 0;
      view.is_suspect = kinds[i] / 12 % 4 == 0;
      if (!view.is_leaving) {
        live.insert(view.id.name);
        if (!view.is_suspect) {
          unsuspected.insert(view.id.name);
        }
      }
    }
    const std::vector<std::string> names = LookUpNames(*snapshot, client);
    const std::set<std::string> distinct(names.begin(), names.end());
    RC_ASSERT(distinct.size() == names.size());
    RC_ASSERT(names.size() == std::min(live.size(), LookupIndex::kMaxEntries));
    const auto distance = [&](const std::string& name) {
      return unsuspected.count(name) == 0 ? 3
             : name.find("amba-a") == 0   ? 0
             : name.find("amba-b") == 0   ? 1
                                          : 2;
    };
    for (const std::string& name : names) {
      RC_ASSERT(live.count(name) == 1);
    }
    if (!names.empty()) {
      for (const std::string& name : live) {
        RC_ASSERT(distance(names[0]) <= distance(name));
      }
    }
    snapshot->lookup_index = std::make_shared<LookupIndex>(*snapshot);
    RC_ASSERT(LookUpNames(*snapshot, client) == names);
  }));
}

// Guards against callers without any instance to fail over to after the loss of
// a zone or region.
TEST_CASE("a lookup returns instances of another zone and another region") {
  const auto snapshot = LookupSnapshot(10);
  const std::vector<std::string> names = LookUpNames(*snapshot, 1);
  std::map<std::string, int> zones;
  for (const std::string& name : names) {
    ++zones[name.substr(0, 6)];
  }
  CHECK(zones == std::map<std::string, int>{
                     {"amba-a", 3}, {"amba-b", 2}, {"cuyo-a", 1}});
}

// Guards against an uneven spread of callers over instances, both initially and
// after the first instance of a caller failed.
TEST_CASE("callers spread evenly over the first and the second entry") {
  const auto snapshot = LookupSnapshot(10);
  snapshot->lookup_index = std::make_shared<LookupIndex>(*snapshot);
  std::map<std::string, int> first;
  std::map<std::string, int> second_after_first;
  for (int client = 0; client < 20'000; ++client) {
    const auto names = LookUpNames(*snapshot, client);
    ++first[names[0]];
    if (names[0] == "amba-a-1") {
      ++second_after_first[names[1]];
    }
  }
  // Each instance is expected 2,000 times as first entry (standard deviation
  // 42), and 222 times as second entry after amba-a-1 (standard deviation 14).
  REQUIRE(first.size() == 10);
  for (const auto& [name, count] : first) {
    CHECK(std::abs(count - 2'000) < 200);
  }
  REQUIRE(second_after_first.size() == 9);
  for (const auto& [name, count] : second_after_first) {
    CHECK(std::abs(count - 222) < 75);
  }
}

// Guards against answering lookups from an outdated index, which was built
// before one of its instances restarted or started to leave.
TEST_CASE("an index is reused only if its instances are unchanged") {
  const auto snapshot = LookupSnapshot(2);
  const auto first = LookupIndex::Make(*snapshot, nullptr);
  snapshot->instances[0].utilisation["reservas"] = 0.9;
  CHECK(LookupIndex::Make(*snapshot, first) == first);
  snapshot->instances[0].is_leaving = true;
  const auto second = LookupIndex::Make(*snapshot, first);
  CHECK(second != first);
  snapshot->instances[1].id.incarnation = 2;
  CHECK(LookupIndex::Make(*snapshot, second) != second);
}

}  // namespace
}  // namespace baobabwall::steer
