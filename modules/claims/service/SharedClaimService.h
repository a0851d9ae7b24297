#pragma once

#include "claims/answers/RecordedResponses.h"
#include "claims/log/EpochCleaner.h"
#include "claims/log/ShardReader.h"
#include "claims/service/ClaimRouter.h"
#include "claims/service/ClaimService.h"

#include <unordered_map>

namespace chestnut {

/** ClaimService over the claim logs in the key-value service and the daemon keys in this daemon's memory. */
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

    /** Calls that are claimed, run or may be claimed by this daemon. */
    size_t openCalls() const;

private:
    struct Call;
    class DecisionGuard;
    using Calls = std::unordered_map<Digest, Call>;

    Result<ClaimKey> checkKey(const std::string& key) const;
    std::optional<Result<ClaimDecision>> decideLocally(const Digest& id, const Digest& content);
    Call& openCall(const Digest& id, const Digest& content, UnixSeconds keyTime);
    Digest makeNonce();
    asio::awaitable<Result<ClaimDecision>> decide(ClaimKey, ClaimEntry);
    Result<ClaimDecision> settleError(const Digest& id, Error);
    asio::awaitable<Result<ClaimDecision>> answerDuplicate(ClaimEntry counting);
    asio::awaitable<Result<nlohmann::json>> answerPeer(nlohmann::json body);
    void forgetExpired();
    void logDecision(const Digest& id, const Result<ClaimDecision>&);

    ClaimDependencies m_environment;
    PeerService& m_peers;
    std::mt19937_64 m_rng;
    ShardWriters m_writers;
    mutable DaemonClaims m_daemonClaims; // keyPrefix() registers the prefix that it hands out
    ClaimRouter m_router;
    std::shared_ptr<EpochCleaner> m_cleaner;
    std::map<ClaimLogId, std::shared_ptr<ShardReader>> m_readers;
    mutable RecordedResponses m_answers; // a look-up drops expired answers
    std::shared_ptr<Calls> m_calls; // shared with the coroutines that claim, which may end after this object
    uint64_t m_lastNonce = 0;
    TimerSubscription m_cleaning;
};

} // namespace chestnut
