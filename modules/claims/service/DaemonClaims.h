#pragma once

#include "base/errors/Result.h"
#include "decisions/claims/ClaimKey.h"
#include "decisions/claims/ClaimLog.h"

#include <map>
#include <set>
#include <unordered_map>

namespace chestnut {

/** Claims of the daemon keys that this process owns. They are kept in memory only: once the process has ended, its keys
    can never be claimed again. */
class DaemonClaims {
public:
    /** About 75 MB, reached only by more than 140 calls/s for an hour. */
    static constexpr size_t maximumClaims = 500'000;

    /** Registers a prefix as owned by this process. */
    void addPrefix(const std::string& prefix) { m_prefixes.insert(prefix); }
    bool owns(const std::string& prefix) const { return m_prefixes.contains(prefix); }

    /** Whether the call was claimed. */
    bool contains(const Digest& id) const { return m_claims.contains(id); }

    /** Returns the winning claim. Errors: KeyExpired, ClaimUnavailable when maximumClaims is reached. */
    Result<ClaimEntry> claim(const ClaimEntry&, UnixSeconds keyTime, UnixSeconds now);

private:
    void expire(UnixSeconds now);

    std::set<std::string> m_prefixes;
    std::unordered_map<Digest, ClaimEntry> m_claims;
    std::multimap<UnixSeconds, Digest> m_byKeyTime;
    /** Keys older than this are refused. The limit never decreases, because the claims of older keys are removed and
        the wall clock may be set back. */
    UnixSeconds m_oldestKeyTime { 0 };
};

} // namespace chestnut
