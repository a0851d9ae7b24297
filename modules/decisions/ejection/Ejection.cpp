#include "decisions/ejection/Ejection.h"

#include <algorithm>
#include <cmath>

namespace chestnut {

namespace {

    /** Each sample has a weight of at least one in this many, so that a slowdown shows within a few responses. */
    constexpr double maximumSamples = 10;
    constexpr double minimumSamples = 4;
    constexpr double ejectionRatio = 2.4;
    /** One sample counts at most as this multiple of the mean, so that a single response out of four ejects no replica. With
        4, live_good in the bench scenario slow_replicas of the deployment saranrat fell from 99.29 to 99.13. */
    constexpr double outlierFactor = 6;
    constexpr double recoveryRatio = 1.5;
    constexpr uint32_t failuresToEject = 3;
    constexpr Duration firstEjectionTime = std::chrono::seconds(5);
    constexpr uint32_t maximumDoublings = 4;
    /** A replica on probation is healthy again after this long without evidence of slowness. */
    constexpr Duration probationTime = std::chrono::seconds(10);
    constexpr double probationSamples = 2;
    /** Weight of a peer's sample relative to an own one, because it may come from another network path and time. */
    constexpr double peerSampleShare = 0.75;

    double medianRatio(const LatencyGroup& group)
    {
        std::vector<double> ratios;
        for (const auto& [id, replica] : group.replicas) {
            if (replica.health == ReplicaHealth::Healthy && replica.samples >= minimumSamples)
                ratios.push_back(replica.meanRatio);
        }
        if (ratios.empty())
            return 1;
        // The lower median makes the faster one of a pair of replicas the reference.
        auto middle = ratios.begin() + static_cast<std::ptrdiff_t>((ratios.size() - 1) / 2);
        std::ranges::nth_element(ratios, middle);
        return std::max(*middle, 1e-6);
    }

    Duration ejectionTime(const ReplicaLatency& replica)
    {
        auto doublings = std::min(replica.ejections > 0 ? replica.ejections - 1 : 0, maximumDoublings);
        return firstEjectionTime * (1U << doublings);
    }

    bool exceedsEjectionThreshold(const ReplicaLatency& replica, double median)
    {
        if (replica.consecutiveFailures >= failuresToEject)
            return true;
        auto needed = replica.health == ReplicaHealth::Probation ? probationSamples : minimumSamples;
        return replica.samples >= needed && replica.meanRatio > ejectionRatio * median;
    }

    void setHealth(ReplicaLatency& replica, ReplicaHealth health, TimePoint now)
    {
        replica.health = health;
        replica.changedAt = now;
        replica.consecutiveFailures = 0;
        if (health == ReplicaHealth::Ejected)
            replica.ejections++;
        if (health == ReplicaHealth::Healthy)
            replica.ejections = 0;
        if (health == ReplicaHealth::Probation)
            replica.samples = 0;
    }

    /** The next health unless the replica exceeds the ejection threshold. */
    ReplicaHealth healthAfterRecovery(const ReplicaLatency& replica, double median, TimePoint now)
    {
        auto elapsed = now - replica.changedAt;
        if (replica.health == ReplicaHealth::Ejected)
            return elapsed >= ejectionTime(replica) ? ReplicaHealth::Probation : ReplicaHealth::Ejected;
        if (replica.health != ReplicaHealth::Probation)
            return replica.health;
        auto hasRecovered = replica.samples >= probationSamples && replica.meanRatio <= recoveryRatio * median;
        auto lacksSamples = replica.samples < probationSamples && elapsed >= probationTime;
        return hasRecovered || lacksSamples ? ReplicaHealth::Healthy : ReplicaHealth::Probation;
    }

    using Entry = std::pair<const ReplicaId, ReplicaLatency>;

    void applyChange(std::vector<HealthChange>& changes, Entry& entry, ReplicaHealth after, double median, TimePoint now)
    {
        changes.push_back({ entry.first, entry.second.health, after, entry.second.meanRatio / median });
        setHealth(entry.second, after, now);
    }

    std::vector<Entry*> slowestFirst(LatencyGroup& group, double median)
    {
        std::vector<Entry*> slow;
        for (auto& entry : group.replicas) {
            if (entry.second.health != ReplicaHealth::Ejected && exceedsEjectionThreshold(entry.second, median))
                slow.push_back(&entry);
        }
        std::ranges::stable_sort(slow, [](const Entry* left, const Entry* right) {
            if (left->second.consecutiveFailures != right->second.consecutiveFailures)
                return left->second.consecutiveFailures > right->second.consecutiveFailures;
            return left->second.meanRatio > right->second.meanRatio;
        });
        return slow;
    }

} // namespace

void recordResponse(LatencyGroup& group, const ReplicaId& id, double latencyRatio, TimePoint)
{
    auto& replica = group.replicas[id];
    replica.consecutiveFailures = 0;
    replica.samples = std::min(replica.samples + 1, maximumSamples);
    auto bounded = std::min(latencyRatio, outlierFactor * std::max(1.0, replica.meanRatio));
    replica.meanRatio += (bounded - replica.meanRatio) / replica.samples;
}

void recordFailure(LatencyGroup& group, const ReplicaId& id, TimePoint)
{
    group.replicas[id].consecutiveFailures++;
}

void mergePeerSummary(LatencyGroup& group, const ReplicaId& id, double meanRatio, double samples, TimePoint)
{
    auto weight = std::min(samples, maximumSamples) * peerSampleShare;
    if (weight <= 0)
        return;
    auto& replica = group.replicas[id];
    auto total = replica.samples + weight;
    replica.meanRatio = (replica.meanRatio * replica.samples + meanRatio * weight) / total;
    replica.samples = std::min(total, maximumSamples);
}

std::vector<HealthChange> updateHealth(LatencyGroup& group, TimePoint now)
{
    std::vector<HealthChange> changes;
    auto median = medianRatio(group);
    size_t ejected = 0;
    for (auto& entry : group.replicas) {
        auto after = healthAfterRecovery(entry.second, median, now);
        if (after != entry.second.health)
            applyChange(changes, entry, after, median, now);
        if (entry.second.health == ReplicaHealth::Ejected)
            ejected++;
    }
    auto allowed = group.replicas.size() / 3;
    for (auto* entry : slowestFirst(group, median)) {
        if (ejected >= allowed)
            break;
        applyChange(changes, *entry, ReplicaHealth::Ejected, median, now);
        ejected++;
    }
    return changes;
}

} // namespace chestnut
