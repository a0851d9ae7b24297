#include "gateway/requests/CrashLosses.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Losses after which a request is sent to no replica. */
    constexpr size_t lossesToRefuse = 3;
    constexpr Duration rememberedTime = std::chrono::minutes(5);
    /** Several datagrams to each peer carry a loss, because some are lost. */
    constexpr Duration recentTime = std::chrono::seconds(3);
    constexpr size_t maximumRecent = 16;
    /** Bounds the memory to about 400 KB. */
    constexpr size_t maximumLosses = 4096;

} // namespace

CrashLosses::CrashLosses(TimerService& timers)
    : m_timers(timers)
{
}

bool CrashLosses::add(const CrashLoss& loss)
{
    expire();
    return m_losses.try_emplace(loss, m_timers.now()).second;
}

void CrashLosses::clear(const Digest& content)
{
    auto first = m_losses.lower_bound(CrashLoss { content, RequestId(), ReplicaId() });
    while (first != m_losses.end() && first->first.content == content)
        first = m_losses.erase(first);
}

bool CrashLosses::isRefused(const Digest& content) const
{
    auto count = size_t(0);
    for (auto loss = m_losses.lower_bound(CrashLoss { content, RequestId(), ReplicaId() }); loss != m_losses.end() && loss->first.content == content; ++loss)
        ++count;
    return count >= lossesToRefuse;
}

std::vector<CrashLoss> CrashLosses::recent() const
{
    std::vector<CrashLoss> losses;
    auto now = m_timers.now();
    for (const auto& [loss, time] : m_losses) {
        if (now - time < recentTime && losses.size() < maximumRecent)
            losses.push_back(loss);
    }
    return losses;
}

void CrashLosses::expire()
{
    auto now = m_timers.now();
    std::erase_if(m_losses, [now](const auto& entry) { return now - entry.second > rememberedTime; });
    while (m_losses.size() > maximumLosses) {
        auto oldest = std::ranges::min_element(m_losses, {}, [](const auto& entry) { return entry.second; });
        m_losses.erase(oldest);
    }
}

} // namespace chestnut
