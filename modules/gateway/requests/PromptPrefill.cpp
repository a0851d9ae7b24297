#include "gateway/requests/PromptPrefill.h"

#include "decisions/speeds/WaitLimits.h"
#include "kernel/tasks/BackgroundTask.h"

#include <algorithm>

namespace chestnut {

namespace {

    constexpr uint32_t maximumCalls = 2;

    using Engines = std::vector<const ReplicaEntry*>;

    bool haveOneVersion(const Engines& left, const Engines& right)
    {
        if (left.empty())
            return true;
        auto hasVersion = [&version = left.front()->version](const ReplicaEntry* entry) { return entry->version == version; };
        return std::ranges::all_of(left, hasVersion) && std::ranges::all_of(right, hasVersion);
    }

    int64_t millisecondsOf(Duration duration)
    {
        return duration.count() / 1000;
    }

    int64_t millisecondsOf(const std::optional<Duration>& duration)
    {
        return duration ? millisecondsOf(*duration) : -1;
    }

} // namespace

PromptPrefill::PromptPrefill(RelayContext& relay)
    : m_relay(relay)
    , m_prompt(*relay.request.prompt)
{
}

PromptPrefill::Candidates PromptPrefill::candidates() const
{
    auto& services = m_relay.services;
    Candidates found { m_relay.usable(EngineStage::Prefill, m_relay.excluded), {} };
    keepDecodableVersions(found.entries);
    found.views.reserve(found.entries.size());
    for (const auto* entry : found.entries) {
        auto view = m_relay.viewOf(*entry);
        for (size_t i = 0; i + 1 < m_prompt.parts.size() && services.loadTracker->hasPart(entry->id, m_prompt.parts[i].id); ++i)
            view.cachedTokens += m_prompt.parts[i].tokens;
        found.views.push_back(std::move(view));
    }
    return found;
}

void PromptPrefill::keepDecodableVersions(std::vector<const ReplicaEntry*>& entries) const
{
    auto decodeEngines = m_relay.candidates(EngineStage::Decode);
    if (haveOneVersion(entries, decodeEngines))
        return;
    std::set<SoftwareVersion> decodable;
    std::set<SoftwareVersion> free;
    for (const auto* engine : decodeEngines) {
        auto view = m_relay.viewOf(*engine);
        decodable.insert(engine->version);
        if (isEligible(view) && !isRefusing(view) && view.requests < limitOf(view))
            free.insert(engine->version);
    }
    auto isFree = [&free](const ReplicaEntry* entry) { return free.contains(entry->version); };
    const auto& allowed = std::ranges::any_of(entries, isFree) ? free : decodable;
    std::erase_if(entries, [&allowed](const ReplicaEntry* entry) { return !allowed.contains(entry->version); });
}

bool PromptPrefill::isWaitingForRate() const
{
    return chestnut::isWaitingForRate(candidates().views);
}

Duration PromptPrefill::expectedRateWait(double ahead) const
{
    return chestnut::expectedRateWait(candidates().views, ahead);
}

std::optional<PromptPrefill::Placement> PromptPrefill::findEngine() const
{
    auto& services = m_relay.services;
    auto [entries, views] = candidates();
    auto speed = services.speeds.speedOf(m_relay.service);
    auto elapsed = services.timers.now() - m_relay.request.arrival;
    auto onTime = m_relay.route.latencyObjective - elapsed - speed.firstEvent.value_or(Duration::zero());
    auto onTimeRank = rankOnTime(m_relay.route.latencyObjective, m_relay.table->shortestObjective(m_relay.service));
    auto choice = choosePrefillEngine(m_prompt, views, speed.prefill, onTime, { m_relay.priority(), onTimeRank, m_relay.priorities() });
    if (!choice)
        return std::nullopt;
    return Placement { *entries[choice->index], *choice, speed.prefill };
}

Duration PromptPrefill::expectedTime() const
{
    auto placement = findEngine();
    return placement ? placement->choice.expectedTime.value_or(Duration::zero()) : Duration::zero();
}

bool PromptPrefill::canRunInTime() const
{
    return expectedTime() < m_relay.remaining();
}

void PromptPrefill::watchProgress(const Placement& placement, TimePoint since)
{
    auto limit = prefillWaitLimit(placement.choice.expectedTime, m_relay.route.latencyObjective);
    if (!limit)
        return;
    m_progressTimer = m_relay.services.timers.once(*limit, [this, placement, since] {
        auto completedAt = m_relay.services.loadTracker->observe(placement.engine.id).completedAt;
        auto excluded = m_relay.excluded;
        m_relay.excluded.insert(placement.engine.id);
        auto other = findEngine();
        m_relay.excluded = std::move(excluded);
        auto canComplete = m_mayCallAgain && other && (!other->choice.expectedTime || *other->choice.expectedTime < m_relay.remaining());
        if (completedAt > since || !canComplete) {
            watchProgress(placement, m_relay.services.timers.now());
            return;
        }
        // The call needs at least this time, so that engines that have become slower are abandoned less often.
        m_relay.services.speeds.recordPrefill(m_relay.service, placement.choice.workTokens, m_relay.services.timers.now() - since);
        m_relay.abort->interrupt();
    });
}

asio::awaitable<Result<PrefillResponse>> PromptPrefill::callEngine(const Placement& placement)
{
    const auto& [engine, choice, speed] = placement;
    auto& services = m_relay.services;
    auto inFlightWork = services.loadTracker->beginPrefill(engine.id, choice.missingTokens, choice.order);
    m_relay.recordRequestTo(engine);
    m_order = choice.order;
    auto loadShare = m_relay.loadShareOf(engine);
    std::vector<uint64_t> parts;
    for (size_t i = 0; i + 1 < m_prompt.parts.size(); ++i)
        parts.push_back(m_prompt.parts[i].id);
    services.loadTracker->recordSentParts(engine.id, parts);
    ReplicaCall call { m_relay.request, engine.id, engine.address, m_relay.remaining() };
    call.abort = m_relay.abort;
    call.priority = choice.order;
    auto startedAt = services.timers.now();
    watchProgress(placement, startedAt);
    auto response = co_await services.replicaClient.prefill(std::move(call));
    m_progressTimer.cancel();
    auto elapsed = services.timers.now() - startedAt;
    if (response) {
        m_time = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
        services.speeds.recordPrefill(m_relay.service, choice.workTokens, elapsed);
        m_relay.recordCapacity(engine, loadShare, elapsed, choice.expectedTime ? std::optional(expectedPrefillTime(*speed, choice.workTokens)) : std::nullopt);
        auto slowdown = speed ? toSeconds(elapsed) / toSeconds(expectedPrefillTime(*speed, choice.workTokens)) : 1;
        m_relay.recordAttemptSuccess(engine.id, startedAt, slowdown);
        response->handle.version = engine.version;
    }
    co_return response;
}

void PromptPrefill::recordFailure(const Placement& placement, const Error& error, bool isRetry)
{
    // A prefill does not execute the request, whatever the kind of its error.
    const auto& engine = placement.engine;
    auto& services = m_relay.services;
    m_relay.excluded.insert(engine.id);
    services.log.write(EventId::PrefillFailed, { { "request", m_relay.request.id }, { "replica", engine.id }, { "kind", describe(error.kind).name }, { "detail", error.detail } });
    if (error.kind == ErrorKind::Overloaded) {
        if (!isRetry)
            services.budgets.chargeRejection(m_relay.service);
        if (!services.replicas.isBackingOff(engine.id))
            services.loadTracker->recordRefusal(engine.id, engine.slots);
    } else if (!m_relay.isOver())
        services.loadTracker->recordFailure(engine.id);
}

asio::awaitable<Result<std::optional<CacheHandle>>> PromptPrefill::run()
{
    auto& services = m_relay.services;
    for (uint32_t calls = 0; calls < maximumCalls && !m_relay.isOver(); ++calls) {
        auto isRetry = !std::exchange(m_isFirstCall, false);
        m_mayCallAgain = calls + 1 < maximumCalls;
        auto placement = findEngine();
        if (!placement && isWaitingForRate())
            co_return rateLimitedError(expectedRateWait(1));
        // Without a prefill engine the decode engine processes the prompt.
        if (!placement)
            co_return std::nullopt;
        const auto& [engine, choice, speed] = *placement;
        if (choice.expectedTime && *choice.expectedTime > m_relay.remaining())
            co_return saturatedError("the prefill engines are saturated: expected prefill time " + std::to_string(millisecondsOf(*choice.expectedTime)) + " ms, time left " + std::to_string(millisecondsOf(m_relay.remaining())) + " ms");
        if (isRetry && !services.budgets.tryTakeRetry(m_relay.service))
            co_return std::nullopt;
        services.log.write(EventId::PrefillPlaced, { { "request", m_relay.request.id }, { "replica", engine.id }, { "missing", choice.missingTokens }, { "queued", choice.workTokens - choice.missingTokens }, { "expected_ms", millisecondsOf(choice.expectedTime) }, { "rank", nameOf(choice.rank) }, { "order", choice.order } });
        auto response = co_await callEngine(*placement);
        if (response)
            co_return response->handle;
        recordFailure(*placement, response.error(), isRetry);
    }
    co_return saturatedError("no prefill engine accepted the prompt");
}

void releaseHandle(RelayServices& services, const CacheHandle& handle)
{
    if (services.replicas.isBackingOff(handle.engine))
        return;
    auto release = [](RelayServices& relayServices, CacheHandle unused) -> asio::awaitable<void> {
        auto released = co_await relayServices.replicaClient.release(unused);
        if (!released)
            relayServices.log.write(EventId::HandleReleaseFailed, { { "source", unused.source }, { "handle", unused.id }, { "detail", released.error().detail } });
    };
    spawnTask(services.context.get_executor(), services.log, "handle_release", release(services, handle));
}

} // namespace chestnut
