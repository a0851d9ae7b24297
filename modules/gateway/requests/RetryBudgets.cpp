#include "gateway/requests/RetryBudgets.h"

namespace chestnut {

RetryBudgets::RetryBudgets(TimerService& timers, DaemonDirectory& directory, ServiceRetryLimits limits)
    : m_timers(timers)
    , m_directory(directory)
    , m_limits(limits)
{
}

void RetryBudgets::addRequest(const ServiceId& service)
{
    m_budgets[service].addRequest(m_timers.now());
}

bool RetryBudgets::tryTakeRetry(const ServiceId& service)
{
    return m_budgets[service].tryTakeRetry(m_limits, m_directory.activeDaemons(), m_timers.now());
}

void RetryBudgets::chargeRejection(const ServiceId& service)
{
    m_budgets[service].addRetry(m_timers.now());
}

} // namespace chestnut
