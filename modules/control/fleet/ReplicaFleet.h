#pragma once

#include "control/configuration/ConfigurationService.h"
#include "control/fleet/EngineNotice.h"
#include "control/fleet/FleetService.h"
#include "infrastructure/keyvalue/KeyValueStore.h"
#include "infrastructure/vmlist/VmList.h"
#include "kernel/logging/Log.h"
#include "kernel/timers/TimerService.h"
#include "peers/service/PeerService.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <set>

namespace chestnut {

/** Derives the availability of each replica from the configuration, the VM list and engine notices. */
class ReplicaFleet final : public FleetService {
public:
    static constexpr Duration vmPollPeriod = std::chrono::seconds(2);
    static constexpr Duration expiryPeriod = std::chrono::seconds(1);
    /** Interval for rereading automatic roles, in case a notice was lost. 650 intents of 200 bytes take 0.5 KB/s. */
    static constexpr Duration intentReadPeriod = std::chrono::seconds(300);

    ReplicaFleet(asio::io_context&, ConfigurationService&, VmList&, KeyValueStore&, PeerService&, TimerService&, Log&);
    ~ReplicaFleet() override;

    void start() override;
    asio::awaitable<void> stop() override;

    bool acceptsNewWork(const ReplicaId&) const override;
    double slowStartShare(const ReplicaId&) const override;
    EngineRole roleOf(const EngineId&) const override;
    void onChange(std::function<void()>) override;

    /** Applies a notice unless a newer one has been applied. */
    void applyNotice(const EngineNotice&);

private:
    struct State;

    static asio::awaitable<void> pollVms(std::shared_ptr<State>);
    static asio::awaitable<void> readIntents(std::shared_ptr<State>);
    static asio::awaitable<Result<nlohmann::json>> handleNotice(std::shared_ptr<State>, nlohmann::json);

    asio::io_context& m_context;
    std::shared_ptr<State> m_state;
    std::vector<TimerSubscription> m_timers;
};

} // namespace chestnut
