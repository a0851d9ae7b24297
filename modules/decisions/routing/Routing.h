#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"
#include "decisions/estimates/WorkEstimate.h"
#include "decisions/tickets/Configuration.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace chestnut {

using RandomGenerator = std::mt19937_64;

/** Engine memory and prefix caches are counted in blocks of this many tokens. */
constexpr uint32_t tokensPerBlock = 2048;

/** A load report, possibly old. */
struct LoadReport {
    double queuedPrefillTokens = 0;
    double queuedDecodeTokens = 0;
    uint32_t running = 0;
    uint32_t freeBlocks = 0; /**< free or holding prefixes that no running request uses */
    TimePoint measuredAt; /**< when the replica measured it, not when it arrived */

    auto operator<=>(const LoadReport&) const = default;
};

/** Work that this daemon has sent to a replica. */
struct OwnWork {
    uint32_t liveRequests = 0;
    uint32_t batchRequests = 0;
    uint32_t longRequests = 0; /**< jobs above the long-job limit and stragglers */
    WorkEstimate unfinished; /**< of all own requests in flight */
    WorkEstimate sentSinceReport; /**< sent after the report was measured, finished or not */
    int32_t netRequestsSinceReport = 0; /**< requests sent minus requests ended since the report was measured */

    auto operator<=>(const OwnWork&) const = default;
};

enum class ReplicaHealth : uint8_t {
    Healthy,
    Probation, /**< takes a small share of its traffic */
    Ejected,
};

/** This daemon's view of one replica. */
struct ReplicaView {
    ReplicaId id;
    AvailabilityZone zone;
    EngineRole role = EngineRole::Mixed;
    uint32_t slots = 32;
    uint32_t blocks = 0; /**< total memory; 0 when the replica does not report it */
    ServiceRates rates;
    LoadReport report;
    OwnWork own;
    ReplicaHealth health = ReplicaHealth::Healthy;
    bool acceptsNewWork = true; /**< false while it drains, changes or leaves */
    Duration networkDelay {}; /**< one way */
    uint32_t concurrencyLimit = 32; /**< adaptive limit of this daemon's requests in flight */
    double daemonShare = 1; /**< share of this replica's capacity that this daemon may use, 0 to 1 */

    auto operator<=>(const ReplicaView&) const = default;
};

/** One request to route. */
struct RouteRequest {
    PriorityClass priorityClass = PriorityClass::Live;
    WorkEstimate work;
    AvailabilityZone zone;
    std::span<const double> cachedTokens; /**< prefix tokens cached at each replica of the views, or empty */
    std::span<const ReplicaId> excluded; /**< replicas that already failed this request */
    bool mayExceedSlots = false; /**< must start now; a few may wait at the engine, which serves them before batch work */
};

/** Expected state of a replica at the time of the decision. */
struct ReplicaEstimate {
    WorkEstimate backlog;
    double runningRequests = 0;
    Duration timeToFirstToken {}; /**< of the request in question */
    Duration serviceTime {}; /**< from arrival to the last token */
};

struct RouteCandidate {
    size_t index = 0; /**< into the views */
    ReplicaEstimate estimate;
    double cachedTokens = 0;
};

/** Why a replica was chosen or none was. */
enum class RouteReason : uint8_t {
    LeastExpectedTime,
    PrefixAffinity,
    OnlyCandidate,
    Probation,
    NoReplica, /**< none accepts work */
    AllFull, /**< all are at their limits */
};

std::string_view nameOf(RouteReason);

struct RouteDecision {
    std::optional<RouteCandidate> chosen;
    RouteReason reason = RouteReason::NoReplica;
    std::vector<RouteCandidate> considered;
    /** Replica whose newest batch request should be cancelled and resumed later to make room for live work. */
    std::optional<size_t> preemptionTarget;
};

/** Chooses the replica for a request from views that may be stale. */
RouteDecision chooseReplica(const RouteRequest&, std::span<const ReplicaView>, TimePoint now, RandomGenerator&);

/** Discounts the report by its age and adds this daemon's own work that the report does not contain. */
ReplicaEstimate estimateReplica(const ReplicaView&, const RouteRequest&, double cachedTokens, TimePoint now);

} // namespace chestnut
