#pragma once

#include "base/time/TimePoint.h"

#include <cstdint>

namespace chestnut {

/** The demand for one service, in requests per second, as one daemon knows it. */
struct DemandView {
    double own = 0; /**< of this daemon's clients */
    double others = 0; /**< of the clients of all other daemons */
    bool knowsOthers = false; /**< others have reported their demand lately */
    uint32_t daemons = 1; /**< that serve clients, this one included */
};

/** The part of a rate limit that this daemon may use: its part of the demand, so that no part of the limit stays unused at
    a daemon without work. The parts of all daemons add up to one when they know each other's demand. */
double limitShare(const DemandView&);

/** Requests are allotted for this time. A shorter one lets fewer requests arrive at once. */
constexpr Duration allotmentPeriod = std::chrono::milliseconds(250);

/** The requests that one daemon may send to one replica now. What is left of a period may be used in the next one. */
struct RequestAllotment {
    int64_t period = 0;
    int64_t current = 0; /**< of this period; below zero after requests that could not be held back */
    int64_t previous = 0; /**< left of the last period */
    double fraction = 0; /**< of a request that was not allotted, below one */

    int64_t left() const { return current + previous; }
    bool operator==(const RequestAllotment&) const = default;
};

/** The allotment at a later time, for a daemon that may send `perSecond` requests. A daemon whose share is far below one request in
    each period is allotted one in some of them. The first fraction should be a random number, at least 0 and below 1: the
    requests of hundreds of daemons are then spread over the time and add up to the limit. */
RequestAllotment advanced(const RequestAllotment&, double perSecond, TimePoint now);

/** The allotment after a request. */
RequestAllotment afterRequest(const RequestAllotment&);

} // namespace chestnut
