#include <catch2/catch.hpp>

#include "control/control.h"

namespace baobabwall::control {
namespace {

std::string Entry(const char* region, int rate) {
  return model::EncodeBatch(
      {"op",
       {{{model::Kind::kRegion, region},
         "{\"declaredRate\":" + std::to_string(rate) + "}",
         {}}}});
}

ConfigLog MakeLog() {
  auto last = std::make_shared<StoreCallId>(0);
  return ConfigLog([last] { return ++*last; });
}

// Guards against a configuration that reverts to an older revision after a
// stale read.
TEST_CASE("the log ignores older entries and entries after a gap") {
  ConfigLog log = MakeLog();
  const std::vector<std::string> entries = {Entry("a", 1), Entry("a", 2)};
  CHECK(log.Apply(1, entries));
  CHECK_FALSE(log.Apply(1, entries));
  CHECK_FALSE(log.Apply(4, entries));
  CHECK(log.revision() == 2);
  CHECK(log.configuration()->regions().at("a").declared_rate == 2);
  CHECK(log.EntriesFrom(2).size() == 1);
}

// Guards against a duplicate write after the answer to the first write was
// lost.
TEST_CASE("a write reads its entry back after a lost answer") {
  ConfigLog log = MakeLog();
  const absl::Time now = absl::UnixEpoch();
  Actions actions;
  WriteRequested request;
  request.id = 9;
  base::Findings findings;
  request.batch = *model::DecodeBatch(Entry("a", 1), &findings);
  log.Write(request, now, &actions);
  REQUIRE(actions.size() == 1);
  StoreAnswer read;
  read.id = std::get<StoreCall>(actions[0]).id;
  read.status = StoreStatus::kOk;
  actions.clear();
  log.OnStoreAnswer(read, now, &actions);
  REQUIRE(actions.size() == 1);
  const auto swap = std::get<StoreCall>(actions[0]);
  const auto written = std::get<StoreCompareAndSwap>(swap.request);
  StoreAnswer lost;
  lost.id = swap.id;
  actions.clear();
  log.OnStoreAnswer(lost, now, &actions);
  REQUIRE(actions.size() == 1);
  const auto get = std::get<StoreCall>(actions[0]);
  CHECK(std::holds_alternative<StoreGet>(get.request));
  StoreAnswer found;
  found.id = get.id;
  found.status = StoreStatus::kOk;
  found.key_values = {{written.key, written.value, 3, false}};
  actions.clear();
  log.OnStoreAnswer(found, now, &actions);
  REQUIRE(actions.size() == 1);
  const auto answer = std::get<WriteAnswered>(actions[0]);
  CHECK(answer.result == WriteAnswered::Result::kAccepted);
  CHECK(answer.revision == 1);
  CHECK(log.revision() == 1);
}

}  // namespace
}  // namespace baobabwall::control
