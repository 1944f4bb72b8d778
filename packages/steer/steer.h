#ifndef STEER_STEER_H_
#define STEER_STEER_H_

/// \brief Umbrella header of the steer package, which decides on requests
/// without performing I/O.

#include "steer/src/action.h"
#include "steer/src/adaptive_limit.h"
#include "steer/src/backend_health.h"
#include "steer/src/crash_suspects.h"
#include "steer/src/engine.h"
#include "steer/src/event.h"
#include "steer/src/exchange.h"
#include "steer/src/hysteresis.h"
#include "steer/src/idempotency_key.h"
#include "steer/src/key_table.h"
#include "steer/src/link_budget.h"
#include "steer/src/lookup.h"
#include "steer/src/placement.h"
#include "steer/src/placement_rules.h"
#include "steer/src/relay_mark.h"
#include "steer/src/request_chart.h"
#include "steer/src/retry_budget.h"
#include "steer/src/rules.h"
#include "steer/src/snapshot.h"
#include "steer/src/wait_queue.h"

#endif  // STEER_STEER_H_
