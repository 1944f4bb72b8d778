#include "transport/src/peer_codec.h"

#include <utility>

#include "absl/strings/escaping.h"
#include "nlohmann/json.hpp"
#include "transport/src/json_reader.h"

namespace baobabwall::transport {
namespace internal {

using nlohmann::json;

constexpr int kMaxPort = 65535;

// Each payload type of control::PeerPayload needs three functions: MethodName,
// ToJson and ReadFields. The code does not compile if a function is missing.

json ToJson(const control::Identity& identity) {
  return {
      {"name", identity.id.name},      {"incarnation", identity.id.incarnation},
      {"zone", identity.zone},         {"region", identity.region},
      {"address", identity.address},   {"callerPort", identity.caller_port},
      {"peerPort", identity.peer_port}};
}

void ReadFields(JsonReader* reader, control::Identity* identity) {
  identity->id.name = reader->ReadString("name");
  identity->id.incarnation = reader->ReadInteger("incarnation", 0);
  identity->zone = reader->ReadString("zone");
  identity->region = reader->ReadString("region");
  identity->address = reader->ReadString("address");
  identity->caller_port =
      static_cast<int>(reader->ReadInteger("callerPort", 0, kMaxPort));
  identity->peer_port =
      static_cast<int>(reader->ReadInteger("peerPort", 0, kMaxPort));
}

json ToJson(const control::Heartbeat& heartbeat) {
  return {{"configRevision", heartbeat.config_revision},
          {"allotmentEpoch", heartbeat.allotment_epoch},
          {"utilisation", json(heartbeat.utilisation)}};
}

void ReadFields(JsonReader* reader, control::Heartbeat* heartbeat) {
  heartbeat->config_revision = reader->ReadInteger("configRevision", -1);
  heartbeat->allotment_epoch = reader->ReadInteger("allotmentEpoch", 0);
  reader->ForEachNumber("utilisation",
                        [&](const std::string& service, double utilisation) {
                          heartbeat->utilisation[service] = utilisation;
                        });
}

constexpr std::pair<control::MemberState, const char*> kMemberStateNames[] = {
    {control::MemberState::kAlive, "alive"},
    {control::MemberState::kSuspect, "suspect"},
    {control::MemberState::kLeaving, "leaving"},
    {control::MemberState::kDead, "dead"}};

json ToJson(const std::vector<control::MemberUpdate>& updates) {
  json array = json::array();
  for (const control::MemberUpdate& update : updates) {
    const char* state = "";
    for (const auto& [value, name] : kMemberStateNames) {
      state = value == update.state ? name : state;
    }
    array.push_back({{"identity", ToJson(update.identity)},
                     {"state", state},
                     {"refutation", update.refutation}});
  }
  return array;
}

void ReadFields(JsonReader* reader,
                std::vector<control::MemberUpdate>* updates) {
  reader->ForEachElement("updates", [&](JsonReader* item) {
    control::MemberUpdate update;
    item->VisitObject("identity", [&](JsonReader* inner) {
      ReadFields(inner, &update.identity);
    });
    const std::string state = item->ReadString("state");
    bool is_known = false;
    for (const auto& [value, name] : kMemberStateNames) {
      if (state == name) {
        update.state = value;
        is_known = true;
      }
    }
    if (!is_known) {
      item->AddInvalidField("state", "alive, suspect, leaving or dead");
    }
    update.refutation = item->ReadInteger("refutation", 0);
    updates->push_back(std::move(update));
  });
}

/// Encodes the fields that control::Ping and control::Ack have in common.
template <typename PingOrAck>
json PingFieldsToJson(const PingOrAck& ping_or_ack) {
  return {{"sequence", ping_or_ack.sequence},
          {"heartbeat", ToJson(ping_or_ack.heartbeat)},
          {"updates", ToJson(ping_or_ack.updates)}};
}

template <typename PingOrAck>
void ReadPingFields(JsonReader* reader, PingOrAck* ping_or_ack) {
  ping_or_ack->sequence = reader->ReadUnsigned("sequence");
  reader->VisitObject("heartbeat", [&](JsonReader* inner) {
    ReadFields(inner, &ping_or_ack->heartbeat);
  });
  ReadFields(reader, &ping_or_ack->updates);
}

const char* MethodName(const control::Ping&) {
  return "ping";
}
json ToJson(const control::Ping& ping) {
  json value = PingFieldsToJson(ping);
  value["target"] = ping.target;
  value["wantsMembers"] = ping.wants_members;
  return value;
}
void ReadFields(JsonReader* reader, control::Ping* ping) {
  ReadPingFields(reader, ping);
  ping->target = reader->ReadString("target");
  ping->wants_members = reader->ReadBool("wantsMembers", false);
}

const char* MethodName(const control::Ack&) {
  return "ack";
}
json ToJson(const control::Ack& ack) {
  return PingFieldsToJson(ack);
}
void ReadFields(JsonReader* reader, control::Ack* ack) {
  ReadPingFields(reader, ack);
}

const char* MethodName(const control::PingRequest&) {
  return "ping_req";
}
json ToJson(const control::PingRequest& request) {
  return {{"sequence", request.sequence},
          {"target", ToJson(request.target)},
          {"updates", ToJson(request.updates)}};
}
void ReadFields(JsonReader* reader, control::PingRequest* request) {
  request->sequence = reader->ReadUnsigned("sequence");
  reader->VisitObject("target", [&](JsonReader* inner) {
    ReadFields(inner, &request->target);
  });
  ReadFields(reader, &request->updates);
}

const char* MethodName(const control::MemberList&) {
  return "member_list";
}
json ToJson(const control::MemberList& list) {
  return {{"updates", ToJson(list.updates)}};
}
void ReadFields(JsonReader* reader, control::MemberList* list) {
  ReadFields(reader, &list->updates);
}

const char* MethodName(const control::PushEntries&) {
  return "push_entries";
}
json ToJson(const control::PushEntries& push) {
  json entries = json::array();
  for (const std::string& entry : push.entries) {
    entries.push_back({{"data", absl::Base64Escape(entry)}});
  }
  return {{"first", push.first}, {"entries", entries}};
}
void ReadFields(JsonReader* reader, control::PushEntries* push) {
  push->first = reader->ReadInteger("first", 0);
  reader->ForEachElement("entries", [&](JsonReader* item) {
    push->entries.push_back(item->ReadBase64("data"));
  });
}

const char* MethodName(const control::PullEntries&) {
  return "pull_entries";
}
json ToJson(const control::PullEntries& pull) {
  return {{"from", pull.from}};
}
void ReadFields(JsonReader* reader, control::PullEntries* pull) {
  pull->from = reader->ReadInteger("from", 0);
}

const char* MethodName(const control::PullSnapshot&) {
  return "pull_snapshot";
}
json ToJson(const control::PullSnapshot& pull) {
  return {{"revision", pull.revision},
          {"after", absl::Base64Escape(pull.after)}};
}
void ReadFields(JsonReader* reader, control::PullSnapshot* pull) {
  pull->revision = reader->ReadInteger("revision", 0);
  pull->after = reader->ReadBase64("after");
}

const char* MethodName(const control::SnapshotPart&) {
  return "snapshot_part";
}
json ToJson(const control::SnapshotPart& part) {
  return {{"revision", part.revision},
          {"after", absl::Base64Escape(part.after)},
          {"next", absl::Base64Escape(part.next)},
          {"isLast", part.is_last},
          {"data", absl::Base64Escape(part.data)}};
}
void ReadFields(JsonReader* reader, control::SnapshotPart* part) {
  part->revision = reader->ReadInteger("revision", 0);
  part->after = reader->ReadBase64("after");
  part->next = reader->ReadBase64("next");
  part->is_last = reader->ReadBool("isLast", false);
  part->data = reader->ReadBase64("data");
}

const char* MethodName(const control::AppliedReport&) {
  return "applied";
}
json ToJson(const control::AppliedReport& applied) {
  return {{"heartbeat", ToJson(applied.heartbeat)}};
}
void ReadFields(JsonReader* reader, control::AppliedReport* applied) {
  reader->VisitObject("heartbeat", [&](JsonReader* inner) {
    ReadFields(inner, &applied->heartbeat);
  });
}

const char* MethodName(const control::ZoneStatusReport&) {
  return "zone_status";
}
json ToJson(const control::OutdatedInstance& behind) {
  return {{"name", behind.name},
          {"revision", behind.revision},
          {"sinceMs", absl::ToUnixMillis(behind.since)}};
}
json ToJson(const control::ZoneStatusReport& report) {
  json zones = json::array();
  for (const control::ZoneStatus& status : report.zones) {
    json behind = json::array();
    for (const control::OutdatedInstance& instance : status.behind) {
      behind.push_back(ToJson(instance));
    }
    zones.push_back({{"zone", status.zone},
                     {"lowestRevision", status.lowest_revision},
                     {"instanceCount", status.instance_count},
                     {"behind", std::move(behind)},
                     {"behindCount", status.behind_count},
                     {"sinceMs", absl::ToUnixMillis(status.since)},
                     {"reportedMs", absl::ToUnixMillis(status.reported)}});
  }
  return {{"zones", std::move(zones)}};
}
void ReadFields(JsonReader* reader, control::ZoneStatusReport* report) {
  reader->ForEachElement("zones", [&](JsonReader* item) {
    control::ZoneStatus status;
    status.zone = item->ReadString("zone");
    status.lowest_revision = item->ReadInteger("lowestRevision", -1);
    status.instance_count =
        static_cast<int>(item->ReadInteger("instanceCount", 0, INT32_MAX));
    status.behind_count =
        static_cast<int>(item->ReadInteger("behindCount", 0, INT32_MAX));
    item->ForEachElement("behind", [&](JsonReader* inner) {
      control::OutdatedInstance behind;
      behind.name = inner->ReadString("name");
      behind.revision = inner->ReadInteger("revision", -1);
      behind.since = absl::FromUnixMillis(inner->ReadInteger("sinceMs"));
      status.behind.push_back(std::move(behind));
    });
    status.since = absl::FromUnixMillis(item->ReadInteger("sinceMs"));
    status.reported = absl::FromUnixMillis(item->ReadInteger("reportedMs"));
    report->zones.push_back(std::move(status));
  });
}

const char* MethodName(const control::QuarantineUpdate&) {
  return "quarantine";
}
json ToJson(const control::QuarantineUpdate& update) {
  return {{"fingerprint", update.fingerprint},
          {"untilMs", absl::ToUnixMillis(update.until)}};
}
void ReadFields(JsonReader* reader, control::QuarantineUpdate* update) {
  update->fingerprint = reader->ReadUnsigned("fingerprint");
  update->until = absl::FromUnixMillis(reader->ReadInteger("untilMs"));
}

const char* MethodName(const control::AllotmentUpdate&) {
  return "allotment";
}
json ToJson(const control::AllotmentUpdate& update) {
  return {{"key", update.key},
          {"revision", update.revision},
          {"value", absl::Base64Escape(update.value)}};
}
void ReadFields(JsonReader* reader, control::AllotmentUpdate* update) {
  update->key = reader->ReadString("key");
  update->revision = reader->ReadInteger("revision", 0);
  update->value = reader->ReadBase64("value");
}

constexpr size_t kPayloadTypeCount = std::variant_size_v<control::PeerPayload>;

template <size_t kTypeIndex = 0>
bool ReadPayload(absl::string_view method,
                 JsonReader* reader,
                 control::PeerPayload* payload) {
  if constexpr (kTypeIndex < kPayloadTypeCount) {
    std::variant_alternative_t<kTypeIndex, control::PeerPayload> value;
    if (method != MethodName(value)) {
      return ReadPayload<kTypeIndex + 1>(method, reader, payload);
    }
    ReadFields(reader, &value);
    *payload = std::move(value);
    return true;
  }
  return false;
}

template <size_t kTypeIndex = 0>
void CollectMethods(std::vector<std::string>* methods) {
  if constexpr (kTypeIndex < kPayloadTypeCount) {
    methods->push_back(MethodName(
        std::variant_alternative_t<kTypeIndex, control::PeerPayload>()));
    CollectMethods<kTypeIndex + 1>(methods);
  }
}

}  // namespace internal

PeerCall EncodePeerMessage(const control::PeerMessage& message) {
  PeerCall call;
  nlohmann::json params;
  std::visit(
      [&](const auto& payload) {
        call.method = internal::MethodName(payload);
        params = internal::ToJson(payload);
      },
      message.payload);
  params["sender"] = internal::ToJson(message.sender);
  call.params =
      params.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return call;
}

std::optional<control::PeerMessage> DecodePeerMessage(
    absl::string_view method,
    absl::string_view params,
    base::Findings* findings) {
  const nlohmann::json value =
      nlohmann::json::parse(params.begin(), params.end(), nullptr, false);
  if (!value.is_object()) {
    findings->Add("params", "is not a JSON object");
    return std::nullopt;
  }
  base::Findings new_findings;
  JsonReader reader(value, "params", &new_findings);
  control::PeerMessage message;
  reader.VisitObject("sender", [&](JsonReader* inner) {
    internal::ReadFields(inner, &message.sender);
  });
  if (!internal::ReadPayload(method, &reader, &message.payload)) {
    new_findings.Add("method", "is unknown");
  }
  findings->Append(new_findings);
  if (!new_findings.empty()) {
    return std::nullopt;
  }
  return message;
}

std::vector<std::string> PeerMethods() {
  std::vector<std::string> methods;
  internal::CollectMethods(&methods);
  return methods;
}

}  // namespace baobabwall::transport
