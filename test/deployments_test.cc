#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "model/model.h"
#include "nlohmann/json.hpp"
#include "rapidcheck.h"
#include "settings/settings.h"

namespace baobabwall {
namespace {

namespace fs = std::filesystem;

std::string ReadFile(const fs::path& path) {
  std::ifstream stream(path);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::string MakeBatchText(absl::string_view resources) {
  return R"({"operationId": "t", "changes": )" + std::string(resources) + "}";
}

std::shared_ptr<const model::Configuration> LoadDeployment(
    const std::string& deployment,
    base::Findings* findings) {
  const auto batch = model::DecodeBatch(
      MakeBatchText(ReadFile("deployments/" + deployment + "/resources.json")),
      findings);
  return batch ? model::Configuration::Empty()->Apply(*batch, 1, findings)
               : nullptr;
}

// Guards against shipped files that the parsers reject or that differ from
// section 1.2 of the design page.
TEST_CASE("the shipped deployments are valid and have the documented size") {
  struct Expected {
    std::string name;
    size_t instances;
    int64_t mbit_per_s;
    std::map<std::string, std::pair<int, int>> services;
  };
  const Expected expected = GENERATE(Expected{"cantaloma",
                                              10,
                                              4000,
                                              {{"disponible", {16, 5}},
                                               {"reservas", {12, 3}},
                                               {"cancionero", {12, 3}},
                                               {"boliches", {12, 3}}}},
                                     Expected{"altyn-bine",
                                              11,
                                              300,
                                              {{"catalogue", {16, 5}},
                                               {"orders", {12, 4}},
                                               {"patterns", {12, 3}},
                                               {"stock", {12, 3}}}});
  base::Findings findings;
  const auto configuration = LoadDeployment(expected.name, &findings);
  CAPTURE(expected.name, findings.ToString());
  REQUIRE(configuration);
  CHECK(configuration->regions().size() == 3);
  CHECK(configuration->zones().size() == 6);
  CHECK(configuration->caps().size() == 3);
  REQUIRE(configuration->links().size() == 3);
  for (const auto& [name, link] : configuration->links()) {
    CHECK(link.mbit_per_s == expected.mbit_per_s);
  }
  std::set<int> ports;
  std::map<std::string, std::pair<int, int>> servers;
  for (const auto& [name, server] : configuration->backend_servers()) {
    ++servers[server.service].first;
    servers[server.service].second = server.slots;
    CHECK(ports.insert(server.port).second);
  }
  CHECK(servers == expected.services);

  std::set<std::string> zones;
  size_t instance_count = 0;
  const auto instance_list = nlohmann::json::parse(
      ReadFile("deployments/" + expected.name + "/settings/instances.json"));
  for (const auto& item : instance_list["instances"]) {
    const std::string file = "deployments/" + expected.name + "/settings/" +
                             item["name"].get<std::string>() + ".ini";
    const auto settings =
        settings::ParseProcessSettings(file, ReadFile(file), &findings);
    CAPTURE(file, findings.ToString());
    REQUIRE(settings);
    ++instance_count;
    CHECK(settings->caller_port == item["callerPort"]);
    CHECK(settings->peer_port == item["peerPort"]);
    CHECK(configuration->RegionOf(settings->zone) == settings->region);
    zones.insert(settings->zone);
    for (int port : {settings->caller_port, settings->operator_port,
                     settings->peer_port}) {
      CHECK(ports.insert(port).second);
    }
  }
  CHECK(instance_count == expected.instances);
  CHECK(zones.size() == 6);
}

// Applies 1 to 5 random edits to a text, such as typing errors and truncation.
std::string CorruptText(std::string text) {
  const int edit_count = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edit_count && !text.empty(); ++i) {
    const size_t offset = *rc::gen::inRange<size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text.resize(offset);
        break;
      case 1:
        text[offset] = *rc::gen::arbitrary<char>();
        break;
      case 2:
        text.erase(offset, *rc::gen::inRange<size_t>(1, 40));
        break;
      default:
        text.insert(offset,
                    *rc::gen::element<std::string>(
                        "[", "{", "\"", "\n", "=", "null", "-1", "1e999",
                        "18446744073709551615", "\\ud800", "[x]\n",
                        std::string(300, 'a'), std::string(5000, '[')));
    }
  }
  return text;
}

// Guards against a crash on corrupted settings and against findings without a
// location.
TEST_CASE("corrupted settings are rejected with the location of each problem") {
  const std::string valid_text =
      ReadFile("deployments/cantaloma/settings/amba-a-1.ini");
  CHECK(rc::check("settings", [&] {
    base::Findings findings;
    const auto settings = settings::ParseProcessSettings(
        "a.ini", CorruptText(valid_text), &findings);
    RC_ASSERT(settings.has_value() == findings.empty());
    for (const base::Finding& finding : findings.items()) {
      RC_ASSERT(finding.place.substr(0, 5) == "a.ini");
      RC_ASSERT(!finding.what.empty());
    }
  }));
}

// Guards against a crash on corrupted resources and against findings without a
// location.
TEST_CASE(
    "corrupted resources are rejected with the location of each problem") {
  const std::string valid_text =
      ReadFile("deployments/cantaloma/resources.json");
  std::vector<std::string> lines;
  std::stringstream stream(valid_text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  CHECK(rc::check("resources", [&] {
    std::string line = lines[*rc::gen::inRange<size_t>(1, lines.size() - 1)];
    if (line.back() == ',') {
      line.pop_back();
    }
    base::Findings findings;
    const auto batch = model::DecodeBatch(
        MakeBatchText("[" + CorruptText(line) + "]"), &findings);
    const auto next_configuration =
        batch ? model::Configuration::Empty()->Apply(*batch, 1, &findings)
              : nullptr;
    RC_ASSERT((next_configuration != nullptr) == findings.empty());
    for (const base::Finding& finding : findings.items()) {
      RC_ASSERT(!finding.place.empty());
      RC_ASSERT(!finding.what.empty());
    }
  }));
}

// Guards against a stack overflow, since the JSON library serializes nested
// values recursively.
TEST_CASE("resources that are nested too deeply are rejected") {
  const std::string deeply_nested_json =
      std::string(200'000, '[') + std::string(200'000, ']');
  base::Findings findings;
  CHECK_FALSE(model::DecodeBatch(
      MakeBatchText(R"([{"kind": "Region", "name": "a", "spec": )" +
                    deeply_nested_json + "}]"),
      &findings));
  CHECK_FALSE(model::ParseSpec(
      {model::Kind::kClientBlocks, "a"},
      R"({"blocks": {"z": [)" + deeply_nested_json + "]}}", &findings));
  CHECK(findings.items().size() == 2);
}

}  // namespace
}  // namespace baobabwall
