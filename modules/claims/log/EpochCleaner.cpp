#include "claims/log/EpochCleaner.h"

#include "kernel/tasks/ScopedFlag.h"

#include <algorithm>
#include <charconv>

namespace chestnut {

namespace {

    constexpr auto progressKey = "claims/cleaned_through";
    constexpr auto tombstoneClosed = "closed"; // records may still exist
    constexpr auto tombstoneCleaned = "cleaned"; // all records are removed

} // namespace

EpochCleaner::EpochCleaner(ClaimDependencies dependencies, IsResponsible isResponsible)
    : m_dependencies(std::move(dependencies))
    , m_isResponsible(std::move(isResponsible))
{
}

asio::awaitable<void> EpochCleaner::clean()
{
    auto self = shared_from_this();
    if (m_isRunning)
        co_return;
    ScopedFlag isRunning(m_isRunning);
    auto newest = claimEpochOf(m_dependencies.timers.wallClock());
    while (!isEpochClosable(newest, m_dependencies.timers.wallClock()))
        --newest;
    for (auto epoch = newest - recentEpochs + 1; epoch <= newest; ++epoch)
        co_await cleanEpoch(epoch);
    // Only the daemon responsible for the first shard checks the epochs older than the recent ones.
    if (m_isResponsible(newest, 0))
        co_await catchUp(newest - recentEpochs);
    std::erase_if(m_cleaned, [newest](const auto& shard) { return shard.first <= newest - recentEpochs; });
}

asio::awaitable<void> EpochCleaner::cleanEpoch(ClaimEpoch epoch)
{
    for (unsigned shard = 0; shard < claimShards; ++shard) {
        if (m_cleaned.contains({ epoch, shard }) || !m_isResponsible(epoch, shard))
            continue;
        if (co_await cleanShard(epoch, shard))
            m_cleaned.insert({ epoch, shard });
        co_await m_dependencies.timers.sleep(stepPeriod);
    }
}

asio::awaitable<void> EpochCleaner::catchUp(ClaimEpoch limit)
{
    auto progress = co_await m_dependencies.store.read(progressKey);
    if (!progress)
        co_return;
    if (progress->entry)
        co_await cleanOlder(*progress->entry, limit);
    else
        co_await m_dependencies.store.compareAndSwap(progressKey, std::to_string(limit), 0);
}

/** Cleans the first epoch after the recorded one. Handling one epoch a call limits the rate of calls to the service. */
asio::awaitable<void> EpochCleaner::cleanOlder(KeyValueEntry progress, ClaimEpoch limit)
{
    ClaimEpoch through = 0;
    auto end = progress.value.data() + progress.value.size();
    if (std::from_chars(progress.value.data(), end, through).ptr != end || through >= limit)
        co_return;
    for (unsigned shard = 0; shard < claimShards; ++shard) {
        if (shard > 0)
            co_await m_dependencies.timers.sleep(catchUpPeriod);
        if (auto cleaned = co_await cleanShard(through + 1, shard); !cleaned)
            co_return;
    }
    co_await m_dependencies.store.compareAndSwap(progressKey, std::to_string(through + 1), progress.modifyIndex);
}

asio::awaitable<Result<void>> EpochCleaner::cleanShard(ClaimEpoch epoch, unsigned shard)
{
    auto key = claimTombstoneKey(epoch, shard);
    auto tombstone = co_await m_dependencies.store.read(key);
    if (!tombstone)
        co_return tombstone.error();
    if (tombstone->entry && tombstone->entry->value == tombstoneCleaned)
        co_return Result<void>();
    if (!tombstone->entry) {
        auto closed = co_await m_dependencies.store.compareAndSwap(key, tombstoneClosed, 0);
        if (!closed)
            co_return closed.error();
        tombstone = co_await m_dependencies.store.read(key);
        if (!tombstone)
            co_return tombstone.error();
    }
    // Records are removed only after a read has found the tombstone.
    if (!tombstone->entry)
        co_return makeError(ErrorKind::PlatformConflict, "the tombstone is missing");
    if (auto removed = co_await m_dependencies.store.removePrefix(claimRecordPrefix(epoch, shard)); !removed)
        co_return removed.error();
    auto cleaned = co_await m_dependencies.store.compareAndSwap(key, tombstoneCleaned, tombstone->entry->modifyIndex);
    if (!cleaned)
        co_return cleaned.error();
    m_dependencies.log.write(EventId::ClaimEpochClosed, { { "epoch", epoch }, { "shard", shard } });
    co_return Result<void>();
}

} // namespace chestnut
