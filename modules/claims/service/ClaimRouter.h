#pragma once

#include "claims/log/ShardWriters.h"
#include "claims/service/DaemonClaims.h"
#include "peers/service/PeerService.h"

namespace chestnut {

/** Routes each claim to the daemon that decides it: the owner of a daemon key, or a writer of a shared key's shard. */
class ClaimRouter {
public:
    /** Time limit for a writer to decide a claim. */
    static constexpr Duration writeLimit = std::chrono::seconds(1);
    static constexpr Duration forwardTimeout = std::chrono::milliseconds(1500);
    /** A newly started daemon discovers its peers within a few heartbeats. For this time, a claim waits for an owner
        that has not been discovered, because the owner may be alive. */
    static constexpr Duration ownerSearchTime = std::chrono::seconds(3);

    ClaimRouter(PeerService&, ShardWriters&, DaemonClaims&, TimerService&);

    /** Registers the handler for claims that other daemons forward. */
    void start();

    /** Returns the winning claim. Errors: KeyExpired; ClaimUnavailable when this call certainly has not made the given
        claim; OutcomeUnknown when it may have. */
    asio::awaitable<Result<ClaimEntry>> decide(ClaimKey, ClaimEntry);

    /** The preferred writer of a shard: the live member with the highest rendezvous score. */
    DaemonId preferredWriter(ClaimEpoch, unsigned shard) const;

private:
    std::vector<DaemonId> rankedWriters(ClaimEpoch, unsigned shard) const;
    std::optional<DaemonId> ownerOf(const std::string& prefix) const;
    asio::awaitable<std::optional<DaemonId>> awaitOwner(std::string prefix);

    asio::awaitable<Result<ClaimEntry>> decideShared(ClaimKey, ClaimEntry);
    asio::awaitable<Result<ClaimEntry>> decideAtOwner(ClaimKey, ClaimEntry);
    asio::awaitable<Result<ClaimEntry>> requestDecision(DaemonId, ClaimKey, ClaimEntry);
    asio::awaitable<Result<ClaimEntry>> decideHere(ClaimKey, ClaimEntry);
    asio::awaitable<Result<nlohmann::json>> handlePeerRequest(DaemonId sender, nlohmann::json body);

    PeerService& m_peers;
    ShardWriters& m_writers;
    DaemonClaims& m_daemonClaims;
    TimerService& m_timers;
};

} // namespace chestnut
