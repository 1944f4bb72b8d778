#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "model/model.h"

namespace baobabwall::model {
namespace {

using Map = SharedMap<std::string, int>;

bool IsEqual(const Map& map, const std::map<std::string, int>& reference_map) {
  if (map.size() != reference_map.size()) {
    return false;
  }
  auto expected = reference_map.begin();
  for (const auto& [key, value] : map) {
    if (expected->first != key || expected->second != value) {
      return false;
    }
    ++expected;
  }
  return true;
}

// Guards against losing entries when a block is split or becomes empty, and
// against changes that modify an earlier copy of the map.
TEST_CASE("SharedMap behaves like std::map and copies keep their entries") {
  CHECK(rc::check([](const std::vector<std::pair<int, bool>>& steps) {
    Map map;
    std::map<std::string, int> reference_map;
    std::vector<std::pair<Map, std::map<std::string, int>>> copies;
    for (int round = 0; round < 8; ++round) {
      for (const auto& [number, should_erase] : steps) {
        const int key = (number % 500 * 31 + round * 17) % 500;
        const std::string name = std::to_string(key);
        if (should_erase && round % 2 == 1) {
          RC_ASSERT(map.Erase(name) == (reference_map.erase(name) > 0));
        } else {
          map.Set(name, number + round);
          reference_map[name] = number + round;
        }
        RC_ASSERT((map.find(name) != map.end()) ==
                  (reference_map.count(name) > 0));
      }
      copies.emplace_back(map, reference_map);
    }
    for (const auto& [copy, expected] : copies) {
      RC_ASSERT(IsEqual(copy, expected));
    }
  }));
}

// Guards against blocks that change their zone when the JSON text is created
// from the compact form, and against merging chunks in the wrong order.
TEST_CASE("client blocks are unchanged by conversion to the compact form") {
  const std::string first =
      R"({"blocks":{"a":["10.0.0.0/8","2001:db8::/32","::/0"],)"
      R"("b":["10.1.0.0/16","0.0.0.0/0"]}})";
  const std::string second = R"({"blocks":{"c":["10.1.2.0/24","10.0.0.0/8"]}})";
  base::Findings findings;
  const auto configuration = Configuration::Empty()->Apply(
      {"op",
       {{{Kind::kClientBlocks, "one"}, first, {}},
        {{Kind::kClientBlocks, "two"}, second, {}}}},
      1, &findings);
  REQUIRE(configuration != nullptr);
  const auto zone = [&](const Configuration& searched_configuration,
                        const char* address) {
    return std::string(searched_configuration.client_blocks().HomeZone(
        *ClientAddress::Parse(address)));
  };
  ConfigurationLoader loader;
  for (const auto& [id, resource] : configuration->resources()) {
    REQUIRE(
        loader.Add(id, resource.spec(), resource.resource_version, &findings));
  }
  const auto loaded_configuration = loader.Build(1);
  for (const Configuration* tested_configuration :
       {configuration.get(), loaded_configuration.get()}) {
    CHECK(zone(*tested_configuration, "10.1.2.3") == "c");
    CHECK(zone(*tested_configuration, "10.1.3.3") == "b");
    CHECK(zone(*tested_configuration, "10.2.0.1") == "c");
    CHECK(zone(*tested_configuration, "11.0.0.1") == "b");
    CHECK(zone(*tested_configuration, "2001:db8::1") == "a");
    CHECK(zone(*tested_configuration, "2002::1") == "a");
  }
  const ResourceId one = {Kind::kClientBlocks, "one"};
  CHECK(loaded_configuration->Find(one)->spec() ==
        configuration->Find(one)->spec());
}

}  // namespace
}  // namespace baobabwall::model
