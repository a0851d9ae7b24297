#pragma once

#include "claims/log/ShardWriter.h"

#include <functional>
#include <memory>
#include <set>

namespace chestnut {

/** Closes the shards of old epochs with a tombstone and then removes their records. All steps are idempotent, and
    several daemons may run them at the same time. `claims/cleaned_through` holds the newest epoch up to which all shards
    are cleaned, so that epochs that became closable while all daemons were stopped are cleaned, too. */
class EpochCleaner : public std::enable_shared_from_this<EpochCleaner> {
public:
    /** Closable epochs that each run checks. Older ones are found through `claims/cleaned_through`. */
    static constexpr ClaimEpoch recentEpochs = 8;
    /** Delay between the shards of an older epoch. It limits one daemon to a few calls a minute. */
    static constexpr Duration catchUpPeriod = std::chrono::seconds(30);
    /** Delay between shards. It keeps the cleaning after a long stop below the daemon's write budget. */
    static constexpr Duration stepPeriod = std::chrono::milliseconds(200);

    /** Returns whether this daemon is responsible for a shard. */
    using IsResponsible = std::function<bool(ClaimEpoch, unsigned shard)>;

    EpochCleaner(ClaimDependencies, IsResponsible);

    /** Cleans all epochs that are due. A failed step is retried by the next call. */
    asio::awaitable<void> clean();

private:
    asio::awaitable<void> cleanEpoch(ClaimEpoch);
    asio::awaitable<void> catchUp(ClaimEpoch limit);
    asio::awaitable<void> cleanOlder(KeyValueEntry progress, ClaimEpoch limit);
    asio::awaitable<Result<void>> cleanShard(ClaimEpoch, unsigned shard);

    ClaimDependencies m_dependencies;
    IsResponsible m_isResponsible;
    std::set<std::pair<ClaimEpoch, unsigned>> m_cleaned;
    bool m_isRunning = false;
};

} // namespace chestnut
