#ifndef EDGE_SRC_GATEWAY_PROCESS_H_
#define EDGE_SRC_GATEWAY_PROCESS_H_

#include <string>

#include "edge/src/dialect.h"

namespace baobabwall::edge {

/// \brief Runs an instance on the operators' platform until it is told to
/// stop.
/// \param settings_file INI file with settings::GatewaySettings; read again at
/// SIGHUP and when it changes.
/// \param only_check reads the settings and returns.
/// \returns the exit code: 0, 1 if a port can't be opened, 2 if the settings
/// don't fit.
int RunGateway(const std::string& settings_file,
               bool only_check,
               const Dialect& dialect);

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_GATEWAY_PROCESS_H_
