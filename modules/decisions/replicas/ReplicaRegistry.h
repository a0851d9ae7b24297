#pragma once

#include "base/ids/StrongId.h"
#include "base/time/TimePoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chestnut {

/** The part of the work of an engine that a replica does. */
enum class EngineStage : uint8_t {
    None, /**< a plain service */
    Prefill,
    Decode,
};

std::string_view nameOf(EngineStage);

/** One heartbeat of a replica, as it stands in the store. */
struct ReplicaEntry {
    ReplicaId id;
    ServiceId service;
    std::string address; /**< IP:PORT */
    AvailabilityZone zone;
    uint32_t slots = 1;
    bool isDraining = false;
    EngineStage stage = EngineStage::None;
    int64_t startedAt = 0; /**< Unix milliseconds; distinguishes starts under one id */
    int64_t heartbeat = 0; /**< grows with each heartbeat of one start */

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
    TimePoint goneSince;

    bool operator==(const RegisteredReplica&) const = default;
};

/** The replicas that were seen, also those that went lately: a late heartbeat must not revive them. */
struct ReplicaRegistry {
    std::map<ReplicaId, RegisteredReplica> replicas;
};

/** Applies a heartbeat. Returns whether anything but the heartbeat number changed. A heartbeat that is older than the last
    one, or of a start that has announced its leaving, never makes a replica ready again. */
bool applyEntry(ReplicaRegistry&, const ReplicaEntry&);

/** Applies the removal of an entry. With a grace time (after an outage of the store, during which entries lapse although
    their replicas live) a ready replica stays usable until it ends. Returns whether the replica's status changed. */
bool applyRemoval(ReplicaRegistry&, const ReplicaId&, TimePoint now, Duration grace);

/** What another daemon has seen of a replica that leaves. */
struct LeavingReplica {
    ReplicaId id;
    int64_t startedAt = 0; /**< of the start that leaves */
    int64_t heartbeat = 0; /**< last one before it left */
    bool isDraining = false; /**< it announced its leaving; otherwise its entry was removed */

    bool operator==(const LeavingReplica&) const = default;
};

/** Applies what another daemon has seen. News that is older than the known entry changes nothing: an entry that was removed
    and is back must not disappear again. Returns whether the replica's status changed. */
bool applyLeavingReport(ReplicaRegistry&, const LeavingReplica&, TimePoint now);

/** Marks lapsed replicas as gone whose grace time has ended. Returns their ids. */
std::vector<ReplicaId> expireLapsed(ReplicaRegistry&, TimePoint now);

/** Removes replicas that went longer than goneMemory ago. Returns their ids. */
std::vector<ReplicaId> eraseRemoved(ReplicaRegistry&, TimePoint now);
/** No heartbeat of a replica that is gone comes later; stores answer calls some seconds late. */
constexpr Duration goneMemory = std::chrono::seconds(60);

bool mayReceiveWork(const RegisteredReplica&);

} // namespace chestnut
