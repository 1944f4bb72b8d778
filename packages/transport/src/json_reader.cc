#include "transport/src/json_reader.h"

#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace baobabwall::transport {

JsonReader::JsonReader(const nlohmann::json& value,
                       std::string path,
                       base::Findings* findings)
    : value_(value), path_(std::move(path)), findings_(findings) {
  if (!value_.is_object() && !value_.is_string()) {
    findings_->Add(path_, "has the wrong type", "an object");
  }
}

const nlohmann::json* JsonReader::FindField(absl::string_view name) {
  if (!value_.is_object()) {
    return nullptr;
  }
  const auto field = value_.find(std::string(name));
  if (field == value_.end()) {
    findings_->Add(absl::StrCat(path_, ".", name), "is missing");
    return nullptr;
  }
  return &*field;
}

bool JsonReader::HasField(absl::string_view name) const {
  return value_.is_object() && value_.contains(std::string(name));
}

void JsonReader::AddInvalidField(absl::string_view name,
                                 absl::string_view expected_value) {
  findings_->Add(absl::StrCat(path_, ".", name), "is not valid",
                 expected_value);
}

std::string JsonReader::ReadString(absl::string_view name) {
  const nlohmann::json* field = FindField(name);
  if (field == nullptr) {
    return {};
  }
  if (!field->is_string()) {
    AddInvalidField(name, "a string");
    return {};
  }
  return field->get<std::string>();
}

std::string JsonReader::ReadValueAsString() {
  if (!value_.is_string()) {
    findings_->Add(path_, "has the wrong type", "a string");
    return {};
  }
  return value_.get<std::string>();
}

int64_t JsonReader::ReadInteger(absl::string_view name,
                                int64_t min_value,
                                int64_t max_value) {
  const nlohmann::json* field = FindField(name);
  if (field == nullptr) {
    return 0;
  }
  const bool is_too_large = field->is_number_unsigned() &&
                            field->get<uint64_t>() > uint64_t{INT64_MAX};
  const int64_t number =
      field->is_number_integer() && !is_too_large ? field->get<int64_t>() : 0;
  if (!field->is_number_integer() || is_too_large || number < min_value ||
      number > max_value) {
    AddInvalidField(
        name, absl::StrCat("an integer from ", min_value, " to ", max_value));
    return 0;
  }
  return number;
}

uint64_t JsonReader::ReadUnsigned(absl::string_view name) {
  const nlohmann::json* field = FindField(name);
  if (field == nullptr) {
    return 0;
  }
  if (!field->is_number_unsigned()) {
    AddInvalidField(name, "a non-negative integer");
    return 0;
  }
  return field->get<uint64_t>();
}

double JsonReader::ReadNumber(absl::string_view name) {
  const nlohmann::json* field = FindField(name);
  if (field == nullptr) {
    return 0;
  }
  if (!field->is_number()) {
    AddInvalidField(name, "a number");
    return 0;
  }
  return field->get<double>();
}

bool JsonReader::ReadBool(absl::string_view name, bool default_value) {
  if (!HasField(name)) {
    return default_value;
  }
  const nlohmann::json* field = FindField(name);
  if (!field->is_boolean()) {
    AddInvalidField(name, "true or false");
    return default_value;
  }
  return field->get<bool>();
}

std::string JsonReader::ReadBase64(absl::string_view name) {
  std::string bytes;
  if (!absl::Base64Unescape(ReadString(name), &bytes)) {
    AddInvalidField(name, "base64");
  }
  return bytes;
}

void JsonReader::ForEachElement(absl::string_view name,
                                const std::function<void(JsonReader*)>& visit) {
  const nlohmann::json* field = FindField(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_array()) {
    AddInvalidField(name, "an array");
    return;
  }
  for (size_t i = 0; i < field->size(); ++i) {
    JsonReader reader((*field)[i], absl::StrCat(path_, ".", name, "[", i, "]"),
                      findings_);
    visit(&reader);
  }
}

void JsonReader::VisitObject(absl::string_view name,
                             const std::function<void(JsonReader*)>& visit) {
  const nlohmann::json* field = FindField(name);
  if (field == nullptr) {
    return;
  }
  JsonReader reader(*field, absl::StrCat(path_, ".", name), findings_);
  visit(&reader);
}

void JsonReader::ForEachNumber(
    absl::string_view name,
    const std::function<void(const std::string&, double)>& visit) {
  const nlohmann::json* field = FindField(name);
  if (field == nullptr) {
    return;
  }
  if (!field->is_object()) {
    AddInvalidField(name, "an object");
    return;
  }
  for (const auto& [key, value] : field->items()) {
    if (!value.is_number()) {
      AddInvalidField(absl::StrCat(name, ".", key), "a number");
      continue;
    }
    visit(key, value.get<double>());
  }
}

}  // namespace baobabwall::transport
