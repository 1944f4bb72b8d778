#ifndef CTL_SRC_RESOURCE_FILES_H_
#define CTL_SRC_RESOURCE_FILES_H_

#include <string>
#include <vector>

#include "base/base.h"
#include "nlohmann/json.hpp"

namespace baobabwall::ctl::internal {

/// \brief Reads resources from a JSON file or from all *.json files of a
/// folder.
///
/// A file contains a JSON list of {"kind", "name", "spec"}.
/// \param path the file or folder.
/// \param findings receives every error with its file and resource, including
/// specs that are invalid on their own.
/// \returns the resources ordered by kind, so that a resource precedes the
/// resources that refer to it. The result is unusable if there was a finding.
std::vector<nlohmann::json> ReadResourceFiles(const std::string& path,
                                              base::Findings* findings);

}  // namespace baobabwall::ctl::internal

#endif  // CTL_SRC_RESOURCE_FILES_H_
