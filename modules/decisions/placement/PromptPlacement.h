#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/speeds/ServiceSpeed.h"
#include "decisions/urgency/ServicePriorities.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chestnut {

/** One part of a prompt. Prompts that contain the same part id share its tokens. */
struct PromptPart {
    uint64_t id = 0;
    uint32_t tokens = 0;

    bool operator==(const PromptPart&) const = default;
};

/** The model, size and parts of a prompt, in order. The last part belongs to the request alone. */
struct PromptShape {
    std::string model;
    uint32_t promptTokens = 0;
    uint32_t maximumOutputTokens = 0;
    std::vector<PromptPart> parts;

    bool operator==(const PromptShape&) const = default;
};

/** Id of the last part that other requests share; zero when none does. Requests with equal keys have the same home engine. */
uint64_t sharingKey(const PromptShape&);

/** Tokens that an engine processes before a prefill at this position. */
double tokensBefore(const QueuedTokens&, EnginePosition);

/** The rank of prefills that can be on time, from the latency objective of their route and the shortest one of the service. */
PrefillRank rankOnTime(Duration latencyObjective, Duration shortestObjective);

/** View of one replica that a daemon places a request with. Counts cover the work of all daemons. */
struct PlacementView {
    ReplicaId id;
    AvailabilityZone zone;
    uint32_t slots = 1;
    double limit = 0; /**< learned number of requests that it handles well, at most its slots; zero: its slots */
    double speed = 1; /**< learned, at low load, relative to the median of the service */
    uint32_t requests = 0; /**< in flight */
    uint32_t peerRequests = 0; /**< those of them that other daemons have reported */
    QueuedTokens queued; /**< sent and not yet prefilled */
    uint32_t moreUrgentRequests = 0; /**< in flight, with a more urgent priority than the request to be placed */
    uint32_t lessUrgentRequests = 0; /**< in flight, with a less urgent priority */
    uint32_t requestsAtRefusal = 0; /**< requests in flight at which the replica refused more; zero: unknown */
    double slowdown = 1; /**< observed time over expected time */
    uint32_t cachedTokens = 0; /**< estimate for the shared parts of this prompt */
    double errorShare = 0; /**< of its recent responses, those that are an error of its own */
    bool isEjected = false;
    std::optional<double> rateLimit; /**< requests per second that it takes from all daemons together */
    bool isThrottled = false; /**< this daemon has used its part of that rate for now */

    bool operator==(const PlacementView&) const = default;
};

/** Whether a request may be sent to the replica now. */
bool isEligible(const PlacementView&);

/** The rate of the replicas together, in requests per second; nothing when one of them has no limit, or there is none. */
std::optional<double> combinedRateLimit(std::span<const PlacementView>);

/** Expected time until the rate limits let a further request through, behind `ahead` waiting ones; zero without limits. */
Duration expectedRateWait(std::span<const PlacementView>, double ahead);

struct PrefillChoice {
    size_t index = 0; /**< in the views */
    uint32_t missingTokens = 0; /**< to be prefilled, as they are not cached */
    double workTokens = 0; /**< the missing tokens and those queued before them */
    std::optional<Duration> expectedTime; /**< until the end of the prefill; absent while the speed is unknown */
    PrefillRank rank = PrefillRank::Urgent;
    EnginePosition order = 0;

    bool operator==(const PrefillChoice&) const = default;
};

/** The urgency of one prompt among the requests to its service. */
struct PromptUrgency {
    uint32_t priority = 0;
    PrefillRank onTimeRank = PrefillRank::Urgent; /**< while it can be on time */
    ServicePriorities priorities;

    EnginePosition orderAt(PrefillRank rank) const { return priorities.orderOf(priority, rank); }
};

/** The engine that is expected to finish the prefill first. Each sharing key has a home engine by rendezvous hashing, so
    that daemons agree without messages; the home is assumed to have the shared parts cached. When the home has more work
    queued than another prefill of the shared parts costs, the next engine takes the prompt. For peaks of demand above the
    capacity: a request whose prefill cannot end within `onTime` is deferred, so that those behind it that still can be on
    time are not late as well; the others have the rank `onTimeRank`. Tokens of less urgent priorities count half, as only the
    prefill that is running delays a more urgent one. While the speed is unknown, engines are compared by
    their tokens and nothing is deferred. Nothing when all engines are ejected or full, or there is none. */
std::optional<PrefillChoice> choosePrefillEngine(const PromptShape&, std::span<const PlacementView>, const std::optional<PrefillSpeed>&, Duration onTime, const PromptUrgency& = {});

/** Whether the replica has recently refused a request at no more than its present load. */
bool isRefusing(const PlacementView&);

/** The number of requests that the replica handles well. */
double limitOf(const PlacementView&);

/** That number, weighted by the speed, the slowdown and the share of errors. */
double usableSlots(const PlacementView&);

/** Added to the occupancy of a replica that is slower than the median, so that it gets requests after the others have some:
    their callers wait longer, also when it is idle. */
double slownessPenalty(const PlacementView&);

/** Added to the occupancy of a replica in another availability zone, as a share of its slots. The request body then crosses
    zones once more, which is billed. */
constexpr double otherZonePenalty = 0.15;

/** Share of the usable slots of a replica that are occupied with one more request, as seen from a zone, with the penalties for a
    slow replica and for another zone. */
double occupancyOf(const PlacementView&, const AvailabilityZone& ownZone);

/** The replica with the smallest share of occupied usable slots; the own zone is preferred. Spreads the load at peaks of
    demand. A replica that answers all calls with errors gets one only when the others are overloaded: it is not ejected, so
    that a small service never loses the capacity of several replicas at once. Nothing when all are ejected or there is none. */
std::optional<size_t> chooseLeastOccupied(std::span<const PlacementView>, const AvailabilityZone& ownZone);

/** Expected time until a slot is free for a further request, when each request occupies a slot for `occupancy`. Nothing when
    all replicas are ejected or full, or there is none. */
std::optional<Duration> expectedSlotWait(std::span<const PlacementView>, Duration occupancy);

} // namespace chestnut
