#ifndef DAEMON_SRC_CHART_FILES_H_
#define DAEMON_SRC_CHART_FILES_H_

#include <map>
#include <string>

#include "base/base.h"

namespace baobabwall::daemon {

/// \brief Reads the state chart files (*.chart) of a directory.
/// \param findings receives each directory or file that cannot be read.
/// \returns the text of each chart by its file name, such as "request.chart".
std::map<std::string, std::string> ReadChartFiles(const std::string& directory,
                                                  base::Findings* findings);

}  // namespace baobabwall::daemon

#endif  // DAEMON_SRC_CHART_FILES_H_
