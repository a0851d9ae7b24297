#pragma once

#include "decisions/streams/DefaultVersion.h"
#include "gateway/replicas/ReplicaDirectory.h"
#include "gateway/store/StoreMirror.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace chestnut {

/** Agrees with the other daemons, through the store, on the default version of the streams of each service. */
class DefaultVersions : public Service {
public:
    static constexpr std::string_view serviceName = "defaultversions";
    std::string_view name() const final { return serviceName; }

    /** `mirror` covers the keys of the defaults. `streamLifetime` returns how long a stream may be resumed after it has begun, and `daemons`
        the number of daemons that may write the same default. */
    DefaultVersions(asio::io_context&, VersionedStore&, TimerService&, Log&, std::shared_ptr<StoreMirror> mirror, const ReplicaDirectory&, std::function<Duration()> streamLifetime, std::function<uint32_t()> daemons);

    void start() override;

    /** Absent while this daemon knows none. */
    std::optional<DefaultVersion> find(const ServiceId&) const;

    /** Reads the default from the store if this daemon knows none, as its mirror may be seconds behind. */
    asio::awaitable<Result<std::optional<DefaultVersion>>> findOrRead(ServiceId);

private:
    struct ServiceState {
        std::optional<DefaultVersion> present;
        uint64_t revision = 0; /**< of the key; zero: there is none */
        bool isLostInStore = false; /**< a restore of the store has removed the present default, or replaced it by an earlier one */
        VersionPresence presence;
        std::optional<TimePoint> writeDueAt; /**< of a change that this daemon may make */
    };

    asio::awaitable<void> maintain();
    asio::awaitable<void> updateService(ServiceId, VersionCounts);
    asio::awaitable<void> write(ServiceId, DefaultVersion);
    void onItem(const StoreItem&);
    void onRemoval(const std::string& key);
    /** Differs between daemons, so that mostly one of them writes. */
    Duration writeDelay();

    asio::io_context& m_context;
    VersionedStore& m_store;
    TimerService& m_timers;
    Log& m_log;
    std::shared_ptr<StoreMirror> m_mirror;
    const ReplicaDirectory& m_replicas;
    std::function<Duration()> m_streamLifetime;
    std::function<uint32_t()> m_daemons;
    std::map<ServiceId, ServiceState> m_services;
    std::mt19937 m_random { std::random_device {}() };
};

} // namespace chestnut
