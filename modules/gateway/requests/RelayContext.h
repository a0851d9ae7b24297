#pragma once

#include "decisions/routes/RouteTable.h"
#include "decisions/speeds/StreamProgress.h"
#include "gateway/limits/RateLimiter.h"
#include "gateway/members/DaemonDirectory.h"
#include "gateway/replicas/ReplicaDirectory.h"
#include "gateway/replicas/SpeedTracker.h"
#include "gateway/requests/CrashTracker.h"
#include "gateway/requests/ErrorResponses.h"
#include "gateway/requests/ReplicaClient.h"
#include "gateway/requests/RetryBudgets.h"
#include "gateway/requests/SlotQueue.h"
#include "gateway/requests/UrgentWork.h"
#include "gateway/streams/StreamRecords.h"
#include "gateway/usage/UsageMeter.h"
#include "http/server/HttpServer.h"
#include "kernel/metrics/Metrics.h"

#include <memory>
#include <set>

namespace chestnut {

/** The services that relays use. */
struct RelayServices {
    asio::io_context& context;
    TimerService& timers;
    Log& log;
    Metrics& metrics;
    ReplicaClient& replicaClient;
    ReplicaDirectory& replicas;
    std::shared_ptr<LoadTracker> loadTracker;
    SpeedTracker& speeds;
    std::shared_ptr<StreamProgress> streams;
    CrashTracker& crashTracker;
    RetryBudgets& budgets;
    RateLimiter& rateLimiter;
    AvailabilityZone zone;
    Duration soundSilence; /**< longest silence of a sound engine in the middle of a stream */
    std::shared_ptr<ByteBudget> responseBuffers; /**< of bodies whose clients read slowly; null: bodies are read whole */
    StreamRecords* streamRecords = nullptr; /**< null: streams are not resumed across software versions */
    UsageMeter* usage = nullptr; /**< null: usage is not counted */
    UrgentWork urgentWork { timers };
    SlotQueue slotQueue { context, timers, loadTracker };
};

/** The state of one request in progress: its route, its deadline and the outcome of its attempts. */
class RelayContext : public std::enable_shared_from_this<RelayContext> {
public:
    RelayContext(RelayServices&, RoutedRequest, std::shared_ptr<const RouteTable>, const Route&, ServiceId);

    /** Aborts the attempt in progress when the client disconnects or the deadline passes. */
    void abortOnDisconnectOrDeadline(HttpResponseWriter&);

    TimePoint deadline() const { return m_deadline; }
    /** The priority of the request: that of its account, else that of its route. Zero is the most urgent. */
    uint32_t priority() const;
    /** Position of the request at the engines of its service. */
    EnginePosition orderAt(PrefillRank rank) const { return priorities().orderOf(priority(), rank); }
    const ServicePriorities& priorities() const { return table->prioritiesOf(service); }
    /** Requests that wait in the daemons and are not less urgent than this one, which does not wait yet. Of a waiting one it is
        not known how many precede it; it is the first one of its daemon. */
    double waitingAhead() const;
    Duration remaining() const { return m_deadline - services.timers.now(); }
    bool isOver() const { return m_isClientDisconnected || m_hasExpired; }
    /** Whether the request is over, or the time limit that its replica was given has passed. */
    bool isTimeOver() const;
    bool isClientDisconnected() const { return m_isClientDisconnected; }
    void onClientDisconnect();
    /** Ends the request as at its deadline. */
    void expire();

    /** Whether another attempt is safe and allowed by the route. */
    bool mayRetry() const;

    /** Whether the route allows another attempt after the one in progress, which may have run. */
    bool mayRunAgain() const;

    /** Whether the time left is longer than such a request usually needs. */
    bool canBeServedInTime() const;

    /** Takes the next retry from the retry budget in advance; returns false when the budget is exhausted. */
    bool reserveRetry();

    /** Counts the retry that was taken in advance as used, by a call that replaced no attempt. */
    void useReservedRetry() { m_hasReservedRetry = false; }

    /** Notes that this daemon ends the attempt in progress, whose failure then counts neither as a crash nor against the content. */
    void markInterrupted() { m_isInterrupted = true; }

    /** Ends the attempt in progress; see markInterrupted(). */
    void interruptAttempt();

    /** Counts one attempt; returns false when it is a retry and the retry budget is exhausted. */
    bool acquireAttempt();

    /** Records an attempt to which the replica has responded; `slowdown` is the ratio of observed to expected time. */
    void recordAttemptSuccess(const ReplicaId&, TimePoint sentAt, double slowdown);

    /** Share of the replica's slots that are occupied, with the attempt in progress there. */
    double loadShareOf(const ReplicaEntry&) const;
    /** Records how long a replica needed for a part of an attempt that began at this load. Without an expected time it says nothing. */
    void recordCapacity(const ReplicaEntry&, double loadShare, Duration time, std::optional<Duration> expected, double weight = 1);

    /** Records an attempt that a replica ran and answered with an error of its own. The replica is blamed by
        blameForErrors(), as only a later attempt may show that the request is the cause. */
    void recordErrorResponse(const ReplicaId&, TimePoint sentAt, int status);
    /** Counts the error responses against the replicas that sent them, unless the request is their cause; called once, when
        the request is over. `wasServed`: another replica served it. */
    void blameForErrors(bool wasServed);

    /** Records a failed attempt. Afterwards the request may have run, unless the error rules that out. */
    void recordAttemptFailure(const ReplicaId&, const Error&);

    /** The error for the client when no attempt succeeded; its outcome is "not run" only when that is certain. */
    Error finalError(Error last) const;

    /** Counts a request to the replica, whatever becomes of it, against the rate that the replica takes. */
    void recordRequestTo(const ReplicaEntry&);

    PlacementView viewOf(const ReplicaEntry&) const;
    /** The replica of a plain service, or the decode engine, for the next attempt. */
    std::optional<size_t> chooseReplica(std::span<const PlacementView>) const;

    /** The replicas that this request has not been sent to, or if there are none, those that were only silent. */
    std::vector<const ReplicaEntry*> candidates(EngineStage) const;
    /** Those of the candidates that have this software version; all without one. */
    std::vector<const ReplicaEntry*> candidates(EngineStage, const std::optional<SoftwareVersion>&) const;
    /** The usable replicas of a stage at which this request may run: those of the version of its stream, if it has one. */
    std::vector<const ReplicaEntry*> usable(EngineStage, const std::set<ReplicaId>& without) const;
    /** Whether a replica other than this one has a free slot for the request. */
    bool hasFreeReplica(EngineStage, const ReplicaId& other) const;

    /** Whether requests with this content have crashed too many replicas. */
    bool isBlockedContent() const;
    /** Whether a prompt part of the request has crashed too many engines for another attempt. */
    bool hasBlockedPart();
    /** Whether a prompt part of the request is suspected, so that it is not sent again once it may have run. */
    bool hasSuspectedPart() const;
    /** Records that an engine began to generate the response to the request. */
    void recordFirstEvent(const ReplicaEntry&);
    /** Records that an attempt was lost before its first event, after recordAttemptFailure(). */
    void recordLossBeforeFirstEvent(const ReplicaEntry&, const Error&);
    /** Counts the request for its account when its first event arrives; further calls change nothing. */
    void countUsage();
    /** Notes an attempt whose response shows whether the request has run. */
    void beginUsage();
    /** Ends that attempt. The request is counted once, at the first attempt that may have run. */
    void endUsage(bool mayHaveRun);
    /** Records that the request was answered, so that earlier lost attempts are not counted against its content. */
    void recordCompletion();

    RelayServices& services;
    const RoutedRequest request;
    const std::shared_ptr<const RouteTable> table; /**< keeps the route alive */
    const Route& route;
    const ServiceId service;
    const std::shared_ptr<AbortHandle> abort = std::make_shared<AbortHandle>();
    std::set<ReplicaId> excluded; /**< replicas that failed this request */
    std::optional<SoftwareVersion> version; /**< at which the stream has begun; absent before its first event */
    std::set<ReplicaId> silent; /**< replicas whose attempts were interrupted; they are used again when no other one is left */
    bool mayHaveRun = false;
    uint32_t runs = 0; /**< attempts that may have run */

private:
    const Digest& content() const;
    bool isRetryable() const;
    /** Whether the version of a new stream cannot be recorded now, so that it begins at the default version if possible. */
    bool mustBeginAtDefault() const;
    void reportPartChanges();

    TimePoint m_deadline;
    TimerSubscription m_deadlineTimer;
    std::vector<ReplicaId> m_erring; /**< replicas that answered with an error of their own */
    uint32_t m_attempts = 0;
    TimePoint m_sentAt; /**< of the last attempt */
    bool m_isClientDisconnected = false;
    bool m_hasExpired = false;
    bool m_hasReservedRetry = false;
    bool m_isInterrupted = false; /**< by this daemon, the last attempt */
    mutable std::optional<Digest> m_content;
    std::vector<SharedPart> m_sharedParts; /**< of the prompt */
    bool m_isPartTrial = false;
    std::optional<uint64_t> m_usageCall; /**< of the attempt in progress */
    bool m_isUsageCounted = false;
};

using RelayPointer = std::shared_ptr<RelayContext>;

} // namespace chestnut
