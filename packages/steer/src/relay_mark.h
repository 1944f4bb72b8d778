#ifndef STEER_SRC_RELAY_MARK_H_
#define STEER_SRC_RELAY_MARK_H_

#include <bitset>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "steer/src/snapshot.h"

namespace baobabwall::steer {

/// \brief Identifies one relay by the sender, the receiver and a sequence
/// number of the sender.
///
/// Adapters send the relay mark as one header. An adapter must accept a relay
/// mark only together with the shared secret of the instances, since a caller
/// could forge a relay mark.
struct RelayMark {
  InstanceId from;
  InstanceId to;
  uint64_t number = 0;  ///< Starts at 1; counted by the sender.

  /// \returns std::nullopt if the text is not in the format of ToString().
  static std::optional<RelayMark> Parse(absl::string_view text);
  std::string ToString() const;
};

/// \brief Detects duplicate relays.
///
/// For each sender, the window stores which of the last kWindowSize sequence
/// numbers have arrived. A number below the window counts as a duplicate.
/// Memory is limited to kMaxSenders windows of 512 bytes. The result does not
/// depend on a clock.
class RelayWindow {
 public:
  /// Number of sequence numbers per sender within which relays can arrive out
  /// of order. The number allows a delay of 8 s at 500 relays/s, which is the
  /// load of each instance if 800 instances serve 400,000 lookups/s.
  static constexpr uint64_t kWindowSize = 4096;

  /// Maximum number of senders: five times the 800 instances that are planned
  /// for the next two years.
  static constexpr size_t kMaxSenders = 4096;

  /// \brief Records a relay.
  /// \returns true for a new relay; false for a possible duplicate, or for a
  /// relay from a replaced incarnation.
  bool Accept(const RelayMark& mark);

 private:
  struct Sender {
    int64_t incarnation = 0;
    uint64_t max_number = 0;
    uint64_t last_use = 0;
    std::bitset<kWindowSize> seen;
  };

  void EvictLeastRecentlyUsed();

  absl::flat_hash_map<std::string, std::unique_ptr<Sender>> senders_;
  uint64_t accept_count_ = 0;
};

}  // namespace baobabwall::steer

#endif  // STEER_SRC_RELAY_MARK_H_
