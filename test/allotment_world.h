#ifndef TEST_ALLOTMENT_WORLD_H_
#define TEST_ALLOTMENT_WORLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "control/control.h"
#include "transport/transport.h"

namespace baobabwall::test {

/// \brief Faults that the simulation can inject; most of them last for a
/// limited time.
enum class Fault {
  kKill,                ///< An instance dies and restarts 1 s later.
  kKillWithoutRestart,  ///< An instance dies; the list removes it 10 s later.
  kShortPause,          ///< An instance does not run for 8 s.
  kLongPause,  ///< An instance does not run for 70 s; the list removes it.
  kStoreUnavailable,
  kLostAnswers,   ///< Writes take effect, but half of their answers are lost.
  kDelayedCalls,  ///< Calls take effect up to 20 s late.
  kStaleReads,
  kPartition,  ///< Half of the instances cannot reach the others.
  kListUnavailable,
  kDelayedConfiguration,  ///< Half of the instances receive no configuration.
  kLowerTotals,
  kAddZone,
  kJoin,
  kLeave,
};
inline constexpr int kFaultCount = static_cast<int>(Fault::kLeave) + 1;

/// \brief Simulates instances of three zones that share backend servers and a
/// cap, with callers that always request more than the totals allow.
///
/// The oracle checks the actual use, never the tables: the requests in flight
/// per backend server, including those of dead processes, and the moved
/// requests in every window. Both are compared with the largest total that any
/// instance still had when the requests were admitted.
class AllotmentWorld {
 public:
  static constexpr absl::Duration kStepDuration = absl::Milliseconds(100);
  static constexpr absl::Duration kRequestDeadline = absl::Seconds(6);
  static constexpr absl::Duration kCapWindow = absl::Seconds(20);

  AllotmentWorld(uint64_t seed, control::AllotmentRules rules);

  void InjectFault(Fault fault);
  void RunFor(absl::Duration duration);
  /// \brief Ends all faults except changes of the declared configuration.
  void EndFaults();

  /// \returns the first violation that the oracle found; empty if there was no
  /// violation.
  const std::string& violation() const { return violation_; }

  /// \returns why the instances do not use the declared totals completely;
  /// empty if they do.
  std::string UnconvergedReason() const;

 private:
  struct Process {
    control::Identity identity;
    std::unique_ptr<control::Allotments> allotments;
    absl::Duration clock_offset;
    bool is_dead = false;
    bool is_leaving = false;
    absl::Time paused_until = absl::InfinitePast();
    bool was_paused = false;
    std::shared_ptr<const model::Configuration> configuration;
    std::map<std::string, int64_t, std::less<>> slot_shares;
    int64_t moved_requests_share = 0;
    std::unique_ptr<base::SlidingWindow> moved_window;
    /// End times of the requests.
    std::map<std::string, std::vector<absl::Time>> in_flight;
    /// Other instances as last received: incarnation and acknowledged epoch.
    std::map<std::string, control::AllotmentMember> known_members;
    int step_count = 0;
    /// Which half of a partition the process belongs to.
    bool is_in_second_partition_half = false;
  };
  struct PendingCall {
    absl::Time due;
    std::shared_ptr<Process> process;
    control::StoreCall call;
    bool is_executed = false;
    control::StoreAnswer answer;
  };
  std::shared_ptr<Process> StartProcess(const std::string& name,
                                        const std::string& zone);
  void DeclareConfiguration(int slots, int rate, bool with_third_zone);
  std::shared_ptr<Process> PickRunningProcess();
  int LiveInstanceCount(const std::string& zone) const;
  bool IsRunning(const Process& process) const;
  bool IsFaultActive(Fault fault) const;
  void ReceiveHeartbeats(Process* process);
  control::InstanceList CurrentList() const;
  void ExecuteCall(PendingCall* call_in_flight);
  void RunStoreStep();
  void RunStep();
  void DeliverToPeer(const Process& from, const control::SendPeer& send);
  void RunProcessStep(const std::shared_ptr<Process>& process);
  void AdmitRequests(Process* process);
  void CheckTotals();
  int64_t LargestKnownTotal(bool moved, absl::Duration span) const;

  base::Random random_;
  control::AllotmentRules rules_;
  absl::Time now_ = absl::FromUnixSeconds(1'000'000);
  std::shared_ptr<const model::Configuration> configuration_ =
      model::Configuration::Empty();
  std::vector<std::shared_ptr<Process>> processes_;
  int64_t last_incarnation_ = 0;

  transport::KeyValueState state_;
  transport::KeyValueState stale_state_;
  std::vector<PendingCall> pending_calls_;
  /// Active faults and their end times.
  std::map<Fault, absl::Time> active_fault_ends_;
  std::vector<std::pair<absl::Time, std::pair<std::string, std::string>>>
      pending_restarts_;
  struct Listed {
    control::Identity identity;
    /// When the list removes the instance.
    absl::Time unlisted_from = absl::InfiniteFuture();
    /// When the list names the instance again.
    absl::Time relisted_from = absl::InfiniteFuture();
  };
  std::map<std::string, Listed> list_;
  int slots_per_server_ = 6;
  int declared_rate_ = 30;
  bool has_third_zone_ = false;

  std::deque<std::pair<absl::Time, int>> admitted_moved_requests_;
  /// Times and the largest totals that any running process had then.
  std::deque<std::pair<absl::Time, std::pair<int64_t, int64_t>>> known_totals_;
  std::string violation_;
};

}  // namespace baobabwall::test

#endif  // TEST_ALLOTMENT_WORLD_H_
