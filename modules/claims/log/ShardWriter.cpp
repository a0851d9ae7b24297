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

    /** Maximum claims queued for one log: four full records. */
    constexpr size_t maximumPending = 4 * maximumRecordEntries;
    constexpr Duration firstBackoff = std::chrono::milliseconds(50);
    constexpr Duration longestBackoff = std::chrono::seconds(5);
    constexpr unsigned largestBackoffExponent = 7;

    Error claimUnavailableError(const std::string& detail)
    {
        return Error { ErrorKind::ClaimUnavailable, detail, std::chrono::seconds(1) };
    }

    Error epochClosedError()
    {
        return makeError(ErrorKind::KeyExpired, "the key's epoch is closed");
    }

} // namespace

struct ShardWriter::PendingClaim {
    PendingClaim(const asio::any_io_executor& executor, ClaimEntry claim)
        : entry(std::move(claim))
        , completion(executor, asio::steady_timer::time_point::max())
    {
    }

    ClaimEntry entry;
    asio::steady_timer completion; // cancelled when the result is set
    std::optional<Result<ClaimEntry>> result;
};

ShardWriter::ShardWriter(ClaimDependencies dependencies, const ClaimLogId& id, std::shared_ptr<WriteThrottle> throttle, uint64_t seed)
    : m_dependencies(std::move(dependencies))
    , m_id(id)
    , m_throttle(std::move(throttle))
    , m_rng(seed)
{
}

asio::awaitable<Result<ClaimEntry>> ShardWriter::submit(ClaimEntry entry, Duration limit)
{
    auto self = shared_from_this();
    m_lastUsed = m_dependencies.timers.now();
    if (auto winner = findClaim(m_log, entry.id))
        co_return *winner;
    if (m_pending.size() >= maximumPending)
        co_return claimUnavailableError("too many claims are queued for the shard");
    auto pending = std::make_shared<PendingClaim>(m_dependencies.executor, std::move(entry));
    m_pending.push_back(pending);
    if (!m_isRunning) {
        m_isRunning = true;
        asio::co_spawn(m_dependencies.executor, run(self), asio::detached);
    }
    auto timeout = m_dependencies.timers.once(limit, [pending] { pending->completion.cancel(); });
    boost::system::error_code ignored;
    co_await pending->completion.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (pending->result)
        co_return *pending->result;
    // A claim that is in no record yet is withdrawn; one in a record may still be written after this call has returned.
    m_pending.remove(pending);
    if (isBeingWritten(pending->entry))
        co_return makeError(ErrorKind::OutcomeUnknown, "the outcome of the write of the claim is unknown");
    co_return claimUnavailableError("the claim was not written in time");
}

asio::awaitable<void> ShardWriter::run(std::shared_ptr<ShardWriter> self)
{
    while (!self->m_pending.empty()) {
        if (!self->m_isLoaded) {
            if (auto loaded = co_await self->load(); !loaded) {
                self->settleAll(claimUnavailableError(loaded.error().detail));
                continue;
            }
        }
        self->settleFromLog();
        if (!self->m_pending.empty())
            co_await self->writeNext();
    }
    self->m_isRunning = false;
}

asio::awaitable<Result<void>> ShardWriter::load()
{
    // Reading a whole log in one call may exceed the call's timeout. Records are immutable and each is created only
    // after its predecessor, so pages that are read one after the other form a consistent log.
    ClaimLog log;
    bool isPageFull = true;
    for (uint64_t page = 0; isPageFull; ++page) {
        auto entries = co_await m_dependencies.store.list(claimPagePrefix(m_id, page));
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
        // A gap or an unreadable record may hide claims, so this log must not grant any further claim.
        if (!record || entry.key != claimRecordKey(m_id, log.next)) {
            m_dependencies.log.write(EventId::ClaimRecordUnreadable, { { "key", entry.key } });
            return makeError(ErrorKind::ProtocolError, "the claim log has a gap or an unreadable record");
        }
        appendRecord(log, *record);
    }
    return {};
}

bool ShardWriter::isIdleFor(Duration duration) const
{
    return !m_isRunning && m_dependencies.timers.now() - m_lastUsed >= duration;
}

ClaimRecord ShardWriter::makeRecord()
{
    std::vector<ClaimEntry> entries;
    for (const auto& pending : m_pending)
        entries.push_back(pending->entry);
    auto batch = buildBatch(m_log, entries);
    // The first claim's nonce is unique across daemons; the random part distinguishes successive records with it.
    auto nonce = digestOf(toHex(batch.front().nonce) + std::to_string(m_rng()) + std::to_string(m_log.next));
    return { nonce, std::move(batch) };
}

bool ShardWriter::isBeingWritten(const ClaimEntry& entry) const
{
    return m_unsettled && std::ranges::find(m_unsettled->entries, entry) != m_unsettled->entries.end();
}

asio::awaitable<void> ShardWriter::writeNext()
{
    co_await awaitThrottle();
    // Lets claims that arrive in the same iteration of the event loop join the record.
    co_await asio::post(m_dependencies.executor, asio::use_awaitable);
    // All pending claims may have timed out meanwhile.
    if (m_pending.empty())
        co_return;
    m_unsettled = makeRecord();
    auto outcome = co_await writeRecord(*m_unsettled);
    m_unsettled.reset();
    if (outcome == AppendOutcome::Applied)
        settleFromLog();
    if (outcome == AppendOutcome::Failed)
        settleAll(claimUnavailableError("the key-value service is unavailable"));
    if (outcome == AppendOutcome::Closed)
        settleAll(epochClosedError());
}

asio::awaitable<Result<bool>> ShardWriter::tryWrite(const std::string& key, const std::string& value)
{
    KeyValueOperation create { key, value, 0, false };
    // Without this check, a daemon that was paused or whose clock is slow could create a record in a log whose records
    // were removed, and claim a call a second time.
    KeyValueOperation requireNoTombstone { claimTombstoneKey(m_id.epoch, m_id.shard), "", 0, true };
    std::vector<KeyValueOperation> operations { std::move(create), std::move(requireNoTombstone) };
    m_dependencies.metrics.count("chestnut_claim_writes_total");
    co_return co_await m_dependencies.store.transact(std::move(operations));
}

asio::awaitable<Result<RecordWriteOutcome>> ShardWriter::readBack(const std::string& key, const ClaimRecord& record)
{
    auto read = co_await m_dependencies.store.read(key);
    if (!read)
        co_return read.error();
    std::optional<ClaimRecord> found;
    if (read->entry) {
        auto decoded = decodeRecord(read->entry->value);
        if (!decoded) {
            m_dependencies.log.write(EventId::ClaimRecordUnreadable, { { "key", key } });
            co_return decoded.error();
        }
        found = std::move(*decoded);
    }
    bool isClosed = false;
    if (!found) {
        auto tombstone = co_await m_dependencies.store.read(claimTombstoneKey(m_id.epoch, m_id.shard));
        if (!tombstone)
            co_return tombstone.error();
        isClosed = tombstone->entry.has_value();
    }
    auto outcome = classifyRecordWrite(record.nonce, found, isClosed);
    if (found)
        appendRecord(m_log, *found);
    co_return outcome;
}

asio::awaitable<ShardWriter::AppendOutcome> ShardWriter::writeRecord(ClaimRecord record)
{
    auto key = claimRecordKey(m_id, m_log.next);
    auto value = encodeRecord(record);
    bool isInDoubt = false;
    // Once a write may have taken effect, the same record is written under the same key until that key exists:
    // only then can a delayed write no longer take effect.
    for (unsigned attempt = 0;; ++attempt) {
        auto written = co_await tryWrite(key, value);
        if (written && *written) {
            appendRecord(m_log, record);
            co_return AppendOutcome::Applied;
        }
        if (!written && !isInDoubt && written.error().kind != ErrorKind::PlatformAnswerLost)
            co_return AppendOutcome::Failed;
        if (!written && !isInDoubt) {
            isInDoubt = true;
            m_dependencies.log.write(EventId::ClaimWriteInDoubt, { { "key", key } });
        }
        auto outcome = co_await readBack(key, record);
        if (outcome && *outcome == RecordWriteOutcome::Closed)
            co_return AppendOutcome::Closed;
        if (outcome && *outcome != RecordWriteOutcome::Absent)
            co_return AppendOutcome::Applied;
        if (!outcome && !isInDoubt)
            co_return AppendOutcome::Failed;
        co_await backOff(attempt);
        co_await awaitThrottle();
    }
}

asio::awaitable<void> ShardWriter::awaitThrottle()
{
    auto now = m_dependencies.timers.now();
    auto start = std::max(now, m_throttle->next);
    m_throttle->next = start + writePeriod;
    if (start > now)
        co_await m_dependencies.timers.sleep(start - now);
}

asio::awaitable<void> ShardWriter::backOff(unsigned attempt)
{
    auto full = toSeconds(firstBackoff) * std::exp2(std::min(attempt, largestBackoffExponent));
    auto jittered = fromSeconds(full * std::uniform_real_distribution<>(0.5, 1.0)(m_rng));
    co_await m_dependencies.timers.sleep(std::min(jittered, longestBackoff));
}

void ShardWriter::settle(PendingClaim& pending, Result<ClaimEntry> result)
{
    pending.result = std::move(result);
    pending.completion.cancel();
}

void ShardWriter::settleFromLog()
{
    std::erase_if(m_pending, [this](const std::shared_ptr<PendingClaim>& pending) {
        auto winner = findClaim(m_log, pending->entry.id);
        if (winner)
            settle(*pending, *winner);
        return winner.has_value();
    });
}

void ShardWriter::settleAll(const Error& error)
{
    for (auto& pending : m_pending)
        settle(*pending, error);
    m_pending.clear();
}

} // namespace chestnut
