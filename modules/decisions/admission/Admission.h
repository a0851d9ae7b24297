#pragma once

#include "base/errors/ErrorKind.h"
#include "base/time/TimePoint.h"
#include "decisions/estimates/WorkEstimate.h"
#include "decisions/fairness/FairQueue.h"
#include "decisions/routing/Routing.h"

#include <optional>
#include <span>

namespace chestnut {

/** Share of each engine's slots that only live work may use. */
constexpr double liveReservedShare = 0.3;
/** Share of each engine's memory that only live work may use. Live prompts are short and need little. */
constexpr double liveReservedMemoryShare = 0.1;
/** A running job older than this multiple of its expected time is a straggler, whatever its class. */
constexpr double stragglerFactor = 4;

/** Batch work that is closer to its deadline is not preempted: a straggler of 2,400 tokens needs about this long at a
    loaded engine, and each preemption prefills its prompt again. */
constexpr Duration preemptionSlack = std::chrono::seconds(100);

/** Requests waiting at this daemon for one model or service. */
struct QueueState {
    uint32_t waitingLive = 0;
    uint32_t waitingBatch = 0;
    uint32_t maximumWaiting = 256;
    WorkEstimate waitingLiveWork;
    WorkEstimate waitingBatchWork;

    auto operator<=>(const QueueState&) const = default;
};

/** Dispatch now, wait in the queue, or refuse with an error kind. */
struct AdmissionDecision {
    enum class Action : uint8_t {
        Dispatch,
        Queue,
        Refuse,
    };
    Action action = Action::Refuse;
    ErrorKind refusal = ErrorKind::Overloaded;
    Duration expectedStart {}; /**< from now */
    Duration retryAfter {};
};

AdmissionDecision admit(const RouteRequest&, TimePoint deadline, const QueueState&, std::span<const ReplicaView>, const RouteDecision&, TimePoint now);

/** Whether the work counts as long: it would occupy a slot far longer than a typical live job. */
bool isLongJob(const WorkEstimate&, const ServiceRates&);

bool isStraggler(Duration age, Duration expectedServiceTime);

/** Whether a batch request may be cancelled now to resume later. */
bool canPreempt(TimePoint deadline, TimePoint now);

/** Whether a waiting request must start now and may exceed the replicas' slots. Not while the queue is nearly full:
    in a heavy overload so many requests reach their latest start that they would displace those still on time. */
bool mayExceedSlots(const QueuedRequest&, const QueueState&, TimePoint now);

/** Slots of one replica that work of this kind may fill, counting all running work there. */
uint32_t slotLimit(uint32_t slots, PriorityClass, bool isLong);

/** Adaptive limit of requests in flight at one replica. */
struct ConcurrencyLimit {
    double limit = 16;
    double lowestServiceRatio = 1; /**< lowest recent ratio of measured to expected service time */
    double meanServiceRatio = 1;

    auto operator<=>(const ConcurrencyLimit&) const = default;
};

/** The limit after one more response: grows while service time stays near its best, shrinks when it rises or work fails. */
ConcurrencyLimit withResponse(const ConcurrencyLimit&, double serviceRatio, bool hasFailed, uint32_t inFlight, uint32_t slots);

} // namespace chestnut
