#include "decisions/replicas/ReplicaRegistry.h"

#include <tuple>

namespace chestnut {

namespace {

    bool differsBeyondHeartbeat(ReplicaEntry left, const ReplicaEntry& right)
    {
        left.heartbeat = right.heartbeat;
        return left != right;
    }

    void markGone(RegisteredReplica& replica, TimePoint now)
    {
        replica.status = ReplicaStatus::Removed;
        replica.goneSince = now;
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
    auto status = entry.isDraining ? ReplicaStatus::Draining : ReplicaStatus::Ready;
    auto [known, isNew] = registry.replicas.try_emplace(entry.id, RegisteredReplica { entry, status, {}, {} });
    if (isNew)
        return true;
    auto& replica = known->second;
    const auto& before = replica.entry;
    auto isSameStart = entry.startedAt == before.startedAt;
    if (std::tie(entry.startedAt, entry.heartbeat) < std::tie(before.startedAt, before.heartbeat))
        return false;
    auto isLeaving = replica.status == ReplicaStatus::Draining || before.isDraining;
    if (isSameStart && isLeaving && !entry.isDraining)
        return false;
    // The entry of a replica that is gone returns only with a newer heartbeat.
    if (isSameStart && replica.status == ReplicaStatus::Removed && entry.heartbeat == before.heartbeat)
        return false;
    auto hasChanged = replica.status != status || differsBeyondHeartbeat(before, entry);
    replica = { entry, status, {}, {} };
    return hasChanged;
}

bool applyRemoval(ReplicaRegistry& registry, const ReplicaId& id, TimePoint now, Duration grace)
{
    auto known = registry.replicas.find(id);
    if (known == registry.replicas.end() || known->second.status == ReplicaStatus::Removed || known->second.status == ReplicaStatus::Lapsed)
        return false;
    auto& replica = known->second;
    if (grace > Duration::zero() && replica.status == ReplicaStatus::Ready) {
        replica.status = ReplicaStatus::Lapsed;
        replica.lapsedUntil = now + grace;
    } else
        markGone(replica, now);
    return true;
}

bool applyLeavingReport(ReplicaRegistry& registry, const LeavingReplica& news, TimePoint now)
{
    auto known = registry.replicas.find(news.id);
    if (known == registry.replicas.end() || !mayReceiveWork(known->second))
        return false;
    const auto& entry = known->second.entry;
    if (std::tie(entry.startedAt, entry.heartbeat) > std::tie(news.startedAt, news.heartbeat))
        return false;
    if (news.isDraining)
        known->second.status = ReplicaStatus::Draining;
    else
        markGone(known->second, now);
    return true;
}

std::vector<ReplicaId> expireLapsed(ReplicaRegistry& registry, TimePoint now)
{
    std::vector<ReplicaId> gone;
    for (auto& [id, replica] : registry.replicas) {
        if (replica.status != ReplicaStatus::Lapsed || now < replica.lapsedUntil)
            continue;
        markGone(replica, now);
        gone.push_back(id);
    }
    return gone;
}

std::vector<ReplicaId> eraseRemoved(ReplicaRegistry& registry, TimePoint now)
{
    std::vector<ReplicaId> forgotten;
    std::erase_if(registry.replicas, [&](const auto& entry) {
        const auto& [id, replica] = entry;
        if (replica.status != ReplicaStatus::Removed || now - replica.goneSince < goneMemory)
            return false;
        forgotten.push_back(id);
        return true;
    });
    return forgotten;
}

bool mayReceiveWork(const RegisteredReplica& replica)
{
    return replica.status == ReplicaStatus::Ready || replica.status == ReplicaStatus::Lapsed;
}

} // namespace chestnut
