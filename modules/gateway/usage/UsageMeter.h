#pragma once

#include "decisions/usage/UsageClock.h"
#include "decisions/usage/UsageCounts.h"
#include "kernel/timers/TimerService.h"

namespace chestnut {

/** Counts the requests that began to run at replicas through this daemon, by window and account. */
class UsageMeter {
public:
    UsageMeter(TimerService&, UsageWindows);

    /** The present time since the start of 1970 in UTC; a step of the time of day does not move it. */
    Duration time() const;

    const UsageWindows& windows() const { return m_windows; }

    /** Counts a request that began to run now. */
    void count(const AccountId&);

    /** Notes a call that is being sent and counts as soon as it is known to have begun to run. */
    uint64_t beginCall(const AccountId&);

    /** Ends a call; it counts in the window in which it was sent if it has run or may have run. */
    void endCall(uint64_t call, bool mayHaveRun);

    /** Counts the calls still in progress whose window will be reported before they end, and removes the windows whose reports are
        late. */
    void update();

    UsageCounts& counts() { return m_counts; }

private:
    struct Call {
        AccountId account;
        UsageWindow window = 0;
    };

    TimerService& m_timers;
    UsageWindows m_windows;
    mutable UsageClock m_clock;
    UsageCounts m_counts;
    std::map<uint64_t, Call> m_calls;
    uint64_t m_lastCall = 0;
};

} // namespace chestnut
