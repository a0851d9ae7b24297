#pragma once

#include "base/time/TimePoint.h"

#include <cstdint>
#include <deque>

namespace chestnut {

/** Limits on the retries to one service, over all daemons. */
struct ServiceRetryLimits {
    double ratio = 0.2; /**< retries for each request of the clients */
    double slack = 10; /**< retries that are always allowed in one window */
    Duration window = std::chrono::seconds(10);

    bool operator==(const ServiceRetryLimits&) const = default;
};

/** Counts the requests and the retries of one daemon to one service in a sliding window. Each daemon uses only its own
    share of the limits, so that no message is needed to keep the sum within them. */
class ServiceRetryBudget {
public:
    void addRequest(TimePoint now);

    /** Counts a retry for which no permission was requested. */
    void addRetry(TimePoint now);

    /** Counts one retry and returns true when the share of this daemon allows it. Asserts that `daemons` is not zero. */
    bool tryTakeRetry(const ServiceRetryLimits&, uint32_t daemons, TimePoint now);

private:
    void expire(TimePoint now, Duration window);

    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace chestnut
