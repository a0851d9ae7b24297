#include "decisions/admission/Admission.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

namespace {

    /** Expected time on an idle replica from which a job counts as long. Typical live work takes 1 to 5 s. */
    constexpr Duration longJobTime = std::chrono::seconds(20);
    constexpr double longSlotShare = 0.7;
    constexpr double nearlyFullShare = 0.8;
    constexpr double lowestRate = 1e-3;
    constexpr Duration minimumRetryAfter = std::chrono::seconds(1);
    constexpr Duration maximumRetryAfter = std::chrono::seconds(30);

    /** This daemon's share of the rates of all replicas that accept work. */
    ServiceRates queueServiceRates(std::span<const ReplicaView> views)
    {
        ServiceRates total { 0, 0 };
        for (const auto& view : views) {
            if (!view.acceptsNewWork)
                continue;
            total.prefillTokensPerSecond += view.rates.prefillTokensPerSecond * view.daemonShare;
            total.decodeTokensPerSecond += view.rates.decodeTokensPerSecond * view.slots * view.daemonShare;
        }
        return total;
    }

    ServiceRates bestRates(std::span<const ReplicaView> views)
    {
        ServiceRates best { lowestRate, lowestRate };
        for (const auto& view : views) {
            if (!view.acceptsNewWork)
                continue;
            best.prefillTokensPerSecond = std::max(best.prefillTokensPerSecond, view.rates.prefillTokensPerSecond);
            best.decodeTokensPerSecond = std::max(best.decodeTokensPerSecond, view.rates.decodeTokensPerSecond);
        }
        return best;
    }

    /** Expected time until the waiting requests that precede this one have been served. They are served in parallel; prefill
        and decode use the same engines at different times. */
    Duration queueWaitTime(const RouteRequest& request, const QueueState& queue, std::span<const ReplicaView> views)
    {
        auto work = queue.waitingLiveWork;
        if (request.priorityClass == PriorityClass::Batch) {
            work.prefillTokens += queue.waitingBatchWork.prefillTokens;
            work.decodeTokens += queue.waitingBatchWork.decodeTokens;
        }
        return expectedServiceTime(work, queueServiceRates(views));
    }

    uint32_t waitingLimit(const RouteRequest& request, const QueueState& queue)
    {
        if (request.priorityClass == PriorityClass::Live)
            return queue.maximumWaiting;
        return static_cast<uint32_t>(queue.maximumWaiting * (1 - liveReservedShare));
    }

    AdmissionDecision refuse(ErrorKind kind, Duration expectedStart)
    {
        return { AdmissionDecision::Action::Refuse, kind, expectedStart, std::clamp(expectedStart, minimumRetryAfter, maximumRetryAfter) };
    }

    AdmissionDecision admitToQueue(const RouteRequest& request, TimePoint deadline, const QueueState& queue, std::span<const ReplicaView> views, TimePoint now)
    {
        auto start = queueWaitTime(request, queue, views);
        auto isLive = request.priorityClass == PriorityClass::Live;
        // Each class has its own limit in the queue, so that neither displaces the other.
        auto waiting = isLive ? queue.waitingLive : queue.waitingBatch;
        if (waiting >= waitingLimit(request, queue))
            return refuse(ErrorKind::Overloaded, start);
        if (now + start + expectedServiceTime(request.work, bestRates(views)) > deadline)
            return refuse(ErrorKind::DeadlineUnreachable, start);
        return { AdmissionDecision::Action::Queue, ErrorKind::Overloaded, start, Duration::zero() };
    }

} // namespace

AdmissionDecision admit(const RouteRequest& request, TimePoint deadline, const QueueState& queue, std::span<const ReplicaView> views, const RouteDecision& route, TimePoint now)
{
    if (deadline <= now)
        return refuse(ErrorKind::DeadlinePassed, Duration::zero());
    if (!std::ranges::any_of(views, &ReplicaView::acceptsNewWork) || route.reason == RouteReason::NoReplica)
        return refuse(ErrorKind::NoBackend, Duration::zero());
    auto isLive = request.priorityClass == PriorityClass::Live;
    auto ahead = isLive ? queue.waitingLive : queue.waitingLive + queue.waitingBatch;
    if (!route.chosen || ahead > 0)
        return admitToQueue(request, deadline, queue, views, now);
    if (now + route.chosen->estimate.serviceTime > deadline)
        return refuse(ErrorKind::DeadlineUnreachable, route.chosen->estimate.timeToFirstToken);
    return { AdmissionDecision::Action::Dispatch, ErrorKind::Overloaded, Duration::zero(), Duration::zero() };
}

bool isLongJob(const WorkEstimate& work, const ServiceRates& rates)
{
    return expectedServiceTime(work, rates) > longJobTime;
}

bool isStraggler(Duration age, Duration expectedServiceTime)
{
    return toSeconds(age) > stragglerFactor * toSeconds(expectedServiceTime);
}

bool canPreempt(TimePoint deadline, TimePoint now)
{
    return deadline - now >= preemptionSlack;
}

bool mayExceedSlots(const QueuedRequest& request, const QueueState& queue, TimePoint now)
{
    return mustStart(request, now) && queue.waitingLive < nearlyFullShare * queue.maximumWaiting;
}

uint32_t slotLimit(uint32_t slots, PriorityClass priorityClass, bool isLong)
{
    if (priorityClass == PriorityClass::Live && !isLong)
        return slots;
    auto share = priorityClass == PriorityClass::Batch ? 1 - liveReservedShare : longSlotShare;
    return std::max(1U, static_cast<uint32_t>(slots * share));
}

ConcurrencyLimit withResponse(const ConcurrencyLimit& limit, double serviceRatio, bool hasFailed, uint32_t inFlight, uint32_t slots)
{
    constexpr double minimumLimit = 2;
    constexpr double meanWeight = 0.1;
    constexpr double toleratedRise = 2;
    constexpr double lowestDrift = 1.001; // lets the lowest ratio follow a lasting change
    auto result = limit;
    if (hasFailed) {
        result.limit *= 0.9;
    } else {
        result.lowestServiceRatio = std::min(limit.lowestServiceRatio * lowestDrift, serviceRatio);
        result.meanServiceRatio += meanWeight * (serviceRatio - limit.meanServiceRatio);
        if (result.meanServiceRatio > toleratedRise * result.lowestServiceRatio)
            result.limit *= 0.98;
        else if (inFlight * 2.0 >= limit.limit)
            result.limit += 1;
    }
    result.limit = std::clamp(result.limit, minimumLimit, std::max<double>(minimumLimit, slots));
    return result;
}

} // namespace chestnut
