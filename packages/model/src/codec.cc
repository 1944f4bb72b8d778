#include "model/src/codec.h"

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "model/src/client_block_table.h"
#include "nlohmann/json.hpp"

namespace baobabwall::model {
namespace internal {

using Json = nlohmann::json;

constexpr int kMaxNameLength = 63;
constexpr int kMaxPort = 65535;
constexpr int kMaxSlots = 10000;
constexpr int64_t kMaxMbitPerS = 10'000'000;

/// Reads the fields of a spec and adds a finding for every invalid field.
class FieldReader {
 public:
  FieldReader(const Json& object, std::string path, base::Findings* findings)
      : object_(object), path_(std::move(path)), findings_(findings) {}

  void ReadString(absl::string_view key,
                  std::string* value,
                  bool is_required = true) {
    const Json* field = FindField(key, is_required);
    if (field == nullptr) {
      return;
    }
    if (!field->is_string() || field->get_ref<const std::string&>().empty()) {
      AddFinding(key, "must be a non-empty string");
      return;
    }
    *value = field->get<std::string>();
  }

  template <typename Number>
  void ReadInteger(absl::string_view key,
                   Number* value,
                   int64_t min,
                   int64_t max,
                   bool is_required = true) {
    const Json* field = FindField(key, is_required);
    if (field == nullptr) {
      return;
    }
    if (!field->is_number_integer() || field->get<int64_t>() < min ||
        field->get<int64_t>() > max) {
      AddFinding(
          key, absl::StrCat("must be a whole number from ", min, " to ", max));
      return;
    }
    *value = static_cast<Number>(field->get<int64_t>());
  }

  void ReadRate(absl::string_view key, double* value) {
    const Json* field = FindField(key, true);
    if (field == nullptr) {
      return;
    }
    if (!field->is_number() || field->get<double>() < 0) {
      AddFinding(key, "must be a non-negative number of requests/s");
      return;
    }
    *value = field->get<double>();
  }

  void ReadMilliseconds(absl::string_view key,
                        absl::Duration* value,
                        int64_t min,
                        int64_t max,
                        bool is_required = false) {
    int64_t ms = absl::ToInt64Milliseconds(*value);
    ReadInteger(key, &ms, min, max, is_required);
    *value = absl::Milliseconds(ms);
  }

  void ReadStringList(absl::string_view key, std::vector<std::string>* value) {
    const Json* field = FindField(key, false);
    if (field == nullptr) {
      return;
    }
    if (!field->is_array()) {
      AddFinding(key, "must be a list of strings");
      return;
    }
    value->clear();
    for (const Json& item : *field) {
      if (!item.is_string()) {
        AddFinding(key, "must be a list of strings");
        return;
      }
      value->push_back(item.get<std::string>());
    }
  }

  template <typename Enum>
  void ReadEnum(absl::string_view key,
                Enum* value,
                absl::Span<const absl::string_view> names,
                bool is_required) {
    const Json* field = FindField(key, is_required);
    if (field == nullptr) {
      return;
    }
    if (field->is_string()) {
      for (size_t i = 0; i < names.size(); ++i) {
        if (names[i] != field->get_ref<const std::string&>()) {
          continue;
        }
        *value = static_cast<Enum>(i);
        return;
      }
    }
    AddFinding(key,
               absl::StrCat("must be one of ", absl::StrJoin(names, ", ")));
  }

  const Json* FindField(absl::string_view key, bool is_required) {
    known_keys_.push_back(key);
    const auto field = object_.find(std::string(key));
    if (field != object_.end()) {
      return &*field;
    }
    if (is_required) {
      AddFinding(key, "is missing");
    }
    return nullptr;
  }

  void AddFinding(absl::string_view key,
                  absl::string_view problem,
                  absl::string_view remedy = {}) {
    findings_->Add(absl::StrCat(path_, ".", key), problem, remedy);
  }

  void AddUnknownFieldFindings() {
    for (const auto& [key, value] : object_.items()) {
      bool is_known = false;
      for (absl::string_view known_key : known_keys_) {
        is_known = is_known || known_key == key;
      }
      if (is_known) {
        continue;
      }
      const absl::string_view nearest_key = base::NearestName(key, known_keys_);
      AddFinding(key, "is not a known field",
                 nearest_key.empty()
                     ? ""
                     : absl::StrCat("did you mean ", nearest_key));
    }
  }

 private:
  const Json& object_;
  std::string path_;
  base::Findings* findings_;
  std::vector<absl::string_view> known_keys_;
};

bool IsIpAddress(absl::string_view text) {
  return ClientAddress::Parse(text).has_value();
}

Spec ReadService(const std::string& name, FieldReader* reader) {
  Service spec;
  spec.name = name;
  reader->ReadString("tenant", &spec.tenant);
  reader->ReadEnum("class", &spec.service_class,
                   {"interactive", "transactional", "bulk"}, true);
  reader->ReadEnum("policy", &spec.policy, {"latency", "headroom"}, false);
  reader->ReadStringList("idempotentMethods", &spec.idempotent_methods);
  reader->ReadMilliseconds("deadlineMs", &spec.deadline, 10, 600'000);
  reader->ReadInteger("retryBudgetPercent", &spec.retry_budget_percent, 0, 100,
                      false);
  reader->ReadMilliseconds("lookupTtlMs", &spec.lookup_ttl, 1'000, 60'000);
  reader->ReadInteger("maxAnswerBytes", &spec.max_answer_bytes, 1,
                      int64_t{1} << 40, false);
  return spec;
}

Spec ReadRegion(const std::string& name, FieldReader* reader) {
  Region spec;
  spec.name = name;
  reader->ReadRate("declaredRate", &spec.declared_rate);
  return spec;
}

Spec ReadZone(const std::string& name, FieldReader* reader) {
  Zone spec;
  spec.name = name;
  reader->ReadString("region", &spec.region);
  return spec;
}

Spec ReadBackendServer(const std::string& name, FieldReader* reader) {
  BackendServer spec;
  spec.name = name;
  reader->ReadString("service", &spec.service);
  reader->ReadString("zone", &spec.zone);
  reader->ReadString("address", &spec.address);
  if (!spec.address.empty() && !IsIpAddress(spec.address)) {
    reader->AddFinding("address", "must be an IP address");
  }
  reader->ReadInteger("port", &spec.port, 1, kMaxPort);
  reader->ReadInteger("slots", &spec.slots, 1, kMaxSlots);
  reader->ReadInteger("connections", &spec.connections, 1, 1'000'000, false);
  return spec;
}

Spec ReadLink(const std::string& name, FieldReader* reader) {
  Link spec;
  spec.name = name;
  reader->ReadString("a", &spec.a);
  reader->ReadString("b", &spec.b);
  if (!spec.a.empty() && spec.a == spec.b) {
    reader->AddFinding("b", "must differ from a");
  }
  reader->ReadInteger("mbitPerS", &spec.mbit_per_s, 1, kMaxMbitPerS);
  return spec;
}

Spec ReadCap(const std::string& name, FieldReader* reader) {
  Cap spec;
  spec.name = name;
  reader->ReadString("region", &spec.region);
  reader->ReadInteger("maxMovedPercent", &spec.max_moved_percent, 0, 100);
  reader->ReadMilliseconds("windowMs", &spec.window, 1'000, 3'600'000);
  return spec;
}

Spec ReadDrain(const std::string& name, FieldReader* reader) {
  Drain spec;
  spec.name = name;
  reader->ReadEnum("target", &spec.target,
                   {"backendServer", "instance", "zone", "region"}, true);
  reader->ReadString("targetName", &spec.target_name);
  reader->ReadEnum("onShortage", &spec.on_shortage, {"refuse", "wait"}, false);
  return spec;
}

Spec ReadShift(const std::string& name, FieldReader* reader) {
  Shift spec;
  spec.name = name;
  reader->ReadString("service", &spec.service);
  reader->ReadString("from", &spec.from);
  reader->ReadString("to", &spec.to);
  if (!spec.from.empty() && spec.from == spec.to) {
    reader->AddFinding("to", "must differ from from");
  }
  reader->ReadInteger("percent", &spec.percent, 0, 100);
  return spec;
}

Spec ReadClientBlocks(const std::string& name, FieldReader* reader) {
  ClientBlocks spec;
  spec.name = name;
  const Json* blocks = reader->FindField("blocks", true);
  if (blocks == nullptr) {
    return spec;
  }
  if (!blocks->is_object()) {
    reader->AddFinding("blocks", "must map a zone to a list of prefixes");
    return spec;
  }
  for (const auto& [zone, prefixes] : blocks->items()) {
    if (!prefixes.is_array()) {
      reader->AddFinding("blocks", absl::StrCat(zone, " must map to a list"));
      continue;
    }
    for (const Json& prefix : prefixes) {
      if (!prefix.is_string() ||
          !ClientBlock::Parse(prefix.get_ref<const std::string&>())) {
        reader->AddFinding(
            "blocks", absl::StrCat(prefix.dump(), " is not a CIDR prefix"));
        continue;
      }
      spec.blocks.push_back({prefix.get<std::string>(), zone});
    }
  }
  return spec;
}

using SpecReader = Spec (*)(const std::string&, FieldReader*);

constexpr SpecReader kSpecReaders[] = {
    ReadService, ReadRegion, ReadZone,  ReadBackendServer, ReadLink,
    ReadCap,     ReadDrain,  ReadShift, ReadClientBlocks};

bool IsValidName(absl::string_view name) {
  if (name.empty() || name.size() > kMaxNameLength) {
    return false;
  }
  for (char c : name) {
    if (!absl::ascii_islower(c) && !absl::ascii_isdigit(c) && c != '-') {
      return false;
    }
  }
  return name.front() != '-' && name.back() != '-';
}

}  // namespace internal

bool IsNestedTooDeeply(absl::string_view text) {
  int depth = 0;
  bool is_in_string = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (is_in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        is_in_string = false;
      }
      continue;
    }
    if (c == '"') {
      is_in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxNesting) {
        return true;
      }
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

std::optional<Spec> ParseSpec(const ResourceId& id,
                              absl::string_view text,
                              base::Findings* findings) {
  base::Findings own_findings;
  if (!internal::IsValidName(id.name)) {
    own_findings.Add(
        id.ToString(),
        "name must be 1 to 63 lower-case letters, digits or inner hyphens");
  }
  if (IsNestedTooDeeply(text)) {
    own_findings.Add(
        absl::StrCat(id.ToString(), ".spec"),
        absl::StrCat("is nested more than ", kMaxNesting, " levels deep"));
    findings->Append(own_findings);
    return std::nullopt;
  }
  const internal::Json document =
      internal::Json::parse(text.begin(), text.end(), nullptr, false);
  if (document.is_discarded() || !document.is_object()) {
    own_findings.Add(absl::StrCat(id.ToString(), ".spec"),
                     "is not a JSON object");
    findings->Append(own_findings);
    return std::nullopt;
  }
  internal::FieldReader reader(document, absl::StrCat(id.ToString(), ".spec"),
                               &own_findings);
  Spec spec =
      internal::kSpecReaders[static_cast<size_t>(id.kind)](id.name, &reader);
  reader.AddUnknownFieldFindings();
  findings->Append(own_findings);
  if (!own_findings.empty()) {
    return std::nullopt;
  }
  return spec;
}

}  // namespace baobabwall::model
