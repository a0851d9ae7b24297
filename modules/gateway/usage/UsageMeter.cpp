#include "gateway/usage/UsageMeter.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** A call without a response this long after the end of its window counts as run: replicas refuse within milliseconds, and the
        window is closed more than a second later. */
    constexpr Duration refusalTime = std::chrono::milliseconds(1200);

} // namespace

UsageMeter::UsageMeter(TimerService& timers, UsageWindows windows)
    : m_timers(timers)
    , m_windows(windows)
{
    (void)time();
}

Duration UsageMeter::time() const
{
    return readUsageClock(m_clock, m_timers.nowIncludingSuspend(), m_timers.timeOfDay());
}

void UsageMeter::count(const AccountId& account)
{
    addRequest(m_counts, windowAt(m_windows, time()), account);
}

uint64_t UsageMeter::beginCall(const AccountId& account)
{
    m_calls[++m_lastCall] = { account, windowAt(m_windows, time()) };
    return m_lastCall;
}

void UsageMeter::endCall(uint64_t call, bool mayHaveRun)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    if (mayHaveRun)
        addRequest(m_counts, found->second.window, found->second.account);
    m_calls.erase(found);
}

void UsageMeter::update()
{
    auto now = time();
    std::erase_if(m_calls, [&](const auto& entry) {
        const auto& call = entry.second;
        auto countsAsRun = now >= endOf(m_windows, call.window) + refusalTime;
        if (countsAsRun)
            addRequest(m_counts, call.window, call.account);
        return countsAsRun;
    });
    while (!m_counts.windows.empty() && now > dueTimeOf(m_windows, m_counts.windows.begin()->first))
        m_counts.windows.erase(m_counts.windows.begin());
}

} // namespace chestnut
