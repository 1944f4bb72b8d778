#ifndef CONTROL_SRC_READER_RANK_H_
#define CONTROL_SRC_READER_RANK_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace baobabwall::control {

/// Number of members of a zone that read the store. The second reader provides
/// redundancy until a failure of the first reader is detected.
inline constexpr size_t kReadersPerZone = 2;

/// \brief Sorts instance names by rendezvous hash within a zone, in descending
/// order.
///
/// The relative order of two names does not depend on the other names, so a
/// membership change replaces as few readers as possible.
void SortByReaderRank(absl::string_view zone, std::vector<std::string>* names);

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_READER_RANK_H_
