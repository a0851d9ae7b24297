#pragma once

#include "claims/log/ShardWriter.h"

#include <functional>
#include <memory>
#include <set>

namespace chestnut {

/** Closes the shards of old epochs with a tombstone and then removes their records. Several daemons may do so at the
    same time, and each step may be repeated. */
class EpochCleaner : public std::enable_shared_from_this<EpochCleaner> {
public:
    /** Epochs looked back at; longer than any outage after which cleaning must catch up. */
    static constexpr ClaimEpoch lookBack = 8;
    /** Keeps the cleaning of a start after a long stop below the daemon's write budget. */
    static constexpr Duration stepPeriod = std::chrono::milliseconds(200);

    /** Tells whether this daemon is responsible for a shard. */
    using IsResponsible = std::function<bool(ClaimEpoch, unsigned shard)>;

    EpochCleaner(ClaimEnvironment, IsResponsible);

    /** Cleans what is due. A failed step is left for the next call. */
    asio::awaitable<void> clean();

private:
    asio::awaitable<void> cleanEpoch(ClaimEpoch);
    asio::awaitable<Result<void>> cleanShard(ClaimEpoch, unsigned shard);

    ClaimEnvironment m_environment;
    IsResponsible m_isResponsible;
    std::set<std::pair<ClaimEpoch, unsigned>> m_cleaned;
    bool m_isRunning = false;
};

} // namespace chestnut
