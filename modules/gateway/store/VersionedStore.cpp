#include "gateway/store/VersionedStore.h"

namespace chestnut {

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
