#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chestnut {

/** The stage of inference that a replica serves. */
enum class EngineStage : uint8_t {
    None, /**< a plain service */
    Prefill,
    Decode,
};

std::string_view nameOf(EngineStage);

/** One heartbeat of a replica, as stored in the key-value store. */
struct ReplicaEntry {
    ReplicaId id;
    ServiceId service;
    std::string address; /**< IP:PORT */
    AvailabilityZone zone;
    uint32_t slots = 1;
    bool isDraining = false;
    EngineStage stage = EngineStage::None;
    int64_t startedAt = 0; /**< Unix milliseconds; distinguishes process starts under one id */
    int64_t heartbeat = 0; /**< increases with each heartbeat of one start */
    bool isReclaimable = false; /**< the platform may take it away, together with all others of its zone */
    std::optional<Duration> leavesIn = std::nullopt; /**< time left at the heartbeat; absent while unknown */
    SoftwareVersion version; /**< of its software */

    bool operator==(const ReplicaEntry&) const = default;
};

/** Whether a replica may get new work. */
enum class ReplicaStatus : uint8_t {
    Ready,
    Draining,
    Lapsed, /**< its entry was removed around an outage of the store; it counts as ready until lapsedUntil */
    Removed,
};

struct RegisteredReplica {
    ReplicaEntry entry;
    ReplicaStatus status = ReplicaStatus::Ready;
    TimePoint lapsedUntil;
    TimePoint removedAt;

    bool operator==(const RegisteredReplica&) const = default;
};

/** The newest process start of a replica that has announced its departure. */
struct LeavingStart {
    int64_t startedAt = 0; /**< Unix milliseconds */
    TimePoint reportedAt; /**< last report */

    bool operator==(const LeavingStart&) const = default;
};

/** The registered replicas and the recently removed ones, which a late heartbeat must not make ready again. */
struct ReplicaRegistry {
    std::map<ReplicaId, RegisteredReplica> replicas;
    std::map<ReplicaId, LeavingStart> leavingStarts; /**< reported by the replicas themselves or by peers, whatever the store says */
};

/** Applies a heartbeat. Returns whether anything but the heartbeat number changed. A heartbeat that is older than the last
    one, or of a start that has announced its departure, never makes a replica ready again. */
bool applyEntry(ReplicaRegistry&, const ReplicaEntry&);

/** Applies the removal of an entry. With a grace time (after an outage of the store, during which entries lapse although
    their replicas live) a ready replica stays usable until it ends. Returns whether the replica's status changed. */
bool applyRemoval(ReplicaRegistry&, const ReplicaId&, TimePoint now, Duration grace);

/** A report of a replica that leaves, from the replica itself or from a peer. */
struct LeavingReplica {
    ReplicaId id;
    int64_t startedAt = 0; /**< of the start that leaves */
    int64_t heartbeat = 0; /**< last one before it left */
    bool isDraining = false; /**< it announced its departure; otherwise its entry was removed */
    std::optional<Duration> leavesIn = std::nullopt; /**< absent while unknown */

    bool operator==(const LeavingReplica&) const = default;
};

/** Applies a report. An announced departure holds for its process start and all earlier ones, whatever heartbeats follow.
    The report of a removal that is older than the present entry changes nothing: an entry that was removed and then
    written again must not be removed a second time. Returns whether the replica's status changed. */
bool applyLeavingReport(ReplicaRegistry&, const LeavingReplica&, TimePoint now);

/** Marks lapsed replicas as removed when their grace time has ended. Returns their ids. */
std::vector<ReplicaId> expireLapsed(ReplicaRegistry&, TimePoint now);

/** Erases replicas that were removed at least removedRetention ago, and announced departures of unregistered replicas after
    leavingRetention. Returns the ids of the erased replicas. */
std::vector<ReplicaId> eraseRemoved(ReplicaRegistry&, TimePoint now);
/** No heartbeat of a removed replica arrives later than this, although stores may respond some seconds late. */
constexpr Duration removedRetention = std::chrono::seconds(60);
/** No process serves for longer than this after it has announced its departure. */
constexpr Duration leavingRetention = std::chrono::minutes(10);

bool mayReceiveWork(const RegisteredReplica&);

} // namespace chestnut
