#pragma once

#include "frontend/dispatch/FrontendState.h"

namespace chestnut {

/** Adds suspected requests, latencies of slow replicas and arrival rates to the heartbeats between daemons. */
void exchangeByHeartbeat(const FrontendStatePointer&);

} // namespace chestnut
