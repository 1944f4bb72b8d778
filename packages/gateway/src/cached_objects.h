#ifndef GATEWAY_SRC_CACHED_OBJECTS_H_
#define GATEWAY_SRC_CACHED_OBJECTS_H_

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace baobabwall::gateway {

/// \brief Estimates which objects a backend server has cached, based on the
/// requests that this instance has sent to the server.
class CachedObjects {
 public:
  /// A server caches some tens of objects for all instances together.
  static constexpr size_t kMaxObjects = 40;
  /// An object that this instance has not requested for this time counts as
  /// evicted by other objects.
  static constexpr absl::Duration kMaxAge = absl::Seconds(30);

  bool Has(uint64_t object, absl::Time now) const {
    const auto found = last_used_.find(object);
    return found != last_used_.end() && now - found->second < kMaxAge;
  }

  /// \brief Records that the server has handled a request for the object.
  void Add(uint64_t object, absl::Time now) {
    last_used_[object] = now;
    if (last_used_.size() <= kMaxObjects) {
      return;
    }
    auto oldest = last_used_.begin();
    for (auto entry = last_used_.begin(); entry != last_used_.end(); ++entry) {
      oldest = entry->second < oldest->second ? entry : oldest;
    }
    last_used_.erase(oldest);
  }

  /// \brief Removes an object whose answer took too long for a cached object.
  void Remove(uint64_t object) { last_used_.erase(object); }

  size_t size() const { return last_used_.size(); }

 private:
  absl::flat_hash_map<uint64_t, absl::Time> last_used_;  ///< By object.
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_CACHED_OBJECTS_H_
