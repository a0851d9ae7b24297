#pragma once

#include "control/configuration/ConfigurationService.h"
#include "decisions/leases/Lease.h"
#include "infrastructure/keyvalue/KeyValueStore.h"
#include "kernel/logging/Log.h"
#include "kernel/timers/TimerService.h"
#include "peers/service/PeerService.h"

#include <boost/asio/io_context.hpp>
#include <map>

namespace chestnut {

/** Holds the leases of the engine groups that this daemon controls, all with one session. */
class LeaseService final : public Service {
public:
    static constexpr std::string_view serviceName = "leases";
    std::string_view name() const override { return serviceName; }

    static constexpr Duration tickPeriod = std::chrono::seconds(1);
    /** A holder hands its group over only after another member has been preferred for this long, so that a member that
        repeatedly joins and leaves does not move the leases each time. */
    static constexpr Duration handoverDelay = std::chrono::seconds(30);

    LeaseService(asio::io_context&, KeyValueStore&, PeerService&, ConfigurationService&, TimerService&, Log&);
    ~LeaseService() override;

    void start() override;
    /** Releases all leases so that the successors need not wait. All orders must have ended before. */
    asio::awaitable<void> stop() override;

    /** Returns the lease if it is currently held. It may be too close to its end to send orders; see mayOrder(). */
    std::optional<Lease> leaseOf(const EngineGroupId&) const;
    /** Identifies the tenure of a lease in intent records: daemon, incarnation, group and LockIndex. */
    std::string tenureOf(const Lease&) const;
    /** The session, for locking keys that are to be released with the leases; empty when there is none. */
    std::string session() const;

    /** Sets a function that returns whether a group has a change in progress, which delays its handover. */
    void setBusyCheck(std::function<bool(const EngineGroupId&)>);

private:
    struct State;

    static asio::awaitable<void> tick(std::shared_ptr<State>);

    asio::io_context& m_context;
    std::shared_ptr<State> m_state;
    TimerSubscription m_timer;
};

} // namespace chestnut
