#pragma once

#include "frontend/dispatch/FrontendState.h"

namespace chestnut {

/** Adds suspected requests, latencies of slow replicas and arrival rates to the heartbeats between daemons, and handles
    the members' broadcasts of suspected requests. */
void registerHeartbeatExtensions(const FrontendStatePointer&);

/** Sends the replica losses attributed to a request to all members and waits for their replies, 300 ms at most. It runs
    before the caller receives the error, because an immediate retry at another daemon would arrive before a heartbeat.
    Does nothing for a request that only ran beside others on one lost replica. */
asio::awaitable<void> broadcastLossHistory(FrontendStatePointer, Digest);

} // namespace chestnut
