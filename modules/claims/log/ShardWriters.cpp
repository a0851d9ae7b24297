#include "claims/log/ShardWriters.h"

namespace chestnut {

ShardWriters::ShardWriters(ClaimDependencies environment, uint64_t seed)
    : m_environment(std::move(environment))
    , m_rng(seed)
{
}

std::shared_ptr<ShardWriter> ShardWriters::writer(const ClaimLogId& id)
{
    auto& writer = m_writers[id];
    if (writer)
        return writer;
    auto& pace = m_paces[id.shard];
    if (!pace)
        pace = std::make_shared<WritePace>();
    writer = std::make_shared<ShardWriter>(m_environment, id, pace, m_rng());
    return writer;
}

void ShardWriters::forgetUnused(UnixSeconds now)
{
    std::erase_if(m_writers, [now](const auto& row) { return isEpochClosable(row.first.epoch, now) || row.second->isIdleFor(idleLimit); });
}

} // namespace chestnut
