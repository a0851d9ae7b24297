#pragma once

#include "frontend/dispatch/FrontendState.h"

namespace chestnut {

/** Adds suspected requests, latencies of slow replicas and arrival rates to the heartbeats between daemons, and takes
    warnings of members. */
void exchangeByHeartbeat(const FrontendStatePointer&);

/** Tells all members what is known against a request, and returns when they have answered, after 300 ms at most. Called
    before the caller learns of the loss: a caller that retries at once at the next daemon is faster than heartbeats. Does
    nothing for a request that merely ran beside others on one lost replica. */
asio::awaitable<void> warnMembers(FrontendStatePointer, Digest);

} // namespace chestnut
