#ifndef EDGE_EDGE_H_
#define EDGE_EDGE_H_

/// \brief Umbrella header of the edge package: the event loops of an instance
/// that runs on the operators' platform.

#include "edge/src/backend_client.h"
#include "edge/src/control_thread.h"
#include "edge/src/dialect.h"
#include "edge/src/event_limits.h"
#include "edge/src/gateway_process.h"
#include "edge/src/http_listener.h"
#include "edge/src/http_message.h"
#include "edge/src/incoming.h"
#include "edge/src/line_limit.h"
#include "edge/src/log_writer.h"
#include "edge/src/memory_budget.h"
#include "edge/src/peer_channel.h"
#include "edge/src/relay_codec.h"
#include "edge/src/request_log.h"
#include "edge/src/socket_options.h"
#include "edge/src/store_link.h"
#include "edge/src/traffic_loop.h"

#endif  // EDGE_EDGE_H_
