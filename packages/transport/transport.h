#ifndef TRANSPORT_TRANSPORT_H_
#define TRANSPORT_TRANSPORT_H_

/// \brief Umbrella header of the transport package, which holds the HTTP,
/// store, peer and metrics adapters of a process.

#include "transport/src/connection_watch.h"
#include "transport/src/embedded_store.h"
#include "transport/src/http_client.h"
#include "transport/src/http_server.h"
#include "transport/src/http_store_client.h"
#include "transport/src/metrics.h"
#include "transport/src/peer_codec.h"
#include "transport/src/peer_link.h"
#include "transport/src/prober.h"
#include "transport/src/steady_clock.h"
#include "transport/src/store_client.h"
#include "transport/src/token.h"
#include "transport/src/work_queue.h"

#endif  // TRANSPORT_TRANSPORT_H_
