#pragma once

#include "decisions/placement/PromptPlacement.h"
#include "decisions/replicas/ReplicaRegistry.h"
#include "gateway/replicas/LoadTracker.h"
#include "gateway/store/StoreMirror.h"

#include <functional>
#include <set>

namespace chestnut {

/** Reads the value of one replica's entry; ProtocolError when it names no replica that can be used. */
using ReplicaEntryDecoder = std::function<Result<ReplicaEntry>(const ReplicaId&, std::string_view value)>;

/** A replica that carries out an order. The beat grows at the daemon that gave the order and nowhere else, so that daemons
    that pass the news on do not prolong it for each other without end. */
struct PausedReplica {
    ReplicaId replica;
    uint64_t beat = 0; /**< tenths of a second of the ordering daemon's clock */

    bool operator==(const PausedReplica&) const = default;
};

/** The replicas of all services, from their entries in the store and from what peers say of leaving ones. */
class ReplicaDirectory : public Service {
public:
    static constexpr std::string_view serviceName = "replicadirectory";
    std::string_view name() const final { return serviceName; }

    /** `keyPrefix` is where the entries stand; the rest of a key is the replica's id. `isStoreAway` tells what other calls
        show: a watch may outlive an outage without a failure of its own. */
    ReplicaDirectory(asio::io_context&, VersionedStore&, TimerService&, Log&, std::shared_ptr<LoadTracker>, std::string keyPrefix, ReplicaEntryDecoder, std::function<Duration()> watchPause, std::function<bool()> isStoreAway);

    void start() override;

    /** See StoreMirror::restartWatch(). */
    void restartWatch() { m_mirror->restartWatch(); }

    /** The usable replicas of a service in one stage, without the excluded ones. */
    std::vector<const ReplicaEntry*> usable(const ServiceId&, EngineStage, const std::set<ReplicaId>& excluded = {}) const;

    /** All engines of a service that do not leave, also those that carry out an order. */
    std::vector<const ReplicaEntry*> engines(const ServiceId&) const;

    const RegisteredReplica* find(const ReplicaId&) const;

    /** Replicas that began to leave in the last seconds. */
    std::vector<LeavingReplica> leaving() const;

    /** A peer knows that the replica leaves. */
    void peerSaysLeaving(const LeavingReplica&);

    /** Entries that the store has shown lately as new or changed, for daemons that do not watch closely. */
    std::vector<ReplicaEntry> changedEntries() const;

    /** A peer has read the entry from the store. */
    void peerSaysEntry(const ReplicaEntry&);

    /** Sends no work to a replica until its entry shows the stage that this daemon has ordered: it first lets running work
        end, which may take as long as its longest stream. */
    void pauseForOrder(const ReplicaId&, EngineStage);

    /** The order was refused or has been given up. */
    void endPause(const ReplicaId&);

    /** A peer says that the replica carries out an order; it gets no work until this news stops coming. */
    void peerSaysPaused(const PausedReplica&);

    /** Replicas that carry out an order, of this daemon or of a peer. */
    std::vector<PausedReplica> pausedReplicas() const;

    bool isEmpty() const { return m_registry.replicas.empty(); }

private:
    struct LeavingNews {
        LeavingReplica replica;
        TimePoint since;
    };
    /** An order of which a peer told. */
    struct Pause {
        uint64_t beat = 0;
        TimePoint until;
    };
    struct OrderedStage {
        EngineStage stage = EngineStage::None;
        TimePoint orderedAt;
    };

    /** The replicas of a service that may receive work and are wanted. */
    std::vector<const ReplicaEntry*> select(const ServiceId&, const std::function<bool(const ReplicaEntry&)>& isWanted) const;
    void onItem(const StoreItem&);
    /** Returns whether the entry changed something. */
    bool apply(const ReplicaEntry&, std::string_view cause);
    void onRemoval(const std::string& key);
    void noteLeaving(const ReplicaId&);
    bool isPaused(const ReplicaId&) const;
    void expireOrders();
    Duration removalGrace() const;
    void logChange(const ReplicaId&, std::string_view cause) const;

    TimerService& m_timers;
    Log& m_log;
    std::shared_ptr<LoadTracker> m_board;
    std::string m_keyPrefix;
    ReplicaEntryDecoder m_decode;
    std::function<bool()> m_isStoreAway;
    std::shared_ptr<StoreMirror> m_mirror;
    ReplicaRegistry m_registry;
    std::map<ReplicaId, LeavingNews> m_leaving;
    std::map<ReplicaId, TimePoint> m_changedAt; /**< by what the store has shown */
    std::map<ReplicaId, Pause> m_pauses;
    std::map<ReplicaId, OrderedStage> m_ordered;
    TimerSubscription m_expiryTimer;
};

std::string_view nameOf(ReplicaStatus);

} // namespace chestnut
