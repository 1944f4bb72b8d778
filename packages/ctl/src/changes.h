#ifndef CTL_SRC_CHANGES_H_
#define CTL_SRC_CHANGES_H_

#include <vector>

#include "ctl/src/command.h"

namespace baobabwall::ctl::internal {

/// \brief A resource of the files and the current resource with the same id.
struct PlannedChange {
  enum class Type { kCreate, kUpdate, kNone };
  Type type = Type::kNone;
  Json resource;  ///< Resource in the files.
  Json current;   ///< Current resource; null if it does not exist.
};

/// \brief Compares the resources of the files with the current resources.
///
/// The path is the value of -f, or the first argument if -f is not set.
/// \param changes receives one item for each resource of the files.
ExitStatus PlanChanges(const Context& context,
                       std::vector<PlannedChange>* changes);

}  // namespace baobabwall::ctl::internal

#endif  // CTL_SRC_CHANGES_H_
