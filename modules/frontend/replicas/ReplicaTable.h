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

/** Added to measured and expected latency before they are compared. Without it, a prompt of a few tokens that arrives
    behind one unknown prefill looks 20 times too slow, and healthy engines are ejected. */
constexpr Duration latencyAllowance(bool isEngine)
{
    return isEngine ? std::chrono::milliseconds(50) : std::chrono::milliseconds(10);
}

/** What the table must know about work that is sent to a replica. */
struct InFlightRequestInfo {
    Digest content;
    PriorityClass priorityClass = PriorityClass::Live;
    WorkEstimate work;
    ReplicaEstimate estimate; /**< at the time of the decision */
    bool isLong = false;
    bool isIsolated = false; /**< nothing else may be sent to the replica meanwhile */
    std::function<void()> preempt; /**< frees the slot of a batch request; empty when it cannot be preempted */
    TimePoint deadline; /**< of the request */
};

/** Work in flight at one replica; it ends with the object. */
class InFlightRequest {
public:
    InFlightRequest(std::weak_ptr<ReplicaTable>, ReplicaId, InFlightRequestInfo, TimePoint startedAt);
    InFlightRequest(const InFlightRequest&) = delete;
    InFlightRequest& operator=(const InFlightRequest&) = delete;
    ~InFlightRequest();

    const ReplicaId& replica() const { return m_replica; }
    const InFlightRequestInfo& plan() const { return m_plan; }
    TimePoint startedAt() const { return m_startedAt; }

    /** One token arrived; the first one gives a latency sample. */
    void onToken(TimePoint now);
    /** The whole answer of a plain call arrived. */
    void onAnswer(TimePoint now);
    /** The attempt failed at the replica. */
    void onFailure(ErrorKind, TimePoint now);

    WorkEstimate remaining() const;
    uint64_t tokens() const { return m_tokens; }
    bool wasPreempted() const { return m_wasPreempted; }
    void markPreempted() { m_wasPreempted = true; }

private:
    std::weak_ptr<ReplicaTable> m_table;
    ReplicaId m_replica;
    InFlightRequestInfo m_plan;
    TimePoint m_startedAt;
    TimePoint m_firstTokenAt {};
    TimePoint m_lastTokenAt {};
    uint64_t m_tokens = 0;
    bool m_wasPreempted = false;
    bool m_wasAlone = false;

    friend class ReplicaTable;
};

using InFlightRequestHandle = std::shared_ptr<InFlightRequest>;

/** Where this daemon runs and how far other places are. */
struct Locality {
    DaemonId self;
    AvailabilityZone zone;
    Region region;
    Duration sameZoneDelay = std::chrono::microseconds(250);
    Duration sameRegionDelay = std::chrono::microseconds(1500);
    Duration otherRegionDelay = std::chrono::milliseconds(40);
};

/** Decided outside the table: membership, drains and slow start. */
struct ReplicaGates {
    std::function<bool(const ReplicaId&)> acceptsNewWork;
    std::function<double(const ReplicaId&)> slowStartShare; /**< 0 to 1 */
    std::function<EngineRole(const ReplicaId&)> roleOf; /**< the role that an engine runs now */
};

/** What this daemon uses of one model or service. */
struct GroupUse {
    uint32_t inFlight = 0;
    double slots = 0; /**< that this daemon may count on */
};

/** Everything that this daemon knows about the replicas that it uses. Lost with the daemon and learned again. */
class ReplicaTable : public std::enable_shared_from_this<ReplicaTable> {
public:
    /** Failed contacts in a row, or time since the first of them, after which a replica gets no new work. */
    static constexpr uint32_t unresponsiveFailures = 3;
    static constexpr Duration unresponsiveTime = std::chrono::seconds(5);

    ReplicaTable(Locality, TimerService&, Log&, ReplicaGates);

    /** Takes over the replicas of a configuration; flights at removed ones go on. */
    void apply(const Configuration&);

    bool hasGroup(const ReplicaGroupId&) const;
    std::vector<ReplicaView> views(const ReplicaGroupId&) const;
    std::vector<double> cachedTokens(std::span<const ReplicaView>, std::span<const uint64_t> blocks) const;
    std::optional<Endpoint> endpoint(const ReplicaId&) const;

    /** The number of ready daemons, this one included; they share the replicas. */
    void setMembers(std::vector<MemberRecord>);

    /** Takes over the roles that the engines run now and fits the learned rates to them. */
    void updateRoles();

    /** False when the last contacts failed; see unresponsiveFailures. */
    bool isResponsive(const ReplicaId&) const;

    InFlightRequestHandle begin(const ReplicaId&, InFlightRequestInfo, std::span<const uint64_t> blocks);
    std::vector<Digest> contentsRunningAt(const ReplicaId&) const;
    /** True for the first of the requests that notice the loss of a replica; endLossCheck() must follow. False during a
        planned change of the replica, when its loss counts against no request. */
    bool beginLossCheck(const ReplicaId&);
    void endLossCheck(const ReplicaId&, bool isLost);
    bool isLossUnsettled(const ReplicaId&) const;
    /** Frees the slot of the newest batch request there that is not near its deadline. False when there is none. */
    bool preemptNewestBatch(const ReplicaId&);
    /** Calls back whenever a flight has ended. */
    void onFlightEnd(std::function<void(const ReplicaGroupId&)> callback) { m_onFlightEnd = std::move(callback); }

    /** The next replica to poll, at least `period` after its last poll, or nothing. */
    std::optional<ReplicaId> nextToPoll(Duration period);
    bool isEngine(const ReplicaId&) const;
    uint64_t lastCacheSequence(const ReplicaId&) const;
    void applyLoad(const ReplicaId&, const EngineLoad&);
    void applyLoad(const ReplicaId&, const BackendServerLoad&);
    void applyCacheEvents(const ReplicaId&, std::span<const CacheEvent>);
    void contactSucceeded(const ReplicaId&);
    void contactFailed(const ReplicaId&);

    LatencyQuantiles& quantiles(const ReplicaGroupId& group) { return m_groups[group].quantiles; }
    std::map<ReplicaGroupId, LatencyGroup> latencies() const;
    void mergePeerLatency(const ReplicaId&, double meanRatio, double samples);
    void updateHealth();

    /** Use of each group that has replicas which accept work. */
    std::map<ReplicaGroupId, GroupUse> use() const;

private:
    struct Sent {
        TimePoint at;
        WorkEstimate work;
    };
    struct Replica {
        ReplicaGroupId group;
        Endpoint endpoint;
        bool isEngine = true;
        ReplicaView view; /**< without the own work, health and gates, which views() adds */
        ConcurrencyLimit limit;
        std::list<InFlightRequest*> flights; /**< oldest first */
        std::deque<Sent> sent;
        std::deque<TimePoint> ended; /**< ends of recent flights */
        TimePoint polledAt {};
        bool isPolling = false;
        uint32_t failures = 0;
        TimePoint firstFailureAt {};
        TimePoint lossNotedAt {};
        bool hasLoss = false;
        bool isLossUnsettled = false;
        bool isConfigured = true;
        std::string version; /**< model and version; the cache is forgotten when it changes */
    };
    struct Group {
        std::vector<ReplicaId> members;
        std::vector<SubsetCandidate> candidates; /**< the whole group; the members are this daemon's subset */
        double sharing = 1; /**< expected number of daemons that use one replica of the members */
        LatencyGroup latency;
        LatencyQuantiles quantiles;
    };

    void addSubset(const ReplicaGroupId&, std::vector<std::pair<SubsetCandidate, Replica>>);
    Duration delayTo(const AvailabilityZone&, const Region&) const;
    OwnWork ownWork(const Replica&) const;
    bool acceptsNewWork(const Replica&) const;
    /** Share of a replica's capacity that this daemon may count on. */
    double shareOf(const ReplicaId&, const Group&) const;
    double sharingOf(const Group&) const;
    bool isUnresponsive(const Replica&) const;
    void end(InFlightRequest&);
    void learnFirstToken(InFlightRequest&, TimePoint now);
    void learnDecodeRate(InFlightRequest&);
    void recordLatency(const InFlightRequest&, Duration measured, Duration expected, TimePoint now);
    double ratesFactor(const Replica&, const WorkEstimate&) const;
    bool waitsForMoreUrgent(const Replica&, const InFlightRequest&) const;
    void recordFailed(const InFlightRequest&, ErrorKind, TimePoint now);
    Replica* find(const ReplicaId&);
    const Replica* find(const ReplicaId&) const;

    Locality m_locality;
    TimerService& m_timers;
    Log& m_log;
    ReplicaGates m_gates;
    std::map<ReplicaId, Replica> m_replicas;
    std::map<ReplicaGroupId, Group> m_groups;
    PrefixIndex m_prefixes;
    std::function<void(const ReplicaGroupId&)> m_onFlightEnd;
    std::vector<MemberRecord> m_daemons;

    friend class InFlightRequest;
};

} // namespace chestnut
