#pragma once

#include "gateway/configuration/ConfigurationExchange.h"
#include "gateway/members/FleetReports.h"
#include "gateway/members/LoadMessage.h"
#include "gateway/members/LoadTopology.h"

#include <boost/asio/ip/udp.hpp>
#include <map>

namespace chestnut {

/** Sends this daemon's work in flight to its peers several times a second, by UDP: only the latest message counts, and a lost
    one is replaced by the next. In a large fleet the work is aggregated by the collectors of the zones. The same messages
    serve as heartbeats of the daemons. They also propagate lost attempts and leaving replicas, which reaches daemons that
    cannot reach the store. */
class LoadExchange : public Service {
public:
    static constexpr std::string_view serviceName = "loadexchange";
    std::string_view name() const final { return serviceName; }

    /** Binds the socket; throws boost::system::system_error on failure. */
    LoadExchange(asio::io_context&, TimerService&, Log&, DaemonDirectory&, std::shared_ptr<LoadTracker>, SpeedTracker&, CrashTracker&, ReplicaDirectory&);

    void start() override;
    asio::awaitable<void> stop() override;
    void announceLeaving();

    /** Sends and receives the versions of the configurations from now on. */
    void shareVersions(ConfigurationExchange& versions) { m_versions = &versions; }

    /** Passes datagrams that begin with the prefix to another receiver. No load message begins with it. */
    void setReceiver(std::string prefix, std::function<void(std::string_view)> receiver);

    /** Sends a datagram that is not a load message; it may be lost. */
    void sendDatagram(const Endpoint&, std::string_view);

    /** Whether a collector with access to the store reports its changes, so that this daemon can watch the store less often. */
    bool receivesStoreChanges() const;

    /** Sends and receives the use by accounts from now on. */
    void shareAccountUse(AccountUseTracker& accountUse) { m_reports.shareAccountUse(accountUse); }

    /** Sends and receives the demand for services with rate-limited replicas from now on. */
    void shareDemand(RateLimiter& rateLimiter) { m_reports.shareDemand(rateLimiter); }

    /** Whether the messages of the last second and a half cover the work of almost all daemons. */
    bool knowsFleetLoad() const;

private:
    asio::awaitable<void> receiveAll();
    void receive(std::string_view datagram);
    void sendAll();
    void send(const LoadMessage&, const std::vector<Endpoint>& targets);
    LoadMessage composeMessage(LoadScope, std::vector<ReplicaWork>);
    std::vector<ReplicaWork> zoneWork() const;
    std::vector<DaemonId> liveDaemonsOfZone() const;
    ReportOrigin originOf(const LoadMessage&) const;
    void applyWork(const LoadMessage&);
    bool hearsDaemons(bool ofOwnZoneOnly) const;
    bool hearsOtherZones() const;
    Duration period() const;

    asio::io_context& m_context;
    TimerService& m_timers;
    Log& m_log;
    DaemonDirectory& m_directory;
    std::shared_ptr<LoadTracker> m_loadTracker;
    CrashTracker& m_crashTracker;
    ReplicaDirectory& m_replicas;
    FleetReports m_reports;
    asio::ip::udp::socket m_socket;
    TimerSubscription m_timer;
    LoadTopology m_topology;
    std::vector<ReplicaWork> m_sentWork; /**< own work as last sent; the received sums include it */
    TimePoint m_sentAt;
    std::optional<TimePoint> m_lastCollectorMessageAt; /**< from a collector that can reach the store */
    ConfigurationExchange* m_versions = nullptr;
    std::string m_otherPrefix; /**< of the datagrams that are no load messages */
    std::function<void(std::string_view)> m_otherReceiver;
    std::optional<TimePoint> m_fleetWorkAt; /**< last message with the work of all daemons */
    std::map<AvailabilityZone, TimePoint> m_zoneWorkAt; /**< last message with the work of another zone */
    bool m_isLeaving = false;
};

} // namespace chestnut
