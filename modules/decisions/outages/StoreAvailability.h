#pragma once

#include "base/errors/ErrorKind.h"
#include "base/time/TimePoint.h"

#include <cstdint>
#include <optional>

namespace chestnut {

/** What the outcomes of calls show about the store. A connection that was open may have stopped working, or a waiting call may be
    cut, while the store serves new connections; a single lost response is therefore no outage. */
struct StoreAvailability {
    uint32_t lostResponses = 0; /**< in a row */
    bool isUnavailable = false;
    std::optional<TimePoint> lastResponseAt;
    std::optional<TimePoint> lastUnreachableAt; /**< see lastUnreachable() */

    bool operator==(const StoreAvailability&) const = default;
};

/** Records a call that failed without a response, or that the store refused. A call after a lost response has to use a
    new connection. */
void recordFailure(StoreAvailability&, ErrorKind, TimePoint sentAt);

/** Records any other response. Returns whether it ends an outage. */
bool recordResponse(StoreAvailability&, TimePoint now);

/** The last time at which this daemon is known to have been without access to the store, if ever; `now` while calls fail. It is a
    lower bound: the access may have returned later, but no later than the next response. */
std::optional<TimePoint> lastUnreachable(const StoreAvailability&, TimePoint now);

/** How long an entry whose removal is read now stays in use, because it may have expired while the store was away. The time counts
    from the last time without the store, not from when the removal is read: a daemon that has been back for some time has to act on removals
    that it reads late as if it had read them at once. */
Duration expiryGraceAt(TimePoint now, const std::optional<TimePoint>& unreachableAt);

} // namespace chestnut
