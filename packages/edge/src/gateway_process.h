#ifndef EDGE_SRC_GATEWAY_PROCESS_H_
#define EDGE_SRC_GATEWAY_PROCESS_H_

#include <string>

#include "edge/src/dialect.h"

namespace baobabwall::edge {

/// \brief Runs an instance on the operators' platform until a stop signal
/// arrives.
/// \param settings_file INI file with settings::GatewaySettings; the file is
/// read again on SIGHUP and when its content changes.
/// \param check_only reads the settings and returns.
/// \returns the exit code: 0 on success, 1 if a port cannot be opened, 2 if the
/// settings are invalid.
int RunGateway(const std::string& settings_file,
               bool check_only,
               const Dialect& dialect);

}  // namespace baobabwall::edge

#endif  // EDGE_SRC_GATEWAY_PROCESS_H_
