#include "claims/log/ShardReader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chestnut {

struct ShardReader::PendingRead {
    explicit PendingRead(const asio::any_io_executor& executor)
        : completion(executor, asio::steady_timer::time_point::max())
    {
    }

    asio::steady_timer completion; // cancelled when the read has ended
    bool isComplete = false;
};

ShardReader::ShardReader(ClaimDependencies dependencies, const ClaimLogId& id)
    : m_dependencies(std::move(dependencies))
    , m_id(id)
{
}

asio::awaitable<std::optional<ClaimEntry>> ShardReader::find(Digest id, Duration limit)
{
    auto self = shared_from_this();
    if (auto claim = findClaim(m_log, id))
        co_return *claim;
    auto pending = m_pendingRead;
    if (!pending) {
        pending = m_pendingRead = std::make_shared<PendingRead>(m_dependencies.executor);
        asio::co_spawn(m_dependencies.executor, run(self, pending), asio::detached);
    }
    auto deadline = m_dependencies.timers.now() + limit;
    auto timeout = m_dependencies.timers.once(limit, [pending] { pending->completion.cancel(); });
    while (!pending->isComplete && m_dependencies.timers.now() < deadline) {
        boost::system::error_code ignored;
        co_await pending->completion.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    auto found = findClaim(m_log, id);
    co_return found ? std::optional<ClaimEntry>(*found) : std::nullopt;
}

asio::awaitable<void> ShardReader::run(std::shared_ptr<ShardReader> self, std::shared_ptr<PendingRead> pending)
{
    auto& timers = self->m_dependencies.timers;
    while (self->m_isReading || timers.now() < self->m_nextRead)
        co_await timers.sleep(std::max<Duration>(std::chrono::milliseconds(10), self->m_nextRead - timers.now()));
    // Look-ups from here on wait for the next read, as their claims may be written after this one.
    self->m_pendingRead.reset();
    self->m_isReading = true;
    self->m_nextRead = timers.now() + readPeriod;
    if (self->m_isLoaded)
        co_await self->readTail();
    else
        co_await self->load();
    self->m_isReading = false;
    pending->isComplete = true;
    pending->completion.cancel();
}

asio::awaitable<void> ShardReader::load()
{
    m_log = {};
    for (uint64_t page = 0; m_log.next == page * claimPageRecords; ++page) {
        auto entries = co_await m_dependencies.store.list(claimPagePrefix(m_id, page));
        if (!entries)
            co_return;
        for (const auto& entry : *entries) {
            auto record = decodeRecord(entry.value);
            if (!record || entry.key != claimRecordKey(m_id, m_log.next))
                break;
            appendRecord(m_log, *record);
        }
    }
    m_isLoaded = true;
}

asio::awaitable<void> ShardReader::readTail()
{
    for (int count = 0; count < maximumRecords; ++count) {
        auto read = co_await m_dependencies.store.read(claimRecordKey(m_id, m_log.next));
        if (!read || !read->entry)
            co_return;
        auto record = decodeRecord(read->entry->value);
        if (!record)
            co_return;
        appendRecord(m_log, *record);
    }
}

} // namespace chestnut
