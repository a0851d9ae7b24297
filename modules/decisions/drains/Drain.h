#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <optional>
#include <vector>

namespace chestnut {

/** Longest wait for running work before a planned change. Equal to the default deadline of batch work, so that whatever
    still runs after it has passed its deadline. */
constexpr Duration drainTimeout = std::chrono::seconds(600);
/** Wait for members that do not confirm that they send no new work; they are suspected before it ends. */
constexpr Duration drainConfirmationTimeout = std::chrono::seconds(5);
/** Work that a daemon dispatched just before it was informed shows in the engine's report after this time. */
constexpr Duration dispatchGrace = std::chrono::seconds(1);
/** A replica gets its usual load this long after its return: caches are cold and its speed is unknown. */
constexpr Duration slowStartDuration = std::chrono::seconds(30);
constexpr double slowStartFloor = 0.1;
/** An engine change is repeated when it takes longer; loading the largest weights takes minutes. */
constexpr Duration engineChangeBound = std::chrono::seconds(300);

/** How far a replica has been emptied before a change. */
struct DrainProgress {
    TimePoint since;
    TimePoint requestedAt; /**< since when some member has not confirmed; equal to `since` at first */
    std::optional<TimePoint> acknowledgedAt; /**< all reachable members confirmed that they send no new work */
    std::optional<uint32_t> running; /**< from the newest load report */
    TimePoint reportedAt; /**< when that report was made, its age taken off */

    bool operator==(const DrainProgress&) const = default;
};

/** Whether no request can be interrupted any more, or the drain bound has passed. */
bool isDrained(const DrainProgress&, TimePoint now);

/** Share of the usual load, from slowStartFloor to 1. */
double slowStartShare(Duration sinceReturn);

/** Replicas of one model that may be away at once: one in ten, at least one, but never all where there are several. */
uint32_t maximumUnavailable(size_t joinedReplicas);

/** An engine that waits to be taken away for a change. */
struct DrainCandidate {
    EngineId engine;
    uint32_t ready = 0; /**< replicas of the model that it is to run, which accept work */
    uint32_t joined = 0; /**< replicas of that model that are configured */
    TimePoint waitingSince;

    auto operator<=>(const DrainCandidate&) const = default;
};

/** Most needed first: the model with the smallest ready share, then the longest wait, then the id. */
std::vector<DrainCandidate> sortedByUrgency(std::vector<DrainCandidate>);

} // namespace chestnut
