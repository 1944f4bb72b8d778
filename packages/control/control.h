#ifndef CONTROL_CONTROL_H_
#define CONTROL_CONTROL_H_

/// \brief Umbrella header of the control package: control decisions without
/// I/O.

#include "control/src/action.h"
#include "control/src/backoff.h"
#include "control/src/config_log.h"
#include "control/src/config_writer.h"
#include "control/src/distribution.h"
#include "control/src/event.h"
#include "control/src/freshness.h"
#include "control/src/identity.h"
#include "control/src/membership.h"
#include "control/src/node.h"
#include "control/src/operation_table.h"
#include "control/src/pause_detector.h"
#include "control/src/peer_message.h"
#include "control/src/reader_rank.h"
#include "control/src/snapshot_codec.h"
#include "control/src/snapshot_store.h"
#include "control/src/store.h"
#include "control/src/store_reader.h"
#include "control/src/zone_status.h"

#endif  // CONTROL_CONTROL_H_
