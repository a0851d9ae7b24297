#include "decisions/retries/ServiceRetryBudget.h"

#include <cassert>

namespace chestnut {

namespace {

    /** Share of the limits that is used. The windows of daemons and of an observer do not begin at the same moment, and a
        restarted daemon has lost its counts. */
    constexpr double usedShare = 0.6;

    void dropBefore(std::deque<TimePoint>& times, TimePoint start)
    {
        while (!times.empty() && times.front() < start)
            times.pop_front();
    }

} // namespace

void ServiceRetryBudget::addRequest(TimePoint now)
{
    m_requests.push_back(now);
}

void ServiceRetryBudget::addRetry(TimePoint now)
{
    m_retries.push_back(now);
}

bool ServiceRetryBudget::tryTakeRetry(const ServiceRetryLimits& limits, uint32_t daemons, TimePoint now)
{
    assert(daemons > 0);
    expire(now, limits.window);
    auto allowed = usedShare * (limits.ratio * static_cast<double>(m_requests.size()) + limits.slack / daemons);
    if (static_cast<double>(m_retries.size()) + 1 > allowed)
        return false;
    m_retries.push_back(now);
    return true;
}

void ServiceRetryBudget::expire(TimePoint now, Duration window)
{
    dropBefore(m_requests, now - window);
    dropBefore(m_retries, now - window);
}

} // namespace chestnut
