#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/routing/Routing.h"

#include <cstdint>
#include <map>
#include <vector>

namespace chestnut {

/** Observed slowness of one replica. */
struct ReplicaLatency {
    double meanRatio = 1; /**< fading mean of latency over expected time */
    double samples = 0; /**< fading count */
    uint32_t consecutiveFailures = 0;
    ReplicaHealth health = ReplicaHealth::Healthy;
    TimePoint changedAt;
    uint32_t ejections = 0; /**< in a row; each doubles the time away up to a limit */

    auto operator<=>(const ReplicaLatency&) const = default;
};

/** Slowness of the replicas of one model or service. */
struct LatencyGroup {
    std::map<ReplicaId, ReplicaLatency> replicas;
};

void recordResponse(LatencyGroup&, const ReplicaId&, double latencyRatio, TimePoint now);
void recordFailure(LatencyGroup&, const ReplicaId&, TimePoint now);

/** Merges a summary that a peer passed on; it counts less than own samples. */
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
