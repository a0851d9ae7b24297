#pragma once

#include "claims/log/ShardWriter.h"

namespace chestnut {

/** Looks up claims in the log of one shard without writing. Look-ups that arrive before the next read starts share it;
    reads are at least readPeriod apart and fetch only the records added since the previous one. */
class ShardReader : public std::enable_shared_from_this<ShardReader> {
public:
    static constexpr Duration readPeriod = std::chrono::milliseconds(200);
    /** Maximum records fetched by each read after the first. Each record takes one call of the key-value service. */
    static constexpr int maximumRecords = 16;

    ShardReader(ClaimDependencies, const ClaimLogId&);

    /** Returns the claim of a call, or nothing when there is none or the log could not be read in time. */
    asio::awaitable<std::optional<ClaimEntry>> find(Digest id, Duration limit);

private:
    struct PendingRead;

    static asio::awaitable<void> run(std::shared_ptr<ShardReader>, std::shared_ptr<PendingRead>);
    asio::awaitable<void> load();
    asio::awaitable<void> readTail();

    ClaimDependencies m_dependencies;
    ClaimLogId m_id;
    ClaimLog m_log;
    std::shared_ptr<PendingRead> m_pendingRead; // the read that has not started yet
    TimePoint m_nextRead { Duration::zero() };
    bool m_isLoaded = false;
    bool m_isReading = false;
};

} // namespace chestnut
