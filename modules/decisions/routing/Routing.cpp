#include "decisions/routing/Routing.h"

#include "decisions/admission/Admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace chestnut {

namespace {

    /** Time constant with which a load report's weight decays. */
    constexpr double reportMemorySeconds = 2;
    constexpr size_t sampledCandidates = 3;
    /** A replica above this multiple of the candidates' mean load gets no affinity bonus. */
    constexpr double affinityLoadBound = 1.25;
    /** Weight of the decode time in the cost of a live request. */
    constexpr double liveDecodeWeight = 0.1;
    /** Share of a shared replica's slots that is left for requests that other daemons have sent since its report. */
    constexpr double staleReportMargin = 0.125;
    /** Slots, as a multiple of the real ones, for requests that must start now; those beyond wait at the engine. */
    constexpr double exceededSlotFactor = 1.125;
    constexpr double probationShare = 1.0 / 20;
    /** Proximity weight of a replica this far away is half of that of a replica in the own zone. */
    constexpr double halfWeightDelaySeconds = 0.005;
    constexpr double lowestRate = 1e-3;
    /** Work that this daemon has sent since the report is extrapolated to at most this many daemons: one request is too
        small a sample for more. With 61 daemons for each replica (the target), one request would fill 32 slots. */
    constexpr double largestExtrapolation = 8;

    double othersBacklog(double reported, double ownUnfinished, double ownSince, double freshness)
    {
        auto ownInReport = std::max(0.0, ownUnfinished - ownSince);
        return std::max(0.0, reported - ownInReport) * freshness;
    }

    uint32_t ownRequests(const ReplicaView& view)
    {
        return view.own.liveRequests + view.own.batchRequests;
    }

    double freshnessOf(const ReplicaView& view, TimePoint now)
    {
        return std::exp(-std::max(0.0, toSeconds(now - view.report.measuredAt)) / reportMemorySeconds);
    }

    double extrapolation(const ReplicaView& view)
    {
        return 1 / std::max(view.daemonShare, 1 / largestExtrapolation);
    }

    /** Requests that all daemons together have added since the report: other daemons are assumed to add as many in
        proportion to their share of the replica. Without this, all daemons fill the same free slots before the next report. */
    double netChange(const ReplicaView& view)
    {
        return view.own.netRequestsSinceReport * extrapolation(view);
    }

    double slotWaitSeconds(const ReplicaEstimate& estimate, const ReplicaView& view, uint32_t limit)
    {
        auto excess = estimate.runningRequests + 1 - limit;
        if (excess <= 0)
            return 0;
        auto perRequest = estimate.backlog.decodeTokens / std::max(1.0, estimate.runningRequests);
        auto finishRate = std::max(view.rates.decodeTokensPerSecond, lowestRate) * limit;
        return excess * perRequest / finishRate;
    }

    bool contains(std::span<const ReplicaId> ids, const ReplicaId& id)
    {
        return std::ranges::find(ids, id) != ids.end();
    }

    double cachedAt(const RouteRequest& request, size_t index)
    {
        return index < request.cachedTokens.size() ? request.cachedTokens[index] : 0;
    }

    struct Eligible {
        std::vector<size_t> open;
        std::vector<size_t> probation;
        std::vector<size_t> ejected;
        std::vector<size_t> full;
    };

    double blocksFor(const WorkEstimate& work)
    {
        return (work.prefillTokens + work.decodeTokens) / tokensPerBlock;
    }

    /** Whether the request would wait for memory. Batch work leaves a share of the memory to live work. */
    bool lacksMemory(const RouteRequest& request, const ReplicaView& view, double cachedTokens)
    {
        if (view.blocks == 0)
            return false;
        auto sent = blocksFor(view.own.sentSinceReport) * extrapolation(view);
        auto needed = std::ceil(blocksFor(request.work) - cachedTokens / tokensPerBlock);
        auto reserve = request.priorityClass == PriorityClass::Batch ? liveReservedMemoryShare * view.blocks : 0;
        return view.report.freeBlocks - sent < needed + reserve && view.report.running > 0;
    }

    /** Slots that may be filled on the basis of an old report while other daemons send to the same replica. Requests
        beyond the slots wait at the engine, which does not distinguish accounts. */
    uint32_t sharedSlotLimit(const ReplicaView& view)
    {
        auto isShared = view.daemonShare < 1;
        return isShared ? view.slots - static_cast<uint32_t>(view.slots * staleReportMargin) : view.slots;
    }

    bool isFull(const RouteRequest& request, const ReplicaView& view, double cachedTokens, TimePoint now)
    {
        if (ownRequests(view) >= view.concurrencyLimit || lacksMemory(request, view, cachedTokens))
            return true;
        auto running = estimateReplica(view, request, 0, now).runningRequests;
        if (request.mayExceedSlots)
            return running >= exceededSlotFactor * view.slots;
        auto limit = std::min(slotLimit(view.slots, request.priorityClass, isLongJob(request.work, view.rates)), sharedSlotLimit(view));
        return running >= limit;
    }

    Eligible classify(const RouteRequest& request, std::span<const ReplicaView> views, TimePoint now)
    {
        Eligible eligible;
        eligible.open.reserve(views.size());
        for (size_t index = 0; index < views.size(); index++) {
            const auto& view = views[index];
            if (!view.acceptsNewWork || contains(request.excluded, view.id))
                continue;
            if (isFull(request, view, cachedAt(request, index), now))
                eligible.full.push_back(index);
            else if (view.health == ReplicaHealth::Healthy)
                eligible.open.push_back(index);
            else if (view.health == ReplicaHealth::Probation)
                eligible.probation.push_back(index);
            else
                eligible.ejected.push_back(index);
        }
        return eligible;
    }

    double samplingWeight(const RouteRequest& request, const ReplicaView& view)
    {
        auto capacity = static_cast<double>(std::max(view.slots, 1U)) * std::max(view.rates.decodeTokensPerSecond, lowestRate);
        if (view.zone == request.zone)
            return capacity;
        return capacity * halfWeightDelaySeconds / (halfWeightDelaySeconds + toSeconds(view.networkDelay));
    }

    /** Weighted sample without replacement, plus the replica that caches most of the prompt. */
    std::vector<size_t> sample(const RouteRequest& request, std::span<const ReplicaView> views, std::vector<size_t> open, RandomGenerator& random)
    {
        auto mostCached = *std::ranges::max_element(open, {}, [&](size_t index) { return cachedAt(request, index); });
        std::vector<double> weights;
        weights.reserve(open.size());
        for (auto index : open)
            weights.push_back(samplingWeight(request, views[index]));
        std::vector<size_t> result;
        while (result.size() < sampledCandidates && result.size() < open.size()) {
            std::discrete_distribution<size_t> distribution(weights.begin(), weights.end());
            auto position = distribution(random);
            weights[position] = 0;
            result.push_back(open[position]);
        }
        if (cachedAt(request, mostCached) > 0 && std::ranges::find(result, mostCached) == result.end())
            result.push_back(mostCached);
        return result;
    }

    double loadSeconds(const ReplicaEstimate& estimate, const ReplicaView& view)
    {
        auto decodeRate = std::max(view.rates.decodeTokensPerSecond, lowestRate) * std::max(view.slots, 1U);
        return estimate.backlog.prefillTokens / std::max(view.rates.prefillTokensPerSecond, lowestRate)
            + estimate.backlog.decodeTokens / decodeRate;
    }

    std::vector<RouteCandidate> evaluate(const RouteRequest& request, std::span<const ReplicaView> views, std::span<const size_t> indices, TimePoint now)
    {
        std::vector<RouteCandidate> candidates;
        std::vector<double> loads;
        double totalLoad = 0;
        for (auto index : indices) {
            auto estimate = estimateReplica(views[index], request, cachedAt(request, index), now);
            loads.push_back(loadSeconds(estimate, views[index]));
            totalLoad += loads.back();
            candidates.push_back({ index, estimate, cachedAt(request, index) });
        }
        auto bound = affinityLoadBound * totalLoad / static_cast<double>(std::max<size_t>(1, candidates.size()));
        for (size_t position = 0; position < candidates.size(); position++) {
            auto& candidate = candidates[position];
            if (candidate.cachedTokens <= 0 || loads[position] <= bound)
                continue;
            candidate.cachedTokens = 0;
            candidate.estimate = estimateReplica(views[candidate.index], request, 0, now);
        }
        return candidates;
    }

    /** For live work mostly the time to the first token, with a small weight of the decode time; for batch work the time to
        the last token. */
    double routingCost(const RouteRequest& request, const ReplicaEstimate& estimate)
    {
        auto decode = toSeconds(estimate.serviceTime - estimate.timeToFirstToken);
        auto weight = request.priorityClass == PriorityClass::Live ? liveDecodeWeight : 1;
        return toSeconds(estimate.timeToFirstToken) + weight * decode;
    }

    RouteDecision decide(const RouteRequest& request, std::span<const ReplicaView> views, std::span<const size_t> indices, TimePoint now)
    {
        RouteDecision decision;
        decision.considered = evaluate(request, views, indices, now);
        auto best = std::ranges::min_element(decision.considered, {}, [&](const RouteCandidate& candidate) {
            return routingCost(request, candidate.estimate);
        });
        decision.chosen = *best;
        decision.reason = best->cachedTokens > 0 ? RouteReason::PrefixAffinity : RouteReason::LeastExpectedTime;
        if (indices.size() == 1)
            decision.reason = RouteReason::OnlyCandidate;
        return decision;
    }

    std::optional<size_t> drawProbation(const Eligible& eligible, size_t total, RandomGenerator& random)
    {
        if (eligible.probation.empty())
            return std::nullopt;
        auto share = probationShare * static_cast<double>(eligible.probation.size()) / static_cast<double>(total);
        if (std::uniform_real_distribution<double>(0, 1)(random) >= share)
            return std::nullopt;
        std::uniform_int_distribution<size_t> pick(0, eligible.probation.size() - 1);
        return eligible.probation[pick(random)];
    }

    /** The replica with most of this daemon's batch requests, because it loses the smallest share of them. */
    std::optional<size_t> choosePreemptionTarget(const RouteRequest& request, std::span<const ReplicaView> views, const Eligible& eligible)
    {
        if (request.priorityClass != PriorityClass::Live)
            return std::nullopt;
        std::optional<size_t> target;
        for (auto index : eligible.full) {
            auto batch = views[index].own.batchRequests;
            if (batch > 0 && (!target || batch > views[*target].own.batchRequests))
                target = index;
        }
        return target;
    }

    RouteDecision onlyCandidate(const RouteRequest& request, std::span<const ReplicaView> views, size_t index, RouteReason reason, TimePoint now)
    {
        auto decision = decide(request, views, std::array { index }, now);
        decision.reason = reason;
        return decision;
    }

} // namespace

std::string_view nameOf(RouteReason reason)
{
    switch (reason) {
    case RouteReason::LeastExpectedTime:
        return "least_expected_time";
    case RouteReason::PrefixAffinity:
        return "prefix_affinity";
    case RouteReason::OnlyCandidate:
        return "only_candidate";
    case RouteReason::Probation:
        return "probation";
    case RouteReason::NoReplica:
        return "no_replica";
    case RouteReason::AllFull:
        return "all_full";
    }
    return "unknown";
}

ReplicaEstimate estimateReplica(const ReplicaView& view, const RouteRequest& request, double cachedTokens, TimePoint now)
{
    auto freshness = freshnessOf(view, now);
    const auto& own = view.own;
    ReplicaEstimate estimate;
    // Own work is counted once: the part that the report already contains is taken out of the report.
    estimate.backlog.prefillTokens = own.unfinished.prefillTokens
        + othersBacklog(view.report.queuedPrefillTokens, own.unfinished.prefillTokens, own.sentSinceReport.prefillTokens, freshness);
    estimate.backlog.decodeTokens = own.unfinished.decodeTokens
        + othersBacklog(view.report.queuedDecodeTokens, own.unfinished.decodeTokens, own.sentSinceReport.decodeTokens, freshness);
    auto ownCount = static_cast<double>(ownRequests(view));
    estimate.runningRequests = std::max(ownCount, view.report.running + netChange(view));
    auto limit = slotLimit(view.slots, request.priorityClass, isLongJob(request.work, view.rates));
    auto prefill = std::max(0.0, request.work.prefillTokens - cachedTokens) + estimate.backlog.prefillTokens;
    auto firstToken = prefill / std::max(view.rates.prefillTokensPerSecond, lowestRate)
        + slotWaitSeconds(estimate, view, limit) + 2 * toSeconds(view.networkDelay);
    estimate.timeToFirstToken = fromSeconds(firstToken);
    auto decode = request.work.decodeTokens / std::max(view.rates.decodeTokensPerSecond, lowestRate);
    estimate.serviceTime = fromSeconds(firstToken + decode);
    return estimate;
}

RouteDecision chooseReplica(const RouteRequest& request, std::span<const ReplicaView> views, TimePoint now, RandomGenerator& random)
{
    auto eligible = classify(request, views, now);
    auto total = eligible.open.size() + eligible.probation.size() + eligible.ejected.size();
    if (auto probation = drawProbation(eligible, std::max<size_t>(1, total), random); probation && !eligible.open.empty())
        return onlyCandidate(request, views, *probation, RouteReason::Probation, now);
    for (auto* group : { &eligible.open, &eligible.probation }) {
        if (!group->empty())
            return decide(request, views, sample(request, views, *group, random), now);
    }
    // An ejected replica still serves when no other replica of the group accepts work.
    if (!eligible.ejected.empty() && eligible.full.empty())
        return decide(request, views, sample(request, views, eligible.ejected, random), now);
    RouteDecision decision;
    auto acceptsWork = !eligible.full.empty() || !eligible.ejected.empty();
    decision.reason = acceptsWork ? RouteReason::AllFull : RouteReason::NoReplica;
    decision.preemptionTarget = choosePreemptionTarget(request, views, eligible);
    return decision;
}

} // namespace chestnut
