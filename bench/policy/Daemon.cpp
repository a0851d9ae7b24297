#include "bench/policy/Daemon.h"

#include "bench/run/Measurement.h"
#include "decisions/subsets/Subsets.h"

#include <algorithm>
#include <cmath>

namespace chestnut::bench {

using namespace std::chrono_literals;

namespace {

    /** Added to measured and expected latency, because an engine returns tokens only at the end of an iteration. */
    constexpr double latencyFloorSeconds = 0.06;

    /** A full engine decodes this many times slower than one with a few sequences. */
    constexpr int loadedServiceFactor = 2;

    double ratioOf(Duration measured, Duration expected)
    {
        return (toSeconds(measured) + latencyFloorSeconds) / (toSeconds(expected) + latencyFloorSeconds);
    }

    bool isBatch(const Job& job)
    {
        return job.priorityClass == PriorityClass::Batch;
    }

} // namespace

ServiceRates ratesOf(EngineRole role)
{
    switch (role) {
    case EngineRole::Prefill:
        return { 8200, 14 };
    case EngineRole::Decode:
        return { 4700, 32 };
    case EngineRole::Mixed:
        break;
    }
    return { 6800, 23 };
}

Daemon::Daemon(Fleet& fleet, uint32_t index, const PolicyOptions& options)
    : m_fleet(fleet)
    , m_index(index)
    , m_options(options)
    , m_random(fleet.scenario().seed * 100 + index)
    , m_isInSubset(fleet.engineCount(), true)
    , m_concurrencyLimits(fleet.engineCount())
    , m_requestChanges(fleet.engineCount())
{
    for (uint32_t engine = 0; engine < fleet.engineCount(); engine++) {
        ReplicaView view;
        view.id = ReplicaId("engine" + std::to_string(engine));
        view.zone = fleet.zoneOfEngine(engine);
        view.slots = fleet.engine(engine).slots();
        view.blocks = options.memoryLimit ? fleet.scenario().deployment.engine.blocks : 0;
        view.report.freeBlocks = fleet.scenario().deployment.engine.blocks;
        view.role = fleet.engine(engine).role();
        view.rates = ratesOf(view.role);
        view.networkDelay = fleet.delay(index, engine);
        view.daemonShare = 1.0 / fleet.scenario().deployment.daemons;
        m_latencies.replicas[view.id] = {};
        m_concurrencyLimits[engine].limit = view.concurrencyLimit = view.slots;
        m_views.push_back(std::move(view));
    }
    if (options.subsets && fleet.engineCount() > subsetSize)
        chooseOwnSubset();
}

void Daemon::chooseOwnSubset()
{
    std::vector<SubsetCandidate> candidates;
    for (const auto& view : m_views)
        candidates.push_back({ view.id, view.zone, Region("region") });
    auto id = DaemonId("daemon" + std::to_string(m_index));
    auto subset = chooseSubset(id, m_fleet.zoneOfDaemon(m_index), Region("region"), candidates);
    auto daemonsPerReplica = static_cast<double>(m_fleet.scenario().deployment.daemons * subsetSize) / m_fleet.engineCount();
    for (size_t engine = 0; engine < m_views.size(); engine++) {
        auto& view = m_views[engine];
        m_isInSubset[engine] = std::ranges::find(subset, view.id) != subset.end();
        view.acceptsNewWork = m_isInSubset[engine];
        view.daemonShare = 1 / std::max(1.0, daemonsPerReplica);
    }
}

WorkEstimate Daemon::estimate(const Job& job) const
{
    auto before = m_fleet.state(job.id).tokensBefore;
    return estimateWork(job.promptTokens + before, job.outputLimit, m_outputLengthModels[isBatch(job) ? 1 : 0]);
}

WorkEstimate Daemon::expectedWork(const Job& job) const
{
    auto work = estimate(job);
    double cached = 0;
    for (const auto& view : m_views)
        cached = std::max(cached, cachedTokens(m_prefixes, view.id, job.prefixBlocks));
    return { std::max(0.0, work.prefillTokens - cached), work.decodeTokens };
}

RouteRequest Daemon::requestFor(const Job& job)
{
    RouteRequest request;
    request.priorityClass = job.priorityClass;
    request.work = estimate(job);
    request.zone = m_fleet.zoneOfDaemon(m_index);
    m_cachedTokens.clear();
    if (m_options.prefixAffinity && !job.prefixBlocks.empty()) {
        for (const auto& view : m_views)
            m_cachedTokens.push_back(cachedTokens(m_prefixes, view.id, job.prefixBlocks));
    }
    request.cachedTokens = m_cachedTokens;
    return request;
}

RouteDecision Daemon::choose(const RouteRequest& request)
{
    if (m_options.liveReserve || request.priorityClass == PriorityClass::Live)
        return chooseReplica(request, m_views, now(), m_random);
    // Without the reserve, batch work may fill all slots and memory. The decision functions subtract the reserve, so it is
    // added here.
    auto views = m_views;
    for (auto& view : views) {
        view.report.freeBlocks += static_cast<uint32_t>(std::ceil(view.blocks * liveReservedMemoryShare));
        view.slots = static_cast<uint32_t>(std::ceil(view.slots / (1 - liveReservedShare)));
    }
    return chooseReplica(request, views, now(), m_random);
}

void Daemon::jobArrived(const Job& job)
{
    auto request = requestFor(job);
    auto route = choose(request);
    auto decision = admit(request, job.deadline, m_queueState, m_views, route, now());
    if (!isBatch(job))
        m_hedges.requests += 1;
    if (decision.action == AdmissionDecision::Action::Refuse && m_options.earlyRefusal) {
        m_fleet.refuse(job);
        return;
    }
    if (decision.action == AdmissionDecision::Action::Dispatch) {
        dispatch(job, route.chosen->index, route.chosen->estimate, route.chosen->cachedTokens);
        return;
    }
    enqueue(job);
    dispatchWaiting();
}

void Daemon::enqueue(const Job& job)
{
    auto work = estimate(job);
    m_queuedWork[job.id] = work;
    auto& waiting = isBatch(job) ? m_queueState.waitingBatch : m_queueState.waitingLive;
    auto& waitingWork = isBatch(job) ? m_queueState.waitingBatchWork : m_queueState.waitingLiveWork;
    waiting++;
    waitingWork = { waitingWork.prefillTokens + work.prefillTokens, waitingWork.decodeTokens + work.decodeTokens };
    auto account = m_options.fairQueueing ? job.account : AccountId("all");
    auto cost = work.prefillTokens / m_views.front().rates.prefillTokensPerSecond
        + work.decodeTokens / (m_views.front().rates.decodeTokensPerSecond * m_views.front().slots);
    auto service = expectedServiceTime(work, m_views.front().rates);
    QueuedRequest queued { job.id, account, job.priorityClass, cost, 1, job.deadline - loadedServiceFactor * service };
    if (m_options.onTimeFirst && !isBatch(job))
        queued.latestOnTimeStart = job.arrival + firstTokenTarget - service + fromSeconds(work.decodeTokens / m_views.front().rates.decodeTokensPerSecond);
    push(m_queue, std::move(queued));
}

void Daemon::removeFromQueueState(const Job& job)
{
    auto entry = m_queuedWork.find(job.id);
    if (entry == m_queuedWork.end())
        return;
    auto& waiting = isBatch(job) ? m_queueState.waitingBatch : m_queueState.waitingLive;
    auto& waitingWork = isBatch(job) ? m_queueState.waitingBatchWork : m_queueState.waitingLiveWork;
    waiting--;
    waitingWork = { waitingWork.prefillTokens - entry->second.prefillTokens, waitingWork.decodeTokens - entry->second.decodeTokens };
    if (waiting == 0)
        waitingWork = {};
    m_queuedWork.erase(entry);
}

void Daemon::dispatchWaiting()
{
    while (const auto* next = peek(m_queue, true, now())) {
        if (!serveNext(*next))
            return;
    }
}

/** Starts or refuses the first waiting request. Returns false if the request has to wait longer. */
bool Daemon::serveNext(const QueuedRequest& next)
{
    const auto& job = m_fleet.job(next.entryId);
    auto request = requestFor(job);
    request.mayExceedSlots = m_options.lastCall && mayExceedSlots(next, m_queueState, now());
    auto route = choose(request);
    if (!route.chosen) {
        if (!m_options.preemption || !route.preemptionTarget || !preemptNewestBatch(*route.preemptionTarget))
            return false;
        auto target = *route.preemptionTarget;
        route.chosen = RouteCandidate { target, estimateReplica(m_views[target], request, 0, now()), 0 };
    }
    pop(m_queue, true, now());
    removeFromQueueState(job);
    auto isLate = now() + route.chosen->estimate.serviceTime > job.deadline;
    if (isLate && m_options.earlyRefusal && m_fleet.state(job.id).attempts == 0)
        m_fleet.refuse(job);
    else
        dispatch(job, route.chosen->index, route.chosen->estimate, route.chosen->cachedTokens);
    return true;
}

/** Cancels the newest batch request at the engine and queues it again. It resumes from the tokens generated so far. */
bool Daemon::preemptNewestBatch(size_t engine)
{
    auto newest = std::find_if(m_attempts.rbegin(), m_attempts.rend(), [this, engine](const auto& entry) {
        const auto& state = entry.second;
        auto hasTime = !m_options.preemptionSlack || canPreempt(m_fleet.job(state.attempt.job).deadline, now());
        return state.isBatch && state.attempt.engine == engine && hasTime;
    });
    if (newest == m_attempts.rend())
        return false;
    auto attempt = newest->second.attempt;
    m_isPreempting = true;
    m_fleet.preempt(attempt.id);
    m_isPreempting = false;
    enqueue(m_fleet.job(attempt.job));
    return true;
}

void Daemon::updateOwnLoad(const AttemptState& state, int sign)
{
    auto& own = m_views[state.attempt.engine].own;
    (state.isBatch ? own.batchRequests : own.liveRequests) += sign;
    own.longRequests += state.isLong ? sign : 0;
    own.unfinished.prefillTokens += sign * state.unfinished.prefillTokens;
    own.unfinished.decodeTokens += sign * state.unfinished.decodeTokens;
}

void Daemon::recordChange(uint32_t engine, const WorkEstimate& sent, int32_t requests)
{
    m_requestChanges[engine].push_back({ now(), sent, requests });
    auto& own = m_views[engine].own;
    own.sentSinceReport.prefillTokens += sent.prefillTokens;
    own.sentSinceReport.decodeTokens += sent.decodeTokens;
    own.netRequestsSinceReport += requests;
}

void Daemon::dispatch(const Job& job, size_t engine, const ReplicaEstimate& expected, double cached, bool isHedge)
{
    auto work = estimate(job);
    AttemptState state;
    state.unfinished = { std::max(0.0, work.prefillTokens - cached), work.decodeTokens };
    state.expectedFirstToken = expected.timeToFirstToken;
    state.expectedDecode = expected.serviceTime - expected.timeToFirstToken;
    state.isBatch = isBatch(job);
    state.isLong = isLongJob(work, m_views[engine].rates);
    auto id = m_fleet.send(job, static_cast<uint32_t>(engine), state.isBatch ? 1 : 0, isHedge);
    state.attempt = { id, job.id, static_cast<uint32_t>(engine), now(), isHedge };
    updateOwnLoad(state, 1);
    recordChange(state.attempt.engine, state.unfinished, 1);
    recordSentPrefix(m_prefixes, m_views[engine].id, job.prefixBlocks);
    m_attempts[id] = state;
    if (!isHedge)
        scheduleHedge(job, id);
}

void Daemon::scheduleHedge(const Job& job, uint64_t attempt)
{
    if (!m_options.hedging)
        return;
    const auto& state = m_attempts[attempt];
    HedgeQuery query { true, state.isLong, job.priorityClass, state.expectedFirstToken + fromSeconds(latencyFloorSeconds) };
    query.attempts = m_fleet.state(job.id).attempts;
    if (auto delay = hedgeDelay(query, m_quantiles, m_hedges))
        m_fleet.clock().after(*delay, [this, attempt] { hedge(attempt); });
}

void Daemon::hedge(uint64_t attempt)
{
    auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end() || entry->second.hasFirstToken)
        return;
    const auto& job = m_fleet.job(entry->second.attempt.job);
    HedgeQuery query { true, false, job.priorityClass, 1ms };
    if (!hedgeDelay(query, m_quantiles, m_hedges))
        return;
    auto request = requestFor(job);
    m_excluded = { m_views[entry->second.attempt.engine].id };
    request.excluded = m_excluded;
    auto route = choose(request);
    if (!route.chosen)
        return;
    m_hedges.hedges += 1;
    dispatch(job, route.chosen->index, route.chosen->estimate, route.chosen->cachedTokens, true);
}

void Daemon::recordLatency(uint32_t engine, double latencyRatio)
{
    const auto& id = m_views[engine].id;
    recordResponse(m_latencies, id, latencyRatio, now());
    auto& summary = m_summary[id];
    summary.samples += 1;
    summary.meanRatio += (latencyRatio - summary.meanRatio) / summary.samples;
}

void Daemon::firstTokenReceived(const Attempt& attempt)
{
    auto entry = m_attempts.find(attempt.id);
    if (entry == m_attempts.end())
        return;
    auto& state = entry->second;
    state.hasFirstToken = true;
    state.firstTokenAt = now();
    m_views[attempt.engine].own.unfinished.prefillTokens -= state.unfinished.prefillTokens;
    state.unfinished.prefillTokens = 0;
    auto ratio = ratioOf(now() - attempt.sentAt, state.expectedFirstToken);
    recordLatency(attempt.engine, ratio);
    if (!state.isBatch)
        addSample(m_quantiles, ratio);
}

void Daemon::attemptEnded(const Attempt& attempt, bool isFinished)
{
    auto entry = m_attempts.find(attempt.id);
    if (entry == m_attempts.end())
        return;
    auto state = entry->second;
    m_attempts.erase(entry);
    updateOwnLoad(state, -1);
    recordChange(attempt.engine, {}, -1);
    const auto& job = m_fleet.job(attempt.job);
    if (isFinished) {
        auto& model = m_outputLengthModels[state.isBatch ? 1 : 0];
        auto tokens = job.outputTokens;
        auto expected = toSeconds(state.expectedDecode) * tokens / std::max(1.0, state.unfinished.decodeTokens);
        recordLatency(attempt.engine, ratioOf(now() - state.firstTokenAt, fromSeconds(expected)));
        model = withSample(model, job.outputLimit, tokens);
        auto ratio = ratioOf(now() - attempt.sentAt, state.expectedFirstToken + fromSeconds(expected));
        auto& view = m_views[attempt.engine];
        auto inFlight = view.own.liveRequests + view.own.batchRequests + 1;
        m_concurrencyLimits[attempt.engine] = withResponse(m_concurrencyLimits[attempt.engine], ratio, false, inFlight, view.slots);
        view.concurrencyLimit = static_cast<uint32_t>(m_concurrencyLimits[attempt.engine].limit);
    } else if (!state.hasFirstToken && !m_isPreempting) {
        // An attempt that was cancelled before its first token would have taken at least this long.
        auto ratio = ratioOf(now() - attempt.sentAt, state.expectedFirstToken);
        if (ratio > 1)
            recordLatency(attempt.engine, ratio);
    }
    if (!m_isPreempting)
        dispatchWaiting();
}

void Daemon::jobExpired(const Job& job)
{
    if (remove(m_queue, job.id))
        removeFromQueueState(job);
}

void Daemon::loadReported(uint32_t engine, const LoadReport& report, const std::vector<CacheEvent>& events)
{
    if (!m_isInSubset[engine])
        return;
    auto& view = m_views[engine];
    view.report = report;
    auto& changes = m_requestChanges[engine];
    while (!changes.empty() && changes.front().at + view.networkDelay <= report.measuredAt)
        changes.pop_front();
    view.own.sentSinceReport = {};
    view.own.netRequestsSinceReport = 0;
    for (const auto& change : changes) {
        view.own.sentSinceReport.prefillTokens += change.sent.prefillTokens;
        view.own.sentSinceReport.decodeTokens += change.sent.decodeTokens;
        view.own.netRequestsSinceReport += change.requests;
    }
    for (const auto& event : events)
        applyCacheEvent(m_prefixes, view.id, event.sequence, event.isStored, std::span(&event.block, 1));
    refreshHealth();
    refuseExpired();
    dispatchWaiting();
}

/** Refuses waiting work that can no longer finish in time. Work that was sent to an engine before is not refused, as the
    outcome "not run" would be wrong for it. */
void Daemon::refuseExpired()
{
    if (!m_options.earlyRefusal)
        return;
    for (const auto& late : chestnut::expired(m_queue, now())) {
        const auto& job = m_fleet.job(late.entryId);
        if (m_fleet.state(job.id).attempts > 0 || !remove(m_queue, late.entryId))
            continue;
        removeFromQueueState(job);
        m_fleet.refuse(job);
    }
}

void Daemon::refreshHealth()
{
    if (!m_options.ejection)
        return;
    updateHealth(m_latencies, now());
    for (auto& view : m_views)
        view.health = m_latencies.replicas[view.id].health;
}

void Daemon::engineChanged(uint32_t engine)
{
    auto& view = m_views[engine];
    view.acceptsNewWork = m_isInSubset[engine] && !m_fleet.isUnavailable(engine);
    view.role = m_fleet.engine(engine).role();
    view.rates = ratesOf(view.role);
    dispatchWaiting();
}

std::map<ReplicaId, ReplicaLatency> Daemon::takeSummary()
{
    return std::exchange(m_summary, {});
}

void Daemon::mergeSummary(const std::map<ReplicaId, ReplicaLatency>& summary)
{
    for (const auto& [id, latency] : summary)
        mergePeerSummary(m_latencies, id, latency.meanRatio, latency.samples, now());
}

} // namespace chestnut::bench
