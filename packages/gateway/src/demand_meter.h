#ifndef GATEWAY_SRC_DEMAND_METER_H_
#define GATEWAY_SRC_DEMAND_METER_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace baobabwall::gateway {

/// \brief Work that arrives for each service, in slots: the mean over about
/// kMemory, with more weight on what is recent.
class DemandMeter {
 public:
  static constexpr absl::Duration kMemory = absl::Seconds(2);

  /// \param work expected time of work of one request.
  void OnRequest(absl::string_view service,
                 absl::Duration work,
                 absl::Time now);

  /// \returns demand by service, without those at nearly zero.
  absl::flat_hash_map<std::string, double> Demand(absl::Time now) const;

 private:
  struct Sum {
    double seconds = 0;  ///< Of work, faded by age.
    absl::Time at = absl::InfinitePast();
  };

  static double Faded(const Sum& sum, absl::Time now);

  absl::flat_hash_map<std::string, Sum> sums_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_DEMAND_METER_H_
