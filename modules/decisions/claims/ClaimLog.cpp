#include "decisions/claims/ClaimLog.h"

#include <unordered_set>

namespace chestnut {

void appendRecord(ClaimLog& log, const ClaimRecord& record)
{
    for (const auto& entry : record.entries)
        log.claims.try_emplace(entry.id, entry);
    ++log.next;
}

std::optional<ClaimEntry> findClaim(const ClaimLog& log, const Digest& id)
{
    auto found = log.claims.find(id);
    if (found == log.claims.end())
        return std::nullopt;
    return found->second;
}

ClaimOutcome classifyClaim(const ClaimEntry& winning, const ClaimEntry& own)
{
    if (winning.nonce == own.nonce)
        return ClaimOutcome::Granted;
    return winning.content == own.content ? ClaimOutcome::AlreadyClaimed : ClaimOutcome::OtherContent;
}

RecordWriteOutcome classifyRecordWrite(const Digest& nonce, const std::optional<ClaimRecord>& found, bool isClosed)
{
    if (found)
        return found->nonce == nonce ? RecordWriteOutcome::Written : RecordWriteOutcome::Superseded;
    return isClosed ? RecordWriteOutcome::Closed : RecordWriteOutcome::Absent;
}

std::vector<ClaimEntry> buildBatch(const ClaimLog& log, std::span<const ClaimEntry> waiting, size_t maximumBytes, size_t maximumEntries)
{
    std::vector<ClaimEntry> batch;
    std::unordered_set<Digest> taken;
    size_t bytes = 0;
    for (const auto& entry : waiting) {
        if (log.claims.contains(entry.id) || taken.contains(entry.id))
            continue;
        bytes += entryBytes + entry.holder.value().size();
        if (bytes > maximumBytes || batch.size() == maximumEntries)
            break;
        taken.insert(entry.id);
        batch.push_back(entry);
    }
    return batch;
}

} // namespace chestnut
