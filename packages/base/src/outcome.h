#ifndef BASE_SRC_OUTCOME_H_
#define BASE_SRC_OUTCOME_H_

#include "absl/strings/string_view.h"

namespace baobabwall::base {

/// \brief Whether a backend server executed a request, as reported to the
/// caller.
enum class Outcome {
  kRun,      ///< A backend server ran the request; the response is complete.
  kNotRun,   ///< No backend server started to run the request.
  kUnknown,  ///< It is not known whether the request ran.
};

/// \returns "run", "not-run" or "unknown", the values of the X-Request-Outcome
/// header.
absl::string_view ToString(Outcome outcome);

/// \returns the outcome with the given name, or kUnknown for any other text,
/// because a missing or malformed header does not show whether the request ran.
Outcome OutcomeFromString(absl::string_view text);

}  // namespace baobabwall::base

#endif  // BASE_SRC_OUTCOME_H_
