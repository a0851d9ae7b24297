#include "claims/service/DaemonClaims.h"

#include <algorithm>

namespace chestnut {

Result<ClaimEntry> DaemonClaims::claim(const ClaimEntry& entry, UnixSeconds keyTime, UnixSeconds now)
{
    expire(now);
    if (keyTime < m_oldestKeyTime)
        return makeError(ErrorKind::KeyExpired, "the daemon key is too old");
    if (auto found = m_claims.find(entry.id); found != m_claims.end())
        return found->second;
    if (m_claims.size() >= maximumClaims)
        return makeError(ErrorKind::ClaimUnavailable, "too many daemon keys are claimed");
    m_claims.emplace(entry.id, entry);
    m_byKeyTime.emplace(keyTime, entry.id);
    return entry;
}

void DaemonClaims::expire(UnixSeconds now)
{
    m_oldestKeyTime = std::max(m_oldestKeyTime, now - daemonKeyLifetime);
    while (!m_byKeyTime.empty() && m_byKeyTime.begin()->first < m_oldestKeyTime) {
        m_claims.erase(m_byKeyTime.begin()->second);
        m_byKeyTime.erase(m_byKeyTime.begin());
    }
}

} // namespace chestnut
