#pragma once

#include "claims/log/ClaimCodec.h"
#include "infrastructure/keyvalue/KeyValueStore.h"
#include "kernel/logging/Log.h"
#include "kernel/metrics/Metrics.h"
#include "kernel/timers/TimerService.h"

#include <boost/asio/any_io_executor.hpp>
#include <list>
#include <memory>
#include <random>

namespace chestnut {

/** The services that the claim components use. All must outlive the components. */
struct ClaimDependencies {
    asio::any_io_executor executor;
    KeyValueStore& store;
    TimerService& timers;
    Log& log;
    Metrics& metrics;
};

/** The earliest start of the next write to a shard, shared by all logs of the shard. */
struct WriteThrottle {
    TimePoint next { Duration::zero() };
};

/** Appends claims to one log of one shard. At most one write is in progress, and the claims submitted meanwhile are
    batched into the next record. Other daemons may write to the same log at the same time. */
class ShardWriter : public std::enable_shared_from_this<ShardWriter> {
public:
    /** Minimum interval between writes to one shard. */
    static constexpr Duration writePeriod = std::chrono::milliseconds(100);

    ShardWriter(ClaimDependencies, const ClaimLogId&, std::shared_ptr<WriteThrottle>, uint64_t seed);

    /** Claims a call and returns the winning claim, which is the first one in the log and may be another one.
        Errors: ClaimUnavailable when this call has not written the claim and never will; OutcomeUnknown when the write
        may still take effect; KeyExpired when the epoch is closed. */
    asio::awaitable<Result<ClaimEntry>> submit(ClaimEntry, Duration limit);

    /** Whether no write is in progress and no claim was submitted for this long. A new writer can reread the log. */
    bool isIdleFor(Duration) const;

private:
    struct PendingClaim;
    enum class AppendOutcome : uint8_t {
        Applied, /**< a record was appended, possibly by another writer */
        Failed, /**< nothing was written */
        Closed,
    };

    static asio::awaitable<void> run(std::shared_ptr<ShardWriter>);
    asio::awaitable<Result<void>> load();
    Result<void> appendPage(ClaimLog&, const std::vector<KeyValueEntry>&) const;
    asio::awaitable<void> writeNext();
    asio::awaitable<AppendOutcome> writeRecord(ClaimRecord);
    asio::awaitable<Result<bool>> tryWrite(const std::string& key, const std::string& value);
    asio::awaitable<Result<RecordWriteOutcome>> readBack(const std::string& key, const ClaimRecord&);
    asio::awaitable<void> awaitThrottle();
    asio::awaitable<void> backOff(unsigned attempt);
    ClaimRecord makeRecord();
    void settleFromLog();
    void settleAll(const Error&);
    void settle(PendingClaim&, Result<ClaimEntry>);
    bool isBeingWritten(const ClaimEntry&) const;

    ClaimDependencies m_dependencies;
    ClaimLogId m_id;
    std::shared_ptr<WriteThrottle> m_throttle;
    std::mt19937_64 m_rng;
    ClaimLog m_log;
    std::list<std::shared_ptr<PendingClaim>> m_pending;
    TimePoint m_lastUsed { Duration::zero() };
    std::optional<ClaimRecord> m_unsettled; // the record whose write has started and has no known outcome yet
    bool m_isLoaded = false;
    bool m_isRunning = false;
};

} // namespace chestnut
