#pragma once

#include "gateway/service/RoutingSource.h"
#include "http/server/HttpServer.h"

namespace chestnut {

constexpr std::string_view configurationPath = "/configuration";

/** Serves the configuration in force to other daemons, as the bytes that the store holds. They contain the keys of the client
    accounts, so the listener belongs on an address that only daemons reach. */
class ConfigurationApi {
public:
    explicit ConfigurationApi(const RoutingSource&);

    /** Handles `GET /configuration?above=VERSION`: 200 with the bytes of a higher version, else 204; 503 when as many transfers as allowed
        are in progress. */
    asio::awaitable<void> handle(HttpRequest, HttpResponseWriter&);

private:
    const RoutingSource& m_routing;
    size_t m_transfers = 0; /**< in progress */
};

} // namespace chestnut
