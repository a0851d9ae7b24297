#pragma once

#include "control/orders/OrderService.h"
#include "control/status/TicketProgress.h"

namespace chestnut {

/** The engines of the whole fleet, except those whose holders could not be reached. */
struct FleetStatus {
    nlohmann::json engines = nlohmann::json::array(); /**< one JSON object for each engine of a held group */
    std::vector<std::string> unreachable; /**< members that did not respond */

    std::vector<ReportedEngine> reported() const;
};

/** Collects engine states from the daemons that hold the groups. */
class FleetStatusService final : public Service {
public:
    static constexpr std::string_view serviceName = "fleetstatus";
    std::string_view name() const override { return serviceName; }

    static constexpr Duration callTimeout = std::chrono::seconds(2);

    FleetStatusService(asio::io_context&, OrderService&, PeerService&, TimerService&);

    void start() override;

    asio::awaitable<FleetStatus> collect();

    /** The engines of the groups that this daemon holds. */
    nlohmann::json localEngines() const;

private:
    struct Collection;

    static asio::awaitable<void> queryMember(PeerService&, DaemonId, std::shared_ptr<Collection>);
    asio::awaitable<Result<nlohmann::json>> handleRequest() const;

    asio::io_context& m_context;
    OrderService& m_orders;
    PeerService& m_peers;
    TimerService& m_timers;
};

} // namespace chestnut
