#include "claims/log/ShardWriter.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>

namespace chestnut {

namespace {

    /** Claims that wait for one shard at most; four full records. */
    constexpr size_t maximumWaiting = 4 * maximumRecordEntries;
    constexpr Duration firstBackoff = std::chrono::milliseconds(50);
    constexpr Duration longestBackoff = std::chrono::seconds(5);
    constexpr unsigned largestBackoffExponent = 7;

    Error claimUnavailable(const std::string& detail)
    {
        return Error { ErrorKind::ClaimUnavailable, detail, std::chrono::seconds(1) };
    }

    Error epochClosed()
    {
        return makeError(ErrorKind::KeyExpired, "the key's epoch is closed");
    }

} // namespace

struct ShardWriter::Waiting {
    Waiting(const asio::any_io_executor& executor, ClaimEntry claim)
        : entry(std::move(claim))
        , gate(executor, asio::steady_timer::time_point::max())
    {
    }

    ClaimEntry entry;
    asio::steady_timer gate; // cancelled when the result is there
    std::optional<Result<ClaimEntry>> result;
};

ShardWriter::ShardWriter(ClaimDependencies environment, const ClaimLogId& id, std::shared_ptr<WritePace> pace, uint64_t seed)
    : m_environment(std::move(environment))
    , m_id(id)
    , m_pace(std::move(pace))
    , m_rng(seed)
{
}

asio::awaitable<Result<ClaimEntry>> ShardWriter::submit(ClaimEntry entry, Duration limit)
{
    auto self = shared_from_this();
    m_lastUsed = m_environment.timers.now();
    if (auto counting = findClaim(m_log, entry.id))
        co_return *counting;
    if (m_waiting.size() >= maximumWaiting)
        co_return claimUnavailable("too many claims wait for the shard");
    auto waiting = std::make_shared<Waiting>(m_environment.executor, std::move(entry));
    m_waiting.push_back(waiting);
    if (!m_isRunning) {
        m_isRunning = true;
        asio::co_spawn(m_environment.executor, run(self), asio::detached);
    }
    auto timeout = m_environment.timers.once(limit, [waiting] { waiting->gate.cancel(); });
    boost::system::error_code ignored;
    co_await waiting->gate.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (waiting->result)
        co_return *waiting->result;
    // A claim that is in no record yet is taken back; one in a record may be written after this answer.
    m_waiting.remove(waiting);
    if (isInDoubtOrUnderWay(waiting->entry))
        co_return makeError(ErrorKind::OutcomeUnknown, "the claim's write is not settled");
    co_return claimUnavailable("the claim was not written in time");
}

asio::awaitable<void> ShardWriter::run(std::shared_ptr<ShardWriter> self)
{
    while (!self->m_waiting.empty()) {
        if (!self->m_isLoaded) {
            if (auto loaded = co_await self->load(); !loaded) {
                self->settleAll(claimUnavailable(loaded.error().detail));
                continue;
            }
        }
        self->settleFromLog();
        if (!self->m_waiting.empty())
            co_await self->writeNext();
    }
    self->m_isRunning = false;
}

asio::awaitable<Result<void>> ShardWriter::load()
{
    // A whole log in one call may take longer than the call's timeout. Records are never changed and each is created
    // only after its predecessor, so pages read one after the other make a consistent log.
    ClaimLog log;
    bool isPageFull = true;
    for (uint64_t page = 0; isPageFull; ++page) {
        auto entries = co_await m_environment.store.list(claimPagePrefix(m_id, page));
        if (!entries)
            co_return entries.error();
        if (auto appended = appendPage(log, *entries); !appended)
            co_return appended.error();
        isPageFull = entries->size() == claimPageRecords;
    }
    m_log = std::move(log);
    m_isLoaded = true;
    co_return Result<void>();
}

Result<void> ShardWriter::appendPage(ClaimLog& log, const std::vector<KeyValueEntry>& entries) const
{
    for (const auto& entry : entries) {
        auto record = decodeRecord(entry.value);
        // A gap or an unreadable record may hide claims, so nothing may be granted in this log.
        if (!record || entry.key != claimRecordKey(m_id, log.next)) {
            m_environment.log.write(EventId::ClaimRecordUnreadable, { { "key", entry.key } });
            return makeError(ErrorKind::ProtocolError, "unreadable claim log");
        }
        appendRecord(log, *record);
    }
    return {};
}

bool ShardWriter::isIdleFor(Duration duration) const
{
    return !m_isRunning && m_environment.timers.now() - m_lastUsed >= duration;
}

ClaimRecord ShardWriter::makeRecord()
{
    std::vector<ClaimEntry> entries;
    for (const auto& waiting : m_waiting)
        entries.push_back(waiting->entry);
    auto batch = buildBatch(m_log, entries);
    // The first claim's nonce is unique among all daemons; the random part tells successive records with it apart.
    auto nonce = digestOf(toHex(batch.front().nonce) + std::to_string(m_rng()) + std::to_string(m_log.next));
    return { nonce, std::move(batch) };
}

bool ShardWriter::isInDoubtOrUnderWay(const ClaimEntry& entry) const
{
    return m_current && std::ranges::find(m_current->entries, entry) != m_current->entries.end();
}

asio::awaitable<void> ShardWriter::writeNext()
{
    co_await pace();
    // Claims that arrived in the same turn of the event loop share the record.
    co_await asio::post(m_environment.executor, asio::use_awaitable);
    // Claims may have given up meanwhile.
    if (m_waiting.empty())
        co_return;
    m_current = makeRecord();
    auto step = co_await writeRecord(*m_current);
    m_current.reset();
    if (step == Step::Applied)
        settleFromLog();
    if (step == Step::Failed)
        settleAll(claimUnavailable("the key-value service is unavailable"));
    if (step == Step::Closed)
        settleAll(epochClosed());
}

asio::awaitable<Result<bool>> ShardWriter::tryWrite(const std::string& key, const std::string& value)
{
    KeyValueOperation create { key, value, 0, false };
    // Without this check, a daemon that was paused or has a slow clock could create a record in a log whose records
    // were removed, and claim a call a second time.
    KeyValueOperation isOpen { claimTombstoneKey(m_id.epoch, m_id.shard), "", 0, true };
    std::vector<KeyValueOperation> operations { std::move(create), std::move(isOpen) };
    m_environment.metrics.count("chestnut_claim_writes_total");
    co_return co_await m_environment.store.transact(std::move(operations));
}

asio::awaitable<Result<RecordWriteOutcome>> ShardWriter::readBack(const std::string& key, const ClaimRecord& record)
{
    auto read = co_await m_environment.store.read(key);
    if (!read)
        co_return read.error();
    std::optional<ClaimRecord> found;
    if (read->entry) {
        auto decoded = decodeRecord(read->entry->value);
        if (!decoded) {
            m_environment.log.write(EventId::ClaimRecordUnreadable, { { "key", key } });
            co_return decoded.error();
        }
        found = std::move(*decoded);
    }
    bool isClosed = false;
    if (!found) {
        auto tombstone = co_await m_environment.store.read(claimTombstoneKey(m_id.epoch, m_id.shard));
        if (!tombstone)
            co_return tombstone.error();
        isClosed = tombstone->entry.has_value();
    }
    auto fate = recordWriteOutcome(record.nonce, found, isClosed);
    if (found)
        appendRecord(m_log, *found);
    co_return fate;
}

asio::awaitable<ShardWriter::Step> ShardWriter::writeRecord(ClaimRecord record)
{
    auto key = claimRecordKey(m_id, m_log.next);
    auto value = encodeRecord(record);
    bool isInDoubt = false;
    // Once a write may have taken effect, the same record is written to the same place until that place is taken:
    // only then is it certain that a delayed write has no effect any more.
    for (unsigned attempt = 0;; ++attempt) {
        auto written = co_await tryWrite(key, value);
        if (written && *written) {
            appendRecord(m_log, record);
            co_return Step::Applied;
        }
        if (!written && !isInDoubt && written.error().kind != ErrorKind::PlatformAnswerLost)
            co_return Step::Failed;
        if (!written && !isInDoubt) {
            isInDoubt = true;
            m_environment.log.write(EventId::ClaimWriteInDoubt, { { "key", key } });
        }
        auto fate = co_await readBack(key, record);
        if (fate && *fate == RecordWriteOutcome::Closed)
            co_return Step::Closed;
        if (fate && *fate != RecordWriteOutcome::Absent)
            co_return Step::Applied;
        if (!fate && !isInDoubt)
            co_return Step::Failed;
        co_await backOff(attempt);
        co_await pace();
    }
}

asio::awaitable<void> ShardWriter::pace()
{
    auto now = m_environment.timers.now();
    auto start = std::max(now, m_pace->next);
    m_pace->next = start + writePeriod;
    if (start > now)
        co_await m_environment.timers.sleep(start - now);
}

asio::awaitable<void> ShardWriter::backOff(unsigned attempt)
{
    auto full = toSeconds(firstBackoff) * std::exp2(std::min(attempt, largestBackoffExponent));
    auto jittered = fromSeconds(full * std::uniform_real_distribution<>(0.5, 1.0)(m_rng));
    co_await m_environment.timers.sleep(std::min(jittered, longestBackoff));
}

void ShardWriter::settle(Waiting& waiting, Result<ClaimEntry> result)
{
    waiting.result = std::move(result);
    waiting.gate.cancel();
}

void ShardWriter::settleFromLog()
{
    std::erase_if(m_waiting, [this](const std::shared_ptr<Waiting>& waiting) {
        auto counting = findClaim(m_log, waiting->entry.id);
        if (counting)
            settle(*waiting, *counting);
        return counting.has_value();
    });
}

void ShardWriter::settleAll(const Error& error)
{
    for (auto& waiting : m_waiting)
        settle(*waiting, error);
    m_waiting.clear();
}

} // namespace chestnut
