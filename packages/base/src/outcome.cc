#include "base/src/outcome.h"

namespace baobabwall::base {

absl::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRun:
      return "run";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

Outcome OutcomeFromString(absl::string_view text) {
  if (text == "run") {
    return Outcome::kRun;
  }
  if (text == "not-run") {
    return Outcome::kNotRun;
  }
  return Outcome::kUnknown;
}

}  // namespace baobabwall::base
