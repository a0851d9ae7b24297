#pragma once

#include "http/server/HttpServer.h"

#include <cstdio>
#include <cstdlib>
#include <sys/resource.h>

namespace chestnut {

/** Prevents core files from the aborts that tests cause on purpose. */
inline void disableCoreFiles()
{
    rlimit none { 0, 0 };
    setrlimit(RLIMIT_CORE, &none);
}

/** Runs a test double on a loopback address until the process is killed, on the given number of consecutive ports. Prints
    the first address on one line. */
inline int serveStandin(asio::io_context& context, const std::string& listen, HttpHandler handler, uint16_t ports = 1)
{
    auto endpoint = parseEndpoint(listen);
    if (!endpoint || !endpoint->address.starts_with("127.")) {
        std::fprintf(stderr, "--listen must be a loopback address with a port, not %s\n", listen.c_str());
        return 2;
    }
    disableCoreFiles();
    MemoryLog log;
    auto makeErrorResponse = [](const Error& error) { return HttpResponse { describe(error.kind).status, {}, error.detail }; };
    HttpServerLimits limits;
    limits.maximumBody = 64 << 20;
    std::vector<std::unique_ptr<HttpServer>> servers;
    for (uint16_t i = 0; i < ports; ++i) {
        Endpoint address { endpoint->address, static_cast<uint16_t>(endpoint->port + i) };
        servers.push_back(std::make_unique<HttpServer>(context, log, address, limits, handler, makeErrorResponse));
        servers.back()->start();
    }
    std::printf("listening on %s\n", formatEndpoint(servers.front()->endpoint()).c_str());
    std::fflush(stdout);
    context.run();
    return 0;
}

} // namespace chestnut
