#include "gateway/store/VersionedStore.h"

namespace chestnut {

namespace {

    Error earlierEpoch()
    {
        return makeError(ErrorKind::NotFound, "the lease was granted before the store was restored");
    }

} // namespace

asio::awaitable<Result<StoreLease>> VersionedStore::grantLease(Duration timeToLive)
{
    auto lease = co_await grant(timeToLive);
    if (!lease)
        co_return lease.error();
    co_return StoreLease { *lease, epoch() };
}

asio::awaitable<Result<void>> VersionedStore::renewLease(StoreLease lease)
{
    if (lease.epoch != epoch())
        co_return earlierEpoch();
    auto renewed = co_await renew(lease.id);
    if (renewed && lease.epoch != epoch())
        co_return earlierEpoch();
    co_return renewed;
}

asio::awaitable<Result<void>> VersionedStore::endLease(StoreLease lease)
{
    if (lease.epoch != epoch())
        co_return earlierEpoch();
    co_return co_await end(lease.id);
}

bool VersionedStore::recordEpoch(StoreEpoch ofResponse, StoreEpoch sentIn)
{
    if (ofResponse == m_epoch)
        return true;
    // A call that was sent when the present epoch was known is not answered from an earlier one, unless the store was replaced.
    if (m_epoch && ofResponse < *m_epoch && sentIn != *m_epoch)
        return false;
    auto isFirst = !m_epoch.has_value();
    m_epoch = ofResponse;
    if (!isFirst && m_epochReceiver)
        m_epochReceiver();
    return true;
}

} // namespace chestnut
