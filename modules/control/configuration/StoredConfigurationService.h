#pragma once

#include "control/configuration/ConfigurationService.h"
#include "infrastructure/keyvalue/KeyValueStore.h"
#include "kernel/logging/Log.h"
#include "kernel/timers/TimerService.h"
#include "peers/service/PeerService.h"

#include <boost/asio/io_context.hpp>

namespace chestnut {

/** Follows `config/current`: two daemons of each zone run a blocking query, the others pull the changes since their
    revision, or the full document, from a peer that announced a newer one. During an outage, the last
    configuration remains in force. */
class StoredConfigurationService final : public ConfigurationService {
public:
    static constexpr Duration longestWait = std::chrono::seconds(30);
    static constexpr Duration pullPeriod = std::chrono::milliseconds(500);
    static constexpr Duration pullTimeout = std::chrono::seconds(3);

    StoredConfigurationService(asio::io_context&, KeyValueStore&, PeerService&, TimerService&, Log&);
    ~StoredConfigurationService() override;

    void start() override;
    asio::awaitable<void> stop() override;

    std::shared_ptr<const Configuration> current() const override;
    bool isReady() const override;
    void onChange(std::function<void(std::shared_ptr<const Configuration>)>) override;

    /** Puts a configuration into force if it is newer than the current one. */
    void applyIfNewer(Configuration);

    /** The newest revision that any member has announced as in force. */
    Revision newestAnnouncedRevision() const;

private:
    struct State;

    static asio::awaitable<void> watch(std::shared_ptr<State>);
    static asio::awaitable<void> pull(std::shared_ptr<State>);
    static asio::awaitable<Result<nlohmann::json>> handlePull(std::shared_ptr<State>, nlohmann::json request);

    asio::io_context& m_context;
    std::shared_ptr<State> m_state;
    TimerSubscription m_pullTimer;
};

} // namespace chestnut
