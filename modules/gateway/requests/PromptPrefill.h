#pragma once

#include "gateway/requests/RelayContext.h"

namespace chestnut {

/** Runs the prefill of one request on prefill engines, before its decode. */
class PromptPrefill {
public:
    /** The request has a prompt. */
    explicit PromptPrefill(RelayContext&);

    /** Runs the prefill. Returns nothing when the decode engine has to process the prompt, and fails when no engine can
        complete the prefill in time. */
    asio::awaitable<Result<std::optional<CacheHandle>>> run();

    /** Position of the request at the engines; absent before the first call. */
    std::optional<EnginePosition> order() const { return m_order; }
    /** Duration of the last completed call. */
    std::chrono::milliseconds time() const { return m_time; }

    /** Time until the end of a prefill that begins now; zero while it is unknown or when decode engines read the prompt. */
    Duration expectedTime() const;

    /** Whether the prefill can be completed before the request's deadline. Without a prefill engine there is nothing to wait for. */
    bool canRunInTime() const;

    /** Whether only the rate limits of the engines keep the prefill from beginning now. */
    bool isWaitingForRate() const;

    /** Expected time until the rate limits let the prefill begin, behind `ahead` waiting requests. */
    Duration expectedRateWait(double ahead) const;

private:
    struct Placement {
        ReplicaEntry engine;
        PrefillChoice choice;
        std::optional<PrefillSpeed> speed; /**< at the time of the choice */
    };

    /** The usable engines as this request sees them. */
    struct Candidates {
        std::vector<const ReplicaEntry*> entries;
        std::vector<PlacementView> views; /**< of the entries */
    };

    Candidates candidates() const;
    /** Leaves the engines whose KV cache a decode engine can read: those of the versions that have a free decode engine, or, if there are none, any
        decode engine. */
    void keepDecodableVersions(std::vector<const ReplicaEntry*>&) const;
    std::optional<Placement> findEngine() const;
    asio::awaitable<Result<PrefillResponse>> callEngine(const Placement&);
    /** Interrupts a call that takes far longer than expected, if its engine completes no other work either and another engine
        can still complete the prefill in time. */
    void watchProgress(const Placement&, TimePoint since);
    void recordFailure(const Placement&, const Error&, bool isRetry);

    RelayContext& m_relay;
    const PromptShape& m_prompt;
    std::optional<EnginePosition> m_order;
    std::chrono::milliseconds m_time { 0 };
    TimerSubscription m_progressTimer;
    bool m_mayCallAgain = false; /**< after the call in progress */
    bool m_isFirstCall = true; /**< the retry budget counts later calls as retries */
};

/** Frees KV cache that no decode will fetch. An engine that wants no requests now is not asked; its cache expires by itself. */
void releaseHandle(RelayServices&, const CacheHandle&);

} // namespace chestnut
