#pragma once

#include "gateway/members/DaemonDirectory.h"
#include "gateway/replicas/LoadBoard.h"
#include "gateway/replicas/ReplicaDirectory.h"
#include "gateway/requests/CrashLosses.h"

#include <array>
#include <boost/asio/ip/udp.hpp>

namespace chestnut {

/** One message between daemons. */
struct LoadNews {
    DaemonRecord sender;
    bool isLeaving = false;
    std::vector<ReplicaWork> work;
    std::vector<CrashLoss> losses;
    std::vector<ReplicaId> leavingReplicas; /**< learned from the store by the sender */
    std::vector<ReplicaId> pausedReplicas; /**< that carry out an order */

    bool operator==(const LoadNews&) const = default;
};

std::string encodeLoadNews(const LoadNews&);
/** Fails with ProtocolError. */
Result<LoadNews> decodeLoadNews(std::string_view);

/** Sends this daemon's work in flight to its peers several times a second, by datagrams: only the newest counts, and a lost
    one is replaced by the next. The same messages show that a daemon lives, spread the losses of replicas by a request and
    the replicas that leave, also to daemons that the store does not reach. */
class LoadExchange : public Service {
public:
    static constexpr std::string_view serviceName = "loadexchange";
    std::string_view name() const final { return serviceName; }

    /** Binds the socket; throws boost::system::system_error when it cannot. */
    LoadExchange(asio::io_context&, TimerService&, Log&, DaemonDirectory&, std::shared_ptr<LoadBoard>, CrashLosses&, ReplicaDirectory&);

    void start() override;
    void announceLeaving();

private:
    asio::awaitable<void> receiveAll();
    void receive(std::string_view datagram);
    void sendAll();
    Duration period() const;

    asio::io_context& m_context;
    TimerService& m_timers;
    Log& m_log;
    DaemonDirectory& m_directory;
    std::shared_ptr<LoadBoard> m_board;
    CrashLosses& m_losses;
    ReplicaDirectory& m_replicas;
    asio::ip::udp::socket m_socket;
    TimerSubscription m_timer;
    TimePoint m_sentAt;
    bool m_isLeaving = false;
};

} // namespace chestnut
