#pragma once

#include "control/configuration/ConfigurationService.h"
#include "control/leases/LeaseService.h"
#include "infrastructure/keyvalue/KeyValueStore.h"
#include "kernel/logging/Log.h"
#include "kernel/timers/TimerService.h"

#include <boost/asio/io_context.hpp>

namespace chestnut {

/** Removes obsolete records: `tickets/<n>` up to the configuration's floor of ticket numbers, and the intents
    `orders/<engine>` of engines that a ticket removed. Runs only at the daemon that holds the lease of the first
    engine group. */
class RecordCleaner final : public Service {
public:
    static constexpr std::string_view serviceName = "record_cleaner";
    std::string_view name() const override { return serviceName; }

    static constexpr Duration passPeriod = std::chrono::minutes(1);
    /** Maximum removals in one pass: 5,760 a day, enough for 1,400 changes a day. */
    static constexpr size_t removalsPerPass = 4;
    /** Interval between listings of the records. An intent is removed only when two successive listings found it
        unchanged and its engine missing, so that an engine that is soon added again keeps it. */
    static constexpr Duration listingPeriod = std::chrono::minutes(30);

    RecordCleaner(asio::io_context&, KeyValueStore&, ConfigurationService&, LeaseService&, TimerService&, Log&);
    ~RecordCleaner() override;

    void start() override;
    asio::awaitable<void> stop() override;

private:
    struct State;

    static asio::awaitable<void> runPass(std::shared_ptr<State>);

    asio::io_context& m_context;
    std::shared_ptr<State> m_state;
    TimerSubscription m_timer;
};

} // namespace chestnut
