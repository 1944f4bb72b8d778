#ifndef STEER_SRC_LOOKUP_H_
#define STEER_SRC_LOOKUP_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "steer/src/snapshot.h"

namespace baobabwall::steer {

/// \brief An instance to which a caller can send requests.
struct LookupEntry {
  std::string instance;
  std::string address;
  int port = 0;
  std::string key_prefix;  ///< Prefix of the idempotency keys of the instance.
};

/// \brief Answer to a lookup.
struct LookupAnswer {
  enum class Status { kFound, kUnknownService, kNotReady };
  Status status = Status::kNotReady;
  std::vector<LookupEntry> entries;  ///< In order of preference.
  absl::Duration ttl;                ///< Maximum cache time at the caller.
  int64_t revision = 0;
};

/// \brief Index of the instances for lookups, built once per snapshot.
///
/// Instances are sorted by region and zone, so that each zone and each region
/// is a contiguous range of one array.
class LookupIndex {
 public:
  explicit LookupIndex(const Snapshot& snapshot);

  /// \brief Builds an index or reuses the previous index. Snapshots arrive
  /// several times per second, but their instances rarely change.
  /// \returns `previous` if that index was built from the same instances;
  /// otherwise a new index.
  static std::shared_ptr<const LookupIndex> Make(
      const Snapshot& snapshot,
      std::shared_ptr<const LookupIndex> previous);

  /// \brief Selects up to kMaxEntries instances, in order of preference.
  ///
  /// Up to kMaxHomeZoneEntries instances are from the home zone, up to
  /// kMaxHomeRegionEntries from other zones of the home region, and the rest
  /// from other regions. If a group has fewer instances, later groups fill the
  /// free entries.
  /// \param random_value seed of the order within a group. Each entry is drawn
  /// independently, so that the callers of a failed instance spread over all
  /// remaining instances.
  /// \param key_expiry expiry of the idempotency keys.
  /// \param entries receives the selected instances.
  void SelectInstances(absl::string_view home_zone,
                       absl::string_view home_region,
                       uint64_t random_value,
                       absl::Time key_expiry,
                       std::vector<LookupEntry>* entries) const;

  static constexpr size_t kMaxEntries = 6;
  static constexpr size_t kMaxHomeZoneEntries = 3;
  static constexpr size_t kMaxHomeRegionEntries = 2;

 private:
  struct Member {
    std::string name;
    std::string address;
    int port = 0;
    std::string key_prefix_without_expiry;  ///< Key prefix before the expiry.
    std::string region;
    std::string zone;
  };
  struct Range {
    size_t begin = 0;
    size_t end = 0;
  };

  uint64_t signature_ = 0;
  /// Instances that are not leaving and are not suspected to be dead.
  std::vector<Member> members_;
  /// Instances that are suspected to be dead; selected last.
  std::vector<Member> suspects_;
  absl::flat_hash_map<std::string, Range> zone_ranges_;
  absl::flat_hash_map<std::string, Range> region_ranges_;
};

/// \brief Selects the instances for a caller.
///
/// Leaving instances are never selected. If Snapshot::lookup_index is not set,
/// an index is built for this call.
/// \sa LookupIndex::SelectInstances for the order of the entries.
/// \param snapshot the published state.
/// \param service name of the service.
/// \param client_address IP address of the caller.
/// \param now current time, to which kKeyLifetime is added.
LookupAnswer Lookup(const Snapshot& snapshot,
                    absl::string_view service,
                    absl::string_view client_address,
                    absl::Time now);

}  // namespace baobabwall::steer

#endif  // STEER_SRC_LOOKUP_H_
