#ifndef GATEWAY_SRC_STATE_POSITION_H_
#define GATEWAY_SRC_STATE_POSITION_H_

#include <cstdint>
#include <tuple>

namespace baobabwall::gateway {

/// \brief A position in the history of the shared state.
///
/// A store that is restored from an older copy begins a new era, in which it
/// gives out the revisions after the copy again. Revisions are therefore
/// compared only within an era.
struct StatePosition {
  int64_t era = 0;  ///< 0 if the store does not tell it.
  int64_t revision = 0;

  bool operator<(const StatePosition& other) const {
    return std::tie(era, revision) < std::tie(other.era, other.revision);
  }
  bool operator==(const StatePosition& other) const {
    return era == other.era && revision == other.revision;
  }
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_STATE_POSITION_H_
