#include "daemon/src/operator_service.h"

#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "daemon/src/explain.h"
#include "nlohmann/json.hpp"

namespace baobabwall::daemon {
namespace internal {

using Json = nlohmann::json;

constexpr absl::string_view kResourcesPath = "/v1/resources";
constexpr absl::string_view kBatchPath = "/v1/batch";
constexpr absl::string_view kWatchPath = "/v1/watch";
constexpr absl::string_view kStatusPath = "/v1/status";
constexpr absl::string_view kExplainPath = "/v1/explain";
constexpr size_t kMaxBatchBytes = 1024 * 1024;
constexpr size_t kMaxOperationIdLength = 128;
constexpr absl::Duration kWatchTimeout = absl::Seconds(25);
// Each pending watch occupies one of the 32 worker threads of the operators'
// port.
constexpr int kMaxPendingWatches = 24;
// Longer than the 5 s after which a write that did not reach the store fails,
// and shorter than the timeout of baobabwallctl.
constexpr absl::Duration kWriteTimeout = absl::Seconds(30);

void Answer(transport::HttpExchange* exchange, int status, const Json& body) {
  // Parts of a path may be invalid UTF-8, for which dump() throws by default.
  exchange->Answer(status, {{"Content-Type", "application/json"}},
                   body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void AnswerWithReason(transport::HttpExchange* exchange,
                      int status,
                      absl::string_view reason) {
  Answer(exchange, status, {{"reason", reason}});
}

std::string FormatTimestamp(absl::Time time) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", time, absl::UTCTimeZone());
}

Json ToJson(const base::Findings& findings) {
  Json list = Json::array();
  for (const base::Finding& finding : findings.items()) {
    list.push_back({{"place", finding.place},
                    {"what", finding.what},
                    {"remedy", finding.remedy}});
  }
  return list;
}

Json InstancesBehind(const control::ZoneStatus& zone) {
  Json names = Json::array();
  for (const control::OutdatedInstance& instance : zone.behind) {
    names.push_back(instance.name);
  }
  return names;
}

Json ZonesToJson(const ChangeHistory& history) {
  Json zones = Json::array();
  for (const control::ZoneStatus& zone : history.zones()) {
    // The readers of a zone report times that differ by some 100 ms. The first
    // reported time is used.
    const absl::Time since =
        history.InForceSince(zone.zone, zone.lowest_revision)
            .value_or(zone.since);
    zones.push_back({{"zone", zone.zone},
                     {"revision", zone.lowest_revision},
                     {"since", FormatTimestamp(since)},
                     {"instances", zone.instance_count},
                     {"notReported", InstancesBehind(zone)}});
  }
  return zones;
}

/// \returns the zones that have applied a revision, and since when.
Json RevisionStatus(const model::Configuration& configuration,
                    const ChangeHistory& history,
                    int64_t revision) {
  Json zones = Json::array();
  bool is_in_force_everywhere = !history.zones().empty();
  for (const control::ZoneStatus& zone : history.zones()) {
    const bool is_in_force = zone.lowest_revision >= revision;
    is_in_force_everywhere = is_in_force_everywhere && is_in_force;
    const auto since = history.InForceSince(zone.zone, revision);
    Json item = {{"zone", zone.zone},
                 {"inForce", is_in_force},
                 {"revision", zone.lowest_revision},
                 {"notReported", InstancesBehind(zone)}};
    item["since"] = since ? Json(FormatTimestamp(*since)) : Json();
    zones.push_back(std::move(item));
  }
  Json zones_not_reported = Json::array();
  for (const auto& [name, zone] : configuration.zones()) {
    bool is_known = false;
    for (const control::ZoneStatus& status : history.zones()) {
      is_known = is_known || status.zone == name;
    }
    if (!is_known) {
      zones_not_reported.push_back(name);
    }
  }
  return {{"inForceEverywhere",
           is_in_force_everywhere && zones_not_reported.empty()},
          {"zones", std::move(zones)},
          {"zonesNotReported", std::move(zones_not_reported)}};
}

Json ToJson(const model::Resource& resource) {
  return {{"kind", ToString(resource.id.kind)},
          {"name", resource.id.name},
          {"resourceVersion", resource.resource_version},
          {"spec", Json::parse(resource.spec())}};
}

Json ResourceList(const model::Configuration& configuration,
                  std::optional<model::Kind> kind) {
  Json items = Json::array();
  for (const auto& [id, resource] : configuration.resources()) {
    if (kind && id.kind != *kind) {
      continue;
    }
    items.push_back(ToJson(resource));
  }
  return {{"revision", configuration.revision()}, {"items", std::move(items)}};
}

/// \returns false if the text is not a valid resource version.
bool ParseVersion(absl::string_view text, std::optional<int64_t>* version) {
  absl::ConsumePrefix(&text, "\"");
  absl::ConsumeSuffix(&text, "\"");
  int64_t number = 0;
  if (!absl::SimpleAtoi(text, &number) || number < 0) {
    return false;
  }
  *version = number;
  return true;
}

}  // namespace internal

OperatorService::OperatorService(ControlLoop* control, absl::string_view token)
    : control_(control), token_(token) {}

std::string OperatorService::NewOperationId() {
  const steer::InstanceId& id = control_->identity().id;
  return absl::StrCat(id.name, ".", id.incarnation, ".",
                      ++last_operation_number_);
}

void OperatorService::Handle(transport::HttpExchange* exchange) {
  if (!token_.IsBearer(exchange->header("Authorization"))) {
    internal::AnswerWithReason(exchange, 401, "the token is not valid");
    return;
  }
  absl::string_view path = exchange->path();
  if (path == internal::kBatchPath && exchange->method() == "POST") {
    Batch(exchange);
    return;
  }
  if (exchange->method() == "GET") {
    if (path == internal::kWatchPath) {
      Watch(exchange);
      return;
    }
    if (path == internal::kStatusPath) {
      Status(exchange);
      return;
    }
    if (path == internal::kExplainPath) {
      ExplainCaller(exchange);
      return;
    }
  }
  if (absl::ConsumePrefix(&path, internal::kResourcesPath) &&
      (path.empty() || path.front() == '/')) {
    HandleResources(exchange, path);
    return;
  }
  internal::AnswerWithReason(exchange, 404, "no such path");
}

void OperatorService::HandleResources(transport::HttpExchange* exchange,
                                      absl::string_view path) {
  absl::ConsumePrefix(&path, "/");
  const bool is_get = exchange->method() == "GET";
  if (path.empty() && is_get) {
    internal::Answer(exchange, 200,
                     internal::ResourceList(*control_->configuration(), {}));
    return;
  }
  const size_t slash = path.find('/');
  const auto kind = model::KindFromString(path.substr(0, slash));
  if (!kind) {
    std::vector<absl::string_view> kinds;
    for (model::Kind known : model::AllKinds()) {
      kinds.push_back(ToString(known));
    }
    const absl::string_view nearest_name =
        base::NearestName(path.substr(0, slash), kinds);
    internal::AnswerWithReason(
        exchange, 404,
        absl::StrCat("no such kind",
                     nearest_name.empty() ? "" : ", did you mean ",
                     nearest_name));
    return;
  }
  if (slash == absl::string_view::npos) {
    if (!is_get) {
      internal::AnswerWithReason(exchange, 405, "a kind can only be read");
      return;
    }
    internal::Answer(exchange, 200,
                     internal::ResourceList(*control_->configuration(), kind));
    return;
  }
  const model::ResourceId id = {*kind, std::string(path.substr(slash + 1))};
  if (is_get) {
    Read(exchange, id);
  } else if (exchange->method() == "PUT" || exchange->method() == "DELETE") {
    Change(exchange, id);
  } else {
    internal::AnswerWithReason(exchange, 405, "use GET, PUT or DELETE");
  }
}

void OperatorService::Read(transport::HttpExchange* exchange,
                           const model::ResourceId& id) {
  const auto configuration = control_->configuration();
  const model::Resource* resource = configuration->Find(id);
  if (resource == nullptr) {
    internal::AnswerWithReason(exchange, 404,
                               absl::StrCat(id.ToString(), " does not exist"));
    return;
  }
  internal::Json body = internal::ToJson(*resource);
  body["status"] = internal::RevisionStatus(*configuration, control_->history(),
                                            resource->resource_version);
  internal::Answer(exchange, 200, body);
}

void OperatorService::Change(transport::HttpExchange* exchange,
                             const model::ResourceId& id) {
  std::string text;
  if (!exchange->ReadWholeBody(internal::kMaxBatchBytes, &text)) {
    internal::AnswerWithReason(exchange, 413, "the resource is above 1 MB");
    exchange->CloseAfter();
    return;
  }
  const bool is_put = exchange->method() == "PUT";
  base::Findings findings;
  model::Change change;
  change.id = id;
  std::string operation_id = exchange->QueryValue("operationId");
  std::string version(exchange->header("If-Match"));
  if (version.empty()) {
    version = exchange->QueryValue("basedOn");
  }
  if (model::IsNestedTooDeeply(text)) {
    findings.Add("body", absl::StrCat("is nested more than ",
                                      model::kMaxNesting, " levels deep"));
  } else if (is_put) {
    const internal::Json body = internal::Json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("spec")) {
      findings.Add("body", "is not a JSON object with spec");
    } else {
      change.spec = body["spec"].dump();
      if (version.empty() && body.contains("basedOn")) {
        version = body["basedOn"].dump();
      }
      if (operation_id.empty() && body.contains("operationId")) {
        operation_id = body["operationId"].is_string()
                           ? body["operationId"].get<std::string>()
                           : body["operationId"].dump();
      }
    }
  }
  if (!version.empty() && !internal::ParseVersion(version, &change.based_on)) {
    findings.Add("basedOn", "is not a resourceVersion",
                 "the number that a read gave, 0 for a new resource");
  }
  if (!findings.empty()) {
    internal::Answer(exchange, 400, {{"findings", internal::ToJson(findings)}});
    return;
  }
  model::ChangeBatch batch;
  batch.operation_id = operation_id.empty() ? NewOperationId() : operation_id;
  batch.changes.push_back(std::move(change));
  Write(exchange, std::move(batch));
}

void OperatorService::Batch(transport::HttpExchange* exchange) {
  std::string body;
  if (!exchange->ReadWholeBody(internal::kMaxBatchBytes, &body)) {
    internal::AnswerWithReason(exchange, 413, "the batch is above 1 MB");
    exchange->CloseAfter();
    return;
  }
  base::Findings findings;
  std::optional<model::ChangeBatch> batch = model::DecodeBatch(body, &findings);
  if (!batch) {
    internal::Answer(exchange, 400, {{"findings", internal::ToJson(findings)}});
    return;
  }
  Write(exchange, *std::move(batch));
}

void OperatorService::Write(transport::HttpExchange* exchange,
                            model::ChangeBatch batch) {
  base::Findings findings;
  if (batch.operation_id.empty() ||
      batch.operation_id.size() > internal::kMaxOperationIdLength) {
    findings.Add("operationId", "must have 1 to 128 bytes");
  }
  if (batch.changes.empty()) {
    findings.Add("changes", "is empty");
  }
  if (!findings.empty()) {
    internal::Answer(exchange, 400, {{"findings", internal::ToJson(findings)}});
    return;
  }
  const std::string operation_id = batch.operation_id;
  const std::optional<control::WriteAnswered> answer =
      control_->Write(std::move(batch), internal::kWriteTimeout);
  if (!answer) {
    internal::Answer(exchange, 503,
                     {{"reason", "the store does not answer"},
                      {"accepted", "unknown"},
                      {"operationId", operation_id}});
    return;
  }
  switch (answer->result) {
    case control::WriteAnswered::Result::kAccepted:
      internal::Answer(
          exchange, 200,
          {{"revision", answer->revision}, {"operationId", operation_id}});
      return;
    case control::WriteAnswered::Result::kInvalid:
      internal::Answer(exchange, 400,
                       {{"findings", internal::ToJson(answer->findings)}});
      return;
    case control::WriteAnswered::Result::kConflict: {
      internal::Json body = {
          {"reason", "another write was faster"},
          {"resource", answer->conflict.resource},
          {"resourceVersion", answer->conflict.current_version}};
      const auto configuration = control_->configuration();
      for (const auto& [id, resource] : configuration->resources()) {
        if (id.ToString() == answer->conflict.resource) {
          body["newer"] = internal::ToJson(resource);
        }
      }
      internal::Answer(exchange, 409, body);
      return;
    }
    case control::WriteAnswered::Result::kUnavailable:
      internal::Answer(exchange, 503,
                       {{"reason", "the store does not answer"},
                        {"accepted", "no"},
                        {"operationId", operation_id}});
      return;
  }
}

void OperatorService::Watch(transport::HttpExchange* exchange) {
  int64_t since = 0;
  if (!absl::SimpleAtoi(exchange->QueryValue("since"), &since) || since < 0) {
    internal::AnswerWithReason(exchange, 400, "since must be a revision");
    return;
  }
  if (++pending_watches_ <= internal::kMaxPendingWatches) {
    control_->WaitForRevisionAbove(since, internal::kWatchTimeout);
  }
  --pending_watches_;
  const ChangeHistory history = control_->history();
  const auto entries = history.EntriesAbove(since);
  if (!entries) {
    internal::Answer(exchange, 410,
                     {{"reason",
                       "older changes are no longer in memory: read "
                       "/v1/resources and watch from its revision"},
                      {"revision", history.revision()}});
    return;
  }
  internal::Json events = internal::Json::array();
  for (const auto& entry : *entries) {
    for (const model::Change& change : entry->batch.changes) {
      internal::Json event = {{"type", change.spec ? "put" : "delete"},
                              {"kind", ToString(change.id.kind)},
                              {"name", change.id.name},
                              {"resourceVersion", entry->revision}};
      if (change.spec) {
        event["spec"] = internal::Json::parse(*change.spec);
      }
      events.push_back(std::move(event));
    }
  }
  internal::Answer(
      exchange, 200,
      {{"revision", entries->empty() ? since : entries->back()->revision},
       {"events", std::move(events)}});
}

void OperatorService::Status(transport::HttpExchange* exchange) {
  const auto configuration = control_->configuration();
  const ChangeHistory history = control_->history();
  internal::Json body = internal::RevisionStatus(*configuration, history,
                                                 configuration->revision());
  body["revision"] = configuration->revision();
  body["instance"] = control_->identity().id.name;
  body["zone"] = control_->identity().zone;
  body["requestsInFlight"] = control_->traffic().in_flight();
  body["zones"] = internal::ZonesToJson(history);
  internal::Json drains = internal::Json::array();
  for (const auto& [name, drain] : configuration->drains()) {
    drains.push_back({{"name", name}, {"targetName", drain.target_name}});
  }
  body["drains"] = std::move(drains);
  internal::Json shifts = internal::Json::array();
  for (const auto& [name, shift] : configuration->shifts()) {
    shifts.push_back({{"name", name},
                      {"service", shift.service},
                      {"from", shift.from},
                      {"to", shift.to},
                      {"percent", shift.percent}});
  }
  body["shifts"] = std::move(shifts);
  internal::Answer(exchange, 200, body);
}

void OperatorService::ExplainCaller(transport::HttpExchange* exchange) {
  ExplainQuery query = {exchange->QueryValue("service"),
                        exchange->QueryValue("client"),
                        exchange->QueryValue("method")};
  if (query.method.empty()) {
    query.method = "GET";
  }
  const auto snapshot = control_->traffic().snapshot();
  const auto& services = snapshot->configuration->services();
  base::Findings findings;
  if (services.find(query.service) == services.end()) {
    std::vector<absl::string_view> names;
    for (const auto& [name, service] : services) {
      names.push_back(name);
    }
    const absl::string_view nearest_name =
        base::NearestName(query.service, names);
    findings.Add("service", "is not declared",
                 nearest_name.empty()
                     ? ""
                     : absl::StrCat("did you mean ", nearest_name));
  }
  if (!model::ClientAddress::Parse(query.client)) {
    findings.Add("client", "is not an IP number");
  }
  if (!findings.empty()) {
    internal::Answer(exchange, 400, {{"findings", internal::ToJson(findings)}});
    return;
  }
  internal::Answer(exchange, 200,
                   Explain(*snapshot, control_->traffic().slots_in_use(), query,
                           transport::SteadyNow()));
}

}  // namespace baobabwall::daemon
