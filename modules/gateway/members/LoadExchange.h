#pragma once

#include "gateway/members/LoadMessage.h"
#include "gateway/members/LoadTopology.h"

#include <boost/asio/ip/udp.hpp>

namespace chestnut {

/** Sends this daemon's work in flight to its peers several times a second, by datagrams: only the newest counts, and a lost
    one is replaced by the next. In a large fleet the work goes through the collectors of the zones. The same messages show
    that a daemon lives, and spread the losses of replicas by a request and the replicas that leave, also to daemons that the
    store does not reach. */
class LoadExchange : public Service {
public:
    static constexpr std::string_view serviceName = "loadexchange";
    std::string_view name() const final { return serviceName; }

    /** Binds the socket; throws boost::system::system_error when it cannot. */
    LoadExchange(asio::io_context&, TimerService&, Log&, DaemonDirectory&, std::shared_ptr<LoadTracker>, CrashTracker&, ReplicaDirectory&);

    void start() override;
    asio::awaitable<void> stop() override;
    void announceLeaving();

    /** Whether a collector that the store answers tells this daemon what changes, so that it need not watch closely itself. */
    bool isTold() const;

private:
    asio::awaitable<void> receiveAll();
    void receive(std::string_view datagram);
    void sendAll();
    void send(const LoadMessage&, const std::vector<Endpoint>& targets);
    LoadMessage newsOf(LoadScope, std::vector<ReplicaWork>) const;
    std::vector<ReplicaWork> zoneWork() const;
    std::vector<DaemonId> livingDaemons() const;
    void takeWork(const LoadMessage&);
    Duration period() const;

    asio::io_context& m_context;
    TimerService& m_timers;
    Log& m_log;
    DaemonDirectory& m_directory;
    std::shared_ptr<LoadTracker> m_board;
    CrashTracker& m_losses;
    ReplicaDirectory& m_replicas;
    asio::ip::udp::socket m_socket;
    TimerSubscription m_timer;
    LoadTopology m_topology;
    std::vector<ReplicaWork> m_sentWork; /**< own work as last told; it is part of the sums that come back */
    TimePoint m_sentAt;
    std::optional<TimePoint> m_toldAt; /**< last news of a collector that the store answers */
    bool m_isLeaving = false;
};

} // namespace chestnut
