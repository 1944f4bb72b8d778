#ifndef TEST_FAKE_CLUSTER_H_
#define TEST_FAKE_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/control.h"
#include "event_queue.h"
#include "fake_network.h"
#include "fake_store.h"

namespace baobabwall::test {

/// \brief Runs several nodes in one process with a fake store and a fake
/// network.
class FakeCluster {
 public:
  struct Process {
    control::Identity identity;
    std::unique_ptr<control::Node> node;
    std::shared_ptr<const steer::Snapshot> snapshot;
    bool is_paused = false;
    /// Events received while the process is paused.
    std::vector<control::Event> queued_events;
    /// Maximum revision seen, checked by the oracle.
    int64_t highest_revision = 0;
    bool has_reverted = false;  ///< True if the revision has ever decreased.
    absl::Duration cpu;         ///< CPU time spent in Node::Handle().
  };
  struct Write {
    std::string operation_id;
    bool is_answered = false;
    control::WriteAnswered answer;
  };

  explicit FakeCluster(uint64_t seed);
  ~FakeCluster();

  EventQueue& queue() { return queue_; }
  FakeStore& store() { return store_; }
  FakeNetwork& network() { return network_; }

  /// \brief Starts an instance and adds the instance to the platform's list
  /// immediately.
  Process& Start(const std::string& name, const std::string& zone);
  /// \brief Stops an instance without notice. The instance remains in the
  /// platform's list for list_lag.
  void Kill(const std::string& name);
  void Pause(const std::string& name, absl::Duration duration);

  Process& process(const std::string& name) { return *processes_.at(name); }
  std::map<std::string, std::shared_ptr<Process>>& processes() {
    return processes_;
  }

  /// \brief Sends a batch to an instance.
  /// \returns the index of the write in writes().
  size_t Send(const std::string& name, model::ChangeBatch batch);
  const std::vector<Write>& writes() const { return writes_; }

  void Handle(const std::string& name, const control::Event& event);
  void RunFor(absl::Duration duration) { queue_.RunFor(duration); }

  /// Instances without a connection to the store, by name.
  std::map<std::string, bool> is_cut_from_store;
  absl::Duration list_lag = absl::Seconds(20);
  /// True if the platform's list contains no instances.
  bool is_list_empty = false;
  std::vector<control::Identity> peers;  ///< Configured peers of new instances.
  /// Snapshot policy of new instances.
  control::SnapshotPolicy snapshot_policy;
  /// Called after each action of a node.
  std::function<void(Process&, const control::Action&)> action_hook;

 private:
  void Deliver(const std::shared_ptr<Process>& process,
               const control::Event& event);
  void Execute(const std::shared_ptr<Process>& process,
               const control::Action& action);
  void Tick(const std::shared_ptr<Process>& process);

  EventQueue queue_;
  FakeStore store_;
  FakeNetwork network_;
  base::Random random_;
  std::map<std::string, std::shared_ptr<Process>> processes_;
  std::map<std::string, control::ListedInstance> listed_instances_;
  std::vector<Write> writes_;
  int last_address_number_ = 0;
};

}  // namespace baobabwall::test

#endif  // TEST_FAKE_CLUSTER_H_
