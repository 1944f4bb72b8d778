#ifndef GATEWAY_SRC_STATE_SOURCES_H_
#define GATEWAY_SRC_STATE_SOURCES_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gateway/src/instance_record.h"

namespace baobabwall::gateway {

/// \brief Source from which an instance reads the shared state: the store, or
/// another instance that reads the store.
struct StateSource {
  std::string instance;  ///< Name of the instance; empty for the store.
  Endpoint endpoint;     ///< Peer endpoint of the instance.

  bool is_store() const { return instance.empty(); }
};

/// \brief Chooses the source from which this instance reads the shared state.
///
/// In a region with many instances, only the instances with the best rank read
/// the store, and the other instances read from these readers. If the preferred
/// source fails, the next choices are the store itself and then one reader of
/// each other region, so that an instance that cannot reach the store or is
/// refused by the store still gets the state.
class StateSources {
 public:
  /// Maximum number of instances in a region for which every instance reads the
  /// store itself.
  static constexpr size_t kMaxDirectInstances = 8;
  static constexpr size_t kMinReaders = 2;
  /// One reader is added per this number of instances in a region.
  static constexpr size_t kInstancesPerReader = 128;
  /// Time for which a failed source is avoided while other sources are
  /// available.
  static constexpr absl::Duration kFailureAvoidTime = absl::Seconds(4);

  explicit StateSources(InstanceRecord self);

  /// \param by_key records of all announced instances by key, with or without
  /// this instance.
  void SetInstances(const std::map<std::string, InstanceRecord>& by_key);

  /// \returns the best source that has not failed recently, or else the source
  /// that becomes available first.
  StateSource Choose(absl::Time now) const;

  /// \returns whether any source has not failed recently.
  bool HasUsableSource(absl::Time now) const;

  /// \brief Marks a source as failed. If the source is the store, it is avoided
  /// until OnStoreReachable(); an instance is avoided for kFailureAvoidTime.
  void OnFailed(const StateSource& source, absl::Time now);
  void OnStoreReachable() { avoided_until_.erase(""); }

  /// \returns whether other instances may read from this instance.
  bool is_reader() const { return is_reader_; }
  /// \returns whether instances of this region read from other instances.
  bool has_followers() const { return has_followers_; }

 private:
  /// Removes the avoidance times of instances that are no longer sources.
  void RemoveStaleAvoidTimes();
  absl::Time AvoidedUntil(const StateSource& source) const;

  InstanceRecord self_;
  std::vector<StateSource> sources_;  ///< In the order of preference.
  bool is_reader_ = true;
  bool has_followers_ = false;
  /// Time until which each instance is avoided, by name.
  std::map<std::string, absl::Time> avoided_until_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STATE_SOURCES_H_
