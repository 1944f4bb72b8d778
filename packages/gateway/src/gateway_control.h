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
#include "gateway/src/authorization.h"
#include "gateway/src/backend_registry.h"
#include "gateway/src/registration.h"
#include "gateway/src/revision_lag.h"
#include "gateway/src/state_change.h"
#include "gateway/src/state_mirror.h"
#include "gateway/src/state_position.h"
#include "gateway/src/state_reader.h"
#include "gateway/src/state_relay.h"
#include "gateway/src/state_sources.h"
#include "gateway/src/watch_probe.h"

namespace baobabwall::gateway {

/// \brief The shared state as needed by the traffic thread; immutable.
struct ControlView {
  /// nullptr if no configuration has been read.
  std::shared_ptr<const RoutingConfig> config;
  std::shared_ptr<const BackendSet> backends;
  /// The same object as in the previous view if no record has changed.
  std::shared_ptr<const std::vector<InstanceRecord>> instances;
  std::set<uint64_t> crashing_requests;  ///< Fingerprints of the requests.
  /// Position in the store's history up to which all changes are included.
  StatePosition position;
  /// Whether this instance knows that it may miss newer changes.
  ConfigFreshness freshness = ConfigFreshness::kCurrent;
};

/// \brief Maintains a copy of the shared state and the record of this instance.
///
/// Reads the state from the source that StateSources chooses, and answers the
/// reads of other instances. Runs on the control thread. Does no I/O: calls to
/// the store are passed to hooks, their answers are passed to OnStoreAnswer(),
/// and views are published to the traffic thread.
class GatewayControl {
 public:
  /// Lease duration of the reports of crashing requests.
  static constexpr absl::Duration kCrashReportLease = absl::Minutes(10);

  /// Maximum time for which other instances may report a newer revision than
  /// this instance has read. A delay is normal because changes are read in
  /// batches. After this time, the answer to the pending watch is considered
  /// lost, and the watch is renewed.
  static constexpr absl::Duration kMaxPeerRevisionLag =
      absl::Milliseconds(1200);
  /// Maximum time for which another instance may know a revision that this
  /// instance has not read, before the view counts as possibly outdated. Allows
  /// for a watch that is renewed after kMaxPeerRevisionLag.
  static constexpr absl::Duration kMaxCurrentLag = absl::Milliseconds(1500);
  /// Call timing of an instance from which others read. The batch delay is
  /// shorter because one call of this instance serves many instances.
  static constexpr StateReader::CallTiming kReaderCallTiming{
      StateReader::kWatchTimeout, absl::Milliseconds(400)};
  /// Call timing of reads from another instance. The watch timeout is short
  /// enough to detect a frozen instance well within the time limit for
  /// distributing a configuration.
  static constexpr StateReader::CallTiming kPeerCallTiming{
      absl::Milliseconds(500), absl::Milliseconds(100)};

  /// Maximum number of reads of the instances' records before the first read of
  /// the state.
  static constexpr int kMaxInstanceReads = 2;
  /// Maximum duration of such a read. If the store answers slowly, the state is
  /// read from the store at once, because callers wait for it.
  static constexpr absl::Duration kMaxInstanceReadTime =
      absl::Milliseconds(150);
  /// Maximum time for which an instance that starts alone in its region waits
  /// for its own record before it reads the instances' records again.
  static constexpr absl::Duration kMaxRegistrationWait =
      absl::Milliseconds(300);

  /// Maximum time since the last answered call to the store was sent with which
  /// this instance serves other instances. After a longer pause of the process,
  /// its copy of the state may be out of date until the store answers again.
  static constexpr absl::Duration kMaxStoreSilence = absl::Milliseconds(2500);

  /// Time for which the records of instances stay in use that are missing in a
  /// restored store. Running instances write theirs again within this time.
  static constexpr absl::Duration kRecordReturnTime = absl::Seconds(5);
  /// Minimum interval of the calls that check whether another instance is right
  /// that the store was restored.
  static constexpr absl::Duration kEraCheckInterval = absl::Milliseconds(500);

  struct Hooks {
    /// Decodes a key of the store; returns nullopt for keys that are not
    /// relevant to this instance.
    std::function<std::optional<StateChange>(const control::StoreKeyValue&)>
        decode;
    std::function<void(control::StoreCall)> call_store;
    std::function<void(std::shared_ptr<const ControlView>)> publish;
    std::function<void(const std::string& line)> log;
    /// Sends a read to another instance; the answer is passed to
    /// OnStoreAnswer().
    std::function<void(const Endpoint&, control::StoreCall)> call_peer;
    /// Sends the answer to a call that was passed to OnPeerCall().
    std::function<void(PeerCallId, std::shared_ptr<const control::StoreAnswer>)>
        answer_peer;
    /// Called when a call that was passed to call_store or call_peer has been
    /// answered or has timed out.
    std::function<void(absl::string_view kind, control::StoreStatus)>
        call_ended;
  };

  GatewayControl(InstanceRecord self, uint64_t seed, Hooks hooks);

  void OnTick(absl::Time now);
  void OnStoreAnswer(const control::StoreAnswer& answer, absl::Time now);
  /// \brief Reports a request that crashes servers to the other instances.
  void ReportCrash(uint64_t fingerprint, absl::Time now);
  /// \brief Called when another instance reports that it has read the shared
  /// state up to this position.
  void OnPeerPosition(StatePosition position, absl::Time now);
  /// \brief Handles a read by another instance. The answer is sent by
  /// Hooks::answer_peer, immediately or later.
  void OnPeerCall(PeerCallId id,
                  const control::StoreRequest& request,
                  absl::Time now);
  void OnPeerDisconnected(PeerCallId id) { relay_.OnCallerDisconnected(id); }
  void Leave(absl::Time now);

  /// \returns the time of the last successful read or watch.
  absl::Time last_read() const { return last_read_; }
  bool is_store_unreachable() const { return reader_.is_store_unreachable(); }
  /// \returns the era of the store; 0 if it is not known.
  int64_t era() const { return era_.value_or(0); }

 private:
  enum class CallOwner {
    kReader,
    kRegistration,
    kWatchProbe,
    kInstanceRead,
    kCrashLease,
    kCrashReport
  };

  struct PendingCall {
    CallOwner owner;
    absl::Time sent_at;
  };

  /// The end of a call, for the log.
  struct EndedCall {
    absl::string_view name;   ///< See CallName().
    bool is_refused = false;  ///< The store or the instance rejected the call.
  };

  /// How an answer relates to the known era of the store.
  enum class EraCheck { kSame, kRestored, kOutdated };

  EraCheck CheckEra(const control::StoreAnswer& answer,
                    absl::Time sent_at,
                    bool is_from_peer) const;
  /// \brief Sets the era of the store. If an earlier one was known, what was
  /// learned of its history is discarded: the revisions, the leases, and the
  /// answers to calls that are pending.
  /// \returns whether the store was restored.
  bool EnterEra(int64_t era, absl::Time now);
  void ForgetPendingCalls();
  /// \brief Writes the reports of this instance again.
  void RepeatCrashReports(absl::Time now);
  /// \brief Removes the records of instances that a complete read did not
  /// return; after a restore of the store, they are kept for a time.
  void RemoveMissingRecords(const std::set<std::string>& existing_keys);
  /// \returns the store's key of the report of a crashing request.
  static std::string CrashKey(uint64_t fingerprint);
  /// \brief Removes what a restored store has not got back in time.
  void RemoveLostRecords();
  void PassOnAnswer(CallOwner owner,
                    const control::StoreAnswer& answer,
                    absl::Time now);
  void Call(CallOwner owner, control::StoreRequest request);
  absl::string_view CallName(CallOwner owner) const;
  /// \brief Reads the records of the instances, which decide whether this
  /// instance reads the state from the store or from another instance.
  void ReadInstances(absl::Time now);
  void OnInstanceRead(const control::StoreAnswer& answer);
  void ReadState(absl::Time now);
  /// \brief Leaves the store if it is only the replacement of an instance that
  /// can be read from again. The watch at the store may wait for a long time.
  void ReturnToPreferredSource(absl::Time now);
  void UseSource(const StateSource& source);
  /// \brief Sends the watch again if its answer was lost.
  void CheckWatch(absl::Time now);
  void RenewWatch(absl::Time now);
  void OnReaderAnswer(const control::StoreAnswer& answer, absl::Time now);
  void OnStoreProbe(bool is_reachable, absl::Time now);
  StateRelay::State RelayState(absl::Time now) const;
  void Apply(const control::StoreKeyValue& item, bool is_complete_read);
  void ApplyConfig(const ConfigWritten& change);
  void ApplyInstance(const InstanceWritten& change);
  void EndCompleteRead(const std::vector<std::string>& keys);
  /// \returns whether this instance may miss newer changes.
  ConfigFreshness Freshness(absl::Time now) const;
  void PublishIfChanged();
  void PublishInstances();
  void LogCrash(uint64_t fingerprint, bool is_ended);
  void WriteCrashReports(uint64_t lease);

  InstanceRecord self_;
  Hooks hooks_;
  absl::Time now_ = absl::InfinitePast();
  StateReader reader_;
  Registration registration_;
  BackendRegistry registry_;
  WatchProbe watch_probe_;
  StateSources sources_;
  StateSource reader_source_;  ///< Source of the reader's latest call.
  StateMirror mirror_;
  StateRelay relay_;
  absl::flat_hash_map<control::StoreCallId, PendingCall> pending_calls_;
  control::StoreCallId last_call_id_ = 0;
  EndedCall last_call_;  ///< The call that ended most recently.
  /// Id of the reader's latest call.
  control::StoreCallId reader_call_id_ = 0;
  std::optional<int64_t> era_;  ///< nullopt if the store does not tell it.
  absl::Time era_since_ = absl::InfinitePast();
  absl::Time next_era_check_at_ = absl::InfinitePast();
  std::shared_ptr<const RoutingConfig> config_;
  std::map<std::string, InstanceRecord> instances_;  ///< By key.
  /// Keys of records that are missing in the restored store.
  std::set<std::string> missing_records_;
  absl::Time keep_records_until_ = absl::InfinitePast();
  std::shared_ptr<const std::vector<InstanceRecord>> published_instances_ =
      std::make_shared<const std::vector<InstanceRecord>>();
  std::set<uint64_t> crashing_requests_;
  std::vector<uint64_t> crashing_requests_to_report_;
  /// Requests that this instance has reported, with the end of the report.
  absl::flat_hash_map<uint64_t, absl::Time> own_crash_reports_;
  /// Crashing requests whose reports are missing in the restored store.
  std::set<uint64_t> missing_crash_reports_;
  absl::Time keep_crash_reports_until_ = absl::InfinitePast();
  /// Servers and zones returned so far by the complete read in progress.
  std::set<std::string> servers_in_read_;
  std::set<std::string> zones_in_read_;
  absl::Time behind_peers_since_ = absl::InfiniteFuture();
  RevisionLag peer_lag_;
  ConfigFreshness published_freshness_ = ConfigFreshness::kCurrent;
  absl::Time last_read_ = absl::InfinitePast();
  /// Time at which the last answered call to the store was sent. An answer may
  /// have waited in the socket while the process was suspended.
  absl::Time last_store_contact_ = absl::InfinitePast();
  int64_t applied_revision_ = 0;  ///< Revision of the last applied change.
  absl::Time first_tick_ = absl::InfiniteFuture();
  absl::Time instance_read_sent_at_ = absl::InfinitePast();
  int instance_reads_ = 0;
  bool is_instance_read_pending_ = false;
  bool has_read_instances_ = false;
  bool has_complete_read_ = false;
  bool is_leaving_ = false;
  bool is_changed_ = false;
  bool are_instances_changed_ = false;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_GATEWAY_CONTROL_H_
