#pragma once

#include "claims/log/ShardWriter.h"

#include <map>

namespace chestnut {

/** The writers of the claim logs that this daemon has used recently. */
class ShardWriters {
public:
    ShardWriters(ClaimDependencies, uint64_t seed);

    /** Writers without a claim for this long are evicted to bound the memory: at 160 claims/s, the claims of one
        slice of all shards take about 15 MB. */
    static constexpr Duration idleLimit = std::chrono::minutes(20);

    std::shared_ptr<ShardWriter> findOrCreateWriter(const ClaimLogId&);

    /** Evicts the writers of closable epochs and the idle ones. */
    void evictUnused(UnixSeconds now);

    size_t size() const { return m_writers.size(); }

private:
    ClaimDependencies m_dependencies;
    std::mt19937_64 m_rng;
    std::map<ClaimLogId, std::shared_ptr<ShardWriter>> m_writers;
    std::map<unsigned, std::shared_ptr<WriteThrottle>> m_throttles; // by shard
};

} // namespace chestnut
