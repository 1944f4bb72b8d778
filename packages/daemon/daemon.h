#ifndef DAEMON_DAEMON_H_
#define DAEMON_DAEMON_H_

/// \brief Umbrella header of the daemon package, which assembles baobabwalld.

#include "daemon/src/caller_service.h"
#include "daemon/src/chart_files.h"
#include "daemon/src/control_loop.h"
#include "daemon/src/http_headers.h"
#include "daemon/src/operator_service.h"
#include "daemon/src/shutdown.h"
#include "daemon/src/traffic.h"

#endif  // DAEMON_DAEMON_H_
