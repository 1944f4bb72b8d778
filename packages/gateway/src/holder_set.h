#ifndef GATEWAY_SRC_HOLDER_SET_H_
#define GATEWAY_SRC_HOLDER_SET_H_

#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "gateway/src/instance_record.h"

namespace baobabwall::gateway {

/// \brief The instances among which a limit of the whole fleet is divided.
///
/// Holders are the instances that the directory would name if all instances
/// that count were live. An instance counts for a time after it has
/// disappeared: if it is only cut off, its part is still used there, and if it
/// restarts, the other parts do not change. Not thread-safe.
class HolderSet {
 public:
  /// Time for which an instance counts after its record has disappeared. The
  /// record of an instance that is cut off from the store and from the others
  /// expires, but its part of a limit is still used there. Until then, the part
  /// of an instance that has ended is unused.
  static constexpr absl::Duration kDepartedTime = absl::Seconds(90);

  /// \brief Region of each holder by the name of the holder.
  using Regions = std::map<std::string, std::string, std::less<>>;

  /// \returns the instances that the directory would name to the callers of any
  /// zone if all of these instances were live.
  static Regions Choose(absl::Span<const InstanceRecord> instances);

  /// \param instances all instances that are announced or heard of, live or
  /// not, including this one.
  /// \param departed_time time for which an instance that is no longer among
  /// them counts.
  void SetInstances(absl::Span<const InstanceRecord> instances,
                    absl::Duration departed_time,
                    absl::Time now);

  /// \brief Removes the instances whose time has ended.
  /// \returns whether there were any.
  bool OnTick(absl::Time now);

  bool Contains(absl::string_view instance) const {
    return regions_.find(instance) != regions_.end();
  }
  size_t size() const { return regions_.size(); }
  const Regions& regions() const { return regions_; }

 private:
  /// An instance that counts until the given time.
  struct KnownInstance {
    InstanceRecord record;
    absl::Time until;
  };

  void Update(absl::Time now);

  /// By name.
  std::map<std::string, KnownInstance, std::less<>> known_instances_;
  absl::Time next_expiry_ = absl::InfiniteFuture();  ///< Of a known instance.
  Regions regions_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_HOLDER_SET_H_
