#include "model/src/change.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "model/src/codec.h"
#include "nlohmann/json.hpp"

namespace baobabwall::model {
namespace internal {

using Json = nlohmann::json;

std::optional<Change> DecodeChange(const Json& json_change,
                                   absl::string_view path,
                                   base::Findings* findings) {
  if (!json_change.is_object()) {
    findings->Add(path, "is not an object");
    return std::nullopt;
  }
  const auto kind = json_change.find("kind");
  const auto name = json_change.find("name");
  if (kind == json_change.end() || !kind->is_string() ||
      name == json_change.end() || !name->is_string()) {
    findings->Add(path, "has no valid kind or name");
    return std::nullopt;
  }
  const std::optional<Kind> parsed_kind =
      KindFromString(kind->get_ref<const std::string&>());
  if (!parsed_kind) {
    findings->Add(absl::StrCat(path, ".kind"), "is unknown");
    return std::nullopt;
  }
  Change change;
  change.id = {*parsed_kind, name->get<std::string>()};
  const auto spec = json_change.find("spec");
  if (spec != json_change.end() && !spec->is_null()) {
    change.spec = spec->dump();
  }
  const auto based_on = json_change.find("basedOn");
  if (based_on != json_change.end() && based_on->is_number_integer()) {
    change.based_on = based_on->get<int64_t>();
  }
  return change;
}

}  // namespace internal

std::string EncodeBatch(const ChangeBatch& batch) {
  internal::Json changes = internal::Json::array();
  for (const Change& change : batch.changes) {
    internal::Json json_change = {{"kind", ToString(change.id.kind)},
                                  {"name", change.id.name}};
    json_change["spec"] =
        change.spec ? internal::Json::parse(*change.spec) : internal::Json();
    if (change.based_on) {
      json_change["basedOn"] = *change.based_on;
    }
    changes.push_back(std::move(json_change));
  }
  return internal::Json({{"operationId", batch.operation_id},
                         {"changes", std::move(changes)}})
      .dump();
}

std::optional<ChangeBatch> DecodeBatch(absl::string_view text,
                                       base::Findings* findings) {
  if (IsNestedTooDeeply(text)) {
    findings->Add("batch", absl::StrCat("is nested more than ", kMaxNesting,
                                        " levels deep"));
    return std::nullopt;
  }
  const internal::Json document =
      internal::Json::parse(text.begin(), text.end(), nullptr, false);
  if (document.is_discarded() || !document.is_object()) {
    findings->Add("batch", "is not a JSON object");
    return std::nullopt;
  }
  const auto operation_id = document.find("operationId");
  const auto changes = document.find("changes");
  if (operation_id == document.end() || !operation_id->is_string() ||
      changes == document.end() || !changes->is_array()) {
    findings->Add("batch", "has no valid operationId or changes");
    return std::nullopt;
  }
  ChangeBatch batch;
  batch.operation_id = operation_id->get<std::string>();
  bool is_valid = true;
  for (size_t i = 0; i < changes->size(); ++i) {
    std::optional<Change> change = internal::DecodeChange(
        (*changes)[i], absl::StrCat("changes[", i, "]"), findings);
    if (!change) {
      is_valid = false;
      continue;
    }
    batch.changes.push_back(*std::move(change));
  }
  if (!is_valid) {
    return std::nullopt;
  }
  return batch;
}

}  // namespace baobabwall::model
