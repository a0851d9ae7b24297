#include "decisions/suspects/Suspects.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Two failed connections to one crashed replica within this time are one loss. */
    constexpr Duration sameLossTime = std::chrono::seconds(2);

    bool isCurrent(const Suspicion& suspicion, TimePoint now)
    {
        return now - suspicion.lastLoss < quarantineTime;
    }

    bool hasCommonLoss(const Suspicion& left, const Suspicion& right)
    {
        return std::ranges::any_of(left.lostReplicas, [&](const ReplicaId& id) { return right.lostReplicas.contains(id); });
    }

    /** Clears requests whose only loss is explained by another request that ran there and is now part of a further
        loss. An unrelated loss clears nothing, so that a poison request is not cleared by chance. */
    void clearExplainedLosses(SuspectTable& table, std::span<const Digest> running)
    {
        for (const auto& digest : running) {
            auto repeated = table.suspicions.find(digest);
            if (repeated == table.suspicions.end())
                continue;
            auto cause = repeated->second;
            std::erase_if(table.suspicions, [&](const auto& entry) {
                auto ranBeside = !entry.second.ranAlone && entry.second.lostReplicas.size() < lossesToQuarantine;
                auto isRunning = std::ranges::find(running, entry.first) != running.end();
                return ranBeside && !isRunning && hasCommonLoss(entry.second, cause);
            });
        }
    }

    void addLoss(Suspicion& suspicion, const ReplicaId& replica, TimePoint now)
    {
        auto isNew = suspicion.lostReplicas.insert(replica).second;
        // A replica that restarted and was lost again counts as a further loss; the set keeps merging idempotent.
        if (!isNew && now - suspicion.lastLoss > sameLossTime)
            suspicion.lostReplicas.insert(ReplicaId(replica.value() + "#again"));
        suspicion.lastLoss = now;
    }

    void dropOldest(SuspectTable& table)
    {
        while (table.suspicions.size() > table.maximumEntries) {
            auto oldest = std::ranges::min_element(table.suspicions, {}, [](const auto& entry) { return entry.second.lastLoss; });
            table.suspicions.erase(oldest);
        }
    }

} // namespace

void recordLoss(SuspectTable& table, const ReplicaId& replica, std::span<const Digest> running, TimePoint now)
{
    expireSuspicions(table, now);
    clearExplainedLosses(table, running);
    for (const auto& digest : running) {
        auto& suspicion = table.suspicions[digest];
        addLoss(suspicion, replica, now);
        suspicion.ranAlone = suspicion.ranAlone || running.size() == 1;
    }
    dropOldest(table);
}

void recordCompletion(SuspectTable& table, const Digest& digest)
{
    table.suspicions.erase(digest);
}

void mergeSuspicion(SuspectTable& table, const Digest& digest, const Suspicion& suspicion, TimePoint now)
{
    if (!isCurrent(suspicion, now))
        return;
    auto& own = table.suspicions[digest];
    own.lostReplicas.insert(suspicion.lostReplicas.begin(), suspicion.lostReplicas.end());
    own.lastLoss = std::max(own.lastLoss, std::min(suspicion.lastLoss, now));
    own.ranAlone = own.ranAlone || suspicion.ranAlone;
    dropOldest(table);
}

bool isQuarantined(const SuspectTable& table, const Digest& digest, TimePoint now)
{
    auto entry = table.suspicions.find(digest);
    return entry != table.suspicions.end() && isCurrent(entry->second, now)
        && entry->second.lostReplicas.size() >= lossesToQuarantine;
}

bool mustRunIsolated(const SuspectTable& table, const Digest& digest, TimePoint now)
{
    auto entry = table.suspicions.find(digest);
    return entry != table.suspicions.end() && isCurrent(entry->second, now);
}

void expireSuspicions(SuspectTable& table, TimePoint now)
{
    std::erase_if(table.suspicions, [now](const auto& entry) { return !isCurrent(entry.second, now); });
}

} // namespace chestnut
