#ifndef BASE_SRC_ERROR_H_
#define BASE_SRC_ERROR_H_

#include <string>

#include "base/src/finding.h"

/// \brief Error types that functions return through boost::leaf::result.
namespace baobabwall::base {

/// \brief The input was rejected because of the findings.
struct InvalidInput {
  Findings findings;
};

/// \brief A write expected a version that is not the resource's current
/// version.
struct VersionConflict {
  std::string resource;  ///< "Kind/name" of the resource.
  /// Revision of the last change, or 0 if the resource does not exist.
  int64_t current_version = 0;
};

/// \brief A remote process could not be reached or did not respond in time.
struct Unavailable {
  std::string what;
};

/// \brief The requested resource or object does not exist.
struct NotFound {
  std::string what;
};

}  // namespace baobabwall::base

#endif  // BASE_SRC_ERROR_H_
