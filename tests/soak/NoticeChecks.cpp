#include "soak/NoticeChecks.h"

namespace chestnut::soak {

namespace {

    /** Time in which a daemon may still send requests to a leaving replica; the platform's drain_ms. */
    constexpr Duration drainTime = std::chrono::milliseconds(2000);
    /** Time in which a daemon may still send requests to a replica that has refused one for a time. */
    constexpr Duration reactionTime = std::chrono::milliseconds(500);
    constexpr int maximumArrivals = 2;

} // namespace

NoticeChecks::NoticeChecks(TimerService& timers, Ledger& ledger, LimitChecks::IsExcused isExcused)
    : m_timers(timers)
    , m_ledger(ledger)
    , m_limits(timers, ledger, std::move(isExcused))
{
}

void NoticeChecks::recordLeaving(const RequestId& request, const ReplicaId& replica)
{
    m_leavingResponses.insert_or_assign(request, replica);
}

void NoticeChecks::recordPassedOn(const std::string& daemon, const RequestId& request, const ReplicaId& replica)
{
    if (auto found = m_leavingResponses.find(request); found != m_leavingResponses.end() && found->second == replica)
        m_leavingSince.try_emplace({ daemon, replica }, m_timers.now());
    m_limits.recordPassedOn(daemon, request, replica);
}

void NoticeChecks::recordShedding(const std::string& daemon, const ReplicaId& replica, Duration pause)
{
    auto now = m_timers.now();
    m_pauses[{ daemon, replica }].push_back({ now + reactionTime, now + pause });
}

void NoticeChecks::checkRequest(const std::string& daemon, const RequestId& request, const ReplicaId& replica)
{
    checkArrival(daemon, replica);
    m_limits.checkArrival(daemon, replica);
    auto found = m_leavingSince.find({ daemon, replica });
    auto sentAt = m_ledger.sentAt(request);
    if (found == m_leavingSince.end() || !sentAt || *sentAt - found->second <= drainTime)
        return;
    auto elapsed = std::to_string(toSeconds(*sentAt - found->second));
    // One report, until the daemon passes on another such response.
    m_leavingSince.erase(found);
    m_ledger.reportViolation("DRAIN", request.value() + " reached " + replica.value() + " from " + daemon + ", sent " + elapsed + " s after the daemon had passed on a response that announces the departure");
}

void NoticeChecks::checkArrival(const std::string& daemon, const ReplicaId& replica)
{
    auto found = m_pauses.find({ daemon, replica });
    if (found == m_pauses.end())
        return;
    auto now = m_timers.now();
    std::erase_if(found->second, [now](const Pause& pause) { return pause.end < now; });
    auto isExceeded = false;
    for (auto& pause : found->second)
        isExceeded |= now > pause.begin && ++pause.arrivals == maximumArrivals + 1;
    if (!isExceeded)
        return;
    // One report for all pauses that overlap.
    found->second.clear();
    m_ledger.reportViolation("BUDGET", std::to_string(maximumArrivals + 1) + " requests of " + daemon + " reached " + replica.value() + " in the time for which it had refused them");
}

void NoticeChecks::excuse(const std::string& daemon)
{
    auto isOfDaemon = [&daemon](const auto& entry) { return entry.first.daemon == daemon; };
    std::erase_if(m_leavingSince, isOfDaemon);
    std::erase_if(m_pauses, isOfDaemon);
    m_limits.excuse(daemon);
}

void NoticeChecks::excuseAll(const ReplicaId& replica)
{
    std::erase_if(m_pauses, [&replica](const auto& entry) { return entry.first.replica == replica; });
    m_limits.restart(replica);
}

} // namespace chestnut::soak
