#ifndef DAEMON_SRC_TRAFFIC_H_
#define DAEMON_SRC_TRAFFIC_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "steer/steer.h"
#include "transport/transport.h"

namespace baobabwall::daemon {

/// \brief Passes events of the traffic threads to the engine, and the actions
/// of the engine to the thread that serves the request. Thread-safe.
class Traffic {
 public:
  /// \param now returns the current time; tests pass a simulated clock.
  explicit Traffic(std::unique_ptr<steer::Engine> engine,
                   std::function<absl::Time()> now = transport::SteadyNow);

  /// \returns a request id that is unique within the process.
  steer::RequestId NewRequestId();

  void Publish(std::shared_ptr<const steer::Snapshot> snapshot);
  std::shared_ptr<const steer::Snapshot> snapshot() const;

  /// \brief Submits a request to the engine.
  ///
  /// The request is refused if the last Tick() is older than
  /// control::kPauseGap. In this case the process was paused, the control
  /// thread has not yet detected the pause, and the slot shares of this
  /// instance may be assigned to other instances.
  void SubmitRequest(const steer::RequestArrival& arrival);

  /// \brief Waits for the next action of a request.
  /// \returns std::nullopt if the engine has ended the request.
  std::optional<steer::Action> NextAction(steer::RequestId request);

  bool StartAnswer(steer::RequestId request, steer::AttemptId attempt);
  /// \returns true if the request has ended; NextAction() must not be called
  /// again.
  bool EndAttempt(const steer::AttemptEnd& end);
  void OnCallerDisconnected(steer::RequestId request);

  void Tick();
  std::vector<steer::Observation> TakeObservations();
  std::vector<steer::QuarantineNotice> TakeQuarantineNotices();
  size_t in_flight() const;
  std::map<std::string, int, std::less<>> slots_in_use() const;

 private:
  struct Mailbox {
    std::condition_variable delivered;
    std::vector<steer::Action> actions;
  };

  /// Moves actions into the mailboxes of their requests. The caller must hold
  /// `mutex_`.
  void DeliverActions(steer::Actions actions);

  mutable std::mutex mutex_;
  std::unique_ptr<steer::Engine> engine_;
  std::function<absl::Time()> now_;
  /// InfiniteFuture() before the first tick, so that no request is refused.
  absl::Time last_tick_time_ = absl::InfiniteFuture();
  /// Guards only snapshot_, which lookups read at a high rate.
  mutable std::mutex snapshot_mutex_;
  std::shared_ptr<const steer::Snapshot> snapshot_;
  absl::flat_hash_map<steer::RequestId, std::unique_ptr<Mailbox>> mailboxes_;
  std::atomic<steer::RequestId> last_request_id_{0};
};

}  // namespace baobabwall::daemon

#endif  // DAEMON_SRC_TRAFFIC_H_
