#ifndef GATEWAY_SRC_GATEWAY_CONTROL_H_
#define GATEWAY_SRC_GATEWAY_CONTROL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "control/control.h"
#include "gateway/src/backend_registry.h"
#include "gateway/src/registration.h"
#include "gateway/src/state_change.h"
#include "gateway/src/state_mirror.h"
#include "gateway/src/state_reader.h"
#include "gateway/src/state_relay.h"
#include "gateway/src/state_sources.h"

namespace baobabwall::gateway {

/// \brief All that the traffic thread needs of the shared state; immutable.
struct ControlView {
  std::shared_ptr<const RoutingConfig> config;  ///< nullptr: none is known.
  std::shared_ptr<const BackendSet> backends;
  std::vector<InstanceRecord> instances;
  std::set<uint64_t> crashing_requests;  ///< Fingerprints.
  int64_t revision = 0;  ///< Of the store; known up to it at least.
};

/// \brief The shared state as this instance knows it, and its own record.
///
/// Reads the state where StateSources says, and answers the reads of others.
/// Runs on the control thread. No I/O: calls to the store come out, answers go
/// in; views go to the traffic thread.
class GatewayControl {
 public:
  /// Reports of crashing requests expire with their lease.
  static constexpr absl::Duration kCrashReportLife = absl::Minutes(10);

  /// Other instances may be ahead by as much: changes are gathered. Beyond it
  /// a pending watch has lost its answer.
  static constexpr absl::Duration kBehind = absl::Milliseconds(1200);
  /// Of instances that others read from: few calls serve many.
  static constexpr StateReader::Pace kReaderPace{StateReader::kWatch,
                                                 absl::Milliseconds(400)};
  /// Of reads at another instance. A watch waits so long that a frozen
  /// instance is noticed well within the bounds for a configuration.
  static constexpr StateReader::Pace kPeerPace{absl::Milliseconds(500),
                                               absl::Milliseconds(100)};

  struct Hooks {
    /// Decodes a key of the store; none for one that means nothing here.
    std::function<std::optional<StateChange>(const control::StoreKeyValue&)>
        decode;
    std::function<void(control::StoreCall)> call_store;
    std::function<void(std::shared_ptr<const ControlView>)> publish;
    std::function<void(const std::string& line)> log;
    /// Reads at another instance; the answer goes to OnStoreAnswer().
    std::function<void(const Endpoint&, control::StoreCall)> call_peer;
    /// Answers OnPeerCall().
    std::function<void(PeerCallId, control::StoreAnswer)> answer_peer;
    /// A call of call_store or call_peer was answered or given up.
    std::function<void(absl::string_view kind, control::StoreStatus)>
        call_ended;
  };

  GatewayControl(InstanceRecord self, uint64_t seed, Hooks hooks);

  void OnTick(absl::Time now);
  void OnStoreAnswer(const control::StoreAnswer& answer, absl::Time now);
  /// \brief Tells the other instances of a request that crashes servers.
  void ReportCrash(uint64_t fingerprint, absl::Time now);
  /// \brief Another instance knows the state up to this revision.
  void OnPeerRevision(int64_t revision, absl::Time now);
  /// \brief Another instance reads from this one; answered by
  /// Hooks::answer_peer, now or later.
  void OnPeerCall(PeerCallId id,
                  const control::StoreRequest& request,
                  absl::Time now);
  void OnPeerGone(PeerCallId id) { relay_.OnCallerGone(id); }
  void Leave(absl::Time now);

  /// \returns when the state was last known to be complete.
  absl::Time last_read() const { return last_read_; }
  bool is_store_lost() const { return reader_.is_store_lost(); }

 private:
  enum class Caller { kReader, kRegistration, kCrashLease, kCrashReport };

  void Call(Caller caller, control::StoreRequest request);
  absl::string_view CallName(Caller caller) const;
  void ReadState(absl::Time now);
  void UseSource(const StateSource& source);
  void OnReaderAnswer(const control::StoreAnswer& answer, absl::Time now);
  void OnProbe(bool is_reachable, absl::Time now);
  StateRelay::State RelayState() const;
  void Apply(const control::StoreKeyValue& item, bool is_complete_read);
  void ApplyConfig(const ConfigWritten& change);
  void ApplyInstance(const InstanceWritten& change);
  void EndCompleteRead(const std::vector<std::string>& keys);
  void PublishIfChanged();
  void LogCrash(uint64_t fingerprint, bool is_ended);
  void WriteCrashReports(uint64_t lease);

  InstanceRecord self_;
  Hooks hooks_;
  absl::Time now_ = absl::InfinitePast();
  StateReader reader_;
  Registration registration_;
  BackendRegistry registry_;
  StateSources sources_;
  StateSource source_;  ///< Of the reader's latest call.
  StateMirror mirror_;
  StateRelay relay_;
  absl::flat_hash_map<control::StoreCallId, Caller> calls_;
  control::StoreCallId last_call_ = 0;
  control::StoreCallId reader_call_ = 0;  ///< The latest of the reader.
  std::shared_ptr<const RoutingConfig> config_;
  std::map<std::string, InstanceRecord> instances_;  ///< By key.
  std::set<uint64_t> crashes_;
  std::vector<uint64_t> crashes_to_report_;
  /// Of the complete read that is under way.
  std::set<std::string> read_servers_;
  std::set<std::string> read_zones_;
  absl::Time behind_since_ = absl::InfiniteFuture();
  absl::Time last_read_ = absl::InfinitePast();
  int64_t applied_revision_ = 0;  ///< Of the change applied last.
  bool was_read_ = false;
  bool is_leaving_ = false;
  bool is_changed_ = false;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_GATEWAY_CONTROL_H_
