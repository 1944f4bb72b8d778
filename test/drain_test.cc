#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "fake_cluster.h"

namespace baobabwall::test {
namespace {

using model::Kind;

std::string ReadFile(const std::string& file) {
  std::stringstream text;
  text << std::ifstream(file).rdbuf();
  return text.str();
}

/// \brief Two zones of a region with three instances and two servers each.
class DrainWorld {
 public:
  DrainWorld() : cluster(11) {
    for (int i = 0; i < 6; ++i) {
      cluster.Start(absl::StrCat("i-", i), absl::StrCat("amba-", i % 2));
    }
    cluster.RunFor(absl::Seconds(10));
    ApplyChange(Kind::kRegion, "amba", R"({"declaredRate":100})");
    for (const char* zone : {"amba-0", "amba-1"}) {
      ApplyChange(Kind::kZone, zone, R"({"region":"amba"})");
    }
    ApplyChange(Kind::kService, "s", R"({"tenant":"t","class":"interactive"})");
    for (int i = 0; i < 4; ++i) {
      ApplyChange(
          Kind::kBackendServer, absl::StrCat("s", i),
          absl::StrCat(R"({"service":"s","address":"10.9.0.1","port":80,)",
                       R"("slots":5,"zone":"amba-)", i % 2, "\"}"));
    }
    RunFor(absl::Seconds(20));
  }

  void ApplyChange(Kind kind, const std::string& name, const char* spec) {
    ApplyChange(kind, name, std::string(spec));
  }
  void ApplyChange(Kind kind,
                   const std::string& name,
                   const std::optional<std::string>& spec) {
    cluster.Send("i-0", {absl::StrCat("op-", ++operation_count),
                         {{{kind, name}, spec, std::nullopt}}});
    RunFor(absl::Milliseconds(500));
  }

  /// \brief Advances time while `slot_utilisation` of every slot share is in
  /// use.
  void RunFor(absl::Duration duration) {
    for (; duration > absl::ZeroDuration(); duration -= kStepDuration) {
      for (const auto& [name, process] : cluster.processes()) {
        control::TrafficReported report;
        for (const auto& backend : process->snapshot->backends) {
          report.slots_in_use[backend.name] =
              static_cast<int>(backend.slot_share * slot_utilisation);
        }
        cluster.Handle(name, report);
      }
      cluster.RunFor(kStepDuration);
    }
  }

  /// \returns the number of instances in its zone at which a server receives
  /// new requests.
  int AdmittingInstanceCount(const std::string& server) {
    int admitting_count = 0;
    for (const auto& [name, process] : cluster.processes()) {
      for (const auto& backend : process->snapshot->backends) {
        admitting_count +=
            backend.name == server && !backend.is_leaving ? 1 : 0;
      }
    }
    return admitting_count;
  }

  int TotalSlotShare(const std::string& server) {
    int total_share = 0;
    for (const auto& [name, process] : cluster.processes()) {
      for (const auto& backend : process->snapshot->backends) {
        total_share += backend.name == server ? backend.slot_share : 0;
      }
    }
    return total_share;
  }

  const control::AllotmentTable& TableOf(const std::string& name) {
    return cluster.process(name).node->allotments().table();
  }

  static constexpr absl::Duration kStepDuration = absl::Milliseconds(100);
  FakeCluster cluster;
  double slot_utilisation = 0;
  int operation_count = 0;
};

// Guards against slots that no instance may use, and against new requests at a
// server later than 3 s after the drain was accepted.
TEST_CASE("a drain with headroom stops new work within 3 s") {
  DrainWorld world;
  for (const char* server : {"s0", "s1", "s2", "s3"}) {
    CHECK(world.TotalSlotShare(server) == 5);
    CHECK(world.AdmittingInstanceCount(server) == 3);
  }
  world.ApplyChange(Kind::kDrain, "d",
                    R"({"target":"backendServer","targetName":"s0"})");
  world.RunFor(absl::Milliseconds(2500));
  CHECK(world.AdmittingInstanceCount("s0") == 0);
  CHECK(world.AdmittingInstanceCount("s2") == 3);
  // Cancelling the drain restores all shares, which were kept during the drain.
  world.ApplyChange(Kind::kDrain, "d", std::nullopt);
  world.RunFor(absl::Milliseconds(2500));
  CHECK(world.AdmittingInstanceCount("s0") == 3);
  CHECK(world.TotalSlotShare("s0") == 5);
}

// Guards against a drain that overloads the remaining servers.
TEST_CASE("a drain without headroom is refused or waits") {
  DrainWorld world;
  world.slot_utilisation = 1;
  world.RunFor(absl::Seconds(60));
  world.ApplyChange(Kind::kDrain, "refused",
                    R"({"target":"zone","targetName":"amba-0"})");
  world.ApplyChange(Kind::kDrain, "waiting",
                    R"({"target":"zone","targetName":"amba-1",
                   "onShortage":"wait"})");
  world.RunFor(absl::Seconds(10));
  CHECK(world.AdmittingInstanceCount("s0") == 3);
  CHECK(world.AdmittingInstanceCount("s1") == 3);
  CHECK_FALSE(world.TableOf("i-0").drains.at("refused").is_started);
  world.slot_utilisation = 0;
  world.RunFor(absl::Seconds(60));
  // A refused drain is not retried.
  CHECK(world.AdmittingInstanceCount("s0") == 3);
  CHECK(world.AdmittingInstanceCount("s1") == 0);
}

// Guards against two drains that each have enough headroom alone, but not
// together.
TEST_CASE("the older of two drains starts first") {
  DrainWorld world;
  world.slot_utilisation = 0.5;
  world.RunFor(absl::Seconds(60));
  world.ApplyChange(Kind::kDrain, "first",
                    R"({"target":"backendServer","targetName":"s0"})");
  world.RunFor(absl::Seconds(5));
  world.ApplyChange(Kind::kDrain, "second",
                    R"({"target":"backendServer","targetName":"s2"})");
  world.ApplyChange(Kind::kDrain, "third",
                    R"({"target":"instance","targetName":"i-2"})");
  world.RunFor(absl::Seconds(5));
  CHECK(world.AdmittingInstanceCount("s0") == 0);
  CHECK(world.TableOf("i-0").drains.at("third").is_started);
  world.RunFor(absl::Seconds(20));
  int remaining_slot_share = 0;
  for (const auto& backend : world.cluster.process("i-2").snapshot->backends) {
    remaining_slot_share += backend.slot_share;
  }
  CHECK(remaining_slot_share == 0);
  CHECK(world.TotalSlotShare("s2") == 5);
}

// Guards against a leaving server that is detected only through a drain.
TEST_CASE("the list and a probe can report that a server is leaving") {
  DrainWorld world;
  control::ListRead read;
  read.list = world.cluster.process("i-0").node->membership().list();
  read.list.backend_servers = {{"s0", true}};
  world.cluster.Handle("i-0", read);
  CHECK(world.AdmittingInstanceCount("s0") == 2);
  control::ProbeEnded probe;
  probe.backend_server = "s1";
  probe.is_answered = true;
  probe.is_leaving = true;
  world.cluster.Handle("i-1", probe);
  CHECK(world.AdmittingInstanceCount("s1") == 2);
}

// Guards against a check result without figures, and against unknown usage that
// counts as no usage.
TEST_CASE("the result of a drain check contains its figures") {
  DrainWorld world;
  const auto& configuration =
      world.cluster.process("i-0").node->configuration();
  model::Drain drain;
  drain.target = model::DrainTarget::kZone;
  drain.target_name = "amba-0";
  const auto result =
      control::CheckDrain(configuration, drain, {},
                          {{{"amba-0", "s"}, 4}, {{"amba-1", "s"}, 6}}, 3);
  CHECK(result.ToString() == "slots of s in amba: needs 10.0, has 9.0");
  CHECK(control::CheckDrain(configuration, drain, {},
                            {{{"amba-0", "s"}, 4}, {{"amba-1", "s"}, 5}}, 3)
            .has_headroom());
  CHECK(control::CheckDrain(configuration, drain, {}, {}, 3).ToString() ==
        "slots of s in amba: the use is not known");
}

// Guards against charts that the code cannot run.
TEST_CASE("the drain, shift and instance charts handle their events") {
  base::Findings findings;
  const auto parse = [&](const char* name,
                         const chart::Vocabulary& vocabulary) {
    const std::string file = absl::StrCat("charts/", name, ".chart");
    return chart::StateChart::Parse(file, ReadFile(file), vocabulary,
                                    &findings);
  };
  const auto drain_chart = parse("drain", control::DrainVocabulary());
  const auto shift_chart = parse("shift", control::ShiftVocabulary());
  const auto instance_chart = parse("instance", control::InstanceVocabulary());
  REQUIRE(findings.ToString() == "");

  model::Drain drain;
  drain.on_shortage = model::DrainShortage::kWait;
  control::DrainProgress drain_progress(drain, drain_chart);
  control::DrainCheckResult shortage_result;
  shortage_result.shortfalls.push_back({"slots", 3, 2, true});
  CHECK(drain_progress.OnCheckResult(shortage_result, false).size() == 1);
  CHECK(drain_progress.state() == "waiting");
  CHECK(drain_progress.shortage() == "slots: needs 3.0, has 2.0");
  drain_progress.OnCheckResult({}, true);
  drain_progress.OnSlotsInUse(2);
  CHECK(drain_progress.state() == "draining");
  drain_progress.OnSlotsInUse(0);
  CHECK(drain_progress.state() == "drained");
  CHECK(drain_progress.OnCancel()[0] == "restore");

  model::Shift shift;
  shift.percent = 30;
  control::ShiftProgress shift_progress(shift, shift_chart);
  shift_progress.OnMovedPercent(5, 20);
  CHECK(shift_progress.state() == "moving");
  shift_progress.OnMovedPercent(20, 20);
  CHECK(shift_progress.state() == "limited");
  shift_progress.OnMovedPercent(30, 40);
  CHECK(shift_progress.state() == "in-force");

  control::InstanceLifeCycle life_cycle(instance_chart);
  life_cycle.Handle("ready");
  life_cycle.Handle("pause");
  CHECK_FALSE(life_cycle.is_admitting());
  life_cycle.Handle("compared");
  life_cycle.Handle("shutdown");
  CHECK(life_cycle.is_admitting());
  CHECK(life_cycle.is_leaving());
  life_cycle.Handle("lookups-expired");
  CHECK_FALSE(life_cycle.is_admitting());
  life_cycle.Handle("idle");
  CHECK(life_cycle.state() == "stopped");
}

}  // namespace
}  // namespace baobabwall::test
