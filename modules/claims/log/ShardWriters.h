#pragma once

#include "claims/log/ShardWriter.h"

#include <map>

namespace chestnut {

/** The writers of all shards that this daemon has written to. */
class ShardWriters {
public:
    ShardWriters(ClaimDependencies, uint64_t seed);

    /** Writers that no claim used for this long are forgotten, which bounds their memory: at 160 claims/s the claims of
        one slice of all shards take about 15 MB. */
    static constexpr Duration idleLimit = std::chrono::minutes(20);

    std::shared_ptr<ShardWriter> writer(const ClaimLogId&);

    /** Forgets the writers of epochs that are closable, and the idle ones. */
    void forgetUnused(UnixSeconds now);

    size_t size() const { return m_writers.size(); }

private:
    ClaimDependencies m_environment;
    std::mt19937_64 m_rng;
    std::map<ClaimLogId, std::shared_ptr<ShardWriter>> m_writers;
    std::map<unsigned, std::shared_ptr<WritePace>> m_paces; // by shard
};

} // namespace chestnut
