#pragma once

#include "frontend/dispatch/FrontendState.h"

namespace chestnut {

/** Adds suspected requests and latencies of slow replicas to the heartbeats between daemons. */
void exchangeByHeartbeat(const FrontendStatePointer&);

} // namespace chestnut
