#include "decisions/quarantine/SharedBlocks.h"

#include <algorithm>

namespace chestnut {

namespace {

    /** As long as the crashes themselves are counted. */
    constexpr Duration contentBlockLifetime = std::chrono::minutes(5);
    /** Stores grant leases for ten minutes at most. Daemons that know the crashes write a block again while they count them. */
    constexpr Duration partBlockLifetime = std::chrono::minutes(10);
    /** A replica that responds within a second after a loss has not crashed; its response may arrive somewhat later. */
    constexpr Duration settleTime = std::chrono::seconds(2);
    /** A block that lasts longer by less than this is not written again. */
    constexpr Duration leastExtension = std::chrono::seconds(10);
    /** A block that ends sooner is not written: its key may just have expired. */
    constexpr Duration leastTimeLeft = std::chrono::seconds(5);
    constexpr Duration retryTime = std::chrono::seconds(1);

    Duration lifetimeOf(const BlockSubject& subject)
    {
        return std::holds_alternative<Digest>(subject) ? contentBlockLifetime : partBlockLifetime;
    }

} // namespace

void applyStoredBlock(SharedBlockTable& table, const BlockSubject& subject, const StoredBlock& stored, uint64_t revision, TimePoint now, UnixSeconds wallClock)
{
    // The clocks of the daemons differ, so that a block could seem to last for longer than a new one.
    auto longest = std::chrono::ceil<UnixSeconds>(lifetimeOf(subject));
    auto timeLeft = std::clamp(stored.until - wallClock, UnixSeconds::zero(), longest);
    table.blocks[subject] = { stored.crashes, now + timeLeft, stored.isReleased, revision, std::nullopt };
}

void applyMissingBlock(SharedBlockTable& table, const BlockSubject& subject, TimePoint now, Duration writeDelay)
{
    auto entry = table.blocks.find(subject);
    if (entry == table.blocks.end())
        return;
    auto& block = entry->second;
    block.revision = 0;
    if (!block.isReleased && block.until - now >= leastTimeLeft)
        block.writeAt = now + writeDelay;
}

size_t addObservedBlocks(SharedBlockTable& table, std::span<const ObservedBlock> observed, TimePoint now, Duration writeDelay)
{
    size_t refused = 0;
    for (const auto& [subject, crashes, lastCrash] : observed) {
        auto until = lastCrash + lifetimeOf(subject);
        auto entry = table.blocks.find(subject);
        // A released block stays so unless there is a later crash: this daemon may not know of the response that released it.
        auto isKnown = entry != table.blocks.end() && until < entry->second.until + leastExtension;
        if (isKnown || now - lastCrash < settleTime || until - now < leastTimeLeft)
            continue;
        if (entry == table.blocks.end() && table.blocks.size() >= table.maximumBlocks) {
            ++refused;
            continue;
        }
        auto& block = table.blocks[subject];
        block = { crashes, until, false, block.revision, now + writeDelay };
    }
    return refused;
}

void releaseSharedBlock(SharedBlockTable& table, const BlockSubject& subject, TimePoint answeredAt, std::optional<TimePoint> writeAt)
{
    auto entry = table.blocks.find(subject);
    if (entry == table.blocks.end() || entry->second.isReleased || answeredAt < lastCrashOf(subject, entry->second))
        return;
    auto& block = entry->second;
    block.isReleased = true;
    // A block that was never written needs no release in the store.
    block.writeAt = block.revision == 0 ? std::nullopt : writeAt;
}

const SharedBlock* findSharedBlock(const SharedBlockTable& table, const BlockSubject& subject, TimePoint now)
{
    auto entry = table.blocks.find(subject);
    auto applies = entry != table.blocks.end() && !entry->second.isReleased && now < entry->second.until;
    return applies ? &entry->second : nullptr;
}

TimePoint lastCrashOf(const BlockSubject& subject, const SharedBlock& block)
{
    return block.until - lifetimeOf(subject);
}

std::vector<BlockWrite> takeDueWrites(SharedBlockTable& table, TimePoint now, UnixSeconds wallClock)
{
    std::vector<BlockWrite> writes;
    for (auto& [subject, block] : table.blocks) {
        if (!block.writeAt || now < *block.writeAt)
            continue;
        auto timeLeft = std::max(block.until - now, leastTimeLeft);
        StoredBlock stored { block.crashes, wallClock + std::chrono::ceil<UnixSeconds>(timeLeft), block.isReleased };
        writes.push_back({ subject, stored, timeLeft, block.revision });
        block.writeAt = now + retryTime;
    }
    return writes;
}

void applyWrittenBlock(SharedBlockTable& table, const BlockSubject& subject, std::optional<uint64_t> revision)
{
    auto entry = table.blocks.find(subject);
    if (entry == table.blocks.end())
        return;
    entry->second.writeAt.reset();
    entry->second.revision = revision.value_or(entry->second.revision);
}

bool hasContents(const SharedBlockTable& table)
{
    // Contents sort before prompt parts.
    return !table.blocks.empty() && std::holds_alternative<Digest>(table.blocks.begin()->first);
}

void expireSharedBlocks(SharedBlockTable& table, TimePoint now)
{
    std::erase_if(table.blocks, [now](const auto& entry) { return now >= entry.second.until; });
}

} // namespace chestnut
