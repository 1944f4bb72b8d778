#ifndef DAEMON_SRC_CONTROL_LOOP_H_
#define DAEMON_SRC_CONTROL_LOOP_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "control/control.h"
#include "daemon/src/change_history.h"
#include "daemon/src/traffic.h"
#include "transport/transport.h"

namespace baobabwall::daemon {

/// \brief Runs the control thread, which passes events to control::Node and
/// executes the actions that the node returns.
class ControlLoop {
 public:
  /// \brief Callbacks of the loop into other components.
  struct Hooks {
    /// \brief Starts reading the platform's instance list. The result is passed
    /// to Post().
    std::function<void()> read_instance_list;
    std::function<void(const control::SendPeer&)> send_peer;
    std::function<void(const control::ProbeBackendServer&)>
        probe_backend_server;
    std::function<void()> on_shutdown_ready;
    /// \brief Called when a leaving backend server has no more requests.
    /// \param time since the backend server was first seen as leaving.
    std::function<void(absl::Duration time)> on_drain_ended =
        [](absl::Duration) {};
  };

  ControlLoop(control::Identity identity,
              uint64_t seed,
              transport::StoreClient* store,
              Traffic* traffic,
              Hooks hooks);
  ~ControlLoop();

  /// \brief Starts the control thread, which also handles events that were
  /// posted before.
  void Start();

  /// \brief Stops the control thread and ends pending writes with the result
  /// kUnavailable. Events that are posted later are dropped.
  void Stop();

  /// \returns the CPU time that the control thread has used.
  absl::Duration CpuTime() const;

  /// \brief Queues an event for the control thread.
  void Post(control::Event event);

  /// \brief Writes a batch and waits for the result.
  /// \param batch changes with a unique operation id. A batch with an id that
  /// was accepted before returns the first result.
  /// \param timeout maximum time to wait.
  /// \returns std::nullopt if the wait timed out. The batch may still be
  /// accepted later.
  std::optional<control::WriteAnswered> Write(model::ChangeBatch batch,
                                              absl::Duration timeout);

  /// \brief Waits until the revision of the configuration is above a revision.
  /// \returns the current configuration, even if the wait timed out.
  std::shared_ptr<const model::Configuration> WaitForRevisionAbove(
      int64_t revision,
      absl::Duration timeout);

  std::shared_ptr<const model::Configuration> configuration() const;

  /// \returns a copy of the change history, with the status of the zones.
  ChangeHistory history() const;

  const control::Identity& identity() const { return identity_; }
  const Traffic& traffic() const { return *traffic_; }

 private:
  void Run();
  void ReportEndedDrains(absl::Time now);
  void ExecuteActions(control::Actions actions);
  void ExecuteAction(control::StoreCall action);
  void ExecuteAction(control::SendPeer action);
  void ExecuteAction(control::PublishSnapshot action);
  void ExecuteAction(control::WriteAnswered action);
  void ExecuteAction(control::ProbeBackendServer action);
  void ExecuteAction(control::ReadInstanceList action);
  void ExecuteAction(control::ShutdownReady action);

  const control::Identity identity_;
  control::Node node_;
  transport::StoreClient* store_;
  Traffic* traffic_;
  Hooks hooks_;

  mutable std::mutex mutex_;
  std::condition_variable event_posted_;
  std::condition_variable configuration_published_;
  std::deque<control::Event> pending_events_;
  std::map<uint64_t, std::promise<control::WriteAnswered>> pending_writes_;
  uint64_t last_write_id_ = 0;
  std::shared_ptr<const model::Configuration> configuration_;
  ChangeHistory history_;
  bool is_stopping_ = false;
  /// Time since which each backend server is leaving. Accessed only by the
  /// control thread.
  std::map<std::string, absl::Time, std::less<>> leaving_since_;
  std::atomic<int64_t> cpu_ns_{0};
  std::thread thread_;
};

}  // namespace baobabwall::daemon

#endif  // DAEMON_SRC_CONTROL_LOOP_H_
