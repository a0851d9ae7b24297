#pragma once

#include "claims/log/ShardWriter.h"

#include <map>

namespace chestnut {

/** The writers of all shards that this daemon has written to. */
class ShardWriters {
public:
    ShardWriters(ClaimEnvironment, uint64_t seed);

    std::shared_ptr<ShardWriter> writer(ClaimEpoch, unsigned shard);

    /** Forgets the writers of epochs that are closable. */
    void forgetClosable(UnixSeconds now);

private:
    ClaimEnvironment m_environment;
    std::mt19937_64 m_rng;
    std::map<std::pair<ClaimEpoch, unsigned>, std::shared_ptr<ShardWriter>> m_writers;
};

} // namespace chestnut
