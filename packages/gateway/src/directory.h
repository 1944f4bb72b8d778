#ifndef GATEWAY_SRC_DIRECTORY_H_
#define GATEWAY_SRC_DIRECTORY_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "gateway/src/instance_record.h"

namespace baobabwall::gateway {

/// \brief Zone and region of a caller.
struct CallerPlace {
  std::string zone;
  std::string region;
};

/// \brief Chooses the instances that the lookup returns to a caller: the
/// instances of the caller's zone, or else of its region, or else all
/// instances.
///
/// If the chosen instances have different CPU shares, only the instances with
/// the largest CPU shares are returned: as many as are needed for
/// kMinCpuShareRatio of the total CPU share. With fewer instances, each
/// instance has a more accurate view of the load of the backend servers.
class Directory {
 public:
  static constexpr size_t kMaxInstances = 64;
  static constexpr double kMinCpuShareRatio = 0.3;

  /// \param live instances that accept callers.
  /// \returns the instances that the caller should use; pointers into `live`.
  static std::vector<const InstanceRecord*> Choose(
      const CallerPlace& caller,
      absl::Span<const InstanceRecord> live);

  /// \returns the caller endpoints of the instances that Choose() returns.
  static std::vector<Endpoint> Endpoints(const CallerPlace& caller,
                                         absl::Span<const InstanceRecord> live);
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_DIRECTORY_H_
