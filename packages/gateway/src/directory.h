#ifndef GATEWAY_SRC_DIRECTORY_H_
#define GATEWAY_SRC_DIRECTORY_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "gateway/src/instance_record.h"

namespace baobabwall::gateway {

/// \brief Where a caller is.
struct CallerPlace {
  std::string zone;
  std::string region;
};

/// \brief Chooses the instances that a caller is told to use: those of its
/// zone, else of its region, else all.
///
/// Where instances differ in size, the strongest of the nearest are named, as
/// many as carry kStrongPart of the processor time there: fewer instances know
/// the load of the backend servers better.
class Directory {
 public:
  static constexpr size_t kMaxNamed = 64;
  static constexpr double kStrongPart = 0.3;

  /// \param live instances that take callers.
  /// \returns those that a caller is told to use; point into `live`.
  static std::vector<const InstanceRecord*> Choose(
      const CallerPlace& caller,
      absl::Span<const InstanceRecord> live);

  /// \returns where those that Choose() finds take callers.
  static std::vector<Endpoint> Name(const CallerPlace& caller,
                                    absl::Span<const InstanceRecord> live);
};

}  // namespace baobabwall::gateway

#endif  // GATEWAY_SRC_DIRECTORY_H_
