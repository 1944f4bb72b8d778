#ifndef GATEWAY_GATEWAY_H_
#define GATEWAY_GATEWAY_H_

/// \brief Umbrella header of the gateway package: decisions of an instance that
/// connects to the backend servers of all zones itself.

#include "gateway/src/account_quotas.h"
#include "gateway/src/authorization.h"
#include "gateway/src/backend_registry.h"
#include "gateway/src/backend_server.h"
#include "gateway/src/balancer.h"
#include "gateway/src/cached_objects.h"
#include "gateway/src/client_account.h"
#include "gateway/src/demand_meter.h"
#include "gateway/src/directory.h"
#include "gateway/src/gateway_control.h"
#include "gateway/src/heartbeat.h"
#include "gateway/src/holder_set.h"
#include "gateway/src/http_status.h"
#include "gateway/src/instance_record.h"
#include "gateway/src/lookup_cache.h"
#include "gateway/src/peer_table.h"
#include "gateway/src/region_plan.h"
#include "gateway/src/registration.h"
#include "gateway/src/request_record.h"
#include "gateway/src/retry_allowance.h"
#include "gateway/src/revision_lag.h"
#include "gateway/src/routing_config.h"
#include "gateway/src/server_limits.h"
#include "gateway/src/server_load.h"
#include "gateway/src/state_change.h"
#include "gateway/src/state_mirror.h"
#include "gateway/src/state_reader.h"
#include "gateway/src/state_relay.h"
#include "gateway/src/state_sources.h"
#include "gateway/src/steering.h"
#include "gateway/src/steering_event.h"
#include "gateway/src/traffic_split.h"
#include "gateway/src/watch_probe.h"
#include "gateway/src/work_times.h"
#include "gateway/src/zone_map.h"

#endif  // GATEWAY_GATEWAY_H_
