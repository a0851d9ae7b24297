#pragma once

#include "decisions/retries/ServiceRetryBudget.h"
#include "gateway/members/DaemonDirectory.h"
#include "kernel/timers/TimerService.h"

#include <map>

namespace chestnut {

/** The retry budgets of all services; the limits apply to all daemons together. */
class RetryBudgets {
public:
    RetryBudgets(TimerService&, DaemonDirectory&, ServiceRetryLimits);

    void setLimits(const ServiceRetryLimits& limits) { m_limits = limits; }
    void addRequest(const ServiceId&);
    bool tryTakeRetry(const ServiceId&);
    /** Charges a rejected first prefill call as a retry; only an accepted first call is free. */
    void chargeRejection(const ServiceId&);

private:
    TimerService& m_timers;
    DaemonDirectory& m_directory;
    ServiceRetryLimits m_limits;
    std::map<ServiceId, ServiceRetryBudget> m_budgets;
};

} // namespace chestnut
