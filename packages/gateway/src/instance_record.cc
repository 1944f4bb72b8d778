#include "gateway/src/instance_record.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace baobabwall::gateway {

std::string InstanceRecord::Key() const {
  return absl::StrCat(kInstancePrefix, name, "/", incarnation);
}

std::string InstanceRecord::Encode() const {
  const nlohmann::json json = {
      {"name", name},
      {"incarnation", incarnation},
      {"zone", zone},
      {"region", region},
      {"address", callers.address},
      {"callerPort", callers.port},
      {"peerPort", peer_port},
      {"cpuShare", cpu_share},
  };
  return json.dump();
}

std::optional<InstanceRecord> InstanceRecord::Decode(absl::string_view value) {
  const nlohmann::json json =
      nlohmann::json::parse(value.begin(), value.end(), nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    InstanceRecord record;
    record.name = json.at("name").get<std::string>();
    record.incarnation = json.at("incarnation").get<int64_t>();
    record.zone = json.at("zone").get<std::string>();
    record.region = json.at("region").get<std::string>();
    record.callers.address = json.at("address").get<std::string>();
    record.callers.port = json.at("callerPort").get<uint16_t>();
    record.peer_port = json.at("peerPort").get<uint16_t>();
    record.cpu_share = json.value("cpuShare", 1.0);
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace baobabwall::gateway
