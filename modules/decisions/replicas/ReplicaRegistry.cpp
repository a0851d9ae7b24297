#include "decisions/replicas/ReplicaRegistry.h"

#include <tuple>

namespace chestnut {

namespace {

    bool differsBeyondHeartbeat(ReplicaEntry left, const ReplicaEntry& right)
    {
        left.heartbeat = right.heartbeat;
        return left != right;
    }

    bool hasAnnouncedDeparture(const ReplicaRegistry& registry, const ReplicaEntry& entry)
    {
        auto leaving = registry.leavingStarts.find(entry.id);
        return leaving != registry.leavingStarts.end() && entry.startedAt <= leaving->second.startedAt;
    }

    void recordLeavingStart(ReplicaRegistry& registry, const LeavingReplica& report, TimePoint now)
    {
        auto [present, isNew] = registry.leavingStarts.try_emplace(report.id, LeavingStart { report.startedAt, now });
        if (!isNew && report.startedAt >= present->second.startedAt)
            present->second = { report.startedAt, now };
    }

    /** Whether the entry was removed with a grace time. A departure that is announced in it does not end that. */
    bool isLapsed(const RegisteredReplica& replica)
    {
        return replica.status == ReplicaStatus::Lapsed || (replica.status == ReplicaStatus::Draining && replica.lapsedUntil != TimePoint());
    }

    void markRemoved(RegisteredReplica& replica, TimePoint now)
    {
        replica.status = ReplicaStatus::Removed;
        replica.removedAt = now;
    }

} // namespace

std::string_view nameOf(EngineStage stage)
{
    switch (stage) {
    case EngineStage::None:
        return "none";
    case EngineStage::Prefill:
        return "prefill";
    case EngineStage::Decode:
        return "decode";
    }
    return "none";
}

bool applyEntry(ReplicaRegistry& registry, const ReplicaEntry& entry)
{
    auto hasAnnounced = hasAnnouncedDeparture(registry, entry);
    auto status = entry.isDraining || hasAnnounced ? ReplicaStatus::Draining : ReplicaStatus::Ready;
    auto [present, isNew] = registry.replicas.try_emplace(entry.id, RegisteredReplica { entry, status, {}, {} });
    if (isNew)
        return true;
    auto& replica = present->second;
    const auto& before = replica.entry;
    auto isSameStart = entry.startedAt == before.startedAt;
    if (std::tie(entry.startedAt, entry.heartbeat) < std::tie(before.startedAt, before.heartbeat))
        return false;
    auto isLeaving = replica.status == ReplicaStatus::Draining || before.isDraining || hasAnnounced;
    if (isSameStart && isLeaving && !entry.isDraining)
        return false;
    // A removed replica becomes ready again only with a newer heartbeat.
    if (isSameStart && replica.status == ReplicaStatus::Removed && entry.heartbeat == before.heartbeat)
        return false;
    auto hasChanged = replica.status != status || differsBeyondHeartbeat(before, entry);
    replica = { entry, status, {}, {} };
    return hasChanged;
}

bool applyRemoval(ReplicaRegistry& registry, const ReplicaId& id, TimePoint now, Duration grace)
{
    auto present = registry.replicas.find(id);
    if (present == registry.replicas.end() || present->second.status == ReplicaStatus::Removed || present->second.status == ReplicaStatus::Lapsed)
        return false;
    auto& replica = present->second;
    if (grace > Duration::zero() && replica.status == ReplicaStatus::Ready) {
        replica.status = ReplicaStatus::Lapsed;
        replica.lapsedUntil = now + grace;
    } else
        markRemoved(replica, now);
    return true;
}

bool applyLeavingReport(ReplicaRegistry& registry, const LeavingReplica& report, TimePoint now)
{
    if (report.isDraining)
        recordLeavingStart(registry, report, now);
    auto present = registry.replicas.find(report.id);
    if (present == registry.replicas.end() || !mayReceiveWork(present->second))
        return false;
    auto& replica = present->second;
    const auto& entry = replica.entry;
    if (report.isDraining) {
        if (entry.startedAt > report.startedAt)
            return false;
        replica.status = ReplicaStatus::Draining;
        return true;
    }
    if (std::tie(entry.startedAt, entry.heartbeat) > std::tie(report.startedAt, report.heartbeat))
        return false;
    markRemoved(replica, now);
    return true;
}

std::vector<ReplicaId> expireLapsed(ReplicaRegistry& registry, TimePoint now)
{
    std::vector<ReplicaId> expired;
    for (auto& [id, replica] : registry.replicas) {
        if (!isLapsed(replica) || now < replica.lapsedUntil)
            continue;
        markRemoved(replica, now);
        expired.push_back(id);
    }
    return expired;
}

std::vector<ReplicaId> eraseRemoved(ReplicaRegistry& registry, TimePoint now)
{
    std::vector<ReplicaId> erased;
    std::erase_if(registry.replicas, [&](const auto& entry) {
        const auto& [id, replica] = entry;
        if (replica.status != ReplicaStatus::Removed || now - replica.removedAt < removedRetention)
            return false;
        erased.push_back(id);
        return true;
    });
    std::erase_if(registry.leavingStarts, [&](const auto& entry) {
        const auto& [id, leaving] = entry;
        return !registry.replicas.contains(id) && now - leaving.reportedAt >= leavingRetention;
    });
    return erased;
}

bool mayReceiveWork(const RegisteredReplica& replica)
{
    return replica.status == ReplicaStatus::Ready || replica.status == ReplicaStatus::Lapsed;
}

} // namespace chestnut
