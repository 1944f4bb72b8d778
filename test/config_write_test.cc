#include <catch2/catch.hpp>
#include <string>
#include <variant>

#include "fake_cluster.h"

namespace baobabwall::test {
namespace {

model::ChangeBatch MakeBatch(const std::string& operation, int rate) {
  return {operation,
          {{{model::Kind::kRegion, "amba"},
            "{\"declaredRate\":" + std::to_string(rate) + "}",
            {}}}};
}

using Result = control::WriteAnswered::Result;

// Guards against applying a change twice after an operator's client resent its
// batch.
TEST_CASE("a resent operation returns its original revision") {
  FakeCluster cluster(1);
  cluster.Start("i-0", "amba-a");
  cluster.RunFor(absl::Seconds(10));
  const size_t first_write = cluster.Send("i-0", MakeBatch("op", 1));
  cluster.RunFor(absl::Seconds(2));
  const size_t second_write = cluster.Send("i-0", MakeBatch("op", 1));
  const size_t conflicting_write = cluster.Send("i-0", MakeBatch("op", 2));
  cluster.RunFor(absl::Seconds(2));
  CHECK(cluster.writes()[first_write].answer.revision == 1);
  CHECK(cluster.writes()[second_write].answer.result == Result::kAccepted);
  CHECK(cluster.writes()[second_write].answer.revision == 1);
  CHECK(cluster.writes()[conflicting_write].answer.result == Result::kInvalid);
  CHECK(cluster.store().PeekPrefix("config/log/").size() == 1);
}

// Guards against the answer "unavailable" for a write that is in the store. The
// answer to the swap is lost, and the entry is then read back during an outage
// and afterwards from stale data.
TEST_CASE("a write that may be in the store is not answered as unavailable") {
  FakeCluster cluster(2);
  cluster.Start("i-0", "amba-a");
  cluster.RunFor(absl::Seconds(10));
  cluster.store().SaveStaleState();
  bool is_swapped = false;
  cluster.action_hook = [&](FakeCluster::Process&,
                            const control::Action& action) {
    const auto* call = std::get_if<control::StoreCall>(&action);
    if (is_swapped || call == nullptr ||
        !std::holds_alternative<control::StoreCompareAndSwap>(call->request)) {
      return;
    }
    is_swapped = true;
    cluster.store().faults().answer_loss_ratio = 1;
    cluster.queue().After(absl::Milliseconds(50), [&] {
      cluster.store().faults().answer_loss_ratio = 0;
      cluster.store().faults().is_down = true;
    });
  };
  const size_t first_write = cluster.Send("i-0", MakeBatch("op-1", 1));
  cluster.RunFor(absl::Seconds(1));
  const size_t second_write = cluster.Send("i-0", MakeBatch("op-2", 2));
  cluster.RunFor(absl::Seconds(20));
  CHECK_FALSE(cluster.writes()[first_write].is_answered);
  // The second write was not sent to the store, so the second write is answered
  // without waiting for the store.
  CHECK(cluster.writes()[second_write].is_answered);
  CHECK(cluster.writes()[second_write].answer.result == Result::kUnavailable);
  cluster.store().faults().is_down = false;
  cluster.store().faults().stale_reads = 5;
  cluster.RunFor(absl::Seconds(20));
  CHECK(cluster.writes()[first_write].is_answered);
  CHECK(cluster.writes()[first_write].answer.result == Result::kAccepted);
  CHECK(cluster.store().PeekPrefix("config/log/").size() == 1);
}

// Guards against applying a deleted log key as an empty entry.
TEST_CASE("the log does not apply a deleted entry") {
  control::ConfigLog log(
      [id = control::StoreCallId{0}]() mutable { return ++id; });
  control::Actions actions;
  log.ReadStore(absl::UnixEpoch(), &actions);
  control::StoreAnswer answer;
  answer.id = std::get<control::StoreCall>(actions[0]).id;
  answer.status = control::StoreStatus::kOk;
  answer.key_values = {{control::LogKey(1), "", 3, true}};
  log.OnStoreAnswer(answer, absl::UnixEpoch(), &actions);
  CHECK(log.revision() == 0);
}

// Guards against store calls without a retry delay while the store is down.
TEST_CASE("an instance backs off while the store is down") {
  FakeCluster cluster(3);
  cluster.Start("i-0", "amba-a");
  cluster.RunFor(absl::Seconds(10));
  cluster.store().faults().is_down = true;
  cluster.RunFor(absl::Seconds(60));
  const int64_t previous_reads = cluster.store().reads();
  cluster.RunFor(absl::Seconds(60));
  // The minimum interval between calls is 1.5 s, which is half of the maximum
  // retry delay.
  CHECK(cluster.store().reads() - previous_reads <= 40);
}

// Guards against writing a value that exceeds the size limit of the store.
TEST_CASE("a batch that exceeds the maximum entry size is invalid") {
  FakeCluster cluster(4);
  cluster.Start("i-0", "amba-a");
  cluster.RunFor(absl::Seconds(10));
  std::string block_list;
  for (int i = 0; i < 80'000; ++i) {
    block_list += (i == 0 ? "\"" : ",\"") + std::to_string(1 + i / 65536) +
                  "." + std::to_string(i / 256 % 256) + "." +
                  std::to_string(i % 256) + ".0/24\"";
  }
  const size_t write_index =
      cluster.Send("i-0", {"op",
                           {{{model::Kind::kClientBlocks, "chunk"},
                             R"({"blocks":{"a":[)" + block_list + "]}}",
                             {}}}});
  cluster.RunFor(absl::Seconds(3));
  CHECK(cluster.writes()[write_index].answer.result == Result::kInvalid);
  CHECK(cluster.store().PeekPrefix("config/log/").empty());
}

}  // namespace
}  // namespace baobabwall::test
