#pragma once

#include "base/time/TimePoint.h"

#include <cstddef>

namespace chestnut {

/** Bytes that one daemon sends in heartbeats and replies, averaged over some seconds; the bound of all control traffic is
    10 KB/s. */
constexpr double heartbeatBytesPerSecond = 8'300;
/** Unused bytes accumulate for this many seconds, because the number of heartbeats that arrive in a second varies. */
constexpr double heartbeatBurstSeconds = 2;
/** Payload bytes of one message once the budget is used up. */
constexpr size_t minimumPayloadBytes = 100;

/** Token bucket over the bytes of heartbeats. A daemon that many peers contact at once sends smaller replies. */
struct HeartbeatBudget {
    double available = heartbeatBytesPerSecond * heartbeatBurstSeconds;
    TimePoint refilledAt;
};

/** Payload bytes of the next message, between minimumPayloadBytes and payloadBytesPerHeartbeat. */
size_t allowedPayloadBytes(HeartbeatBudget&, TimePoint now);

/** Counts a message of this many bytes in total. */
void spendHeartbeatBytes(HeartbeatBudget&, size_t bytes);

} // namespace chestnut
