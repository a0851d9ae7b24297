#pragma once

#include "decisions/retries/ServiceRetryBudget.h"
#include "decisions/routes/RouteTable.h"
#include "gateway/members/DaemonDirectory.h"
#include "gateway/replicas/ReplicaDirectory.h"
#include "gateway/requests/CrashTracker.h"
#include "gateway/requests/ReplicaClient.h"
#include "http/server/HttpServer.h"
#include "kernel/metrics/Metrics.h"

#include <map>
#include <memory>
#include <set>

namespace chestnut {

/** The retry budgets of all services; the bounds hold for all daemons together. */
class ServiceBudgets {
public:
    ServiceBudgets(TimerService&, DaemonDirectory&, ServiceRetryLimits);

    void setLimits(const ServiceRetryLimits& limits) { m_limits = limits; }
    void addRequest(const ServiceId&);
    bool tryTakeRetry(const ServiceId&);
    /** Counts a first prefill call that an engine rejected; only an accepted one is no repeat. */
    void chargeRejection(const ServiceId&);

private:
    TimerService& m_timers;
    DaemonDirectory& m_directory;
    ServiceRetryLimits m_limits;
    std::map<ServiceId, ServiceRetryBudget> m_budgets;
};

/** What relays need from the rest of the daemon. */
struct RelayServices {
    asio::io_context& context;
    TimerService& timers;
    Log& log;
    Metrics& metrics;
    ReplicaClient& instances;
    ReplicaDirectory& replicas;
    std::shared_ptr<LoadTracker> board;
    CrashTracker& losses;
    ServiceBudgets& budgets;
    AvailabilityZone zone;
};

/** The state of one request while it is in progress: its route, its time and what has become of its attempts. */
class RelayContext : public std::enable_shared_from_this<RelayContext> {
public:
    RelayContext(RelayServices&, RoutedRequest, std::shared_ptr<const RouteTable>, const Route&, ServiceId);

    /** Ends the attempt in progress when the caller leaves or the time is up. */
    void watch(HttpResponseWriter&);

    TimePoint deadline() const { return m_deadline; }
    Duration remaining() const { return m_deadline - services.timers.now(); }
    bool isOver() const { return m_isCallerGone || m_hasExpired; }
    bool isCallerGone() const { return m_isCallerGone; }
    void callerGone();

    /** Whether another run could not do harm and the route allows it. */
    bool mayRunAgain() const;

    /** Counts one send to a replica; false when it is a repeat and the budget is used up. */
    bool takeArrival();

    /** Notes an attempt that the replica has answered; `slowdown` is the observed time over the expected time. */
    void noteSuccess(const ReplicaId&, TimePoint sentAt, double slowdown);

    /** Notes a failed attempt: after it, the request may have run unless the error says that it has not. */
    void noteFailure(const ReplicaId&, const Error&);

    /** The final answer when no attempt succeeded; "not run" only where that is certain. */
    Error finalError(Error last) const;

    PlacementView viewOf(const ReplicaEntry&) const;

    /** Whether requests with this content have crashed too many replicas. */
    bool isRefusedContent() const;
    /** The request was answered: its content has not caused the losses. */
    void clearLosses();

    RelayServices& services;
    const RoutedRequest request;
    const std::shared_ptr<const RouteTable> table; /**< keeps the route alive */
    const Route& route;
    const ServiceId service;
    const std::shared_ptr<AbortHandle> abort = std::make_shared<AbortHandle>();
    std::set<ReplicaId> excluded; /**< replicas that failed this request */
    bool mayHaveRun = false;
    uint32_t runs = 0; /**< attempts that may have run */

private:
    const Digest& content() const;

    TimePoint m_deadline;
    TimerSubscription m_deadlineTimer;
    uint32_t m_arrivals = 0;
    TimePoint m_sentAt; /**< of the last attempt */
    bool m_isCallerGone = false;
    bool m_hasExpired = false;
    mutable std::optional<Digest> m_content;
};

using RelayPointer = std::shared_ptr<RelayContext>;

/** The refusal of a request that has crashed the replicas that ran it. */
Error crashingContent();

/** Sends an error as the answer, with a Retry-After where the caller may come back. */
asio::awaitable<void> answerError(HttpResponseWriter&, const RequestId&, const Error&);

} // namespace chestnut
