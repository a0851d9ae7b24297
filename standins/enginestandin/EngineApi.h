#pragma once

#include "EngineSimulator.h"

#include "http/server/HttpServer.h"

namespace chestnut {

/** HTTP interface of the engine double: the engine protocol of section 2.2 of the design and control paths for tests. */
class EngineApi {
public:
    EngineApi(asio::io_context&, std::shared_ptr<EngineSimulator>);

    asio::awaitable<void> handle(HttpRequest, HttpResponseWriter&);

private:
    /** A request that waits for a second one, so that each gets the response of the other. */
    struct PendingSwap {
        explicit PendingSwap(asio::io_context& context)
            : partnerArrived(context)
        {
        }
        std::shared_ptr<EngineJob> job;
        std::shared_ptr<EngineJob> partner;
        asio::steady_timer partnerArrived;
    };

    asio::awaitable<void> complete(HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> resume(HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> streamTokens(std::shared_ptr<EngineJob>, uint64_t after, HttpResponseWriter&);
    asio::awaitable<std::shared_ptr<EngineJob>> swapWithNext(std::shared_ptr<EngineJob>);
    HttpResponse handleOrder(const std::string& body);
    HttpResponse handleFaults(const HttpRequest&);
    HttpResponse handlePlain(const HttpRequest&);

    asio::io_context& m_context;
    std::shared_ptr<EngineSimulator> m_simulator;
    std::shared_ptr<PendingSwap> m_pendingSwap;
};

HttpResponse jsonResponse(int status, const nlohmann::json&);

} // namespace chestnut
