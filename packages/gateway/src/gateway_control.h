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
#include "gateway/src/state_reader.h"

namespace baobabwall::gateway {

/// \brief All that the traffic thread needs of the shared state; immutable.
struct ControlView {
  std::shared_ptr<const RoutingConfig> config;  ///< nullptr: none is known.
  std::shared_ptr<const BackendSet> backends;
  std::vector<InstanceRecord> instances;
  std::set<uint64_t> crashing_requests;  ///< Fingerprints.
};

/// \brief The shared state as this instance knows it, and its own record.
///
/// Runs on the control thread. No I/O: calls to the store come out, answers go
/// in; views go to the traffic thread.
class GatewayControl {
 public:
  /// Reports of crashing requests expire with their lease.
  static constexpr absl::Duration kCrashReportLife = absl::Minutes(10);

  struct Hooks {
    /// Decodes a key of the store; none for one that means nothing here.
    std::function<std::optional<StateChange>(const control::StoreKeyValue&)>
        decode;
    std::function<void(control::StoreCall)> call_store;
    std::function<void(std::shared_ptr<const ControlView>)> publish;
    std::function<void(const std::string& line)> log;
  };

  GatewayControl(InstanceRecord self, uint64_t seed, Hooks hooks);

  void OnTick(absl::Time now);
  void OnStoreAnswer(const control::StoreAnswer& answer, absl::Time now);
  /// \brief Tells the other instances of a request that crashes servers.
  void ReportCrash(uint64_t fingerprint, absl::Time now);
  void Leave(absl::Time now);

  bool has_left() const { return registration_.has_left(); }
  bool is_store_lost() const { return reader_.is_store_lost(); }

 private:
  enum class Caller { kReader, kRegistration, kCrashLease, kCrashReport };

  void Call(Caller caller, control::StoreRequest request);
  void Apply(const control::StoreKeyValue& item, bool is_complete_read);
  void ApplyConfig(const ConfigWritten& change);
  void ApplyInstance(const InstanceWritten& change);
  void EndCompleteRead(const std::vector<std::string>& keys);
  void PublishIfChanged();
  void WriteCrashReports(uint64_t lease);

  InstanceRecord self_;
  Hooks hooks_;
  absl::Time now_ = absl::InfinitePast();
  StateReader reader_;
  Registration registration_;
  BackendRegistry registry_;
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
  bool was_read_ = false;
  bool is_changed_ = false;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_GATEWAY_CONTROL_H_
