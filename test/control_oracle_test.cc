#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "fake_cluster.h"

namespace baobabwall::test {
namespace {

using Result = control::WriteAnswered::Result;

constexpr int kInstanceCount = 6;
// Maximum time until an accepted change is in force on every instance.
constexpr absl::Duration kMaxPropagationTime = absl::Seconds(6);

enum class Fault {
  kNone,
  kStoreDown,
  kLostCalls,
  kLostAnswers,
  kSlowStore,
  kStaleReads,
  kLoss,
  kDuplicates,
  kReordering,
  kOneWayCut,
  kZoneCut,
  kCutFromStore,
  kPause,
  kKill,
  kCount,
};

std::string InstanceName(int i) {
  return absl::StrCat("i-", i % kInstanceCount);
}

std::string ZoneName(int i) {
  return absl::StrCat("amba-", i % 2);
}

class Oracle {
 public:
  explicit Oracle(uint64_t seed) : cluster_(seed) {
    // The policy causes snapshots and deletions within one run. The retention
    // is longer than any fault of the run.
    cluster_.snapshot_policy = {4, absl::Seconds(40)};
    for (int i = 0; i < kInstanceCount; ++i) {
      cluster_.Start(InstanceName(i), ZoneName(i));
    }
    cluster_.RunFor(absl::Seconds(15));
  }

  FakeCluster& cluster() { return cluster_; }

  void StartFault(Fault fault, int instance_index) {
    FakeStore::Faults& store = cluster_.store().faults();
    FakeNetwork::Faults& links = cluster_.network().faults();
    const std::string name = InstanceName(instance_index);
    switch (fault) {
      case Fault::kStoreDown:
        store.is_down = true;
        break;
      case Fault::kLostCalls:
        store.call_loss_ratio = 0.5;
        break;
      case Fault::kLostAnswers:
        store.answer_loss_ratio = 0.7;
        break;
      case Fault::kSlowStore:
        store.max_delay = absl::Milliseconds(900);
        break;
      case Fault::kStaleReads:
        cluster_.store().SaveStaleState();
        pending_stale_reads_ = 10;
        break;
      case Fault::kLoss:
        links.loss_ratio = 0.2;
        break;
      case Fault::kDuplicates:
        links.duplication_ratio = 0.5;
        break;
      case Fault::kReordering:
        links.max_delay = absl::Seconds(2);
        break;
      case Fault::kOneWayCut:
      case Fault::kZoneCut:
        links.is_cut = [fault, zone = ZoneName(instance_index)](
                           const control::Identity& from,
                           const control::Identity& to) {
          return fault == Fault::kOneWayCut
                     ? from.zone == zone && to.zone != zone
                     : (from.zone == zone) != (to.zone == zone);
        };
        break;
      case Fault::kCutFromStore:
        for (int i = instance_index % 2; i < kInstanceCount; i += 2) {
          cluster_.is_cut_from_store[InstanceName(i)] = true;
        }
        break;
      case Fault::kPause:
        if (cluster_.processes().count(name) > 0) {
          cluster_.Pause(name, absl::Seconds(12));
        }
        break;
      case Fault::kKill:
        if (cluster_.processes().count(name) > 0) {
          cluster_.Kill(name);
          ++kill_counts_[name];
        }
        break;
      case Fault::kNone:
      case Fault::kCount:
        break;
    }
  }

  void EndAllFaults() {
    cluster_.store().faults() = FakeStore::Faults();
    cluster_.store().faults().stale_reads = pending_stale_reads_;
    pending_stale_reads_ = 0;
    cluster_.network().faults() = FakeNetwork::Faults();
    cluster_.is_cut_from_store.clear();
    for (int i = 0; i < kInstanceCount; ++i) {
      if (cluster_.processes().count(InstanceName(i)) == 0) {
        cluster_.Start(InstanceName(i), ZoneName(i));
      }
    }
  }

  void Write(int instance_index, int declared_rate) {
    const std::string name = InstanceName(instance_index);
    if (cluster_.processes().count(name) == 0) {
      return;
    }
    // Every third write resends the batch of an earlier write, possibly to
    // another instance.
    const bool is_resend = declared_rate % 3 == 0 && !sent_batches_.empty();
    if (!is_resend) {
      const std::string operation = absl::StrCat("op-", sent_batches_.size());
      sent_batches_.push_back(
          {operation,
           {{{model::Kind::kRegion, absl::StrCat("r", declared_rate % 3)},
             absl::StrCat("{\"declaredRate\":", declared_rate, "}"),
             {}}}});
    }
    const model::ChangeBatch& batch =
        is_resend ? sent_batches_[declared_rate % sent_batches_.size()]
                  : sent_batches_.back();
    write_targets_[cluster_.Send(name, batch)] = {name, kill_counts_[name]};
  }

  /// \returns a description of the first error, or an empty string if all
  /// instances have the newest revision of the store.
  std::string CheckRevisions() {
    const auto newest_revision = static_cast<int64_t>(
        cluster_.store().CreatedValues("config/log/").size());
    for (const auto& [name, process] : cluster_.processes()) {
      if (process->has_reverted) {
        return absl::StrCat(name, " reverted to an older revision");
      }
      if (process->node->configuration().revision() != newest_revision) {
        return absl::StrCat(name, " is at ",
                            process->node->configuration().revision(),
                            ", but the store is at ", newest_revision);
      }
    }
    return "";
  }

  /// \returns a description of the first error in the log, the instances and
  /// the write answers, or an empty string.
  std::string CheckLogAndWrites() {
    const auto log = cluster_.store().CreatedValues("config/log/");
    std::map<std::string, int64_t> accepted_revisions;
    std::string previous_key;
    for (const auto& [key, value] : log) {
      if (key == previous_key) {
        return absl::StrCat(key, " was created twice");
      }
      previous_key = key;
      base::Findings findings;
      const auto batch = model::DecodeBatch(value, &findings);
      if (!batch || !accepted_revisions
                         .emplace(batch->operation_id, *control::LogIndex(key))
                         .second) {
        return absl::StrCat(
            key, " contains an invalid batch or a duplicate operation");
      }
    }
    if (std::string error = CheckRevisions(); !error.empty()) {
      return error;
    }
    for (const auto& [name, process] : cluster_.processes()) {
      if (!process->snapshot->is_ready || !process->snapshot->is_admitting) {
        return absl::StrCat(name, " does not admit requests");
      }
    }
    for (size_t i = 0; i < cluster_.writes().size(); ++i) {
      const FakeCluster::Write& write = cluster_.writes()[i];
      const auto& [target, kill_count] = write_targets_[i];
      if (!write.is_answered) {
        if (kill_counts_[target] == kill_count) {
          return absl::StrCat("write ", i, " was never answered");
        }
        continue;
      }
      const auto entry = accepted_revisions.find(write.operation_id);
      const bool is_accepted = write.answer.result == Result::kAccepted;
      if (is_accepted && (entry == accepted_revisions.end() ||
                          entry->second != write.answer.revision)) {
        return absl::StrCat("write ", i, " was accepted without a log entry");
      }
      // A resent batch may be answered as unavailable by one instance and be
      // accepted by another instance.
      const bool is_unavailable =
          write.answer.result == Result::kUnavailable && SendCount(write) == 1;
      if (is_unavailable && entry != accepted_revisions.end()) {
        return absl::StrCat("write ", i,
                            " was answered as unavailable but is in the store");
      }
    }
    return "";
  }

  std::string CheckMembersAndStatuses() {
    const size_t entry_count =
        cluster_.store().PeekPrefix("config/log/").size();
    if (entry_count > 8) {
      return absl::StrCat("the log holds ", entry_count, " entries");
    }
    for (const auto& [name, process] : cluster_.processes()) {
      const auto& members = process->node->membership().members();
      for (const auto& [other, member] : members) {
        if (cluster_.processes().count(other) == 0 ||
            member.state != control::MemberState::kAlive ||
            !(member.identity.id == cluster_.process(other).identity.id)) {
          return absl::StrCat(name, " has a wrong membership state of ", other);
        }
      }
      if (members.size() + 1 != cluster_.processes().size() ||
          process->snapshot->instances.size() != members.size() + 1) {
        return absl::StrCat(name,
                            " has a wrong member count: ", members.size());
      }
      for (const control::ZoneStatus& zone : process->node->zone_statuses()) {
        if (!zone.behind.empty() ||
            zone.lowest_revision != process->node->configuration().revision()) {
          return absl::StrCat(name, " has an outdated status of zone ",
                              zone.zone);
        }
      }
      if (process->node->zone_statuses().size() != 2) {
        return absl::StrCat(name, " has no status for some zone");
      }
      // The limit is the number of members plus the probes in flight.
      if (process->node->membership().entry_count() > kInstanceCount + 6) {
        return absl::StrCat(name, " retains state of removed members");
      }
    }
    return "";
  }

 private:
  int SendCount(const FakeCluster::Write& write) const {
    int count = 0;
    for (const FakeCluster::Write& other : cluster_.writes()) {
      count += other.operation_id == write.operation_id ? 1 : 0;
    }
    return count;
  }

  FakeCluster cluster_;
  int pending_stale_reads_ = 0;
  std::vector<model::ChangeBatch> sent_batches_;
  std::map<size_t, std::pair<std::string, int>> write_targets_;
  std::map<std::string, int> kill_counts_;
};

/// Injects one or two faults with writes before, during and after the faults.
std::string RunWithFaults(uint64_t seed,
                          const std::vector<Fault>& faults,
                          int instance_index,
                          const std::vector<int>& declared_rates) {
  Oracle oracle(seed);
  const auto send_writes = [&](size_t begin_index, size_t end_index) {
    for (size_t i = begin_index; i < end_index && i < declared_rates.size();
         ++i) {
      oracle.Write(instance_index + static_cast<int>(i), declared_rates[i]);
      oracle.cluster().RunFor(absl::Milliseconds(300));
    }
  };
  send_writes(0, 2);
  for (size_t i = 0; i < faults.size(); ++i) {
    oracle.StartFault(faults[i], instance_index + static_cast<int>(i));
    oracle.cluster().RunFor(absl::Milliseconds(150));
  }
  send_writes(2, 6);
  oracle.cluster().RunFor(absl::Seconds(15));
  oracle.EndAllFaults();
  send_writes(6, 8);
  // A restarted instance needs time to discover its peers.
  oracle.cluster().RunFor(kMaxPropagationTime);
  std::string error = oracle.CheckLogAndWrites();
  if (error.empty()) {
    for (const int declared_rate : declared_rates) {
      oracle.Write(declared_rate, 3 * declared_rate + 1);
      oracle.cluster().RunFor(absl::Seconds(1));
    }
    // The time is twice the sum of the snapshot retention and the snapshot
    // check interval.
    oracle.cluster().RunFor(absl::Seconds(140));
    error = oracle.CheckLogAndWrites() + oracle.CheckMembersAndStatuses();
  }
  return error;
}

// Guards against configuration changes that are reverted, lost, accepted twice
// or late, against wrong answers to writes, and against inconsistent member
// lists, under a single fault.
TEST_CASE("the cluster is consistent after a single fault") {
  for (int fault = 0; fault < static_cast<int>(Fault::kCount); ++fault) {
    for (int instance_index = 0; instance_index < 4; ++instance_index) {
      INFO("fault " << fault << " instance index " << instance_index);
      CHECK(RunWithFaults(100 * fault + instance_index,
                          {static_cast<Fault>(fault)}, instance_index,
                          {1, 2, 4, 5, 6, 7, 8, 10}) == "");
    }
  }
}

// Guards against a change that is delayed until a fault ends although every
// instance can reach the store or another instance that can reach the store.
TEST_CASE(
    "a change is in force on every instance in time during a network fault") {
  for (Fault fault :
       {Fault::kSlowStore, Fault::kLoss, Fault::kDuplicates, Fault::kReordering,
        Fault::kOneWayCut, Fault::kZoneCut, Fault::kCutFromStore}) {
    for (int instance_index = 0; instance_index < 4; ++instance_index) {
      INFO("fault " << static_cast<int>(fault) << " instance index "
                    << instance_index);
      Oracle oracle(100 + instance_index);
      oracle.StartFault(fault, instance_index);
      for (int i = 0; i < 4; ++i) {
        // The write is sent to an instance that can reach the store.
        oracle.Write(instance_index + 1, 1 + 3 * i);
        oracle.cluster().RunFor(absl::Seconds(2));
      }
      oracle.cluster().RunFor(kMaxPropagationTime);
      CHECK(oracle.CheckRevisions() == "");
      oracle.cluster().RunFor(absl::Seconds(30));
      oracle.Write(instance_index + 1, 100);
      oracle.cluster().RunFor(kMaxPropagationTime);
      CHECK(oracle.CheckRevisions() == "");
      CHECK(oracle.cluster().store().CreatedValues("config/log/").size() == 5);
    }
  }
}

// Guards against the same inconsistencies under random pairs of simultaneous
// faults.
TEST_CASE("the cluster is consistent after two simultaneous faults") {
  CHECK(rc::check([] {
    const auto draw_fault = [] {
      return static_cast<Fault>(
          *rc::gen::inRange(1, static_cast<int>(Fault::kCount)));
    };
    const std::vector<Fault> faults = {draw_fault(), draw_fault()};
    const int instance_index = *rc::gen::inRange(0, kInstanceCount);
    const auto seed = *rc::gen::inRange<uint64_t>(0, 1'000'000);
    const auto declared_rates =
        *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 100));
    RC_ASSERT(RunWithFaults(seed, faults, instance_index, declared_rates) ==
              "");
  }));
}

}  // namespace
}  // namespace baobabwall::test
