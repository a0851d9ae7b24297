#include "frontend/replicas/ReplicaTable.h"

#include <algorithm>

/* The part of ReplicaTable that updates its estimates from responses, load reports and cache events. */

namespace chestnut {

namespace {

    /** Weight of one sample in the learned rates. */
    constexpr double rateSampleWeight = 0.1;
    /** Bounds of the learned rates, so that an outlier cannot make a replica seem idle or stopped. */
    constexpr double minimumPrefillRate = 100;
    constexpr double maximumPrefillRate = 1'000'000;
    constexpr double minimumDecodeRate = 0.2;
    constexpr double maximumDecodeRate = 5000;
    constexpr double minimumPrefillTokens = 256; /**< shorter prompts do not measure the rate */
    constexpr uint64_t minimumDecodeTokens = 8;

    double blend(double previous, double sample, double lowest, double highest)
    {
        return std::clamp(previous + (std::clamp(sample, lowest, highest) - previous) * rateSampleWeight, lowest, highest);
    }

    bool isContactFailure(ErrorKind kind)
    {
        return kind == ErrorKind::ConnectFailed || kind == ErrorKind::BackendFailed || kind == ErrorKind::DeadlineExceeded;
    }

} // namespace

void ReplicaTable::learnPrefillRate(InFlightRequest& inFlight, TimePoint now)
{
    auto* replica = find(inFlight.replica());
    auto prefill = inFlight.info().work.prefillTokens;
    auto seconds = toSeconds(now - inFlight.startedAt() - 2 * replica->view.networkDelay);
    // Only a request that ran alone measures the rate; otherwise the time includes the work of other requests.
    if (inFlight.m_wasOnlyRequest && prefill >= minimumPrefillTokens && seconds > 0)
        replica->view.rates.prefillTokensPerSecond = blend(replica->view.rates.prefillTokensPerSecond, prefill / seconds, minimumPrefillRate, maximumPrefillRate);
}

void ReplicaTable::learnDecodeRate(InFlightRequest& inFlight)
{
    auto* replica = find(inFlight.replica());
    auto seconds = toSeconds(inFlight.m_lastTokenAt - inFlight.m_firstTokenAt);
    if (!replica || seconds <= 0 || (replica->isEngine && inFlight.tokens() < minimumDecodeTokens))
        return;
    auto count = replica->isEngine ? static_cast<double>(inFlight.tokens() - 1) : 1.0;
    replica->view.rates.decodeTokensPerSecond = blend(replica->view.rates.decodeTokensPerSecond, count / seconds, minimumDecodeRate, maximumDecodeRate);
}

void ReplicaTable::recordLatency(const InFlightRequest& inFlight, Duration measured, Duration expected, TimePoint now)
{
    auto* replica = find(inFlight.replica());
    auto allowance = latencyAllowance(replica->isEngine);
    auto ratio = toSeconds(measured + allowance) / toSeconds(expected + allowance);
    auto& group = m_groups[replica->group];
    if (!isDelayedByLiveWork(*replica, inFlight)) {
        auto expectedByMedianRates = fromSeconds(toSeconds(expected) * medianRateFactor(*replica, inFlight.info().work));
        recordResponse(group.latency, inFlight.replica(), toSeconds(measured + allowance) / toSeconds(expectedByMedianRates + allowance), now);
    }
    addSample(group.quantiles, ratio);
    replica->limit = withResponse(replica->limit, ratio, false, static_cast<uint32_t>(replica->inFlightRequests.size()), replica->view.slots);
    recordContactSuccess(inFlight.replica());
}

/** Factor that converts an expectation by the replica's own learned rates to one by the median rates of its group.
    Replicas learn their rates at different times. Compared by their own rates, a replica that had learned its true rate
    looked 2 to 4 times faster than healthy ones that still had the initial rate, which were ejected; and a slow replica
    that had learned its slow rate looked healthy. */
double ReplicaTable::medianRateFactor(const Replica& replica, const WorkEstimate& work) const
{
    std::vector<ServiceRates> rates;
    for (const auto& id : m_groups.at(replica.group).members) {
        const auto& view = m_replicas.at(id).view;
        rates.push_back(withRole(view.rates, view.role, replica.view.role));
    }
    if (rates.empty())
        return 1;
    auto median = [&rates](double ServiceRates::*rate) {
        auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
        std::ranges::nth_element(rates, middle, {}, rate);
        return (*middle).*rate;
    };
    if (replica.isEngine)
        return replica.view.rates.prefillTokensPerSecond / median(&ServiceRates::prefillTokensPerSecond);
    return work.decodeTokens > 0 ? replica.view.rates.decodeTokensPerSecond / median(&ServiceRates::decodeTokensPerSecond) : 1;
}

/** Batch work beside live work also waits for live work that arrives later, which the expected latency cannot include. */
bool ReplicaTable::isDelayedByLiveWork(const Replica& replica, const InFlightRequest& inFlight) const
{
    return inFlight.info().priorityClass == PriorityClass::Batch
        && std::ranges::any_of(replica.inFlightRequests, [](const InFlightRequest* other) { return other->info().priorityClass == PriorityClass::Live; });
}

void ReplicaTable::recordRequestFailure(const InFlightRequest& inFlight, ErrorKind kind, TimePoint now)
{
    auto* replica = find(inFlight.replica());
    if (!isContactFailure(kind) && kind != ErrorKind::ProtocolError)
        return;
    recordFailure(m_groups[replica->group].latency, inFlight.replica(), now);
    replica->limit = withResponse(replica->limit, replica->limit.meanServiceRatio, true, static_cast<uint32_t>(replica->inFlightRequests.size()), replica->view.slots);
    if (isContactFailure(kind))
        recordContactFailure(inFlight.replica());
}

std::optional<ReplicaId> ReplicaTable::nextToPoll(Duration period)
{
    auto now = m_timers.now();
    Replica* oldest = nullptr;
    for (auto& [id, replica] : m_replicas) {
        bool isDue = replica.polledAt == TimePoint {} || now - replica.polledAt >= period;
        if (replica.isConfigured && !replica.isPolling && isDue && (!oldest || replica.polledAt < oldest->polledAt))
            oldest = &replica;
    }
    if (!oldest)
        return std::nullopt;
    oldest->isPolling = true;
    oldest->polledAt = now;
    return oldest->view.id;
}

bool ReplicaTable::isEngine(const ReplicaId& id) const
{
    const auto* replica = find(id);
    return replica && replica->isEngine;
}

uint64_t ReplicaTable::lastCacheSequence(const ReplicaId& id) const
{
    auto blocks = m_prefixes.replicas.find(id);
    return blocks == m_prefixes.replicas.end() ? 0 : blocks->second.lastSequence;
}

void ReplicaTable::applyLoad(const ReplicaId& id, const EngineLoad& load)
{
    auto* replica = find(id);
    if (!replica)
        return;
    replica->view.report = { load.queuedPrefillTokens, load.queuedDecodeTokens, load.running, load.freeBlocks, m_timers.now() - load.age };
    replica->view.blocks = load.totalBlocks;
    if (load.slots > 0)
        replica->view.slots = load.slots;
    recordContactSuccess(id);
}

void ReplicaTable::applyLoad(const ReplicaId& id, const BackendServerLoad& load)
{
    auto* replica = find(id);
    if (!replica)
        return;
    replica->view.report = { 0, static_cast<double>(load.running), load.running, 0, m_timers.now() - load.age };
    if (load.slots > 0)
        replica->view.slots = load.slots;
    recordContactSuccess(id);
}

void ReplicaTable::applyCacheEvents(const ReplicaId& id, std::span<const CacheEvent> events)
{
    if (!find(id))
        return;
    for (const auto& event : events)
        applyCacheEvent(m_prefixes, id, event.sequence, event.isStored, event.blockHashes);
}

void ReplicaTable::recordContactSuccess(const ReplicaId& id)
{
    if (auto* replica = find(id)) {
        if (isUnresponsive(*replica))
            m_log.write(EventId::ReplicaResponsive, { { "replica", id } });
        replica->failures = 0;
        replica->isPolling = false;
    }
}

void ReplicaTable::recordContactFailure(const ReplicaId& id)
{
    auto* replica = find(id);
    if (!replica)
        return;
    replica->isPolling = false;
    bool wasUnresponsive = isUnresponsive(*replica);
    if (replica->failures++ == 0)
        replica->firstFailureAt = m_timers.now();
    if (!wasUnresponsive && isUnresponsive(*replica))
        m_log.write(EventId::ReplicaUnresponsive, { { "replica", id }, { "failures", replica->failures } });
}

std::map<ReplicaGroupId, LatencyGroup> ReplicaTable::latencies() const
{
    std::map<ReplicaGroupId, LatencyGroup> result;
    for (const auto& [id, group] : m_groups)
        result[id] = group.latency;
    return result;
}

void ReplicaTable::mergePeerLatency(const ReplicaId& id, double meanRatio, double samples)
{
    if (const auto* replica = find(id))
        mergePeerSummary(m_groups[replica->group].latency, id, meanRatio, samples, m_timers.now());
}

void ReplicaTable::updateHealth()
{
    constexpr auto nameOfHealth = [](ReplicaHealth health) {
        return health == ReplicaHealth::Healthy ? "healthy" : health == ReplicaHealth::Probation ? "probation"
                                                                                                 : "ejected";
    };
    for (auto& [id, group] : m_groups) {
        for (const auto& change : chestnut::updateHealth(group.latency, m_timers.now()))
            m_log.write(EventId::ReplicaHealthChanged, { { "replica", change.id }, { "group", id }, { "before", nameOfHealth(change.before) }, { "after", nameOfHealth(change.after) }, { "ratio_to_median", change.ratioToMedian } });
    }
}

} // namespace chestnut
