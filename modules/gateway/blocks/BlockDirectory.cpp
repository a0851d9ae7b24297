#include "gateway/blocks/BlockDirectory.h"

#include "gateway/blocks/BlockCodec.h"
#include "kernel/tasks/BackgroundTask.h"

namespace chestnut {

namespace {

    constexpr std::string_view keyPrefix = "chestnutroute/blocks/";
    constexpr Duration checkPeriod = std::chrono::milliseconds(500);
    /** Multiplied by the number of daemons. A write ends the waiting watches of the others at once; a daemon that pauses between two
        watches may try the same write, which fails with a conflict. */
    constexpr Duration writeSpread = std::chrono::milliseconds(100);

    std::string keyOf(const BlockSubject& subject)
    {
        return std::string(keyPrefix) + encodeBlockSubject(subject);
    }

} // namespace

BlockDirectory::BlockDirectory(asio::io_context& context, VersionedStore& store, TimerService& timers, Log& log, std::shared_ptr<StoreMirror> mirror, CrashTracker& crashTracker, std::function<uint32_t()> daemons)
    : m_context(context)
    , m_store(store)
    , m_timers(timers)
    , m_log(log)
    , m_mirror(std::move(mirror))
    , m_crashTracker(crashTracker)
    , m_daemons(std::move(daemons))
{
    m_mirror->subscribe(std::string(keyPrefix), { [this](const StoreItem& item) { onItem(item); }, [this](const std::string& key) { onRemoval(key); } });
}

void BlockDirectory::start()
{
    spawnPermanentTask(m_context.get_executor(), m_timers, m_log, "blocks", [this] { return writeBlocks(); });
}

asio::awaitable<void> BlockDirectory::writeBlocks()
{
    while (true) {
        co_await m_timers.sleep(checkPeriod);
        auto& table = m_crashTracker.sharedBlocks();
        expireSharedBlocks(table, m_timers.now());
        addObserved();
        // The writes stay due, so that they follow as soon as the store is back.
        if (m_mirror->isFailing())
            continue;
        for (const auto& due : takeDueWrites(table, m_timers.now(), m_timers.wallClock()))
            co_await write(due);
    }
}

void BlockDirectory::addObserved()
{
    auto refused = addObservedBlocks(m_crashTracker.sharedBlocks(), m_crashTracker.observedBlocks(), m_timers.now(), writeDelay());
    if (refused > m_refused)
        m_log.write(EventId::BlockNotStored, { { "blocks", refused }, { "detail", "there are too many blocks" } });
    m_refused = refused;
}

Duration BlockDirectory::writeDelay()
{
    std::uniform_int_distribution<Duration::rep> spread(0, (writeSpread * m_daemons()).count());
    return Duration(spread(m_random));
}

asio::awaitable<void> BlockDirectory::write(BlockWrite due)
{
    auto key = keyOf(due.subject);
    auto lease = co_await m_store.grantLease(due.timeLeft);
    if (!lease) {
        m_log.write(EventId::BlockNotStored, { { "key", key }, { "kind", describe(lease.error().kind).name }, { "detail", lease.error().detail } });
        co_return;
    }
    auto revision = co_await m_store.transact({ { key, due.revision } }, { { key, encodeStoredBlock(due.block), lease->id } }, {});
    if (revision) {
        applyWrittenBlock(m_crashTracker.sharedBlocks(), due.subject, *revision);
        m_log.write(EventId::BlockStored, { { "key", key }, { "crashes", due.block.crashes }, { "released", due.block.isReleased ? 1 : 0 }, { "left_s", due.timeLeft / std::chrono::seconds(1) } });
        co_return;
    }
    m_log.write(EventId::BlockNotStored, { { "key", key }, { "kind", describe(revision.error().kind).name }, { "detail", revision.error().detail } });
    if (revision.error().kind != ErrorKind::PlatformConflict)
        co_return;
    // Another daemon was first; the mirror receives its block.
    applyWrittenBlock(m_crashTracker.sharedBlocks(), due.subject, std::nullopt);
    if (auto ended = co_await m_store.endLease(*lease); !ended)
        m_log.write(EventId::BlockNotStored, { { "key", key }, { "detail", "the unused lease lasts until its time: " + ended.error().detail } });
}

void BlockDirectory::logUnreadable(const std::string& key, const Error& error) const
{
    m_log.write(EventId::StoreEntryUnreadable, { { "key", key }, { "detail", error.detail } });
}

void BlockDirectory::onItem(const StoreItem& item)
{
    auto subject = decodeBlockSubject(std::string_view(item.key).substr(keyPrefix.size()));
    if (!subject)
        return logUnreadable(item.key, subject.error());
    auto block = decodeStoredBlock(item.value);
    if (!block)
        return logUnreadable(item.key, block.error());
    applyStoredBlock(m_crashTracker.sharedBlocks(), *subject, *block, item.revision, m_timers.now(), m_timers.wallClock());
    m_log.write(EventId::BlockApplied, { { "key", item.key }, { "crashes", block->crashes }, { "released", block->isReleased ? 1 : 0 }, { "revision", item.revision } });
}

void BlockDirectory::onRemoval(const std::string& key)
{
    if (auto subject = decodeBlockSubject(std::string_view(key).substr(keyPrefix.size())))
        applyMissingBlock(m_crashTracker.sharedBlocks(), *subject, m_timers.now(), writeDelay());
}

} // namespace chestnut
