#include "claims/log/ShardReader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chestnut {

struct ShardReader::Round {
    explicit Round(const asio::any_io_executor& executor)
        : gate(executor, asio::steady_timer::time_point::max())
    {
    }

    asio::steady_timer gate; // cancelled when the round has ended
    bool isDone = false;
};

ShardReader::ShardReader(ClaimDependencies environment, const ClaimLogId& id)
    : m_environment(std::move(environment))
    , m_id(id)
{
}

asio::awaitable<std::optional<ClaimEntry>> ShardReader::find(Digest id, Duration limit)
{
    auto self = shared_from_this();
    if (auto known = findClaim(m_log, id))
        co_return *known;
    auto round = m_waiting;
    if (!round) {
        round = m_waiting = std::make_shared<Round>(m_environment.executor);
        asio::co_spawn(m_environment.executor, run(self, round), asio::detached);
    }
    auto end = m_environment.timers.now() + limit;
    auto timeout = m_environment.timers.once(limit, [round] { round->gate.cancel(); });
    while (!round->isDone && m_environment.timers.now() < end) {
        boost::system::error_code ignored;
        co_await round->gate.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    auto found = findClaim(m_log, id);
    co_return found ? std::optional<ClaimEntry>(*found) : std::nullopt;
}

asio::awaitable<void> ShardReader::run(std::shared_ptr<ShardReader> self, std::shared_ptr<Round> round)
{
    auto& timers = self->m_environment.timers;
    while (self->m_isReading || timers.now() < self->m_nextRead)
        co_await timers.sleep(std::max<Duration>(std::chrono::milliseconds(10), self->m_nextRead - timers.now()));
    // A look-up from now on needs a later read: its claim may be written after this one.
    self->m_waiting.reset();
    self->m_isReading = true;
    self->m_nextRead = timers.now() + readPeriod;
    if (self->m_isLoaded)
        co_await self->readTail();
    else
        co_await self->load();
    self->m_isReading = false;
    round->isDone = true;
    round->gate.cancel();
}

asio::awaitable<void> ShardReader::load()
{
    m_log = {};
    for (uint64_t page = 0; m_log.next == page * claimPageRecords; ++page) {
        auto entries = co_await m_environment.store.list(claimPagePrefix(m_id, page));
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
        auto read = co_await m_environment.store.read(claimRecordKey(m_id, m_log.next));
        if (!read || !read->entry)
            co_return;
        auto record = decodeRecord(read->entry->value);
        if (!record)
            co_return;
        appendRecord(m_log, *record);
    }
}

} // namespace chestnut
