#include "claims/log/ShardWriters.h"

namespace chestnut {

ShardWriters::ShardWriters(ClaimEnvironment environment, uint64_t seed)
    : m_environment(std::move(environment))
    , m_rng(seed)
{
}

std::shared_ptr<ShardWriter> ShardWriters::writer(ClaimEpoch epoch, unsigned shard)
{
    auto& writer = m_writers[{ epoch, shard }];
    if (!writer)
        writer = std::make_shared<ShardWriter>(m_environment, epoch, shard, m_rng());
    return writer;
}

void ShardWriters::forgetClosable(UnixSeconds now)
{
    std::erase_if(m_writers, [now](const auto& row) { return isEpochClosable(row.first.first, now); });
}

} // namespace chestnut
