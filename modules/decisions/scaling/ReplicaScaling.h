#pragma once

#include "decisions/scaling/DemandHistory.h"
#include "decisions/scaling/ScalingProfile.h"
#include "decisions/split/StageLoad.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace chestnut {

/** The replicas of one kind in one zone, whose number can be ordered. */
struct PoolKey {
    AvailabilityZone zone;
    bool isReclaimable = false;

    auto operator<=>(const PoolKey&) const = default;
};

/** The replicas of one pool by their entries. */
struct PoolView {
    uint32_t ready = 0;
    uint32_t leaving = 0; /**< that get no new work */

    bool operator==(const PoolView&) const = default;
};

using PoolViews = std::map<PoolKey, PoolView>;

/** The demand for the replicas of one service, in replicas. */
struct ServiceDemand {
    bool hasStages = false; /**< prefill and decode run on different engines */
    DemandHistory slotted; /**< of the decode engines, or of the servers of a plain service */
    DemandHistory prefill;
    DemandHistory urgent; /**< of the most urgent requests, in both stages */

    bool operator==(const ServiceDemand&) const = default;
};

/** Adds a sample. Samples before the first request are omitted: they say nothing about the demand. */
void addSample(ServiceDemand&, const ReplicaDemand&, TimePoint now);

/** What is remembered of one pool. */
struct PoolMemory {
    uint32_t ready = 0; /**< at the last observation */
    std::optional<uint32_t> ordered; /**< the last acknowledged order, until the replicas correspond to it or are not expected any more */
    TimePoint awaitedSince; /**< the order, or the last replica that appeared since then */
    TimePoint unavailableUntil; /**< no growth is ordered before */
    uint32_t refusals = 0; /**< consecutive; the pause after each is longer */

    bool operator==(const PoolMemory&) const = default;
};

/** What is remembered of one service. A new holder starts with the replicas that it sees. */
struct ScalingMemory {
    std::map<PoolKey, PoolMemory> pools;
    std::optional<TimePoint> lostAt; /**< when replicas were last lost that had not been released */
    std::optional<TimePoint> releasedAt; /**< last order that released replicas */

    bool operator==(const ScalingMemory&) const = default;
};

/** What an observation of the pools has shown. */
enum class PoolEvent : uint8_t {
    Lost, /**< some replicas left without an order */
    Reclaimed, /**< most reclaimable replicas of the zone left without an order */
    NotComing, /**< ordered replicas did not appear within a few boot times */
};

std::string_view nameOf(PoolEvent);

struct PoolObservation {
    PoolKey pool;
    PoolEvent event = PoolEvent::Lost;
    uint32_t before = 0;
    uint32_t now = 0;

    bool operator==(const PoolObservation&) const = default;
};

/** Compares the pools with what is remembered of them. Call it before each decision. */
std::vector<PoolObservation> observePools(ScalingMemory&, const PoolViews&, const ScalingProfile&, TimePoint now);

/** Records an acknowledged order. */
void recordOrder(ScalingMemory&, const PoolKey&, uint32_t replicas, TimePoint now);

/** Records that the platform had no replica for the pool. Returns the time until it is asked again. */
Duration recordUnavailable(ScalingMemory&, const PoolKey&, TimePoint now);

/** Replicas of a pool that serve or are expected. */
uint32_t expectedReplicas(const PoolKey&, const PoolViews&, const ScalingMemory&);

/** Why the number of a pool changes. */
enum class ScalingReason : uint8_t {
    Demand,
    Minimum, /**< the configured minimum of the zone */
    NoneReclaimable, /**< reclaimable replicas are needed and cannot be had */
    Replaced, /**< reclaimable replicas serve in place of regular ones */
    Surplus, /**< the demand has been lower for some time */
    Repeated, /**< the response to the last order was lost */
};

std::string_view nameOf(ScalingReason);

struct PoolChange {
    PoolKey pool;
    uint32_t from = 0; /**< replicas that serve or are expected */
    uint32_t to = 0;
    ScalingReason reason = ScalingReason::Demand;

    bool operator==(const PoolChange&) const = default;
};

/** The replicas that a demand needs. */
struct ScalingNeed {
    uint32_t slotted = 0;
    uint32_t prefill = 0;
    uint32_t regular = 0; /**< of them, that must not be reclaimable */

    uint32_t total() const { return slotted + prefill; }
    bool operator==(const ScalingNeed&) const = default;
};

/** The replicas to provide, sized by the recent peak of each stage: the mix of the stages changes faster than replicas boot.
    `margin` is added to the demand, as a share of it. */
ScalingNeed scalingNeedOf(const ServiceDemand&, Duration bootTime, double margin, TimePoint now);

/** The situation of one service at a decision. */
struct ScalingSituation {
    ServiceDemand demand;
    PoolViews pools;
    bool isDisturbed = false; /**< a failure or a change of the configuration alters the demand or hides a part of it */
};

/** The changes of the numbers of replicas. Guards the objectives of all callers under a demand that grows faster than replicas
    boot, moves between zones and stages every few seconds, and loses all reclaimable replicas of a zone at once. Replicas
    are provided for the recent peak of each stage; without the reclaimable ones of any one zone the rest still serves it. The
    mix of kinds and zones with the lowest price that fulfils this is ordered; regular replicas cover the urgent work and
    a few engines of each stage. Replicas are added at once. They are released in small steps, only while the replicas
    that serve already cover a demand that is somewhat higher, and never before traffic has been measured for some time. */
std::vector<PoolChange> decideScaling(const ScalingProfile&, const ScalingSituation&, const ScalingMemory&, TimePoint now);

} // namespace chestnut
