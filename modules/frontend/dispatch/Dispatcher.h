#pragma once

#include "frontend/dispatch/FrontendState.h"
#include "kernel/signals/AutoResetEvent.h"

namespace chestnut {

/** The attributes of one attempt by which the dispatcher selects a replica. */
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
    /** The request has already run (it was preempted or its engine failed). It waits until its deadline and is not refused
        earlier. */
    bool isContinuation = false;
    bool mayExceedSlots = false; /**< see RouteRequest; set while the request waits */
    bool mayIsolate = true; /**< a suspected request that has produced no token yet gets a replica to itself */
    std::function<void()> preempt; /**< see InFlightRequestInfo */
    std::function<bool()> isAbandoned; /**< whether the caller has disconnected */
    std::shared_ptr<AutoResetEvent> wakeup; /**< wakes the waiting request; also notified when it is abandoned */
};

/** A selected replica. The request already counts as in flight there. */
struct ReplicaReservation {
    ReplicaId replica;
    Endpoint endpoint;
    InFlightRequestHandle inFlight;
};

/** Admission control, fair queueing and routing of requests. */
class Dispatcher : public std::enable_shared_from_this<Dispatcher> {
public:
    explicit Dispatcher(FrontendStatePointer);

    /** Starts serving the queues: when a request ends, a waiting one may start. */
    void start();

    /** Selects a replica, and waits in the queue when admission control decides so. Fails with CallerGone or with a refusal
        whose outcome is "not run": Overloaded, DeadlineUnreachable, NoBackend or SuspectRequest. */
    asio::awaitable<Result<ReplicaReservation>> acquire(DispatchRequest);

    /** Selects a replica without waiting; nothing when none is free. Used for hedged requests. */
    std::optional<ReplicaReservation> tryAcquire(const DispatchRequest&);

    size_t waiting() const;

    /** Requests in flight plus waiting live requests of the most loaded model or service, in thousandths of this daemon's
        share of the slots. Waiting batch work is not counted: it waits at every daemon once batch work fills its share. */
    uint32_t loadPermille() const;

private:
    struct Waiter {
        DispatchRequest request;
        std::optional<ReplicaReservation> result;
    };
    struct Queue {
        FairQueue fair;
        std::map<uint64_t, std::shared_ptr<Waiter>> waiters;
    };

    RouteDecision route(const DispatchRequest&, const std::vector<ReplicaView>&);
    ReplicaReservation reserve(const DispatchRequest&, const RouteDecision&, const std::vector<ReplicaView>&);
    std::vector<ReplicaView> viewsFor(const DispatchRequest&, bool& isIsolated) const;
    QueueState queueState(const ReplicaGroupId&) const;
    QueuedRequest queuedRequest(uint64_t entryId, const DispatchRequest&, double weight) const;
    uint64_t enqueue(std::shared_ptr<Waiter>);
    void preemptFor(const RouteDecision&, const std::vector<ReplicaView>&);
    void serveQueue(const ReplicaGroupId&);
    bool serveHead(const ReplicaGroupId&, Queue&);
    asio::awaitable<Result<ReplicaReservation>> wait(DispatchRequest, Duration expectedStart);
    void logRouted(const DispatchRequest&, const RouteDecision&, const std::vector<ReplicaView>&, bool isIsolated);

    FrontendStatePointer m_state;
    std::map<ReplicaGroupId, Queue> m_queues;
    uint64_t m_lastEntryId = 0;
    TimerSubscription m_queueTimer;
    TimerSubscription m_loadTimer;
};

} // namespace chestnut
