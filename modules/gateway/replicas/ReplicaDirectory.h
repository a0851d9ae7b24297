#pragma once

#include "decisions/placement/PromptPlacement.h"
#include "decisions/replicas/ReplicaBackoff.h"
#include "decisions/replicas/ReplicaRegistry.h"
#include "decisions/streams/DefaultVersion.h"
#include "gateway/limits/RateLimitRegistry.h"
#include "gateway/replicas/LoadTracker.h"
#include "gateway/replicas/OrderPauses.h"
#include "gateway/requests/ReplicaNotice.h"
#include "gateway/store/StoreMirror.h"

#include <functional>
#include <set>

namespace chestnut {

/** Decodes the entry of one replica. Fails with ProtocolError when the entry describes no usable replica. */
using ReplicaEntryDecoder = std::function<Result<ReplicaEntry>(const ReplicaId&, std::string_view value)>;

/** The replicas of all services, from their entries in the store and from reports of peers. */
class ReplicaDirectory : public Service {
public:
    static constexpr std::string_view serviceName = "replicadirectory";
    std::string_view name() const final { return serviceName; }

    /** A key consists of `keyPrefix` and the replica's id. `lastStoreUnreachableAt` returns when other calls last showed that this
        daemon had no access to the store, because a watch may continue through an outage without failing. */
    ReplicaDirectory(asio::io_context&, VersionedStore&, TimerService&, Log&, std::shared_ptr<LoadTracker>, std::string keyPrefix, ReplicaEntryDecoder, std::function<Duration()> watchPause, std::function<std::optional<TimePoint>()> lastStoreUnreachableAt);

    void start() override;

    /** See StoreMirror::restartWatch(). */
    void restartWatch() { m_mirror->restartWatch(); }

    /** The replicas of a service in one stage that may get a request now, without the excluded ones. */
    std::vector<const ReplicaEntry*> usable(const ServiceId&, EngineStage, const std::set<ReplicaId>& excluded = {}) const;

    /** All engines of a service that are not leaving, including those that are executing an order or want no requests now. */
    std::vector<const ReplicaEntry*> engines(const ServiceId&) const;

    /** The software versions of the listed engines of each service, also of those that are leaving, and how many engines have them. */
    std::map<ServiceId, VersionCounts> engineVersions() const;

    /** All replicas of a service that are listed, also those that are leaving. */
    std::vector<const RegisteredReplica*> registered(const ServiceId&) const;

    const RegisteredReplica* find(const ReplicaId&) const;

    /** Whether the replica wants no requests from this daemon now. */
    bool isBackingOff(const ReplicaId&) const;

    /** When the replica ends, if it has announced that; running streams are broken then. */
    std::optional<TimePoint> leavesAt(const ReplicaId&) const;

    /** Whether the platform takes the reclaimable replicas of a service in this zone away. */
    bool isReclaiming(const ServiceId&, const AvailabilityZone&) const;

    /** Whether the replica may get requests that are not a client's, such as orders. */
    bool acceptsControlCalls(const ReplicaId&) const;

    /** Time until the first replica of a service accepts requests again, if all that may get work want none now. Prefill
        engines do not count, as decode engines can process prompts. */
    std::optional<Duration> timeUntilBackoffEnds(const ServiceId&) const;

    /** Replicas that started leaving within the last seconds, and those that the store lists as ready although they have announced
        their departure. */
    std::vector<LeavingReplica> leaving() const;

    /** Applies a peer's report that the replica is leaving. */
    void applyPeerLeaving(const LeavingReplica&);

    /** Applies what a replica has said about itself in a response. */
    void applyNotice(const ReplicaNotice&);

    /** Entries that were recently added or changed in the store, for peers that watch the store less often. */
    std::vector<ReplicaEntry> changedEntries() const;

    /** Applies an entry that a peer has read from the store. The replica is removed again if the entry is not read from the store
        within unconfirmedLifetime: the peer may be behind, and this daemon, after a restart, does not learn of an earlier removal. */
    void applyPeerEntry(const ReplicaEntry&);

    /** The replicas that get no work because they execute an order. Before it changes its stage, a replica completes its running
        work, which may take as long as its longest stream. */
    OrderPauses& pauses() { return m_pauses; }
    const OrderPauses& pauses() const { return m_pauses; }

    /** What replicas have said about the rate of requests that they take. */
    RateLimitRegistry& rateLimits() { return m_rateLimits; }
    /** Requests per second that the replica takes from all daemons together; nothing without a limit. */
    std::optional<double> rateLimitOf(const ReplicaEntry& entry) const { return m_rateLimits.rateOf(entry.id, entry.startedAt); }
    bool hasRateLimit(const ServiceId&) const;
    /** The services with a replica that names a rate limit. */
    std::set<ServiceId> rateLimitedServices() const;

    bool isEmpty() const { return m_registry.replicas.empty(); }

private:
    struct LeavingReport {
        LeavingReplica replica;
        TimePoint since;
    };

    void applyDeparture(const ReplicaNotice&, const ReplicaEntry&);
    void applyRequestedBackoff(const ReplicaNotice&, const ReplicaEntry&, Duration);
    /** The replica that the notice is about; null if that process start is not the one in the directory. */
    const RegisteredReplica* subjectOf(const ReplicaNotice&) const;
    /** The replicas of a service that may receive work and satisfy the predicate. */
    std::vector<const ReplicaEntry*> select(const ServiceId&, const std::function<bool(const ReplicaEntry&)>& isWanted) const;
    void onItem(const StoreItem&);
    /** Returns whether the entry changed the registry. */
    bool apply(const ReplicaEntry&, std::string_view cause);
    void onRemoval(const std::string& key);
    /** Erases what was observed of a process start. */
    void forget(const ReplicaId&);
    void recordLeaving(const ReplicaId&);
    /** Keeps the earliest end that was announced for the present process start. */
    void recordEnd(const ReplicaId&, std::optional<Duration> leavesIn);
    void expirePauses();
    /** Removes replicas whose entries were only reported by peers. */
    void removeUnconfirmed();
    /** The last time at which entries may have expired or been lost although their replicas live. */
    std::optional<TimePoint> lastStoreUnreachableAt() const;
    void logChange(const ReplicaId&, std::string_view cause) const;

    TimerService& m_timers;
    Log& m_log;
    std::shared_ptr<LoadTracker> m_loadTracker;
    std::string m_keyPrefix;
    ReplicaEntryDecoder m_decode;
    std::function<std::optional<TimePoint>()> m_unreachableByOtherCalls;
    std::shared_ptr<StoreMirror> m_mirror;
    ReplicaRegistry m_registry;
    std::map<ReplicaId, TimePoint> m_startSeenAt; /**< when the present process start of each replica was first read */
    std::map<ReplicaId, LeavingReport> m_leaving;
    std::map<ReplicaId, TimePoint> m_leavesAt;
    std::map<ReplicaId, TimePoint> m_changedAt; /**< when the change was read from the store */
    std::map<ReplicaId, TimePoint> m_unconfirmed; /**< entries from peers, and when they were applied */
    std::set<ReplicaId> m_unreadable; /**< whose entries could not be read and were logged */
    OrderPauses m_pauses;
    ReplicaBackoffs m_backoffs;
    RateLimitRegistry m_rateLimits;
    TimerSubscription m_expiryTimer;
};

std::string_view nameOf(ReplicaStatus);

} // namespace chestnut
