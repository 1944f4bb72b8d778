#ifndef TEST_REQUEST_SIMULATION_H_
#define TEST_REQUEST_SIMULATION_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "steer/steer.h"

namespace baobabwall::steer {

/// \brief Simulates several engines with callers, links and backend servers,
/// and checks the request rules against its own record of all runs.
///
/// The effect of a step depends only on the arguments of the step and the
/// state, so a sequence of steps is a reproducible test case. A violation of a
/// rule fails the case through RC_FAIL.
class RequestSimulation {
 public:
  enum class Step {
    kSend,             ///< A caller sends a new request.
    kResend,           ///< A caller resends a request to any instance.
    kSendBurst,        ///< Callers send twelve new requests to one instance.
    kDeliver,          ///< Any one of the messages in flight arrives.
    kDeliverAll,       ///< All messages in flight arrive.
    kTruncate,         ///< A truncated answer arrives.
    kDuplicate,        ///< A relay or an answer is duplicated.
    kBreakConnection,  ///< A connection breaks and its message is lost.
    kBreakAllConnections,  ///< All connections with a message in flight break.
    kTimeOut,           ///< An attempt times out; its message stays in flight.
    kRefuse,            ///< A backend server refuses a request.
    kRefuseAll,         ///< Backend servers refuse all requests in flight.
    kDisconnectCaller,  ///< A caller closes its connection.
    kCrashServer,  ///< A backend server crashes, or restarts after a crash.
    kReplace,      ///< A new incarnation replaces an instance.
    kPartition,    ///< A partition between two instances begins or ends.
    kPause,        ///< An instance stops or resumes admitting requests.
    kRefresh,      ///< An instance gets current members and quarantines.
    kAdvance,      ///< One clock or all clocks move, forwards or backwards.
    kTick,         ///< An engine gets a tick.
  };
  static constexpr int kStepCount = 20;
  static const char* NameOf(Step step);

  RequestSimulation(const Rules& rules, const std::string& chart);

  void Execute(Step step, int first_argument, int second_argument);

  /// \brief Ends all requests and checks that no request, slot or caller
  /// remains.
  void Finish();

 private:
  enum class Kind { kBooking, kUnkeyed, kListing, kCrashing };

  /// A request of a caller, which the caller can send several times.
  struct CallerRequest {
    Kind kind = Kind::kListing;
    RequestArrival arrival;
    int runs = 0;
  };
  struct Send {
    size_t caller_request = 0;
    bool is_open = true;
    int answers = 0;
    int earlier_runs = 0;  ///< Runs of the same key before this send.
    int runs = 0;
    bool was_reported_not_run = false;
  };
  /// Connection of one attempt.
  struct Connection {
    size_t instance = 0;
    int64_t incarnation = 0;
    StartAttempt start;
    size_t send = 0;
    bool is_open = true;
    bool is_cancelled = false;
    /// Whether the request was a suspect at the start.
    bool was_suspect = false;
  };
  struct Message {
    enum class Type { kToInstance, kToServer, kAnswer };
    Type type = Type::kToServer;
    bool is_relay = false;
    size_t connection = 0;  ///< Unused for a message from a caller.
    size_t send = 0;
    std::string receiver;
    RequestArrival arrival;
    absl::Duration remaining_time;  ///< Value of X-Request-Deadline-Ms.
    AnswerCaller answer;
    /// Backend server that sent the answer; empty for an answer of an instance.
    std::string sending_server;
  };
  struct Origin {
    bool is_relay = false;
    size_t connection = 0;
    size_t send = 0;
  };
  struct SuspectState {
    absl::Time first_crash = absl::InfinitePast();
    absl::Time quarantine_end = absl::InfinitePast();
  };
  struct Instance {
    InstanceId id;
    std::unique_ptr<Engine> engine;
    bool is_paused = false;
    absl::Duration skew;  ///< Offset of the clock of the instance.
    std::map<RequestId, Origin> origins;
    std::map<RequestId, int> attempts;
    std::map<RequestId, bool> has_unknown_result;
    int first_attempt_count = 0;
    int retry_count = 0;
    absl::Duration elapsed;
    /// Attempts at backend servers, by path.
    std::map<std::string, int> in_flight;
    std::map<std::string, SuspectState> suspects;
    std::map<uint64_t, absl::Time> quarantined;
  };

  std::shared_ptr<Snapshot> SnapshotOf(size_t index) const;
  size_t AddCallerRequest(int first_argument);
  void SendTo(size_t caller_request, size_t instance);
  void ApplyActions(size_t instance, const Actions& actions);
  void OpenConnection(size_t instance, const StartAttempt& start);
  void HandleArrival(const Message& message);
  void RunAtServer(const Message& message);
  void DeliverAnswer(const Message& message, bool is_truncated);
  void SendAnswer(const Origin& origin, const AnswerCaller& answer);
  void HandleCallerAnswer(size_t send, const AnswerCaller& answer);
  void End(size_t connection, AttemptEnd end);
  void End(size_t connection, AttemptResult result);
  void RecordEnd(const Connection& connection, const AttemptEnd& end);
  void CheckStart(Instance* instance, Connection* connection);
  void Deliver(size_t message, bool is_truncated);
  void DisconnectCaller(size_t choice);
  void AdvanceClock(int choice);
  void Replace(size_t index);
  void CrashServer(const std::string& name);
  void DropMessage(size_t message);
  void Check(bool holds, const std::string& what) const;
  bool IsCurrent(const Connection& connection) const;
  absl::Time Now(size_t instance) const;
  size_t IndexOf(const std::string& instance) const;

  Rules rules_;
  std::string chart_;
  std::shared_ptr<const model::Configuration> configuration_;
  absl::Time now_;
  bool was_clock_set_back_ = false;
  std::vector<Instance> instances_;
  std::set<std::string> crashed_servers_;
  std::set<std::pair<size_t, size_t>> partitions_;
  std::vector<CallerRequest> caller_requests_;
  std::vector<Send> sends_;
  std::vector<Connection> connections_;
  std::vector<Message> messages_;
  RequestId last_request_ = 0;
  uint64_t last_seed_ = 0;
};

}  // namespace baobabwall::steer

#endif  // TEST_REQUEST_SIMULATION_H_
