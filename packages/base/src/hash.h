#ifndef BASE_SRC_HASH_H_
#define BASE_SRC_HASH_H_

#include <cstdint>

#include "absl/strings/string_view.h"

namespace baobabwall::base {

/// \brief Computes the xxHash64 hash of the data. The hash of the same data is
/// equal in every process and build.
/// \param data the bytes to hash.
/// \param seed selects one of several independent hash functions.
uint64_t StableHash(absl::string_view data, uint64_t seed = 0);

}  // namespace baobabwall::base

#endif  // BASE_SRC_HASH_H_
