#pragma once

#include "base/time/TimePoint.h"

#include <cstdint>
#include <deque>

namespace chestnut {

/** Bounds on repeated sends to one service, over all daemons. */
struct ServiceRetryLimits {
    double ratio = 0.2; /**< repeats for each request of the clients */
    double slack = 10; /**< repeats that are always allowed in one window */
    Duration window = std::chrono::seconds(10);

    bool operator==(const ServiceRetryLimits&) const = default;
};

/** Counts the requests and the repeated sends of one daemon to one service in a sliding window. Each daemon lives on its
    own share of the bounds, so that no message is needed to keep the sum below them. */
class ServiceRetryBudget {
public:
    void addRequest(TimePoint now);

    /** Counts a repeat that has happened without being asked for. */
    void addRetry(TimePoint now);

    /** Counts one repeat and returns true when the share of this daemon allows it. Asserts that there is a daemon. */
    bool tryTakeRetry(const ServiceRetryLimits&, uint32_t daemons, TimePoint now);

private:
    void expire(TimePoint now, Duration window);

    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_repeats;
};

} // namespace chestnut
