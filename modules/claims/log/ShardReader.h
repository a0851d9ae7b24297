#pragma once

#include "claims/log/ShardWriter.h"

namespace chestnut {

/** Looks claims up in the log of one shard without writing. Look-ups that arrive while a read waits share it; reads are at
    least readPeriod apart and fetch only the records that were added since the last one. */
class ShardReader : public std::enable_shared_from_this<ShardReader> {
public:
    static constexpr Duration readPeriod = std::chrono::milliseconds(200);
    /** Records fetched by one read after the first; each is one call of the key-value service. */
    static constexpr int maximumRecords = 16;

    ShardReader(ClaimDependencies, const ClaimLogId&);

    /** The claim of a call, or nothing when there is none or the log could not be read in time. */
    asio::awaitable<std::optional<ClaimEntry>> find(Digest id, Duration limit);

private:
    struct Round;

    static asio::awaitable<void> run(std::shared_ptr<ShardReader>, std::shared_ptr<Round>);
    asio::awaitable<void> load();
    asio::awaitable<void> readTail();

    ClaimDependencies m_environment;
    ClaimLogId m_id;
    ClaimLog m_log;
    std::shared_ptr<Round> m_waiting; // the round that has not started
    TimePoint m_nextRead { Duration::zero() };
    bool m_isLoaded = false;
    bool m_isReading = false;
};

} // namespace chestnut
