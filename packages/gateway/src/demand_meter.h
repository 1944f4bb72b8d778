#ifndef GATEWAY_SRC_DEMAND_METER_H_
#define GATEWAY_SRC_DEMAND_METER_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace baobabwall::gateway {

/// \brief Measures the demand for each service in slots, as an exponentially
/// decaying mean with the time constant kDecayTime.
class DemandMeter {
 public:
  static constexpr absl::Duration kDecayTime = absl::Seconds(2);

  /// \param work expected work time of the request.
  void OnRequest(absl::string_view service,
                 absl::Duration work,
                 absl::Time now);

  /// \returns the demand by service, without services whose demand is close to
  /// 0.
  absl::flat_hash_map<std::string, double> Demand(absl::Time now) const;

 private:
  struct DecayedSum {
    double seconds = 0;  ///< Decayed sum of the work times.
    absl::Time updated_at = absl::InfinitePast();
  };

  static double Decayed(const DecayedSum& sum, absl::Time now);

  absl::flat_hash_map<std::string, DecayedSum> sums_by_service_;
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_DEMAND_METER_H_
