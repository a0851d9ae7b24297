#pragma once

#include "frontend/dispatch/FrontendState.h"
#include "kernel/signals/AutoResetEvent.h"

namespace chestnut {

/** What the dispatcher needs to find a replica for one attempt. */
struct DispatchRequest {
    RequestId request; /**< the caller's */
    ReplicaGroupId group;
    AccountId account;
    PriorityClass priorityClass = PriorityClass::Live;
    WorkEstimate work;
    std::vector<uint64_t> blocks; /**< prefix blocks of the prompt */
    TimePoint arrival;
    TimePoint deadline;
    Digest content;
    std::vector<ReplicaId> excluded; /**< replicas that failed this request */
    uint32_t attempt = 1;
    /** It has run already (preempted, or its engine was lost): it waits until its deadline and is never refused before. */
    bool isContinuation = false;
    bool mayExceedSlots = false; /**< see RouteRequest; set while it waits */
    bool mayIsolate = true; /**< a suspected request that has shown no sign of life gets a replica for itself */
    std::function<void()> preempt; /**< see InFlightRequestInfo */
    std::function<bool()> isAbandoned; /**< the caller is gone */
    std::shared_ptr<AutoResetEvent> signal; /**< wakes the waiting request; also notified when it is abandoned */
};

/** A replica with the work already counted there. */
struct Dispatched {
    ReplicaId replica;
    Endpoint endpoint;
    InFlightRequestHandle flight;
};

/** Admission, fair queueing and routing. */
class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
public:
    explicit Dispatcher(FrontendStatePointer);

    /** Subscribes to the ends of flights, which let waiting requests go on. */
    void start();

    /** Finds a replica, waiting in the queue when admission says so. The refusals are all "not run":
        Overloaded, DeadlineUnreachable, NoBackend, SuspectRequest; and CallerGone. */
    asio::awaitable<Result<Dispatched>> acquire(DispatchRequest);

    /** Finds a replica without waiting; nothing when none is free. Used for hedges. */
    std::optional<Dispatched> tryAcquire(const DispatchRequest&);

    size_t waiting() const;

    /** Requests in flight and waiting live requests of the fullest model or service, in thousandths of the slots that this
        daemon may count on. Waiting batch work is left out: it waits at every daemon whenever batch fills its share. */
    uint32_t loadPermille() const;

private:
    struct Waiter {
        DispatchRequest request;
        std::optional<Dispatched> result;
    };
    struct Queue {
        FairQueue fair;
        std::map<uint64_t, std::shared_ptr<Waiter>> waiters;
    };

    RouteDecision route(const DispatchRequest&, const std::vector<ReplicaView>&);
    Dispatched reserve(const DispatchRequest&, const RouteDecision&, const std::vector<ReplicaView>&);
    std::vector<ReplicaView> viewsFor(const DispatchRequest&, bool& isIsolated) const;
    QueueState queueState(const ReplicaGroupId&) const;
    QueuedRequest queuedRequest(uint64_t entryId, const DispatchRequest&, double weight) const;
    uint64_t enqueue(std::shared_ptr<Waiter>);
    void preemptFor(const RouteDecision&, const std::vector<ReplicaView>&);
    void pump(const ReplicaGroupId&);
    bool serveHead(const ReplicaGroupId&, Queue&);
    asio::awaitable<Result<Dispatched>> wait(DispatchRequest, Duration expectedStart);
    void logRouted(const DispatchRequest&, const RouteDecision&, const std::vector<ReplicaView>&, bool isIsolated);

    FrontendStatePointer m_state;
    std::map<ReplicaGroupId, Queue> m_queues;
    uint64_t m_lastEntryId = 0;
    TimerSubscription m_pumping;
    TimerSubscription m_announcing;
};

} // namespace chestnut
