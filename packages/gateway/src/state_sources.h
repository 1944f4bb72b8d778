#ifndef GATEWAY_SRC_STATE_SOURCES_H_
#define GATEWAY_SRC_STATE_SOURCES_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gateway/src/instance_record.h"

namespace baobabwall::gateway {

/// \brief Where an instance reads the shared state: at the store, or at another
/// instance that does.
struct StateSource {
  std::string instance;  ///< Empty: the store.
  Endpoint endpoint;     ///< Of the instance.

  bool is_store() const { return instance.empty(); }
};

/// \brief Chooses where to read the shared state.
///
/// In a region with many instances the best-ranked read the store, and the
/// others read from them. The store comes next, then one reader of each other
/// region: an instance that the store turns away, or can't reach it, learns
/// from them.
class StateSources {
 public:
  /// In a region with no more instances each reads the store.
  static constexpr size_t kDirectInstances = 8;
  static constexpr size_t kLeastReaders = 2;
  /// Instances of a region for each further reader.
  static constexpr size_t kInstancesPerReader = 64;
  /// An instance that failed is not asked again for this long, while there are
  /// others.
  static constexpr absl::Duration kAvoid = absl::Seconds(4);

  explicit StateSources(InstanceRecord self);

  /// \param by_key all announced instances, with or without this one.
  void SetInstances(const std::map<std::string, InstanceRecord>& by_key);

  /// \returns the best source that has not failed lately.
  StateSource Choose(absl::Time now) const;

  /// \returns true if a source has not failed lately.
  bool HasUntried(absl::Time now) const;

  /// \brief The store is avoided until OnStoreSeen().
  void OnFailed(const StateSource& source, absl::Time now);
  void OnStoreSeen() { avoided_.erase(""); }

  /// \returns true if others may read from this instance.
  bool is_reader() const { return is_reader_; }
  /// \returns true if instances of this region read from each other.
  bool has_followers() const { return has_followers_; }

 private:
  /// Drops what is known of instances that are no sources any more.
  void ForgetOthers();
  absl::Time AvoidedUntil(const StateSource& source) const;

  InstanceRecord self_;
  std::vector<StateSource> sources_;  ///< Best first.
  bool is_reader_ = true;
  bool has_followers_ = false;
  std::map<std::string, absl::Time> avoided_;  ///< Until when, by instance.
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STATE_SOURCES_H_
