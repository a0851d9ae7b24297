#pragma once

#include "backends/engines/EngineClient.h"
#include "backends/servers/BackendServerClient.h"
#include "decisions/admission/Admission.h"
#include "decisions/ejection/Ejection.h"
#include "decisions/hedging/Hedging.h"
#include "decisions/roles/Roles.h"
#include "decisions/routing/PrefixIndex.h"
#include "decisions/routing/Routing.h"
#include "decisions/subsets/Subsets.h"
#include "kernel/logging/Log.h"
#include "kernel/timers/TimerService.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>

namespace chestnut {

class ReplicaTable;

/** The replicas of one model (`model/m1`) or service (`service/orders`). */
using ReplicaGroupId = StrongId<struct ReplicaGroupTag>;

ReplicaGroupId groupOf(const ModelId&);
ReplicaGroupId groupOf(const ServiceId&);

/** Added to both measured and expected latency before they are compared. Without it, a short prompt that waits for
    another daemon's prefill looks 20 times too slow, and healthy engines are ejected. */
constexpr Duration latencyAllowance(bool isEngine)
{
    return isEngine ? std::chrono::milliseconds(50) : std::chrono::milliseconds(10);
}

/** Attributes of a request that is sent to a replica. */
struct InFlightRequestInfo {
    Digest content;
    PriorityClass priorityClass = PriorityClass::Live;
    WorkEstimate work;
    ReplicaEstimate estimate; /**< at the time of the decision */
    bool isLong = false;
    bool isIsolated = false; /**< nothing else may be sent to the replica while it runs */
    std::function<void()> preempt; /**< frees the slot of a batch request; empty when it cannot be preempted */
    TimePoint deadline; /**< of the request */
};

/** A request in flight at one replica. It counts there until the object is destroyed. */
class InFlightRequest {
public:
    InFlightRequest(std::weak_ptr<ReplicaTable>, ReplicaId, InFlightRequestInfo, TimePoint startedAt);
    InFlightRequest(const InFlightRequest&) = delete;
    InFlightRequest& operator=(const InFlightRequest&) = delete;
    ~InFlightRequest();

    const ReplicaId& replica() const { return m_replica; }
    const InFlightRequestInfo& info() const { return m_info; }
    TimePoint startedAt() const { return m_startedAt; }

    /** Call for each token; the first one yields a latency sample. */
    void onToken(TimePoint now);
    /** Call when the response to a plain service call has arrived. */
    void onResponse(TimePoint now);
    /** Call when the attempt failed at the replica. */
    void onFailure(ErrorKind, TimePoint now);

    WorkEstimate remaining() const;
    uint64_t tokens() const { return m_tokens; }
    bool wasPreempted() const { return m_wasPreempted; }
    void markPreempted() { m_wasPreempted = true; }

private:
    std::weak_ptr<ReplicaTable> m_table;
    ReplicaId m_replica;
    InFlightRequestInfo m_info;
    TimePoint m_startedAt;
    TimePoint m_firstTokenAt {};
    TimePoint m_lastTokenAt {};
    uint64_t m_tokens = 0;
    bool m_wasPreempted = false;
    bool m_wasOnlyRequest = false;

    friend class ReplicaTable;
};

using InFlightRequestHandle = std::shared_ptr<InFlightRequest>;

/** Where this daemon runs, and the network delays to replicas in each place. */
struct Locality {
    DaemonId self;
    AvailabilityZone zone;
    Region region;
    Duration sameZoneDelay = std::chrono::microseconds(250);
    Duration sameRegionDelay = std::chrono::microseconds(1500);
    Duration otherRegionDelay = std::chrono::milliseconds(40);
};

/** Callbacks for what is decided outside the table: membership, drains, slow start and roles. */
struct ReplicaStatusSource {
    std::function<bool(const ReplicaId&)> acceptsNewWork;
    std::function<double(const ReplicaId&)> slowStartShare; /**< 0 to 1 */
    std::function<EngineRole(const ReplicaId&)> roleOf; /**< the role that an engine runs now */
};

/** This daemon's use of one model's or service's replicas. */
struct GroupUtilization {
    uint32_t inFlightRequests = 0;
    double slots = 0; /**< this daemon's share of them */
};

/** This daemon's state of each replica that it uses. It is not stored: a restarted daemon measures it again. */
class ReplicaTable : public std::enable_shared_from_this<ReplicaTable> {
public:
    /** A replica gets no new work after this many failed contacts in a row, or this long after the first of them. */
    static constexpr uint32_t unresponsiveFailures = 3;
    static constexpr Duration unresponsiveTime = std::chrono::seconds(5);

    ReplicaTable(Locality, TimerService&, Log&, ReplicaStatusSource);

    /** Applies the replicas of a configuration. Requests in flight at removed replicas continue. */
    void apply(const Configuration&);

    bool hasGroup(const ReplicaGroupId&) const;
    std::vector<ReplicaView> views(const ReplicaGroupId&) const;
    std::vector<double> cachedTokens(std::span<const ReplicaView>, std::span<const uint64_t> blocks) const;
    std::optional<Endpoint> endpoint(const ReplicaId&) const;

    /** Sets the daemons, this one included; the ready ones share the replicas. */
    void setMembers(std::vector<MemberRecord>);

    /** Updates the engines' current roles and converts the learned rates to them. */
    void updateRoles();

    /** False when the last contacts failed; see unresponsiveFailures. */
    bool isResponsive(const ReplicaId&) const;

    /** Counts a request as in flight at the replica until the handle is released. */
    InFlightRequestHandle beginRequest(const ReplicaId&, InFlightRequestInfo, std::span<const uint64_t> blocks);
    std::vector<Digest> contentsRunningAt(const ReplicaId&) const;
    /** True for the first request that detects a possible loss of the replica; it must then call endLossCheck(). False
        during a planned change of the replica, when a loss counts against no request. */
    bool beginLossCheck(const ReplicaId&);
    void endLossCheck(const ReplicaId&, bool isLost);
    bool isLossCheckPending(const ReplicaId&) const;
    /** Preempts the replica's newest batch request that is not near its deadline. False when there is none. */
    bool preemptNewestBatch(const ReplicaId&);
    /** The callback runs whenever a request in flight has ended. */
    void onRequestEnd(std::function<void(const ReplicaGroupId&)> callback) { m_onRequestEnd = std::move(callback); }

    /** The next replica to poll, at least `period` after its last poll, or nothing. */
    std::optional<ReplicaId> nextToPoll(Duration period);
    bool isEngine(const ReplicaId&) const;
    uint64_t lastCacheSequence(const ReplicaId&) const;
    void applyLoad(const ReplicaId&, const EngineLoad&);
    void applyLoad(const ReplicaId&, const BackendServerLoad&);
    void applyCacheEvents(const ReplicaId&, std::span<const CacheEvent>);
    void recordContactSuccess(const ReplicaId&);
    void recordContactFailure(const ReplicaId&);

    LatencyQuantiles& quantiles(const ReplicaGroupId& group) { return m_groups[group].quantiles; }
    std::map<ReplicaGroupId, LatencyGroup> latencies() const;
    void mergePeerLatency(const ReplicaId&, double meanRatio, double samples);
    void updateHealth();

    /** Utilization of each group that has replicas which accept new work. */
    std::map<ReplicaGroupId, GroupUtilization> utilization() const;

private:
    struct SentWork {
        TimePoint at;
        WorkEstimate work;
    };
    struct Replica {
        ReplicaGroupId group;
        Endpoint endpoint;
        bool isEngine = true;
        ReplicaView view; /**< without this daemon's work, health and status, which views() adds */
        ConcurrencyLimit limit;
        std::list<InFlightRequest*> inFlightRequests; /**< oldest first */
        std::deque<SentWork> sent;
        std::deque<TimePoint> ended; /**< ends of recent requests */
        TimePoint polledAt {};
        bool isPolling = false;
        uint32_t failures = 0;
        TimePoint firstFailureAt {};
        TimePoint lossDetectedAt {};
        bool hasLoss = false;
        bool isLossCheckPending = false;
        bool isConfigured = true;
        std::string version; /**< model and version; its cached prefixes are dropped when it changes */
    };
    struct Group {
        std::vector<ReplicaId> members;
        std::vector<SubsetCandidate> candidates; /**< all replicas of the group; `members` is this daemon's subset of them */
        double daemonsPerReplica = 1; /**< expected number of daemons that use one of the members */
        LatencyGroup latency;
        LatencyQuantiles quantiles;
    };

    void addSubset(const ReplicaGroupId&, std::vector<std::pair<SubsetCandidate, Replica>>);
    Duration delayTo(const AvailabilityZone&, const Region&) const;
    OwnWork ownWork(const Replica&) const;
    bool acceptsNewWork(const Replica&) const;
    /** This daemon's share of a replica's capacity. */
    double capacityShareOf(const ReplicaId&, const Group&) const;
    double daemonsPerReplicaOf(const Group&) const;
    bool isUnresponsive(const Replica&) const;
    void endRequest(InFlightRequest&);
    void learnPrefillRate(InFlightRequest&, TimePoint now);
    void learnDecodeRate(InFlightRequest&);
    void recordLatency(const InFlightRequest&, Duration measured, Duration expected, TimePoint now);
    double medianRateFactor(const Replica&, const WorkEstimate&) const;
    bool isDelayedByLiveWork(const Replica&, const InFlightRequest&) const;
    void recordRequestFailure(const InFlightRequest&, ErrorKind, TimePoint now);
    Replica* find(const ReplicaId&);
    const Replica* find(const ReplicaId&) const;

    Locality m_locality;
    TimerService& m_timers;
    Log& m_log;
    ReplicaStatusSource m_statusSource;
    std::map<ReplicaId, Replica> m_replicas;
    std::map<ReplicaGroupId, Group> m_groups;
    PrefixIndex m_prefixes;
    std::function<void(const ReplicaGroupId&)> m_onRequestEnd;
    std::vector<MemberRecord> m_daemons;

    friend class InFlightRequest;
};

} // namespace chestnut
