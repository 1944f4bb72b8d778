#ifndef STEER_SRC_SNAPSHOT_H_
#define STEER_SRC_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "model/model.h"

namespace baobabwall::steer {

/// \brief Identifies one incarnation (process) of an instance.
struct InstanceId {
  std::string name;
  int64_t incarnation = 0;  ///< Start time in ms since the epoch.

  friend bool operator==(const InstanceId& a, const InstanceId& b) {
    return a.name == b.name && a.incarnation == b.incarnation;
  }
  friend bool operator<(const InstanceId& a, const InstanceId& b) {
    return a.name != b.name ? a.name < b.name : a.incarnation < b.incarnation;
  }
};

/// \brief State of an instance as known to this instance. The list of
/// instances includes this instance.
struct InstanceView {
  InstanceId id;
  std::string zone;
  std::string region;
  std::string address;  ///< IP address.
  int caller_port = 0;
  bool is_leaving = false;
  bool is_suspect = false;
  /// Fraction of slots in use per service, 0 to 1, from the last report: the
  /// mean since the previous report. If there are few slots, a momentary value
  /// would be 1 half of the time and would exclude the instance until the next
  /// report.
  std::map<std::string, double, std::less<>> utilisation;
};

/// \brief Health of a backend server as determined by the control thread.
enum class HealthStatus { kHealthy, kSlowStart, kUnhealthy, kUnmeasured };

/// \brief Share of this instance in a backend server of its own zone.
struct BackendView {
  std::string name;
  std::string service;
  std::string address;
  int port = 0;
  int slot_share = 0;  ///< Number of slots in this instance's allotment.
  HealthStatus health = HealthStatus::kUnmeasured;
  double ramp = 1.0;  ///< Slow-start factor of the slot share, 0 to 1.
  bool is_leaving = false;
  double reported_load = 0;  ///< Reported fraction of slots in use.
  absl::Time reported_at = absl::InfinitePast();  ///< Time of the report.
};

class LookupIndex;

/// \brief State that the control thread publishes to the traffic threads;
/// immutable.
struct Snapshot {
  std::shared_ptr<const model::Configuration> configuration =
      model::Configuration::Empty();
  InstanceId self;
  std::string zone;
  std::string region;
  std::vector<InstanceView> instances;  ///< Includes this instance.
  std::vector<BackendView> backends;    ///< Servers of this instance's zone.
  /// Moved requests that this instance may admit per window, by name of the
  /// cap; assigned by its allotment.
  std::map<std::string, int64_t, std::less<>> moved_shares;
  /// Bytes/s that this instance may send over a link, by name of the link.
  std::map<std::string, int64_t, std::less<>> link_shares;
  /// Quarantined request fingerprints and the end of each quarantine.
  std::map<uint64_t, absl::Time> quarantined;
  /// Optional index of `instances`, built by the publisher. \sa Lookup
  std::shared_ptr<const LookupIndex> lookup_index;
  bool is_ready = false;  ///< Whether a configuration is active.
  /// False after the process was paused, until the state of the process has
  /// been compared with the cluster.
  bool is_admitting = true;
  bool is_leaving = false;  ///< Whether this instance is shutting down.
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_SNAPSHOT_H_
