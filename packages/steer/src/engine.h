#ifndef STEER_SRC_ENGINE_H_
#define STEER_SRC_ENGINE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "steer/src/action.h"
#include "steer/src/crash_suspects.h"
#include "steer/src/event.h"
#include "steer/src/key_table.h"
#include "steer/src/placement.h"
#include "steer/src/placement_rules.h"
#include "steer/src/relay_mark.h"
#include "steer/src/request_chart.h"
#include "steer/src/retry_budget.h"
#include "steer/src/rules.h"
#include "steer/src/snapshot.h"
#include "steer/src/wait_queue.h"

namespace baobabwall::steer {

/// \brief Manages the life cycle of requests, from arrival to the final answer.
///
/// Each method takes an event with its time and returns actions; the class
/// performs no I/O and reads no clock. Not thread-safe: the caller must
/// serialize all calls. Each request ends in exactly one of three ways:
/// - The engine returns an AnswerCaller action.
/// - An attempt ends and OnAttemptEnd() returns no action for the request,
///   because the caller has already received the answer or a part of the
///   answer. If the caller has received only a part, the adapter must close the
///   connection.
/// - OnCallerDisconnected() is called.
/// \sa docs/decisions/0001-at-most-once.md
/// \sa docs/decisions/0002-outcomes-and-retries.md
class Engine {
 public:
  class Builder {
   public:
    /// \param seed seed of the random number generator.
    Builder& Seed(uint64_t seed);
    /// \param capacity maximum number of stored idempotency keys.
    Builder& KeyCapacity(size_t capacity);
    /// \param bytes maximum total size of the answers stored for replay.
    Builder& KeyAnswerBytes(size_t bytes);
    /// \param length maximum number of requests that wait for a slot, per
    /// service.
    Builder& QueueLength(size_t length);
    /// \brief Replaces the embedded chart.
    /// \param file name used in findings.
    /// \param text content of the file.
    Builder& Chart(absl::string_view file, absl::string_view text);
    /// \param rules request rules; a test can disable each rule.
    Builder& Rules(const steer::Rules& rules);
    /// \param findings receives every error of the chart; may be nullptr.
    /// \returns nullptr if the chart has an error.
    std::unique_ptr<Engine> Build(base::Findings* findings = nullptr) const;
    /// \param rules rules of placement and queues; all are enabled by default.
    Builder& SetPlacementRules(PlacementRules rules);

   private:
    friend class Engine;
    uint64_t seed_ = 1;
    size_t key_capacity_ = 100'000;
    size_t key_answer_bytes_ = KeyTable::kDefaultMaxAnswerBytes;
    size_t queue_length_ = 64;
    std::string chart_file_ = "charts/request.chart";
    std::string chart_text_ = kRequestChartText;
    steer::Rules request_rules_;
    PlacementRules placement_rules_;
  };

  /// \brief Replaces the snapshot and starts waiting requests that can now
  /// start.
  Actions Publish(std::shared_ptr<const Snapshot> snapshot, absl::Time now);

  /// \brief Handles the arrival of a request.
  Actions OnArrival(RequestArrival arrival, absl::Time now);

  /// \brief Handles the start of the answer to an attempt.
  /// \returns false if the answer must be dropped because the answer is late,
  /// is a duplicate, or belongs to another exchange.
  bool OnAnswerStart(RequestId request, AttemptId attempt);

  Actions OnAttemptEnd(const AttemptEnd& end, absl::Time now);

  /// \brief Handles the end of the caller's connection.
  ///
  /// If no CancelAttempt action is returned, the attempt continues. The adapter
  /// then reads the whole answer and discards the answer.
  Actions OnCallerDisconnected(RequestId request, absl::Time now);

  /// \brief Refuses queued requests whose deadline has passed.
  Actions OnTick(absl::Time now);

  /// \returns the outcomes of the attempts that ended since the last call, for
  /// the control thread.
  std::vector<Observation> TakeObservations();

  /// \returns fingerprints quarantined since the last call, for the control
  /// thread to send to the other instances of the zone.
  std::vector<QuarantineNotice> TakeQuarantineNotices();

  size_t in_flight() const { return requests_.size(); }
  size_t keys() const { return keys_.size(); }
  size_t key_answer_bytes() const { return keys_.answer_bytes(); }
  int InUse(absl::string_view backend_server) const {
    return placement_.InUse(backend_server);
  }

 private:
  struct Attempt {
    AttemptId id = 0;  ///< 0 if no attempt is in flight.
    Target target;
    absl::Time start;
    /// Whether the request was suspected of crashing backend servers when the
    /// attempt started.
    bool was_suspect_at_start = false;
    bool is_answer_started = false;
  };

  struct Request {
    RequestArrival arrival;
    RequestState state = RequestState::kArrived;
    model::ServiceClass service_class = model::ServiceClass::kInteractive;
    int64_t max_answer_bytes = 0;
    /// Allowed number of retries per first attempt.
    double retries_per_first_attempt = 0;
    bool is_idempotent = false;
    bool holds_key = false;
    /// Another incarnation owns the idempotency key; the request can only be
    /// relayed to that incarnation.
    bool has_key_of_other_owner = false;
    /// The result of an earlier attempt is unknown.
    bool may_have_run = false;
    int attempts = 0;
    uint64_t fingerprint = 0;  ///< 0 if the request cannot be identified.
    PlacementRequest placement;
    Attempt attempt;
  };

  explicit Engine(const Builder& builder,
                  std::shared_ptr<const RequestChart> chart);

  const model::Service* Classify(Request* request, absl::Time now) const;
  bool AdmitRelay(Request* request, Actions* actions);
  void AdmitKey(Request* request,
                const model::Service* service,
                absl::Time now,
                Actions* actions);
  /// \brief Checks whether a request that may crash backend servers can start.
  /// \param target target of the attempt; nullptr if not chosen yet.
  /// \returns false if the request was refused or has to wait.
  bool CheckSuspect(Request* request,
                    const Target* target,
                    absl::Time now,
                    Actions* actions);
  void PlaceWaitingSuspects(absl::Time now, Actions* actions);
  PlacementChoice ChooseTarget(Request* request, absl::Time now);
  void AnswerFromKeyRecord(const Request& request, Actions* actions);
  void RelayToOwner(Request* request,
                    const InstanceId& owner,
                    absl::Time now,
                    Actions* actions);
  const InstanceView* FindInstance(absl::string_view name) const;

  void Place(Request* request, absl::Time now, Actions* actions);
  void Start(Request* request,
             const Target& target,
             absl::Time now,
             Actions* actions);
  void EndWithoutAttempt(RequestId id, AnswerCaller answer, Actions* actions);
  /// \brief Starts requests that wait for a slot.
  /// \param service service whose queued requests are started; if empty, the
  /// queued requests of all services are started in fair order.
  void ServeQueue(const std::string& service, absl::Time now, Actions* actions);

  /// \brief Executes the state chart transition for an event and the actions of
  /// the transition. Erases the request if the request has ended.
  /// \param answer final answer; nullptr if the event does not end the request.
  /// \returns false if the chart defines no transition for the event in the
  /// current state.
  bool HandleEvent(Request* request,
                   RequestEvent event,
                   AnswerCaller* answer,
                   Actions* actions);
  StartAttempt MakeStartAttempt(const Request& request);
  void SaveKeyResult(const Request& request, const AnswerCaller& answer);
  void EndAttempt(Request* request, const AttemptEnd& end, absl::Time now);
  bool CanRetry(const Request& request,
                const AttemptEnd& end,
                bool is_not_run,
                absl::Time now);
  bool TakeRetryToken(const Request& request, bool is_not_run, absl::Time now);

  size_t max_waiting_suspects_;
  Rules request_rules_;
  std::shared_ptr<const RequestChart> chart_;
  std::shared_ptr<const Snapshot> snapshot_ = std::make_shared<Snapshot>();
  absl::flat_hash_map<absl::string_view, const InstanceView*> instances_;
  Placement placement_;
  KeyTable keys_;
  RelayWindow relay_window_;
  CrashSuspects suspects_;
  std::array<RetryBudget, 3> retry_budgets_;    ///< Indexed by service class.
  std::array<RetryBudget, 3> refusal_budgets_;  ///< Indexed by service class.
  absl::flat_hash_map<RequestId, Request> requests_;
  /// Requests that are suspected of crashing backend servers and wait until
  /// they can run without another suspected request on the same server.
  std::deque<RequestId> waiting_suspects_;
  WaitQueue queue_;
  std::vector<Observation> observations_;
  std::vector<QuarantineNotice> quarantine_notices_;
  AttemptId next_attempt_id_ = 1;
  uint64_t last_relay_number_ = 0;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_ENGINE_H_
