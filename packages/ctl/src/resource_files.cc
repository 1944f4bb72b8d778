#include "ctl/src/resource_files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "model/model.h"

namespace baobabwall::ctl::internal {
namespace {

using Json = nlohmann::json;

struct Entry {
  model::ResourceId id;
  Json resource;
};

void ReadFile(const std::string& file,
              std::vector<Entry>* entries,
              std::map<model::ResourceId, std::string>* place_by_id,
              base::Findings* findings) {
  std::ifstream stream(file);
  std::stringstream text;
  text << stream.rdbuf();
  if (!stream) {
    findings->Add(file, "cannot be read");
    return;
  }
  if (model::IsNestedTooDeeply(text.str())) {
    findings->Add(file, "is nested too deeply");
    return;
  }
  const Json resource_list = Json::parse(text.str(), nullptr, false);
  if (!resource_list.is_array()) {
    findings->Add(file, "is not a JSON list of resources");
    return;
  }
  for (size_t i = 0; i < resource_list.size(); ++i) {
    const Json& item = resource_list[i];
    const std::string place = absl::StrCat(file, "[", i, "]");
    if (!item.is_object() || !item.contains("kind") ||
        !item["kind"].is_string() || !item.contains("name") ||
        !item["name"].is_string() || !item.contains("spec")) {
      findings->Add(place, "does not have kind, name and spec");
      continue;
    }
    const auto kind =
        model::KindFromString(item["kind"].get_ref<const std::string&>());
    if (!kind) {
      findings->Add(
          place, absl::StrCat("kind ", item["kind"].dump(), " does not exist"));
      continue;
    }
    const model::ResourceId id = {*kind, item["name"].get<std::string>()};
    base::Findings spec_findings;
    model::ParseSpec(id, item["spec"].dump(), &spec_findings);
    for (const base::Finding& finding : spec_findings.items()) {
      findings->Add(absl::StrCat(place, ": ", finding.place), finding.what,
                    finding.remedy);
    }
    const auto [earlier_place, is_unique] = place_by_id->emplace(id, place);
    if (!is_unique) {
      findings->Add(place, absl::StrCat(id.ToString(), " is also in ",
                                        earlier_place->second));
    }
    entries->push_back({id, item});
  }
}

}  // namespace

std::vector<Json> ReadResourceFiles(const std::string& path,
                                    base::Findings* findings) {
  namespace fs = std::filesystem;
  std::vector<std::string> files;
  std::error_code error;
  if (fs::is_directory(path, error)) {
    for (const auto& entry : fs::directory_iterator(path, error)) {
      if (entry.path().extension() == ".json") {
        files.push_back(entry.path().string());
      }
    }
    std::sort(files.begin(), files.end());
    if (files.empty()) {
      findings->Add(path, "does not contain a .json file");
    }
  } else {
    files.push_back(path);
  }
  std::vector<Entry> entries;
  std::map<model::ResourceId, std::string> place_by_id;
  for (const std::string& file : files) {
    ReadFile(file, &entries, &place_by_id, findings);
  }
  std::stable_sort(
      entries.begin(), entries.end(),
      [](const Entry& a, const Entry& b) { return a.id.kind < b.id.kind; });
  std::vector<Json> resources;
  for (Entry& entry : entries) {
    resources.push_back(std::move(entry.resource));
  }
  return resources;
}

}  // namespace baobabwall::ctl::internal
