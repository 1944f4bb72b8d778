#ifndef GATEWAY_SRC_WORK_TIMES_H_
#define GATEWAY_SRC_WORK_TIMES_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "gateway/src/routing_config.h"

namespace baobabwall::gateway {

/// \brief Mean time of work of one route at one service.
struct WorkTime {
  absl::Duration warm;  ///< At a server that remembers the object.
  absl::Duration cold;  ///< At one that does not.
};

/// \brief Learns times of work from answers.
class WorkTimes {
 public:
  /// Times before any answer was seen, as parts of the latency objective.
  static constexpr double kFirstColdPart = 0.9;
  static constexpr double kFirstWarmPart = 0.4;
  /// Weight of one answer.
  static constexpr double kWeight = 0.05;
  /// An answer that took less than this part of the way from warm to cold came
  /// from a server that remembered the object.
  static constexpr double kWarmBorder = 0.5;

  WorkTime Of(absl::string_view service, const Route& route) const;

  /// \brief Learns from the answer of a server with a free slot.
  /// \returns whether the server remembered the object, by the time it took.
  bool OnAnswer(absl::string_view service,
                const Route& route,
                absl::Duration work);

 private:
  absl::flat_hash_map<std::string, WorkTime> times_;  ///< By service and route.
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_WORK_TIMES_H_
