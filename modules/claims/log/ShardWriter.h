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

/** What the claim components need from their surroundings. All must outlive them. */
struct ClaimDependencies {
    asio::any_io_executor executor;
    KeyValueStore& store;
    TimerService& timers;
    Log& log;
    Metrics& metrics;
};

/** When the next write of a shard may start. The logs of a shard share it. */
struct WritePace {
    TimePoint next { Duration::zero() };
};

/** Appends claims to one log of one shard. One write is under way at a time, and the claims that arrive
    meanwhile share the next record. Other daemons may write the same log at the same time. */
class ShardWriter : public std::enable_shared_from_this<ShardWriter> {
public:
    /** Writes to one shard, at least this far apart. */
    static constexpr Duration writePeriod = std::chrono::milliseconds(100);

    ShardWriter(ClaimDependencies, const ClaimLogId&, std::shared_ptr<WritePace>, uint64_t seed);

    /** Claims a call and returns the claim that counts for it, which may be another one.
        Errors: ClaimUnavailable when the claim was not and will not be written by this call; OutcomeUnknown when it may
        be written yet; KeyExpired when the epoch is closed. */
    asio::awaitable<Result<ClaimEntry>> submit(ClaimEntry, Duration limit);

    /** Whether no write is under way and no claim was submitted for the given time. Its log can be read again. */
    bool isIdleFor(Duration) const;

private:
    struct Waiting;
    enum class Step : uint8_t {
        Applied, /**< the log grew by one record, which may be another writer's */
        Failed, /**< nothing was written */
        Closed,
    };

    static asio::awaitable<void> run(std::shared_ptr<ShardWriter>);
    asio::awaitable<Result<void>> load();
    Result<void> appendPage(ClaimLog&, const std::vector<KeyValueEntry>&) const;
    asio::awaitable<void> writeNext();
    asio::awaitable<Step> writeRecord(ClaimRecord);
    asio::awaitable<Result<bool>> tryWrite(const std::string& key, const std::string& value);
    asio::awaitable<Result<RecordWriteOutcome>> readBack(const std::string& key, const ClaimRecord&);
    asio::awaitable<void> pace();
    asio::awaitable<void> backOff(unsigned attempt);
    ClaimRecord makeRecord();
    void settleFromLog();
    void settleAll(const Error&);
    void settle(Waiting&, Result<ClaimEntry>);
    bool isInDoubtOrUnderWay(const ClaimEntry&) const;

    ClaimDependencies m_environment;
    ClaimLogId m_id;
    std::shared_ptr<WritePace> m_pace;
    std::mt19937_64 m_rng;
    ClaimLog m_log;
    std::list<std::shared_ptr<Waiting>> m_waiting;
    TimePoint m_lastUsed { Duration::zero() };
    std::optional<ClaimRecord> m_current; // its write was started and is not settled
    bool m_isLoaded = false;
    bool m_isRunning = false;
};

} // namespace chestnut
