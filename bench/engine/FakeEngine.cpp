#include "bench/engine/FakeEngine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chestnut::bench {

namespace {

    uint32_t blocksFor(uint32_t tokens)
    {
        return (tokens + tokensPerBlock - 1) / tokensPerBlock;
    }

} // namespace

FakeEngine::FakeEngine(VirtualClock& clock, EngineProfile profile, TokenCallback onToken)
    : m_clock(clock)
    , m_profile(profile)
    , m_onToken(std::move(onToken))
{
}

void FakeEngine::submit(EngineRequest request)
{
    Sequence sequence { std::move(request), m_nextOrder++ };
    sequence.prefillLeft = sequence.request.promptTokens;
    auto position = std::ranges::upper_bound(m_waiting, sequence.request.priority, {}, [](const Sequence& other) {
        return other.request.priority;
    });
    m_waiting.insert(position, std::move(sequence));
    if (!m_isBusy)
        startIteration();
}

EngineProgress FakeEngine::cancel(uint64_t attempt)
{
    auto hasAttempt = [attempt](const Sequence& sequence) { return sequence.request.attempt == attempt; };
    if (std::erase_if(m_waiting, hasAttempt) > 0)
        return {};
    auto sequence = std::ranges::find_if(m_running, hasAttempt);
    if (sequence == m_running.end())
        return {};
    EngineProgress progress { sequence->prefilled, sequence->generated };
    release(*sequence);
    m_running.erase(sequence);
    return progress;
}

LoadReport FakeEngine::report() const
{
    LoadReport report;
    for (const auto* sequences : { &m_waiting, &m_running }) {
        for (const auto& sequence : *sequences) {
            report.queuedPrefillTokens += sequence.prefillLeft;
            report.queuedDecodeTokens += sequence.request.outputTokens - sequence.generated;
        }
    }
    report.running = static_cast<uint32_t>(m_running.size() + m_waiting.size());
    auto cachedInUse = std::ranges::count_if(m_cache, [](const auto& entry) { return entry.second.users > 0; });
    report.freeBlocks = m_profile.blocks - m_privateBlocks - static_cast<uint32_t>(cachedInUse);
    report.measuredAt = m_clock.now();
    return report;
}

double FakeEngine::prefillTokensAhead(uint32_t priority) const
{
    double tokens = 0;
    for (const auto* sequences : { &m_waiting, &m_running }) {
        for (const auto& sequence : *sequences)
            tokens += sequence.request.priority <= priority ? sequence.prefillLeft : 0;
    }
    return tokens;
}

uint32_t FakeEngine::cachedTokens(std::span<const uint64_t> prefixBlocks) const
{
    uint32_t tokens = 0;
    for (auto block : prefixBlocks) {
        if (!m_cache.contains(block))
            break;
        tokens += tokensPerBlock;
    }
    return tokens;
}

std::vector<CacheEvent> FakeEngine::takeCacheEvents()
{
    return std::exchange(m_events, {});
}

bool FakeEngine::evictLeastRecentlyUsed()
{
    auto oldest = m_cache.end();
    for (auto entry = m_cache.begin(); entry != m_cache.end(); ++entry) {
        if (entry->second.users == 0 && (oldest == m_cache.end() || entry->second.lastUse < oldest->second.lastUse))
            oldest = entry;
    }
    if (oldest == m_cache.end())
        return false;
    m_events.push_back({ m_nextEvent++, false, oldest->first });
    m_cache.erase(oldest);
    return true;
}

/** Marks cached prefix blocks as used, stores the missing ones and reserves memory for the rest of the request. Returns
    false if the free and evictable memory is too small. */
bool FakeEngine::reserveMemory(Sequence& sequence)
{
    const auto& request = sequence.request;
    auto total = blocksFor(request.promptTokens + request.outputTokens);
    auto shared = static_cast<uint32_t>(request.prefixBlocks.size());
    auto cached = cachedTokens(request.prefixBlocks);
    for (auto block : request.prefixBlocks) {
        if (auto entry = m_cache.find(block); entry != m_cache.end())
            entry->second.users++;
    }
    auto needed = total - cached / tokensPerBlock;
    while (m_privateBlocks + m_cache.size() + needed > m_profile.blocks && evictLeastRecentlyUsed()) { }
    auto fits = m_privateBlocks + m_cache.size() + needed <= m_profile.blocks;
    for (auto block : request.prefixBlocks) {
        auto entry = m_cache.find(block);
        if (!fits && entry != m_cache.end())
            entry->second.users--;
        if (!fits)
            continue;
        if (entry == m_cache.end()) {
            m_cache[block] = { m_nextOrder, 1 };
            m_events.push_back({ m_nextEvent++, true, block });
        }
        m_cache[block].lastUse = m_nextOrder;
    }
    if (!fits)
        return false;
    sequence.privateBlocks = total - shared;
    sequence.prefillLeft -= std::min(cached, sequence.prefillLeft);
    m_privateBlocks += sequence.privateBlocks;
    return true;
}

void FakeEngine::release(const Sequence& sequence)
{
    m_privateBlocks -= sequence.privateBlocks;
    for (auto block : sequence.request.prefixBlocks)
        m_cache[block].users--;
}

void FakeEngine::admitWaiting()
{
    while (!m_waiting.empty() && m_running.size() < m_profile.slots) {
        if (!reserveMemory(m_waiting.front()))
            return;
        m_running.push_back(std::move(m_waiting.front()));
        m_waiting.erase(m_waiting.begin());
    }
}

/** Prefill tokens per iteration. A larger chunk speeds up prefill and delays each token of the decoding sequences. */
uint32_t FakeEngine::chunkTokens() const
{
    switch (m_role) {
    case EngineRole::Prefill:
        return 1024;
    case EngineRole::Decode:
        return 192;
    case EngineRole::Mixed:
        break;
    }
    return 448;
}

/** Distributes the iteration's chunk over the prefilling sequences by priority, then by order of arrival. */
std::vector<std::pair<uint64_t, uint32_t>> FakeEngine::planPrefill() const
{
    std::vector<const Sequence*> prefilling;
    for (const auto& sequence : m_running) {
        if (sequence.prefillLeft > 0)
            prefilling.push_back(&sequence);
    }
    std::ranges::sort(prefilling, [](const Sequence* left, const Sequence* right) {
        return std::tie(left->request.priority, left->order) < std::tie(right->request.priority, right->order);
    });
    std::vector<std::pair<uint64_t, uint32_t>> plan;
    auto budget = chunkTokens();
    for (const auto* sequence : prefilling) {
        auto tokens = std::min(budget, sequence->prefillLeft);
        if (tokens == 0)
            break;
        plan.emplace_back(sequence->request.attempt, tokens);
        budget -= tokens;
    }
    return plan;
}

void FakeEngine::startIteration()
{
    admitWaiting();
    m_isBusy = !m_running.empty();
    if (!m_isBusy)
        return;
    auto prefills = planPrefill();
    auto decoding = std::ranges::count_if(m_running, [](const Sequence& sequence) { return sequence.prefillLeft == 0; });
    double prefillTokens = 0;
    for (const auto& [attempt, tokens] : prefills)
        prefillTokens += tokens;
    auto seconds = m_profile.iterationSeconds + m_profile.iterationSecondsPerSequence * static_cast<double>(decoding)
        + prefillTokens / m_profile.prefillTokensPerSecond;
    m_processedTokens += prefillTokens + static_cast<double>(decoding);
    m_clock.after(fromSeconds(seconds * m_slowdown), [this, prefills] { finishIteration(prefills); });
}

void FakeEngine::finishIteration(const std::vector<std::pair<uint64_t, uint32_t>>& prefills)
{
    struct Token {
        uint64_t attempt;
        uint32_t generated;
        bool isLast;
    };
    std::vector<Token> tokens;
    for (auto& sequence : m_running) {
        auto prefill = std::ranges::find(prefills, sequence.request.attempt, &std::pair<uint64_t, uint32_t>::first);
        if (prefill != prefills.end()) {
            sequence.prefillLeft -= prefill->second;
            sequence.prefilled += prefill->second;
        }
        if (sequence.prefillLeft > 0)
            continue;
        sequence.generated++;
        tokens.push_back({ sequence.request.attempt, sequence.generated, sequence.generated >= sequence.request.outputTokens });
    }
    std::erase_if(m_running, [this](const Sequence& sequence) {
        auto isDone = sequence.prefillLeft == 0 && sequence.generated >= sequence.request.outputTokens;
        if (isDone)
            release(sequence);
        return isDone;
    });
    for (const auto& token : tokens) {
        if (token.generated == 1 || token.isLast)
            m_onToken(token.attempt, token.generated, token.isLast);
    }
    startIteration();
}

} // namespace chestnut::bench
