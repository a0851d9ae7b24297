#include "control/orders/AwaySlots.h"

namespace chestnut {

AwaySlots::AwaySlots(KeyValueStore& store, LeaseService& leases)
    : m_store(store)
    , m_leases(leases)
{
}

void AwaySlots::forgetOldSession()
{
    if (m_session == m_leases.session())
        return;
    m_session = m_leases.session();
    m_used.clear();
    m_released.clear();
}

asio::awaitable<std::optional<std::string>> AwaySlots::acquire(std::string prefix, uint32_t limit, EngineId engine)
{
    forgetOldSession();
    auto session = m_session;
    for (uint32_t i = 0; i < limit && !session.empty(); ++i) {
        auto slot = prefix + "/" + std::to_string(i);
        if (m_used.contains(slot) || m_released.contains(slot))
            continue;
        m_used.insert(slot);
        auto locked = co_await m_store.acquire(slot, engine.value(), session);
        if (session != m_session)
            co_return std::nullopt;
        if (locked && *locked)
            co_return slot;
        m_used.erase(slot);
        // After a lost answer the slot may be locked by this session, which must not keep it without using it.
        if (!locked)
            m_released.insert(slot);
    }
    co_return std::nullopt;
}

void AwaySlots::release(const std::string& slot)
{
    if (m_used.erase(slot) > 0)
        m_released.insert(slot);
}

asio::awaitable<void> AwaySlots::flush()
{
    forgetOldSession();
    auto session = m_session;
    auto released = m_released;
    for (const auto& slot : released) {
        auto freed = co_await m_store.release(slot, "", session);
        if (freed && session == m_session)
            m_released.erase(slot);
    }
}

} // namespace chestnut
