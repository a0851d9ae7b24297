#pragma once

#include "decisions/placement/PromptPlacement.h"
#include "decisions/replicas/ReplicaRegistry.h"
#include "gateway/replicas/LoadBoard.h"
#include "gateway/store/StoreMirror.h"

#include <functional>
#include <set>

namespace chestnut {

/** Reads the value of one replica's entry; ProtocolError when it names no replica that can be used. */
using ReplicaEntryDecoder = std::function<Result<ReplicaEntry>(const ReplicaId&, std::string_view value)>;

/** The replicas of all services, from their entries in the store and from what peers say of leaving ones. */
class ReplicaDirectory : public Service {
public:
    static constexpr std::string_view serviceName = "replicadirectory";
    std::string_view name() const final { return serviceName; }

    /** `keyPrefix` is where the entries stand; the rest of a key is the replica's id. */
    ReplicaDirectory(asio::io_context&, VersionedStore&, TimerService&, Log&, std::shared_ptr<LoadBoard>, std::string keyPrefix, ReplicaEntryDecoder);

    void start() override;

    /** The usable replicas of a service in one stage, without the excluded ones. */
    std::vector<const ReplicaEntry*> usable(const ServiceId&, EngineStage, const std::set<ReplicaId>& excluded = {}) const;

    /** All engines of a service that do not leave, also those that carry out an order. */
    std::vector<const ReplicaEntry*> engines(const ServiceId&) const;

    const KnownReplica* find(const ReplicaId&) const;

    /** Replicas that began to leave in the last seconds. */
    std::vector<ReplicaId> leaving() const;

    /** A peer knows that the replica leaves. */
    void peerSaysLeaving(const ReplicaId&);

    /** Sends no work to a replica until its entry shows the stage that this daemon has ordered: it first lets running work
        end, which may take as long as its longest stream. */
    void pauseForOrder(const ReplicaId&, EngineStage);

    /** The order was refused or has been given up. */
    void endPause(const ReplicaId&);

    /** Sends no work to a replica for this long: a peer says that it carries out an order. */
    void pause(const ReplicaId&, Duration);

    /** Replicas that carry out an order of this daemon. Pauses that peers told are left out, or daemons would prolong them
        for each other without end. */
    std::vector<ReplicaId> orderedPauses() const;

    bool isEmpty() const { return m_registry.replicas.empty(); }

private:
    void onItem(const StoreItem&);
    void onRemoval(const std::string& key);
    void noteLeaving(const ReplicaId&);
    bool isPaused(const ReplicaId&) const;
    void expireOrders();
    Duration removalGrace() const;
    void logChange(const ReplicaId&, std::string_view cause) const;

    TimerService& m_timers;
    Log& m_log;
    std::shared_ptr<LoadBoard> m_board;
    std::string m_keyPrefix;
    ReplicaEntryDecoder m_decode;
    std::shared_ptr<StoreMirror> m_mirror;
    ReplicaRegistry m_registry;
    std::map<ReplicaId, TimePoint> m_leaving;
    std::map<ReplicaId, TimePoint> m_pausedUntil;
    struct OrderedStage {
        EngineStage stage = EngineStage::None;
        TimePoint orderedAt;
    };
    std::map<ReplicaId, OrderedStage> m_ordered;
    TimerSubscription m_expiryTimer;
};

std::string_view nameOf(ReplicaStatus);

} // namespace chestnut
