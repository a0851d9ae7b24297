#pragma once

#include "control/fleet/FleetService.h"
#include "control/status/FleetStatusService.h"
#include "control/tickets/TicketService.h"
#include "http/server/HttpServer.h"
#include "kernel/metrics/Metrics.h"

#include <memory>

namespace chestnut {

struct OperatorDependencies {
    TicketService& tickets;
    ConfigurationService& configuration;
    FleetStatusService& status;
    FleetService& fleet;
    PeerService& peers;
    Log& log;
    Metrics& metrics;
    std::function<bool()> isReady; /**< whether the daemon accepts callers' requests */
};

/** The operators' HTTP interface: tickets, fleet, engines, the decisions about a request, metrics and health. */
class OperatorApi final : public Service {
public:
    static constexpr std::string_view serviceName = "operations";
    std::string_view name() const override { return serviceName; }

    explicit OperatorApi(OperatorDependencies);

    /** Opens the listener. Throws boost::system::system_error when the address cannot be bound. */
    void listen(asio::io_context&, Endpoint);
    Endpoint endpoint() const { return m_server->endpoint(); }
    asio::awaitable<void> stop() override;

    asio::awaitable<HttpResponse> handle(HttpRequest);

    static HttpResponse makeErrorResponse(const Error&, std::string_view requestId = {});

private:
    asio::awaitable<void> serve(HttpRequest, HttpResponseWriter&);
    asio::awaitable<Result<HttpResponse>> dispatch(HttpRequest);
    asio::awaitable<Result<HttpResponse>> submit(std::string body);
    asio::awaitable<Result<HttpResponse>> validate(std::string body);
    asio::awaitable<Result<HttpResponse>> listTickets();
    asio::awaitable<Result<HttpResponse>> showTicket(std::string number);
    asio::awaitable<Result<HttpResponse>> showEngines();
    HttpResponse showFleet() const;
    Result<HttpResponse> explain(const std::string& request) const;

    OperatorDependencies m_dependencies;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace chestnut
