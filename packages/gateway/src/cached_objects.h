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
  /// A server caches some tens of objects, counting the requests of all
  /// instances.
  static constexpr size_t kMaxObjects = 40;
  /// Time without a request of this instance after which the object counts as
  /// evicted by other objects.
  static constexpr absl::Duration kMaxAge = absl::Seconds(30);

  bool Has(uint64_t object, absl::Time now) const {
    const auto found = objects_.find(object);
    return found != objects_.end() && now - found->second < kMaxAge;
  }

  /// \brief Records that the server has handled a request for the object.
  void Add(uint64_t object, absl::Time now) {
    objects_[object] = now;
    if (objects_.size() <= kMaxObjects) {
      return;
    }
    auto oldest = objects_.begin();
    for (auto entry = objects_.begin(); entry != objects_.end(); ++entry) {
      oldest = entry->second < oldest->second ? entry : oldest;
    }
    objects_.erase(oldest);
  }

  /// \brief Removes an object after an answer that took too long for the object
  /// to have been cached.
  void Remove(uint64_t object) { objects_.erase(object); }

  size_t size() const { return objects_.size(); }

 private:
  /// Time of the last request by object.
  absl::flat_hash_map<uint64_t, absl::Time> objects_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_CACHED_OBJECTS_H_
