#pragma once

#include "claims/log/EpochCleaner.h"
#include "claims/log/ShardReader.h"
#include "claims/responses/RecordedResponses.h"
#include "claims/service/ClaimRouter.h"
#include "claims/service/ClaimService.h"

#include <unordered_map>

namespace chestnut {

/** Implements ClaimService with claim logs in the key-value service for shared keys and memory for daemon keys. */
class SharedClaimService final : public ClaimService {
public:
    static constexpr Duration cleaningPeriod = std::chrono::minutes(10);

    /** The seed must differ between runs of the daemon. */
    SharedClaimService(ClaimDependencies, PeerService&, uint64_t seed);
    ~SharedClaimService() override;

    void start() override;

    asio::awaitable<Result<ClaimDecision>> claim(AccountId, std::string key, Digest content) override;
    std::optional<Result<ClaimDecision>> localDecision(AccountId, const std::string& key, const Digest& content) const override;
    asio::awaitable<std::optional<Error>> findClaimInLog(AccountId, std::string key, Digest content) override;
    void complete(AccountId, const std::string& key, HttpResponse) override;
    void abandon(AccountId, const std::string& key) override;
    std::string keyPrefix() const override;

    /** Number of calls that this daemon is claiming, has claimed or may have claimed. */
    size_t trackedCalls() const;

private:
    struct Call;
    class DecisionGuard;
    using Calls = std::unordered_map<Digest, Call>;

    Result<ClaimKey> checkKey(const std::string& key) const;
    std::optional<Result<ClaimDecision>> decideLocally(const Digest& id, const Digest& content);
    Call& trackCall(const Digest& id, const Digest& content, UnixSeconds keyTime);
    Digest makeNonce();
    asio::awaitable<Result<ClaimDecision>> decide(ClaimKey, ClaimEntry);
    Result<ClaimDecision> handleClaimError(const Digest& id, Error);
    asio::awaitable<Result<ClaimDecision>> respondToDuplicate(ClaimEntry winner);
    asio::awaitable<Result<nlohmann::json>> handlePeerRequest(nlohmann::json body);
    void removeExpired();
    void logDecision(const Digest& id, const Result<ClaimDecision>&);

    ClaimDependencies m_dependencies;
    PeerService& m_peers;
    std::mt19937_64 m_rng;
    ShardWriters m_writers;
    mutable DaemonClaims m_daemonClaims; // keyPrefix() registers the prefix that it returns
    ClaimRouter m_router;
    std::shared_ptr<EpochCleaner> m_cleaner;
    std::map<ClaimLogId, std::shared_ptr<ShardReader>> m_readers;
    mutable RecordedResponses m_responses; // a look-up removes expired responses
    std::shared_ptr<Calls> m_calls; // shared with claiming coroutines, which may outlive this object
    uint64_t m_lastNonce = 0;
    TimerSubscription m_cleaningTimer;
};

} // namespace chestnut
