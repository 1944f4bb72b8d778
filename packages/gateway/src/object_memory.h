#ifndef GATEWAY_SRC_OBJECT_MEMORY_H_
#define GATEWAY_SRC_OBJECT_MEMORY_H_

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace baobabwall::gateway {

/// \brief Which objects a backend server is likely to remember, from the
/// requests that this instance sent to it.
class ObjectMemory {
 public:
  /// A server remembers some tens of objects, of all instances' requests.
  static constexpr size_t kMaxObjects = 40;
  /// Without a request of ours for this long, other objects have displaced it.
  static constexpr absl::Duration kMaxAge = absl::Seconds(30);

  bool Has(uint64_t object, absl::Time now) const {
    const auto found = objects_.find(object);
    return found != objects_.end() && now - found->second < kMaxAge;
  }

  /// \brief The server has handled a request for the object.
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

  /// \brief An answer took so long that the server can't have remembered it.
  void Remove(uint64_t object) { objects_.erase(object); }

  size_t size() const { return objects_.size(); }

 private:
  absl::flat_hash_map<uint64_t, absl::Time> objects_;  ///< Last request.
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_OBJECT_MEMORY_H_
