#include <catch2/catch.hpp>

#include "control/control.h"

namespace baobabwall::control {
namespace {

std::shared_ptr<const model::Configuration> MakeConfiguration(
    const std::vector<std::pair<model::ResourceId, std::string>>& specs) {
  model::ChangeBatch batch;
  for (const auto& [id, spec] : specs) {
    batch.changes.push_back({id, spec, {}});
  }
  base::Findings findings;
  auto configuration =
      model::Configuration::Empty()->Apply(batch, 1, &findings);
  CAPTURE(findings.ToString());
  REQUIRE(configuration != nullptr);
  return configuration;
}

// Guards against a writer with an outdated split table that raises the zone's
// part of a cap after the zone has released that part.
TEST_CASE("a writer with an outdated split table does not write") {
  const auto configuration = MakeConfiguration(
      {{{model::Kind::kRegion, "a"}, R"({"declaredRate":10})"},
       {{model::Kind::kRegion, "b"}, R"({"declaredRate":10})"},
       {{model::Kind::kZone, "b1"}, R"({"region":"b"})"},
       {{model::Kind::kCap, "cap"},
        R"({"region":"a","maxMovedPercent":10,"windowMs":60000})"}});
  AllotmentTable zone_table;
  zone_table.epoch = 7;
  zone_table.config_revision = 1;
  zone_table.split_epoch = 2;
  zone_table.totals["moved/cap"].total = 40;
  zone_table.totals["moved/cap"].declared_total = 60;
  AllotmentTable split_table;
  split_table.epoch = 1;
  split_table.totals["moved/cap"].total = 60;
  split_table.totals["moved/cap"].declared_total = 60;
  split_table.totals["moved/cap"].shares["b1"] = {60, 60, 0};
  for (const bool rejects_stale_inputs : {true, false}) {
    AllotmentRules rules;
    rules.reject_stale_inputs = rejects_stale_inputs;
    StoreCallId last_call = 0;
    Identity self;
    self.id = {"p", 1};
    self.zone = "b1";
    self.region = "b";
    const auto allotments =
        Allotments::Builder(self, [&] { return ++last_call; })
            .Rules(rules)
            .Build();
    allotments->OnConfiguration(configuration);
    absl::Time now = absl::UnixEpoch();
    int64_t max_written_total = 0;
    for (int i = 0; i < 100; ++i) {
      now += kTickInterval;
      Actions actions;
      allotments->OnTick(now, &actions);
      for (const Action& action : actions) {
        const auto& call = std::get<StoreCall>(action);
        StoreAnswer answer;
        answer.id = call.id;
        if (const auto* get = std::get_if<StoreGet>(&call.request)) {
          const bool is_zone = get->key == AllotmentKey("b1");
          answer.status = StoreStatus::kOk;
          answer.key_values.push_back(
              {get->key,
               EncodeAllotmentTable(is_zone ? zone_table : split_table), 3});
        } else if (const auto* swap =
                       std::get_if<StoreCompareAndSwap>(&call.request)) {
          base::Findings findings;
          const auto table = DecodeAllotmentTable(swap->value, &findings);
          max_written_total =
              std::max(max_written_total, table->totals.at("moved/cap").total);
        } else {
          continue;
        }
        Actions ignored_actions;
        allotments->OnStoreAnswer(answer, now, &ignored_actions);
      }
    }
    CHECK(max_written_total == (rejects_stale_inputs ? 0 : 60));
  }
}

// Guards against store calls in a tight loop while the store is down.
TEST_CASE("the interval between table reads grows while the store is down") {
  StoreCallId last_call = 0;
  Identity self;
  self.id = {"p", 1};
  self.zone = "b1";
  const auto allotments =
      Allotments::Builder(self, [&] { return ++last_call; }).Build();
  allotments->OnConfiguration(MakeConfiguration(
      {{{model::Kind::kRegion, "b"}, R"({"declaredRate":10})"},
       {{model::Kind::kZone, "b1"}, R"({"region":"b"})"}}));
  absl::Time now = absl::UnixEpoch();
  int call_count = 0;
  for (int i = 0; i < 1200; ++i) {
    now += kTickInterval;
    Actions actions;
    allotments->OnTick(now, &actions);
    for (const Action& action : actions) {
      call_count += i >= 600 ? 1 : 0;
      StoreAnswer unknown_answer;
      unknown_answer.id = std::get<StoreCall>(action).id;
      Actions ignored_actions;
      allotments->OnStoreAnswer(unknown_answer, now, &ignored_actions);
    }
  }
  // Allows each of the two tables one read per 5 s; after 60 s the backoff
  // delay is longer than 5 s.
  CHECK(call_count <= 2 * 60 / 5);
}

// Guards against a table that is accepted although its shares are invalid.
TEST_CASE("decoding a table reports all its findings") {
  base::Findings findings;
  CHECK_FALSE(DecodeAllotmentTable(
      R"({"epoch":1,"config":"x","split":0,"holders":["p.1"],"totals":{
          "slots/a":[2,2,[[0,3]]],"slots/b":[2,2,[[0,2,1,1],[4,1]]],
          "slots/c":[1]}})",
      &findings));
  CHECK(findings.items().size() == 3);
  AllotmentTable table;
  table.epoch = 3;
  table.totals["slots/a"] = {5, 5, {{"p.1", {1, 3, 2}}, {"q.1", {2, 2, 0}}}};
  table.confirmations["p.1"] = 4;
  base::Findings table_findings;
  const auto read =
      DecodeAllotmentTable(EncodeAllotmentTable(table), &table_findings);
  REQUIRE(read);
  CHECK(read->totals.at("slots/a").shares == table.totals.at("slots/a").shares);
  CHECK(read->confirmations == table.confirmations);
  table.totals["slots/a"].total = 4;
  CheckAllotmentTable(table, &table_findings);
  CHECK(table_findings.items().size() == 1);
}

PlanInput ZoneInput(int holders, int servers, int slots) {
  PlanInput input;
  for (int i = 0; i < holders; ++i) {
    input.holders["h" + std::to_string(i)];
  }
  for (int i = 0; i < servers; ++i) {
    input.totals["slots/s" + std::to_string(i)] = {slots, slots, "s", {}};
  }
  input.is_acknowledged = [](auto...) { return true; };
  return input;
}

/// \brief Plans repeatedly until the table no longer changes.
/// \returns the number of plans that needed a write.
int PlanUntilStable(AllotmentTable* table, const PlanInput& input) {
  for (int writes = 0;; ++writes) {
    AllotmentPlan plan = PlanAllotments(*table, input);
    base::Findings findings;
    CheckAllotmentTable(plan.table, &findings);
    CHECK(findings.ToString() == "");
    if (!plan.is_write_needed) {
      return writes;
    }
    REQUIRE(writes < 10);
    *table = std::move(plan.table);
  }
}

std::map<std::string, int64_t> SlotCounts(const AllotmentTable& table) {
  std::map<std::string, int64_t> slot_counts;
  for (const auto& [key, total] : table.totals) {
    for (const auto& [holder, share] : total.shares) {
      slot_counts[holder] += share.target;
    }
  }
  return slot_counts;
}

// Guards against unassigned slots, uneven shares, and shares that move although
// nothing changed.
TEST_CASE("slots are divided evenly and do not move without need") {
  AllotmentTable table;
  PlanInput input = ZoneInput(5, 4, 3);
  CHECK(PlanUntilStable(&table, input) == 1);
  const auto before = SlotCounts(table);
  for (const auto& [holder, count] : before) {
    CHECK((count == 2 || count == 3));
  }
  CHECK(PlanUntilStable(&table, input) == 0);
  input.holders["new"];
  // One write lowers targets, the next one raises targets.
  CHECK(PlanUntilStable(&table, input) == 2);
  int moved_slots = 0;
  for (const auto& [holder, count] : SlotCounts(table)) {
    CHECK(count == 2);
    const auto previous = before.find(holder);
    moved_slots += previous == before.end()
                       ? 0
                       : static_cast<int>(previous->second - count);
  }
  CHECK(moved_slots == 2);
}

// Guards against a service that only a few instances can serve although it has
// more slots.
TEST_CASE("with more instances than slots each slot has a different holder") {
  AllotmentTable table;
  PlanUntilStable(&table, ZoneInput(20, 4, 3));
  const auto slot_counts = SlotCounts(table);
  CHECK(slot_counts.size() == 12);
}

// Guards against shares that ignore the load, and against shares that oscillate
// with the load.
TEST_CASE("slots move from idle to busy instances") {
  AllotmentTable table;
  PlanInput input = ZoneInput(4, 4, 4);
  PlanUntilStable(&table, input);
  input.rebalance_by_load = true;
  input.holders["h0"].utilisation["s"] = 0.95;
  for (const char* idle : {"h1", "h2", "h3"}) {
    input.holders[idle].utilisation["s"] = 0.2;
  }
  CHECK(PlanUntilStable(&table, input) < 10);
  CHECK(SlotCounts(table)["h0"] == 8);
  // The load of h0 falls, but no other instance is busy.
  input.holders["h0"].utilisation["s"] = 0.6;
  CHECK(PlanUntilStable(&table, input) == 0);
  // The other instances become busy and need their shares back.
  for (const char* busy : {"h1", "h2", "h3"}) {
    input.holders[busy].utilisation["s"] = 0.95;
  }
  PlanUntilStable(&table, input);
  for (const auto& [holder, count] : SlotCounts(table)) {
    CHECK((count == 4 || count == 5 || count == 3));
  }
}

// Guards against use above a lowered total while some holders receive the new
// table first and others the new configuration first.
TEST_CASE("a lowered total scales every target down at once") {
  AllotmentTable table;
  PlanInput input = ZoneInput(4, 1, 10);
  PlanUntilStable(&table, input);
  const AllotmentTable previous = table;
  input.totals["slots/s0"] = {5, 5, "s", {}};
  input.is_acknowledged = [](auto...) { return false; };
  PlanUntilStable(&table, input);
  const AllotmentTotal& total = table.totals.at("slots/s0");
  CHECK(total.total == 10);
  for (const auto& [holder, share] : total.shares) {
    const int64_t before = previous.Find("slots/s0", holder)->target;
    CHECK(share.target <= ScaleShare(before, 5, 10));
    CHECK(share.reserved == before);
  }
  input.is_acknowledged = [](auto...) { return true; };
  PlanUntilStable(&table, input);
  CHECK(table.totals.at("slots/s0").total == 5);
  CHECK(table.totals.at("slots/s0").TargetSum() == 5);
}

}  // namespace
}  // namespace baobabwall::control
