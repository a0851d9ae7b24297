#pragma once

#include "claims/log/ShardWriter.h"

#include <functional>
#include <memory>
#include <set>

namespace chestnut {

/** Closes the shards of old epochs with a tombstone and then removes their records. Several daemons may do so at the
    same time, and each step may be repeated. `claims/cleaned_through` names the newest epoch up to which all shards were
    cleaned, so that epochs that became closable during a long stop of all daemons are cleaned, too. */
class EpochCleaner : public std::enable_shared_from_this<EpochCleaner> {
public:
    /** Epochs that every daemon looks back at. Older ones are found through the record of the newest cleaned epoch. */
    static constexpr ClaimEpoch lookBack = 8;
    /** Pause between the shards of an older epoch: a few calls a minute from one daemon. */
    static constexpr Duration catchUpPeriod = std::chrono::seconds(30);
    /** Keeps the cleaning of a start after a long stop below the daemon's write budget. */
    static constexpr Duration stepPeriod = std::chrono::milliseconds(200);

    /** Tells whether this daemon is responsible for a shard. */
    using IsResponsible = std::function<bool(ClaimEpoch, unsigned shard)>;

    EpochCleaner(ClaimDependencies, IsResponsible);

    /** Cleans what is due. A failed step is left for the next call. */
    asio::awaitable<void> clean();

private:
    asio::awaitable<void> cleanEpoch(ClaimEpoch);
    asio::awaitable<void> catchUp(ClaimEpoch limit);
    asio::awaitable<void> cleanOlder(KeyValueEntry progress, ClaimEpoch limit);
    asio::awaitable<Result<void>> cleanShard(ClaimEpoch, unsigned shard);

    ClaimDependencies m_environment;
    IsResponsible m_isResponsible;
    std::set<std::pair<ClaimEpoch, unsigned>> m_cleaned;
    bool m_isRunning = false;
};

} // namespace chestnut
