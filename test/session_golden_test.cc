#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "fake_cluster.h"
#include "nlohmann/json.hpp"

namespace baobabwall::test {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream stream(path);
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

// Runs a session of one deployment with the steps apply, lookup, request, drain
// and watch. Each step writes the output visible to an operator or a caller.
class Session {
 public:
  explicit Session(const std::string& deployment) : cluster_(7) {
    const std::string directory = "deployments/" + deployment;
    const auto list =
        nlohmann::json::parse(ReadFile(directory + "/settings/instances.json"));
    for (const auto& item : list["instances"]) {
      instance_names_.push_back(item["name"]);
      cluster_.Start(item["name"], item["zone"]);
    }
    resources_ = ReadFile(directory + "/resources.json");
    cluster_.RunFor(absl::Seconds(5));
  }

  std::string Run() {
    Apply(absl::StrCat(R"({"operationId": "apply", "changes": )", resources_,
                       "}"));
    const auto resources = nlohmann::json::parse(resources_);
    std::string transactional;
    for (const auto& item : resources) {
      if (item["kind"] == "Service") {
        Lookup(item["name"]);
      }
      if (item["kind"] == "Service" &&
          item["spec"]["class"] == "transactional") {
        transactional = item["name"];
      }
    }
    Request(transactional);
    const std::string server = transactional + "-01";
    AppendLine("leaving ", server, ": ", IsLeaving(server));
    Apply(absl::StrCat(
        R"({"operationId": "drain", "changes": [{"kind": "Drain", "name": "d",
            "spec": {"target": "backendServer", "targetName": ")",
        server, R"("}}]})"));
    AppendLine("leaving ", server, ": ", IsLeaving(server));
    Apply(R"({"operationId": "undrain", "changes":
              [{"kind": "Drain", "name": "d", "spec": null}]})");
    AppendLine("leaving ", server, ": ", IsLeaving(server));
    Watch(1);
    return output_;
  }

 private:
  template <typename... Parts>
  void AppendLine(const Parts&... parts) {
    absl::StrAppend(&output_, parts..., "\n");
  }

  const steer::Snapshot& FirstSnapshot() {
    return *cluster_.process(instance_names_[0]).snapshot;
  }

  void Apply(const std::string& text) {
    base::Findings findings;
    const auto batch = model::DecodeBatch(text, &findings);
    REQUIRE(batch);
    const size_t index = cluster_.Send(instance_names_[0], *batch);
    RunFor(6);
    const FakeCluster::Write& write = cluster_.writes()[index];
    REQUIRE(write.is_answered);
    AppendLine("apply ", write.operation_id,
               ": result=", static_cast<int>(write.answer.result),
               " revision=", write.answer.revision);
    int in_force_count = 0;
    for (const std::string& name : instance_names_) {
      in_force_count +=
          cluster_.process(name).node->configuration().revision() ==
          write.answer.revision;
    }
    AppendLine("  in force after 6 s at ", in_force_count, " of ",
               instance_names_.size());
    // The writer of a zone's allotment table starts a drain only after the
    // configuration change was applied.
    RunFor(2);
  }

  // Drain decisions require the slot usage reported by the traffic threads, so
  // each second includes a traffic report.
  void RunFor(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      cluster_.RunFor(absl::Seconds(1));
      for (const std::string& name : instance_names_) {
        cluster_.Handle(name, control::TrafficReported());
      }
    }
  }

  void Lookup(const std::string& service) {
    for (const auto& [zone, address] : FirstClientAddresses()) {
      const auto answer = steer::Lookup(FirstSnapshot(), service, address,
                                        absl::UnixEpoch() + absl::Hours(1));
      AppendLine("lookup ", service, " from ", address, " of ", zone,
                 " ttl=", absl::FormatDuration(answer.ttl));
      for (const steer::LookupEntry& entry : answer.entries) {
        AppendLine("  ", entry.instance);
      }
    }
  }

  // Returns the first client address of the first client block of each zone.
  std::vector<std::pair<std::string, std::string>> FirstClientAddresses() {
    std::vector<std::pair<std::string, std::string>> clients;
    for (const auto& item : nlohmann::json::parse(resources_)) {
      if (item["kind"] != "ClientBlocks") {
        continue;
      }
      for (const auto& [zone, blocks] : item["spec"]["blocks"].items()) {
        const std::string block = blocks[0];
        clients.emplace_back(zone, block.substr(0, block.find(".0/")) + ".1");
      }
    }
    return clients;
  }

  void Request(const std::string& service) {
    const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
    const auto engine = steer::Engine::Builder().Seed(7).Build();
    engine->Publish(cluster_.process(instance_names_[0]).snapshot, now);
    steer::RequestArrival arrival;
    arrival.id = 1;
    arrival.service = service;
    arrival.method = "POST";
    arrival.path = "/book";
    arrival.client_address = FirstClientAddresses()[0].second;
    arrival.idempotency_key =
        steer::IdempotencyKey::Prefix(FirstSnapshot().self,
                                      now + absl::Minutes(5)) +
        ".n1";
    arrival.deadline = now + absl::Seconds(2);
    for (const steer::Action& action : engine->OnArrival(arrival, now)) {
      if (const auto* start = std::get_if<steer::StartAttempt>(&action)) {
        AppendLine("request ", service, " goes to ", start->target.name,
                   " port ", start->target.port);
        steer::AttemptEnd end;
        end.request = 1;
        end.attempt = start->attempt;
        end.result = steer::AttemptResult::kBroken;
        PrintAnswers(engine->OnAttemptEnd(end, now));
      }
    }
    arrival.id = 2;
    AppendLine("the same key again");
    PrintAnswers(engine->OnArrival(arrival, now));
  }

  void PrintAnswers(const steer::Actions& actions) {
    for (const steer::Action& action : actions) {
      if (const auto* answer = std::get_if<steer::AnswerCaller>(&action)) {
        AppendLine("  answered ", answer->status, " ",
                   std::string(ToString(answer->outcome)), ": ",
                   answer->reason);
      }
    }
  }

  std::string IsLeaving(const std::string& server) {
    for (const steer::BackendView& backend : FirstSnapshot().backends) {
      if (backend.name == server) {
        return backend.is_leaving ? "yes" : "no";
      }
    }
    return "not in the zone";
  }

  void Watch(int64_t since) {
    AppendLine("watch since ", since);
    const auto& node = *cluster_.process(instance_names_.back()).node;
    for (const std::string& entry : node.EntriesFrom(since + 1)) {
      AppendLine("  ", ++since, " ", entry);
    }
  }

  FakeCluster cluster_;
  std::vector<std::string> instance_names_;
  std::string resources_;
  std::string output_;
};

// Guards against unintended changes of the output visible to operators and
// callers. BAOBABWALL_WRITE_GOLDEN=1 regenerates the golden files.
TEST_CASE("the session output matches the golden files") {
  const std::string deployment =
      GENERATE(std::string("cantaloma"), std::string("altyn-bine"));
  const std::string file = "test/golden/" + deployment + ".txt";
  const std::string text = Session(deployment).Run();
  if (std::getenv("BAOBABWALL_WRITE_GOLDEN") != nullptr) {
    std::ofstream(file) << text;
  }
  CHECK(text == ReadFile(file));
}

}  // namespace
}  // namespace baobabwall::test
