#pragma once

#include "EngineSimulator.h"

#include "http/server/HttpServer.h"

namespace chestnut {

/** Serves the engine protocol of section 2.2 and the control paths of the double. */
class EngineApi {
public:
    EngineApi(asio::io_context&, std::shared_ptr<EngineSimulator>);

    asio::awaitable<void> handle(HttpRequest, HttpResponseWriter&);

private:
    /** A job that waits for the partner whose answer it will send. */
    struct Crossing {
        explicit Crossing(asio::io_context& context)
            : arrived(context)
        {
        }
        std::shared_ptr<EngineJob> job;
        std::shared_ptr<EngineJob> partner;
        asio::steady_timer arrived;
    };

    asio::awaitable<void> complete(HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> resume(HttpRequest, HttpResponseWriter&);
    asio::awaitable<void> relay(std::shared_ptr<EngineJob>, uint64_t after, HttpResponseWriter&);
    asio::awaitable<std::shared_ptr<EngineJob>> cross(std::shared_ptr<EngineJob>);
    HttpResponse answerOrder(const std::string& body);
    HttpResponse answerFaults(const HttpRequest&);
    HttpResponse answerPlain(const HttpRequest&);

    asio::io_context& m_context;
    std::shared_ptr<EngineSimulator> m_simulator;
    std::shared_ptr<Crossing> m_crossing;
};

HttpResponse jsonResponse(int status, const nlohmann::json&);

} // namespace chestnut
