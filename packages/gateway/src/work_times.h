#ifndef GATEWAY_SRC_WORK_TIMES_H_
#define GATEWAY_SRC_WORK_TIMES_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "gateway/src/routing_config.h"

namespace baobabwall::gateway {

/// \brief Mean work times (processing times) of one route at one service.
struct WorkTime {
  absl::Duration warm;  ///< On a server that has cached the object.
  absl::Duration cold;  ///< On a server that has not cached the object.
};

/// \brief Estimates work times from answers.
class WorkTimes {
 public:
  /// Work times that are assumed until the first answer is measured, relative
  /// to the latency objective.
  static constexpr double kInitialColdRatio = 0.9;
  static constexpr double kInitialWarmRatio = 0.4;
  /// Weight of one answer in the moving average.
  static constexpr double kSampleWeight = 0.05;
  /// Position of the threshold between the warm work time (0) and the cold work
  /// time (1). A work time below the threshold means that the server had cached
  /// the object.
  static constexpr double kWarmThresholdRatio = 0.5;

  WorkTime Of(absl::string_view service, const Route& route) const;

  /// \brief Updates the estimate with the answer of a server that had a free
  /// slot.
  /// \returns whether the work time indicates that the server had cached the
  /// object.
  bool OnAnswer(absl::string_view service,
                const Route& route,
                absl::Duration work);

 private:
  absl::flat_hash_map<std::string, WorkTime> times_;  ///< By service and route.
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_WORK_TIMES_H_
