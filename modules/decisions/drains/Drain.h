#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <optional>
#include <vector>

namespace chestnut {

/** Longest wait for running work before a planned change. Equal to the default deadline of batch work, so that work
    still running after it has missed its deadline. */
constexpr Duration drainTimeout = std::chrono::seconds(600);
/** Longest wait for members to acknowledge that they send no new work; unreachable ones are suspected before it ends. */
constexpr Duration drainAcknowledgementTimeout = std::chrono::seconds(5);
/** Work that a daemon dispatched just before its acknowledgement appears in the engine's load report within this time. */
constexpr Duration dispatchGrace = std::chrono::seconds(1);
/** A replica gets its full load this long after its return, as its caches are cold and its speed is unknown. */
constexpr Duration slowStartDuration = std::chrono::seconds(30);
constexpr double slowStartFloor = 0.1;
/** An engine change that takes longer is retried; loading the largest weights takes minutes. */
constexpr Duration engineChangeTimeout = std::chrono::seconds(300);

/** Progress of draining a replica before a change. */
struct DrainProgress {
    TimePoint since;
    TimePoint requestedAt; /**< since when the acknowledgement of some member is missing; equal to `since` at first */
    std::optional<TimePoint> acknowledgedAt; /**< when all reachable members had acknowledged that they send no new work */
    std::optional<uint32_t> running; /**< from the newest load report */
    TimePoint reportedAt; /**< when the replica measured that report */

    bool operator==(const DrainProgress&) const = default;
};

/** Whether the change can no longer interrupt a request, or drainTimeout has passed. */
bool isDrained(const DrainProgress&, TimePoint now);

/** Share of the usual load, from slowStartFloor to 1. */
double slowStartShare(Duration sinceReturn);

/** Replicas of one model that may be unavailable at once for changes: one in ten, at least one, but never all where there are
    several. */
uint32_t maximumUnavailable(size_t joinedReplicas);

/** An engine that waits to be drained for a change. */
struct DrainCandidate {
    EngineId engine;
    uint32_t ready = 0; /**< replicas that accept work for the model that the engine is to run */
    uint32_t joined = 0; /**< configured replicas of that model */
    TimePoint waitingSince;

    auto operator<=>(const DrainCandidate&) const = default;
};

/** Most urgent first: the model with the smallest ready share, then the longest wait, then the id. */
std::vector<DrainCandidate> sortedByUrgency(std::vector<DrainCandidate>);

} // namespace chestnut
