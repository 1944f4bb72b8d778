#include "base/src/hash.h"

#include <xxhash.h>

namespace baobabwall::base {

uint64_t StableHash(absl::string_view data, uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

}  // namespace baobabwall::base
