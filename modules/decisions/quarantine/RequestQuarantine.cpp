#include "decisions/quarantine/RequestQuarantine.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Two failed connections to one crashed replica within this time are one loss. */
    constexpr Duration sameLossTime = std::chrono::seconds(2);

    bool isCurrent(const LossHistory& suspicion, TimePoint now)
    {
        return now - suspicion.lastLoss < quarantineTime;
    }

    bool hasCommonLoss(const LossHistory& left, const LossHistory& right)
    {
        return std::ranges::any_of(left.lostReplicas, [&](const ReplicaId& id) { return right.lostReplicas.contains(id); });
    }

    /** Clears requests whose only loss is explained by another request that ran there and is now part of a further
        loss. An unrelated loss clears nothing, so that a poison request is not cleared by chance. */
    void clearExplainedLosses(QuarantineTable& table, std::span<const Digest> running)
    {
        for (const auto& digest : running) {
            auto repeated = table.lossHistories.find(digest);
            if (repeated == table.lossHistories.end())
                continue;
            auto cause = repeated->second;
            std::erase_if(table.lossHistories, [&](const auto& entry) {
                auto ranBeside = !entry.second.ranAlone && entry.second.lostReplicas.size() < lossesToQuarantine;
                auto isRunning = std::ranges::find(running, entry.first) != running.end();
                return ranBeside && !isRunning && hasCommonLoss(entry.second, cause);
            });
        }
    }

    void addLoss(LossHistory& suspicion, const ReplicaId& replica, TimePoint now)
    {
        auto isNew = suspicion.lostReplicas.insert(replica).second;
        // A replica that restarted and was lost again counts as a further loss; the set keeps merging idempotent.
        if (!isNew && now - suspicion.lastLoss > sameLossTime)
            suspicion.lostReplicas.insert(ReplicaId(replica.value() + "#again"));
        suspicion.lastLoss = now;
    }

    void dropOldest(QuarantineTable& table)
    {
        while (table.lossHistories.size() > table.maximumEntries) {
            auto oldest = std::ranges::min_element(table.lossHistories, {}, [](const auto& entry) { return entry.second.lastLoss; });
            table.lossHistories.erase(oldest);
        }
    }

} // namespace

void recordLoss(QuarantineTable& table, const ReplicaId& replica, std::span<const Digest> running, TimePoint now)
{
    expireLossHistories(table, now);
    clearExplainedLosses(table, running);
    for (const auto& digest : running) {
        auto& suspicion = table.lossHistories[digest];
        addLoss(suspicion, replica, now);
        suspicion.ranAlone = suspicion.ranAlone || running.size() == 1;
    }
    dropOldest(table);
}

void recordCompletion(QuarantineTable& table, const Digest& digest)
{
    table.lossHistories.erase(digest);
}

void mergeLossHistory(QuarantineTable& table, const Digest& digest, const LossHistory& suspicion, TimePoint now)
{
    if (!isCurrent(suspicion, now))
        return;
    auto& own = table.lossHistories[digest];
    own.lostReplicas.insert(suspicion.lostReplicas.begin(), suspicion.lostReplicas.end());
    own.lastLoss = std::max(own.lastLoss, std::min(suspicion.lastLoss, now));
    own.ranAlone = own.ranAlone || suspicion.ranAlone;
    dropOldest(table);
}

bool isQuarantined(const QuarantineTable& table, const Digest& digest, TimePoint now)
{
    auto entry = table.lossHistories.find(digest);
    return entry != table.lossHistories.end() && isCurrent(entry->second, now)
        && entry->second.lostReplicas.size() >= lossesToQuarantine;
}

bool mustRunIsolated(const QuarantineTable& table, const Digest& digest, TimePoint now)
{
    auto entry = table.lossHistories.find(digest);
    return entry != table.lossHistories.end() && isCurrent(entry->second, now);
}

void expireLossHistories(QuarantineTable& table, TimePoint now)
{
    std::erase_if(table.lossHistories, [now](const auto& entry) { return !isCurrent(entry.second, now); });
}

} // namespace chestnut
