#ifndef CONTROL_SRC_UTILISATION_H_
#define CONTROL_SRC_UTILISATION_H_

#include <map>
#include <string>

#include "absl/types/span.h"
#include "steer/steer.h"

namespace baobabwall::control {

/// \brief Fraction of an instance's slots in use for each service, 0 to 1.
///
/// The fraction is rounded to a multiple of 0.05, so that small changes are not
/// sent to other instances.
/// \param backends backend servers with the slots that the instance may use.
/// \param slots_in_use slots in use by name of the backend server.
std::map<std::string, double, std::less<>> UtilisationByService(
    absl::Span<const steer::BackendView> backends,
    const std::map<std::string, int, std::less<>>& slots_in_use);

}  // namespace baobabwall::control

#endif  // CONTROL_SRC_UTILISATION_H_
