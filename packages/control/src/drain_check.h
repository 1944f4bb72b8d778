#ifndef CONTROL_SRC_DRAIN_CHECK_H_
#define CONTROL_SRC_DRAIN_CHECK_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "model/model.h"

namespace baobabwall::control {

/// A drain may start only if the utilisation of the remaining slots would be at
/// most this fraction. The slots above this fraction absorb load variation.
inline constexpr double kMaxUtilisationAfterDrain = 0.9;

/// \brief Slots in use as last observed, by zone and service. A missing entry
/// means that the service was not observed in the zone.
using ServiceUse = std::map<std::pair<std::string, std::string>, double>;

/// \brief A quantity, such as the slots of a service in a zone, whose remaining
/// amount is too small for a drain.
struct DrainShortfall {
  std::string quantity;     ///< For example "slots of reservas in amba".
  double needed = 0;        ///< Amount in use, or the declared amount.
  double available = 0;     ///< Remaining amount, without the reserve.
  bool is_observed = true;  ///< False if the usage was not observed.
};

/// \brief Whether the remaining capacity can take over the load of the drained
/// resource.
struct DrainCheckResult {
  std::vector<DrainShortfall> shortfalls;

  bool has_headroom() const { return shortfalls.empty(); }
  /// \returns the shortfalls as one line, for logs and the status of the drain.
  std::string ToString() const;
};

/// \brief Checks the headroom that would remain during a drain.
///
/// The load of a backend server, an instance or a zone moves to the rest of its
/// region. The load of a region moves to the other regions, limited by the cap
/// of the region.
/// \param configuration the current configuration.
/// \param drain the drain to check.
/// \param started_drains names of the drains that have started; the capacity
/// that these drains cover does not count as remaining capacity.
/// \param service_use observed slots in use; an unobserved service counts as a
/// shortfall.
/// \param zone_instances number of live instances of the zone, for the drain of
/// an instance.
DrainCheckResult CheckDrain(
    const model::Configuration& configuration,
    const model::Drain& drain,
    const std::set<std::string, std::less<>>& started_drains,
    const ServiceUse& service_use,
    int zone_instance_count);

/// \returns true if one of the drains covers the backend server.
bool IsCovered(const model::Configuration& configuration,
               const std::set<std::string, std::less<>>& drains,
               const model::BackendServer& server);

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_DRAIN_CHECK_H_
