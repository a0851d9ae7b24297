#include "gateway/requests/CrashTracker.h"

#include <algorithm>
#include <optional>

namespace chestnut {

namespace {

    /** Crashes after which a request is sent to no replica. */
    constexpr size_t lossesToRefuse = 3;
    /** A replica that has crashed is back after some seconds, possibly under its old id. */
    constexpr Duration shortestRestart = std::chrono::seconds(1);
    constexpr Duration rememberedTime = std::chrono::minutes(5);
    /** Several datagrams to each peer carry a loss, because some are lost. */
    constexpr Duration recentTime = std::chrono::seconds(3);
    constexpr size_t maximumRecent = 16;
    /** Longer than peers tell a loss, so that none of them brings one back that has been disproved. */
    constexpr Duration servedTime = std::chrono::seconds(10);
    constexpr Duration expiryPeriod = std::chrono::milliseconds(500);
    /** Bounds the memory to about 400 KB. */
    constexpr size_t maximumLosses = 4096;

    /** By so much the times in the news of peers may be wrong: the way of a datagram. */
    constexpr Duration newsError = std::chrono::milliseconds(10);

    /** The crashes of one replica behind its losses: one crash loses all attempts that were sent before it. */
    size_t countCrashes(std::vector<LostAttemptTimes> losses)
    {
        std::ranges::sort(losses, {}, &LostAttemptTimes::noticedAt);
        size_t crashes = 0;
        std::optional<TimePoint> lastCrash;
        for (const auto& loss : losses) {
            if (lastCrash && loss.sentAt <= *lastCrash + newsError)
                continue;
            ++crashes;
            lastCrash = loss.noticedAt;
        }
        return crashes;
    }

} // namespace

CrashTracker::CrashTracker(TimerService& timers)
    : m_timers(timers)
{
}

bool CrashTracker::add(const LostAttempt& loss, TimePoint sentAt)
{
    return addNew(loss, { sentAt, m_timers.now() });
}

bool CrashTracker::add(const LostAttemptReport& news)
{
    auto noticedAt = m_timers.now() - news.age;
    return addNew(news.loss, { noticedAt - news.runTime, noticedAt });
}

bool CrashTracker::addNew(const LostAttempt& loss, LostAttemptTimes times)
{
    expire();
    auto served = m_served.find(loss.content);
    if (served != m_served.end() && times.noticedAt <= served->second.at) {
        served->second.hadLoss = true;
        return false;
    }
    return m_losses.try_emplace(loss, times).second;
}

void CrashTracker::noteServed(const SuccessReport& news)
{
    expire();
    auto& served = m_served[news.content];
    served.at = std::max(served.at, m_timers.now() - news.age);
    auto loss = m_losses.lower_bound(LostAttempt { news.content, RequestId(), ReplicaId() });
    while (loss != m_losses.end() && loss->first.content == news.content) {
        auto isDisproved = loss->second.noticedAt <= served.at;
        served.hadLoss = served.hadLoss || isDisproved;
        loss = isDisproved ? m_losses.erase(loss) : std::next(loss);
    }
}

void CrashTracker::replicaAnswered(const ReplicaId& replica, TimePoint sentAt)
{
    std::erase_if(m_losses, [&](const auto& entry) {
        const auto& [loss, times] = entry;
        return loss.replica == replica && times.noticedAt <= sentAt && sentAt - times.noticedAt < shortestRestart;
    });
}

bool CrashTracker::isRefused(const Digest& content) const
{
    std::map<ReplicaId, std::vector<LostAttemptTimes>> lossesOf;
    for (auto loss = m_losses.lower_bound(LostAttempt { content, RequestId(), ReplicaId() }); loss != m_losses.end() && loss->first.content == content; ++loss)
        lossesOf[loss->first.replica].push_back(loss->second);
    size_t crashes = 0;
    for (auto& [replica, losses] : lossesOf)
        crashes += countCrashes(std::move(losses));
    return crashes >= lossesToRefuse;
}

std::vector<LostAttemptReport> CrashTracker::recent() const
{
    std::vector<LostAttemptReport> losses;
    auto now = m_timers.now();
    for (const auto& [loss, times] : m_losses) {
        if (now - times.noticedAt < recentTime && losses.size() < maximumRecent)
            losses.push_back({ loss, now - times.noticedAt, times.noticedAt - times.sentAt });
    }
    return losses;
}

std::vector<SuccessReport> CrashTracker::recentlyServed() const
{
    std::vector<SuccessReport> news;
    auto now = m_timers.now();
    for (const auto& [content, served] : m_served) {
        if (served.hadLoss && now - served.at < recentTime && news.size() < maximumRecent)
            news.push_back({ content, now - served.at });
    }
    return news;
}

void CrashTracker::expire()
{
    auto now = m_timers.now();
    if (now - m_expiredAt < expiryPeriod)
        return;
    m_expiredAt = now;
    std::erase_if(m_served, [now](const auto& entry) { return now - entry.second.at > servedTime; });
    std::erase_if(m_losses, [now](const auto& entry) { return now - entry.second.noticedAt > rememberedTime; });
    while (m_losses.size() > maximumLosses) {
        auto oldest = std::ranges::min_element(m_losses, {}, [](const auto& entry) { return entry.second.noticedAt; });
        m_losses.erase(oldest);
    }
}

} // namespace chestnut
