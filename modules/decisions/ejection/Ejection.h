#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/routing/Routing.h"

#include <cstdint>
#include <map>
#include <vector>

namespace chestnut {

/** Observed latency of one replica relative to its expected latency. */
struct ReplicaLatency {
    double meanRatio = 1; /**< moving average of latency over expected time */
    double samples = 0; /**< effective number of samples in the average */
    uint32_t consecutiveFailures = 0;
    ReplicaHealth health = ReplicaHealth::Healthy;
    TimePoint changedAt;
    uint32_t ejections = 0; /**< consecutive; each doubles the ejection time up to a limit */

    auto operator<=>(const ReplicaLatency&) const = default;
};

/** Latencies of the replicas of one model or service. */
struct LatencyGroup {
    std::map<ReplicaId, ReplicaLatency> replicas;
};

void recordResponse(LatencyGroup&, const ReplicaId&, double latencyRatio, TimePoint now);
void recordFailure(LatencyGroup&, const ReplicaId&, TimePoint now);

/** Merges the summary that a peer sent, with less weight than own samples. */
void mergePeerSummary(LatencyGroup&, const ReplicaId&, double meanRatio, double samples, TimePoint now);

struct HealthChange {
    ReplicaId id;
    ReplicaHealth before = ReplicaHealth::Healthy;
    ReplicaHealth after = ReplicaHealth::Healthy;
    double ratioToMedian = 1;
};

/** Ejects replicas slower than their group's median, at most one third of the group, and moves ejected ones to
    probation and back. Returns the changes, for the log. */
std::vector<HealthChange> updateHealth(LatencyGroup&, TimePoint now);

} // namespace chestnut
