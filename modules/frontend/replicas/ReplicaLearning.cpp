#include "frontend/replicas/ReplicaTable.h"

#include <algorithm>

/* The part of ReplicaTable that learns from answers, reports and events. */

namespace chestnut {

namespace {

    /** Weight of one sample in the learned rates. */
    constexpr double rateSampleWeight = 0.1;
    /** Bounds keep one odd sample from making a replica look idle or dead. */
    constexpr double lowestPrefillRate = 100;
    constexpr double highestPrefillRate = 1'000'000;
    constexpr double lowestDecodeRate = 0.2;
    constexpr double highestDecodeRate = 5000;
    constexpr double shortestPrefill = 256; /**< tokens; shorter prompts say nothing about the rate */
    constexpr uint64_t fewestDecodeTokens = 8;

    double blend(double known, double sample, double lowest, double highest)
    {
        return std::clamp(known + (std::clamp(sample, lowest, highest) - known) * rateSampleWeight, lowest, highest);
    }

    bool isContactFailure(ErrorKind kind)
    {
        return kind == ErrorKind::ConnectFailed || kind == ErrorKind::BackendFailed || kind == ErrorKind::DeadlineExceeded;
    }

} // namespace

void ReplicaTable::learnFirstToken(InFlightRequest& flight, TimePoint now)
{
    auto* replica = find(flight.replica());
    auto prefill = flight.plan().work.prefillTokens;
    auto seconds = toSeconds(now - flight.startedAt() - 2 * replica->view.networkDelay);
    // Only a request that ran alone shows the rate; otherwise the time contains the work of others.
    if (flight.m_wasAlone && prefill >= shortestPrefill && seconds > 0)
        replica->view.rates.prefillTokensPerSecond = blend(replica->view.rates.prefillTokensPerSecond, prefill / seconds, lowestPrefillRate, highestPrefillRate);
}

void ReplicaTable::learnDecodeRate(InFlightRequest& flight)
{
    auto* replica = find(flight.replica());
    auto seconds = toSeconds(flight.m_lastTokenAt - flight.m_firstTokenAt);
    if (!replica || seconds <= 0 || (replica->isEngine && flight.tokens() < fewestDecodeTokens))
        return;
    auto count = replica->isEngine ? static_cast<double>(flight.tokens() - 1) : 1.0;
    replica->view.rates.decodeTokensPerSecond = blend(replica->view.rates.decodeTokensPerSecond, count / seconds, lowestDecodeRate, highestDecodeRate);
}

void ReplicaTable::recordLatency(const InFlightRequest& flight, Duration measured, Duration expected, TimePoint now)
{
    auto* replica = find(flight.replica());
    auto allowance = latencyAllowance(replica->isEngine);
    auto ratio = toSeconds(measured + allowance) / toSeconds(expected + allowance);
    auto& group = m_groups[replica->group];
    if (!waitsForMoreUrgent(*replica, flight)) {
        auto fair = fromSeconds(toSeconds(expected) * ratesFactor(*replica, flight.plan().work));
        recordResponse(group.latency, flight.replica(), toSeconds(measured + allowance) / toSeconds(fair + allowance), now);
    }
    addSample(group.quantiles, ratio);
    replica->limit = withResponse(replica->limit, ratio, false, static_cast<uint32_t>(replica->flights.size()), replica->view.slots);
    contactSucceeded(flight.replica());
}

/** Corrects an expectation from the replica's own learned rates to the median rates of its group. Replicas learn at
    different times: one that has learned its true rate looked 2 to 4 times faster than its healthy neighbours that still
    had the initial rate, and these were ejected; a slow one that had learned its own rate looked healthy. */
double ReplicaTable::ratesFactor(const Replica& replica, const WorkEstimate& work) const
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

/** Batch work beside live work waits for live work that came later, which no expectation contains. */
bool ReplicaTable::waitsForMoreUrgent(const Replica& replica, const InFlightRequest& flight) const
{
    return flight.plan().priorityClass == PriorityClass::Batch
        && std::ranges::any_of(replica.flights, [](const InFlightRequest* other) { return other->plan().priorityClass == PriorityClass::Live; });
}

void ReplicaTable::recordFailed(const InFlightRequest& flight, ErrorKind kind, TimePoint now)
{
    auto* replica = find(flight.replica());
    if (!isContactFailure(kind) && kind != ErrorKind::ProtocolError)
        return;
    recordFailure(m_groups[replica->group].latency, flight.replica(), now);
    replica->limit = withResponse(replica->limit, replica->limit.meanServiceRatio, true, static_cast<uint32_t>(replica->flights.size()), replica->view.slots);
    if (isContactFailure(kind))
        contactFailed(flight.replica());
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
    contactSucceeded(id);
}

void ReplicaTable::applyLoad(const ReplicaId& id, const BackendServerLoad& load)
{
    auto* replica = find(id);
    if (!replica)
        return;
    replica->view.report = { 0, static_cast<double>(load.running), load.running, 0, m_timers.now() - load.age };
    if (load.slots > 0)
        replica->view.slots = load.slots;
    contactSucceeded(id);
}

void ReplicaTable::applyCacheEvents(const ReplicaId& id, std::span<const CacheEvent> events)
{
    if (!find(id))
        return;
    for (const auto& event : events)
        applyCacheEvent(m_prefixes, id, event.sequence, event.isStored, event.blockHashes);
}

void ReplicaTable::contactSucceeded(const ReplicaId& id)
{
    if (auto* replica = find(id)) {
        if (isUnresponsive(*replica))
            m_log.write(EventId::ReplicaResponsive, { { "replica", id } });
        replica->failures = 0;
        replica->isPolling = false;
    }
}

void ReplicaTable::contactFailed(const ReplicaId& id)
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
