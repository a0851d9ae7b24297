#pragma once

#include "http/http.h"
#include "kernel/timers/AsioTimerService.h"

#include <boost/asio/co_spawn.hpp>
#include <optional>

namespace chestnut::test {

inline HttpResponse makeErrorResponse(const Error& error)
{
    return { describe(error.kind).status, {}, error.detail };
}

/** Runs the io_context until the coroutine has completed and returns its result. */
template <typename T>
T runToEnd(asio::io_context& context, asio::awaitable<T> work)
{
    std::optional<T> result;
    asio::co_spawn(context, std::move(work), [&](std::exception_ptr exception, T value) {
        if (exception)
            std::rethrow_exception(exception);
        result = std::move(value);
        context.stop();
    });
    context.run();
    context.restart();
    return std::move(*result);
}

/** A server on an ephemeral loopback port and a client, both in one io_context. */
struct HttpFixture {
    explicit HttpFixture(HttpHandler handler, HttpServerLimits limits = {})
        : server(context, log, { "127.0.0.1", 0 }, limits, std::move(handler), makeErrorResponse)
    {
        server.start();
    }

    template <typename T>
    T run(asio::awaitable<T> work)
    {
        return runToEnd(context, std::move(work));
    }

    asio::io_context context;
    MemoryLog log;
    HttpServer server;
    AsioTimerService timers { context };
    HttpClient client { context, timers };
};

} // namespace chestnut::test
