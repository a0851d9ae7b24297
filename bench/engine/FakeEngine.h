#pragma once

#include "base/time/TimePoint.h"
#include "bench/engine/VirtualClock.h"
#include "decisions/routing/Routing.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace chestnut::bench {

/** Speed and size of an engine. One iteration advances each decoding sequence by a token and prefills one chunk. */
struct EngineProfile {
    double prefillTokensPerSecond = 10000;
    double iterationSeconds = 0.012;
    double iterationSecondsPerSequence = 0.0006;
    uint32_t slots = 32;
    uint32_t blocks = 96; /**< memory size, in blocks of tokensPerBlock tokens */
};

/** Work sent to an engine. */
struct EngineRequest {
    uint64_t attempt = 0;
    uint32_t priority = 0; /**< 0 is most urgent */
    uint32_t promptTokens = 0; /**< for a resumed stream, includes the tokens generated before */
    uint32_t outputTokens = 0; /**< tokens until the stream ends */
    std::vector<uint64_t> prefixBlocks; /**< whole blocks of the prompt prefix that other prompts share */
};

/** Tokens processed for an attempt so far. */
struct EngineProgress {
    uint32_t prefilled = 0;
    uint32_t generated = 0;
};

struct CacheEvent {
    uint64_t sequence = 0;
    bool isStored = true;
    uint64_t block = 0;
};

/** Simulates an engine in virtual time: a queue with continuous batching, slots, memory blocks, priorities, cancellation and a prefix cache. */
class FakeEngine {
public:
    /** Called at the end of an iteration with the attempt and the tokens that it has generated so far. */
    using TokenCallback = std::function<void(uint64_t attempt, uint32_t tokens, bool isLast)>;

    FakeEngine(VirtualClock&, EngineProfile, TokenCallback);

    void submit(EngineRequest);
    /** Cancels a waiting or running attempt and returns the work done on it. */
    EngineProgress cancel(uint64_t attempt);

    void setRole(EngineRole role) { m_role = role; }
    EngineRole role() const { return m_role; }
    /** Multiplies the duration of all work. Load reports do not include the slowdown. */
    void setSlowdown(double factor) { m_slowdown = factor; }
    double slowdown() const { return m_slowdown; }
    bool isIdle() const { return m_waiting.empty() && m_running.empty(); }

    LoadReport report() const;
    /** Prefill tokens that are processed before a new request of this priority. */
    double prefillTokensAhead(uint32_t priority) const;
    uint32_t cachedTokens(std::span<const uint64_t> prefixBlocks) const;
    std::vector<CacheEvent> takeCacheEvents();
    /** Tokens prefilled and decoded so far, including those of cancelled attempts. */
    double processedTokens() const { return m_processedTokens; }
    uint32_t slots() const { return m_profile.slots; }

private:
    struct Sequence {
        EngineRequest request;
        uint64_t order = 0;
        uint32_t prefillLeft = 0;
        uint32_t prefilled = 0;
        uint32_t generated = 0;
        uint32_t privateBlocks = 0;
    };
    struct CachedBlock {
        uint64_t lastUse = 0;
        uint32_t users = 0;
    };

    void startIteration();
    void finishIteration(const std::vector<std::pair<uint64_t, uint32_t>>& prefills);
    void admitWaiting();
    bool reserveMemory(Sequence&);
    bool evictLeastRecentlyUsed();
    void release(const Sequence&);
    std::vector<std::pair<uint64_t, uint32_t>> planPrefill() const;
    uint32_t chunkTokens() const;

    VirtualClock& m_clock;
    EngineProfile m_profile;
    TokenCallback m_onToken;
    EngineRole m_role = EngineRole::Mixed;
    double m_slowdown = 1;
    std::vector<Sequence> m_waiting; // ordered by priority, then arrival
    std::vector<Sequence> m_running;
    std::map<uint64_t, CachedBlock> m_cache;
    std::vector<CacheEvent> m_events;
    uint64_t m_nextOrder = 0;
    uint64_t m_nextEvent = 1;
    uint32_t m_privateBlocks = 0;
    double m_processedTokens = 0;
    bool m_isBusy = false;
};

} // namespace chestnut::bench
