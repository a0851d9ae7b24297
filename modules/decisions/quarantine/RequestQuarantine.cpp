#include "decisions/quarantine/RequestQuarantine.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** Two failed connections to one crashed replica within this time are one loss. */
    constexpr Duration sameLossTime = std::chrono::seconds(2);

    bool isCurrent(const LossHistory& history, TimePoint now)
    {
        return now - history.lastLoss < quarantineTime;
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

    void addLoss(LossHistory& history, const ReplicaId& replica, TimePoint now)
    {
        auto isNew = history.lostReplicas.insert(replica).second;
        // A replica that restarted and was lost again counts as a further loss. It is stored under a changed id, so that
        // merging the sets of lost replicas remains idempotent.
        if (!isNew && now - history.lastLoss > sameLossTime)
            history.lostReplicas.insert(ReplicaId(replica.value() + "#again"));
        history.lastLoss = now;
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
        auto& history = table.lossHistories[digest];
        addLoss(history, replica, now);
        history.ranAlone = history.ranAlone || running.size() == 1;
    }
    dropOldest(table);
}

void recordCompletion(QuarantineTable& table, const Digest& digest)
{
    table.lossHistories.erase(digest);
}

void mergeLossHistory(QuarantineTable& table, const Digest& digest, const LossHistory& history, TimePoint now)
{
    if (!isCurrent(history, now))
        return;
    auto& own = table.lossHistories[digest];
    own.lostReplicas.insert(history.lostReplicas.begin(), history.lostReplicas.end());
    own.lastLoss = std::max(own.lastLoss, std::min(history.lastLoss, now));
    own.ranAlone = own.ranAlone || history.ranAlone;
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
