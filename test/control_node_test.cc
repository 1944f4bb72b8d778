#include <catch2/catch.hpp>

#include <string>
#include <variant>

#include "absl/strings/str_cat.h"
#include "fake_cluster.h"

namespace baobabwall::test {
namespace {

using Result = control::WriteAnswered::Result;

model::ChangeBatch MakeBatch(int i) {
  return {absl::StrCat("op-", i),
          {{{model::Kind::kRegion, absl::StrCat("r", i % 5)},
            absl::StrCat("{\"declaredRate\":", i, "}"),
            {}}}};
}

void StartInstances(FakeCluster* cluster, int count, int zones) {
  for (int i = 0; i < count; ++i) {
    cluster->Start(absl::StrCat("i-", i), absl::StrCat("amba-", i % zones));
  }
}

int64_t Revision(FakeCluster* cluster, const std::string& name) {
  return cluster->process(name).node->configuration().revision();
}

// Guards against an instance that cannot start without the store.
TEST_CASE(
    "an instance that starts while the store is down pulls from its peers") {
  FakeCluster cluster(1);
  StartInstances(&cluster, 4, 2);
  cluster.RunFor(absl::Seconds(15));
  cluster.Send("i-0", MakeBatch(1));
  cluster.RunFor(absl::Seconds(3));
  cluster.store().faults().is_down = true;
  cluster.RunFor(absl::Seconds(3));
  cluster.Start("new", "amba-0");
  cluster.RunFor(absl::Seconds(6));
  CHECK(cluster.process("new").snapshot->is_ready);
  CHECK(Revision(&cluster, "new") == 1);
}

// Guards against an instance that serves requests without a configuration.
TEST_CASE("an instance with neither store nor peers is not ready") {
  FakeCluster cluster(2);
  cluster.store().faults().is_down = true;
  cluster.Start("i-0", "amba-0");
  cluster.RunFor(absl::Seconds(60));
  CHECK_FALSE(cluster.process("i-0").snapshot->is_ready);
  cluster.store().faults().is_down = false;
  cluster.RunFor(absl::Seconds(10));
  CHECK(cluster.process("i-0").snapshot->is_ready);
}

// Guards against a process that admits requests with outdated state after a
// pause.
TEST_CASE("a process admits after a pause only once its state is confirmed") {
  FakeCluster cluster(3);
  StartInstances(&cluster, 4, 2);
  cluster.RunFor(absl::Seconds(15));
  cluster.Pause("i-0", absl::Seconds(20));
  cluster.RunFor(absl::Seconds(1));
  cluster.Send("i-1", MakeBatch(1));
  bool is_first_publish = true;
  bool was_first_admitting = true;
  bool has_admitted_old_revision = false;
  cluster.action_hook = [&](FakeCluster::Process& process,
                            const control::Action& action) {
    const auto* publish = std::get_if<control::PublishSnapshot>(&action);
    if (process.identity.id.name != "i-0" || publish == nullptr) {
      return;
    }
    const steer::Snapshot& snapshot = *publish->snapshot;
    was_first_admitting =
        is_first_publish ? snapshot.is_admitting : was_first_admitting;
    is_first_publish = false;
    has_admitted_old_revision =
        has_admitted_old_revision ||
        (snapshot.is_admitting && snapshot.configuration->revision() == 0);
  };
  cluster.RunFor(absl::Seconds(25));
  CHECK_FALSE(was_first_admitting);
  CHECK_FALSE(has_admitted_old_revision);
  CHECK(cluster.process("i-0").snapshot->is_admitting);
  CHECK(Revision(&cluster, "i-0") == 1);
  for (const auto& [name, process] : cluster.processes()) {
    CHECK(process->snapshot->instances.size() == 4);
  }
}

// Guards against a comparison with a peer that has no configuration.
TEST_CASE("a peer without a configuration cannot confirm the revision") {
  control::Freshness freshness;
  const absl::Time now = absl::UnixEpoch();
  freshness.OnPause(now);
  freshness.OnCompared(-1);
  CHECK_FALSE(freshness.Update(5, false, now));
  freshness.OnCompared(6);
  CHECK_FALSE(freshness.Update(5, false, now));
  CHECK(freshness.Update(6, false, now));
}

// Guards against instances that discover each other only through the platform's
// list.
TEST_CASE("configured peer addresses are sufficient for discovery") {
  FakeCluster cluster(11);
  cluster.is_list_empty = true;
  const control::Identity first = cluster.Start("i-0", "amba-0").identity;
  control::Identity contact;
  contact.address = first.address;
  contact.peer_port = first.peer_port;
  cluster.peers = {contact};
  cluster.Start("i-1", "amba-1");
  cluster.Start("i-2", "amba-0");
  cluster.RunFor(absl::Seconds(10));
  for (const auto& [name, process] : cluster.processes()) {
    CHECK(process->snapshot->instances.size() == 3);
    CHECK(process->snapshot->is_ready);
  }
}

// Guards against a single instance that never admits again after a pause, and
// against an instance that admits although all its peers are unreachable.
TEST_CASE(
    "after a pause without the store only an instance without peers admits") {
  const int instance_count = GENERATE(1, 2);
  FakeCluster cluster(4);
  StartInstances(&cluster, instance_count, 1);
  cluster.RunFor(absl::Seconds(15));
  cluster.store().faults().is_down = true;
  cluster.network().faults().loss_ratio = 1;
  cluster.Pause("i-0", absl::Seconds(4));
  cluster.RunFor(absl::Seconds(5));
  CHECK_FALSE(cluster.process("i-0").snapshot->is_admitting);
  cluster.RunFor(absl::Seconds(8));
  CHECK(cluster.process("i-0").snapshot->is_admitting == (instance_count == 1));
  cluster.RunFor(absl::Minutes(5));
  CHECK(cluster.process("i-0").snapshot->is_admitting == (instance_count == 1));
}

// Guards against unbounded growth of the log, and against a new instance that
// lacks the deleted entries.
TEST_CASE("snapshots limit the log size and new instances load a snapshot") {
  FakeCluster cluster(5);
  cluster.snapshot_policy = {20, absl::Minutes(2)};
  StartInstances(&cluster, 3, 1);
  cluster.RunFor(absl::Seconds(15));
  for (int i = 0; i < 100; ++i) {
    cluster.Send(absl::StrCat("i-", i % 3), MakeBatch(i));
    cluster.RunFor(absl::Seconds(2));
  }
  CHECK(cluster.store().PeekPrefix("config/log/").size() < 100);
  cluster.RunFor(absl::Minutes(5));
  CHECK(cluster.store().PeekPrefix("config/log/").size() <= 30);
  // The keys are the head and one or two snapshot parts.
  CHECK(cluster.store().PeekPrefix("config/snapshot/").size() <= 3);
  const std::string expected_spec = cluster.process("i-0")
                                        .node->configuration()
                                        .Find({model::Kind::kRegion, "r3"})
                                        ->spec();
  for (const char* name : {"i-0", "i-1", "i-2"}) {
    cluster.Kill(name);
  }
  cluster.Start("new", "amba-0");
  cluster.RunFor(absl::Seconds(15));
  REQUIRE(Revision(&cluster, "new") == 100);
  CHECK(cluster.process("new")
            .node->configuration()
            .Find({model::Kind::kRegion, "r3"})
            ->spec() == expected_spec);
  // The snapshot also contains the operation of a deleted entry.
  const size_t resent_write = cluster.Send("new", MakeBatch(7));
  cluster.RunFor(absl::Seconds(2));
  CHECK(cluster.writes()[resent_write].answer.revision == 8);
}

// Guards against overloading the store when all instances start.
TEST_CASE("a simultaneous start of all instances makes few store calls") {
  FakeCluster cluster(6);
  StartInstances(&cluster, 60, 6);
  cluster.RunFor(absl::Seconds(20));
  // Each reader makes one range read of the log and a few watch calls.
  const auto readers = static_cast<int64_t>(6 * control::kReadersPerZone);
  CHECK(cluster.store().reads() <= readers * 5);
  CHECK(static_cast<int64_t>(cluster.store().pending_watches()) == readers);
  CHECK(cluster.store().writes() == 0);
}

// Guards against a leaving instance that other instances still treat as active.
TEST_CASE(
    "all instances mark an instance as leaving before the instance stops") {
  FakeCluster cluster(7);
  StartInstances(&cluster, 8, 2);
  cluster.RunFor(absl::Seconds(15));
  cluster.Handle("i-3", control::ShutdownRequested());
  cluster.RunFor(absl::Seconds(5));
  for (const auto& [name, process] : cluster.processes()) {
    for (const steer::InstanceView& view : process->snapshot->instances) {
      CHECK(view.is_leaving == (view.id.name == "i-3"));
    }
  }
}

// Guards against placement decisions that ignore the load of other instances.
TEST_CASE("the utilisation of an instance is reported to all instances") {
  FakeCluster cluster(10);
  StartInstances(&cluster, 4, 2);
  cluster.RunFor(absl::Seconds(15));
  const auto make_change = [](model::Kind kind, const char* name,
                              const char* spec) {
    return model::Change{{kind, name}, std::string(spec), std::nullopt};
  };
  cluster.Send(
      "i-0",
      {"op",
       {make_change(model::Kind::kService, "s",
                    R"({"tenant":"t","class":"interactive"})"),
        make_change(model::Kind::kRegion, "amba", R"({"declaredRate":1})"),
        make_change(model::Kind::kZone, "amba-0", R"({"region":"amba"})"),
        make_change(model::Kind::kBackendServer, "b",
                    R"({"service":"s","zone":"amba-0","address":"10.1.0.1",)"
                    R"("port":1,"slots":8})")}});
  cluster.RunFor(absl::Seconds(2));
  control::TrafficReported traffic_report;
  traffic_report.slots_in_use = {{"b", 2}};
  cluster.Handle("i-0", traffic_report);
  cluster.RunFor(absl::Seconds(10));
  for (const auto& [name, process] : cluster.processes()) {
    for (const steer::InstanceView& view : process->snapshot->instances) {
      if (view.id.name == "i-0") {
        REQUIRE(view.utilisation.count("s") == 1);
        CHECK(view.utilisation.at("s") == Approx(0.5));
      }
    }
  }
}

// Guards against state of replaced instances that is never removed.
TEST_CASE("state of replaced instances is removed") {
  FakeCluster cluster(8);
  StartInstances(&cluster, 6, 2);
  cluster.RunFor(absl::Seconds(15));
  for (int i = 0; i < 30; ++i) {
    const std::string name = absl::StrCat("i-", i % 6);
    cluster.Kill(name);
    cluster.RunFor(absl::Seconds(4));
    cluster.Start(name, absl::StrCat("amba-", i % 2));
    cluster.RunFor(absl::Seconds(8));
  }
  for (int i = 0; i < 30; ++i) {
    cluster.Start(absl::StrCat("new-", i), "amba-0");
    cluster.RunFor(absl::Seconds(8));
    cluster.Kill(absl::StrCat("new-", i));
  }
  cluster.RunFor(absl::Seconds(120));
  for (const auto& [name, process] : cluster.processes()) {
    const control::Membership& membership = process->node->membership();
    CHECK(membership.members().size() == 5);
    CHECK(membership.entry_count() <= 5 + 6);
    CHECK(process->snapshot->instances.size() == 6);
  }
}

// Guards against a zone status that omits an instance with an older revision.
TEST_CASE("the zone status lists the instances with an older revision") {
  FakeCluster cluster(9);
  StartInstances(&cluster, 6, 2);
  cluster.RunFor(absl::Seconds(15));
  cluster.Send("i-1", MakeBatch(1));
  cluster.RunFor(absl::Seconds(10));
  const absl::Time time_before_write = cluster.queue().now();
  std::string isolated_instance;
  for (const auto& [name, process] : cluster.processes()) {
    if (process->identity.zone == "amba-0" && !process->node->is_reader()) {
      isolated_instance = name;
    }
  }
  // The reports of the isolated instance are delivered, but no log entries
  // reach this instance.
  cluster.network().faults().is_cut = [isolated_instance](
                                          const control::Identity&,
                                          const control::Identity& to) {
    return to.id.name == isolated_instance;
  };
  cluster.Send("i-1", MakeBatch(2));
  cluster.RunFor(absl::Milliseconds(2500));
  int checked_status_count = 0;
  for (const auto& [name, process] : cluster.processes()) {
    if (!process->node->is_reader() || process->identity.zone != "amba-0") {
      continue;
    }
    for (const control::ZoneStatus& zone : process->node->zone_statuses()) {
      if (zone.zone != "amba-0") {
        continue;
      }
      ++checked_status_count;
      REQUIRE(zone.behind.size() == 1);
      CHECK(zone.behind[0].name == isolated_instance);
      CHECK(zone.behind[0].revision == 1);
      CHECK(zone.behind[0].since >= time_before_write);
      CHECK(zone.lowest_revision == 1);
    }
  }
  CHECK(checked_status_count > 0);
}

}  // namespace
}  // namespace baobabwall::test
