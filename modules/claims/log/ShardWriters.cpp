#include "claims/log/ShardWriters.h"

namespace chestnut {

ShardWriters::ShardWriters(ClaimDependencies dependencies, uint64_t seed)
    : m_dependencies(std::move(dependencies))
    , m_rng(seed)
{
}

std::shared_ptr<ShardWriter> ShardWriters::findOrCreateWriter(const ClaimLogId& id)
{
    auto& writer = m_writers[id];
    if (writer)
        return writer;
    auto& throttle = m_throttles[id.shard];
    if (!throttle)
        throttle = std::make_shared<WriteThrottle>();
    writer = std::make_shared<ShardWriter>(m_dependencies, id, throttle, m_rng());
    return writer;
}

void ShardWriters::evictUnused(UnixSeconds now)
{
    std::erase_if(m_writers, [now](const auto& row) { return isEpochClosable(row.first.epoch, now) || row.second->isIdleFor(idleLimit); });
}

} // namespace chestnut
