#pragma once

#include "base/ids/StrongId.h"
#include "control/leases/LeaseService.h"
#include "infrastructure/keyvalue/KeyValueStore.h"

#include <set>

namespace chestnut {

/** Locks in the key-value service that limit, across all holders, how many engines of a model are unavailable and
    how many load weights at the same time. The session of the leases owns the locks, so that they end with it. */
class UnavailabilitySlots {
public:
    UnavailabilitySlots(KeyValueStore&, LeaseService&);

    /** Locks a free slot of `<prefix>/0` to `<prefix>/<limit - 1>`. Empty when none is free. */
    asio::awaitable<std::optional<std::string>> acquire(std::string prefix, uint32_t limit, EngineId);

    /** Marks a slot for release by the next flush(). */
    void release(const std::string& slot);

    /** Unlocks the released slots in the key-value service. Failed releases are retried by the next call. */
    asio::awaitable<void> flush();

private:
    void resetOnNewSession();

    KeyValueStore& m_store;
    LeaseService& m_leases;
    std::string m_session;
    std::set<std::string> m_locked; /**< tracked here because the service lets a session lock a key twice */
    std::set<std::string> m_pendingRelease;
};

} // namespace chestnut
