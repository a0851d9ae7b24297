#include "control/orders/UnavailabilitySlots.h"

namespace chestnut {

UnavailabilitySlots::UnavailabilitySlots(KeyValueStore& store, LeaseService& leases)
    : m_store(store)
    , m_leases(leases)
{
}

void UnavailabilitySlots::resetOnNewSession()
{
    if (m_session == m_leases.session())
        return;
    m_session = m_leases.session();
    m_locked.clear();
    m_pendingRelease.clear();
}

asio::awaitable<std::optional<std::string>> UnavailabilitySlots::acquire(std::string prefix, uint32_t limit, EngineId engine)
{
    resetOnNewSession();
    auto session = m_session;
    for (uint32_t i = 0; i < limit && !session.empty(); ++i) {
        auto slot = prefix + "/" + std::to_string(i);
        if (m_locked.contains(slot) || m_pendingRelease.contains(slot))
            continue;
        m_locked.insert(slot);
        auto locked = co_await m_store.acquire(slot, engine.value(), session);
        if (session != m_session)
            co_return std::nullopt;
        if (locked && *locked)
            co_return slot;
        m_locked.erase(slot);
        // The session may have locked the slot although the response was lost, so the slot is released.
        if (!locked)
            m_pendingRelease.insert(slot);
    }
    co_return std::nullopt;
}

void UnavailabilitySlots::release(const std::string& slot)
{
    if (m_locked.erase(slot) > 0)
        m_pendingRelease.insert(slot);
}

asio::awaitable<void> UnavailabilitySlots::flush()
{
    resetOnNewSession();
    auto session = m_session;
    auto pendingRelease = m_pendingRelease;
    for (const auto& slot : pendingRelease) {
        auto freed = co_await m_store.release(slot, "", session);
        if (freed && session == m_session)
            m_pendingRelease.erase(slot);
    }
}

} // namespace chestnut
