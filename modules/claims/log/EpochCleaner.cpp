#include "claims/log/EpochCleaner.h"

#include <algorithm>
#include <charconv>

namespace chestnut {

namespace {

    constexpr auto progressKey = "claims/cleaned_through";
    constexpr auto tombstoneClosed = "closed"; // records may remain
    constexpr auto tombstoneCleaned = "cleaned"; // the records are removed

} // namespace

EpochCleaner::EpochCleaner(ClaimDependencies environment, IsResponsible isResponsible)
    : m_environment(std::move(environment))
    , m_isResponsible(std::move(isResponsible))
{
}

asio::awaitable<void> EpochCleaner::clean()
{
    auto self = shared_from_this();
    if (m_isRunning)
        co_return;
    m_isRunning = true;
    auto newest = claimEpochOf(m_environment.timers.wallClock());
    while (!isEpochClosable(newest, m_environment.timers.wallClock()))
        --newest;
    for (auto epoch = newest - lookBack + 1; epoch <= newest; ++epoch)
        co_await cleanEpoch(epoch);
    // One daemon, the one responsible for the first shard, checks the epochs that the others no longer look at.
    if (m_isResponsible(newest, 0))
        co_await catchUp(newest - lookBack);
    std::erase_if(m_cleaned, [newest](const auto& shard) { return shard.first <= newest - lookBack; });
    m_isRunning = false;
}

asio::awaitable<void> EpochCleaner::cleanEpoch(ClaimEpoch epoch)
{
    for (unsigned shard = 0; shard < claimShards; ++shard) {
        if (m_cleaned.contains({ epoch, shard }) || !m_isResponsible(epoch, shard))
            continue;
        if (co_await cleanShard(epoch, shard))
            m_cleaned.insert({ epoch, shard });
        co_await m_environment.timers.sleep(stepPeriod);
    }
}

asio::awaitable<void> EpochCleaner::catchUp(ClaimEpoch limit)
{
    auto progress = co_await m_environment.store.read(progressKey);
    if (!progress)
        co_return;
    if (progress->entry)
        co_await cleanOlder(*progress->entry, limit);
    else
        co_await m_environment.store.compareAndSwap(progressKey, std::to_string(limit), 0);
}

/** Cleans the epoch after the recorded one. Each call handles one epoch, which bounds the rate of calls. */
asio::awaitable<void> EpochCleaner::cleanOlder(KeyValueEntry progress, ClaimEpoch limit)
{
    ClaimEpoch through = 0;
    auto end = progress.value.data() + progress.value.size();
    if (std::from_chars(progress.value.data(), end, through).ptr != end || through >= limit)
        co_return;
    for (unsigned shard = 0; shard < claimShards; ++shard) {
        if (shard > 0)
            co_await m_environment.timers.sleep(catchUpPeriod);
        if (auto cleaned = co_await cleanShard(through + 1, shard); !cleaned)
            co_return;
    }
    co_await m_environment.store.compareAndSwap(progressKey, std::to_string(through + 1), progress.modifyIndex);
}

asio::awaitable<Result<void>> EpochCleaner::cleanShard(ClaimEpoch epoch, unsigned shard)
{
    auto key = claimTombstoneKey(epoch, shard);
    auto tombstone = co_await m_environment.store.read(key);
    if (!tombstone)
        co_return tombstone.error();
    if (tombstone->entry && tombstone->entry->value == tombstoneCleaned)
        co_return Result<void>();
    if (!tombstone->entry) {
        auto closed = co_await m_environment.store.compareAndSwap(key, tombstoneClosed, 0);
        if (!closed)
            co_return closed.error();
        tombstone = co_await m_environment.store.read(key);
        if (!tombstone)
            co_return tombstone.error();
    }
    // Only a tombstone that was seen allows the removal.
    if (!tombstone->entry)
        co_return makeError(ErrorKind::PlatformConflict, "the tombstone is missing");
    if (auto removed = co_await m_environment.store.removePrefix(claimRecordPrefix(epoch, shard)); !removed)
        co_return removed.error();
    auto cleaned = co_await m_environment.store.compareAndSwap(key, tombstoneCleaned, tombstone->entry->modifyIndex);
    if (!cleaned)
        co_return cleaned.error();
    m_environment.log.write(EventId::ClaimEpochClosed, { { "epoch", epoch }, { "shard", shard } });
    co_return Result<void>();
}

} // namespace chestnut
